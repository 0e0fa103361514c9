#ifndef WEIGHTS_SWARM_H
#define WEIGHTS_SWARM_H

#include <apr_time.h>
#include <stdint.h>

#include "base/random.h"
#include "weights/manifest.h"
#include "weights/pace.h"
#include "weights/place.h"
#include "weights/weights_proto.h"

/*
 * The distribution of one version as seen from one instance: the chunks that
 * the instance holds, the chunks that its neighbours hold, and the transfer to
 * start next. Nothing here reads a clock or does I/O.
 *
 * Equal chunks of a manifest are stored once. A chunk is numbered by the first
 * appearance of its digest in the manifest, so the number is the same on all
 * instances.
 */

#define SWARM_PEERS_MAX 48
#define SWARM_PULLS_MAX 6   /* transfers in flight from this data centre */
#define SWARM_CARRIES_MAX 2 /* transfers in flight from other data centres */
#define SWARM_ORIGIN_FETCHES_MAX 2 /* transfers in flight from the origin */
#define SWARM_PEER_REQUESTS_MAX 1  /* transfers in flight from one peer */
#define SWARM_NO_PEER (-1)

enum chunk_status {
	CHUNK_MISSING = 0,
	CHUNK_REQUESTED, /* a transfer is in flight */
	/* staged by an earlier agent process, not verified yet */
	CHUNK_UNVERIFIED,
	CHUNK_HELD /* verified and in the engine's staging memory */
};

struct swarm_chunk {
	struct digest digest;
	uint32_t length;
	uint16_t holders; /* number of neighbours that hold the chunk */
	uint8_t status;
	/*
	 * Rank of this instance for the chunk in its data centre. Rank 0
	 * brings the chunk into the data centre.
	 */
	int8_t carrier_rank;
	int8_t permit; /* permit for an origin fetch, or PLACE_NO_PERMIT */
	int8_t data_center_rank; /* rank of this data centre for the chunk */
	uint8_t is_permit_used;
	/* the chunk was sent to a peer at least once */
	uint8_t is_sent;
	apr_time_t permit_used_at;
	apr_time_t not_before; /* earliest time of the next attempt */
};

struct swarm_peer {
	char id[SETTINGS_NAME_SIZE];
	char address[SETTINGS_ADDRESS_SIZE];
	int is_local;
	int is_carrier; /* the peer is a carrier of its data centre */
	int is_live;
	int is_complete;
	/* one bit for each chunk that the peer holds */
	unsigned char *chunk_bits;
	uint32_t log_epoch;
	uint32_t received_count; /* merged entries of the peer's log */
	/* epoch of this instance's log that the peer acknowledged */
	uint32_t acked_epoch;
	/* entries of this instance's log that the peer acknowledged */
	uint32_t acked_count;
	uint64_t revision;
	int requests_in_flight;
	int failures;
	int is_exchanging; /* a message to the peer is in flight */
	/* time of the last message in either direction */
	apr_time_t exchanged_at;
	apr_time_t received_at; /* time of the last message from the peer */
	/* time of the last growth of the peer's log */
	apr_time_t progress_at;
	apr_time_t busy_until;	      /* the peer had no free slot */
	apr_time_t avoid_until;	      /* the peer sent corrupt bytes */
	apr_time_t origin_wait_until; /* the origin asked the peer to wait */
	int corrupt_count;
	uint32_t given_up[WEIGHTS_GIVEN_UP_MAX];
	int given_up_count;
};

struct swarm_policy {
	double time_weight; /* 0: minimum origin bytes, 1: minimum time */
	/* copies fetched from the origin in the worst case */
	int permits_max;
	/*
	 * Factor for the default intervals: below 1 when the distribution has
	 * a short time limit. 0 means 1.
	 */
	double scale;
};

struct swarm {
	struct manifest *manifest;
	struct swarm_chunk *chunks;
	uint32_t chunk_count;
	uint32_t held_count;
	uint32_t *log; /* held chunks in the order of their arrival */
	/* Maps a position in the manifest to a chunk number. */
	uint32_t *chunk_by_position;
	uint32_t epoch;
	struct swarm_peer peers[SWARM_PEERS_MAX];
	int peer_count;
	const struct place_view *view; /* set by the last swarm_apply_view */
	struct swarm_policy policy;
	/*
	 * Time since which no instance of the data centre is live; 0: one is.
	 */
	apr_time_t lost_since[PLACE_DATA_CENTERS_MAX];
	uint64_t seed; /* varies the choice between equal options by instance */
	apr_time_t started_at;
	apr_time_t origin_not_before; /* no origin fetch before this time */
	int origin_failures;
	/* smoothed time of the origin fetch of one chunk */
	apr_interval_time_t origin_fetch_time;
	/* chunk at which the next search for hedged fetches starts */
	uint32_t hedge_cursor;
	int pulls, carries, origin_fetches; /* transfers in flight */
	int is_carrier;			    /* this instance is a carrier */
	/*
	 * Masks of the first loaders that run the version, and of those that
	 * it crashed.
	 */
	uint32_t loaded_mask, crashed_mask;
	int has_unverified; /* some chunks are CHUNK_UNVERIFIED */
	uint32_t unverified_cursor;
};

enum swarm_transfer_kind {
	TRANSFER_PULL = 0,
	TRANSFER_CARRY,
	TRANSFER_ORIGIN_FETCH,
	TRANSFER_KIND_COUNT
};

/* A transfer to start. */
struct swarm_action {
	enum swarm_transfer_kind kind;
	uint32_t chunk;
	int peer; /* index of the peer; SWARM_NO_PEER for an origin fetch */
	apr_time_t started_at;
};

/*
 * Priority of a request for a chunk at its sender. Requests from other data
 * centres are first, then those for chunks that the sender has not sent to any
 * peer, then those of the receiver that holds the fewest chunks.
 */
struct send_rank {
	int is_carry;
	int is_unsent;
	uint32_t held_permille; /* chunks that the receiver holds, per 1000 */
};

/*
 * Bytes that may be received now. Nothing may be received over a link whose
 * value is 0 or negative.
 */
struct swarm_credit {
	double link_bytes;
	double cross_bytes;
	int transfers_max; /* maximum transfers in flight, 0: no limit */
	/* Set while the engine may still prove to hold the chunks. */
	int is_origin_excluded;
};

enum transfer_result {
	RESULT_DONE = 0,
	RESULT_BUSY,	/* the sender has no free slot or lacks the chunk */
	RESULT_CORRUPT, /* the bytes did not match the digest */
	RESULT_FAILED,	/* no answer, or a truncated one */
	RESULT_WAIT,	/* the origin asked the caller to wait */
	RESULT_ENGINE_REFUSED, /* the engine did not accept the chunk */
	/* verified; buffered until the engine accepts the chunk */
	RESULT_PARKED
};

struct swarm *swarm_new(struct manifest *m, const struct swarm_policy *policy,
			uint64_t seed, apr_time_t now);
void swarm_free(struct swarm *s);
void swarm_apply_view(struct swarm *s, const struct place_view *v,
		      apr_time_t now);
struct swarm_peer *swarm_find_peer(struct swarm *s, const char *id);
void swarm_mark_held(struct swarm *s, uint32_t chunk, apr_time_t now);
void swarm_mark_lost(struct swarm *s, const struct digest *d);
void swarm_clear_held(struct swarm *s, apr_time_t now);
int swarm_is_complete(const struct swarm *s);
int swarm_find_chunk(const struct swarm *s, const struct digest *d);

int swarm_choose_transfers(struct swarm *s, const struct swarm_credit *credit,
			   apr_time_t now, struct swarm_action *out, int max);
apr_interval_time_t swarm_hedge_delay(const struct swarm *s);
void swarm_finish_parked(struct swarm *s, uint32_t chunk, int staged,
			 apr_time_t now);
void swarm_record_result(struct swarm *s, const struct swarm_action *a,
			 enum transfer_result result, apr_interval_time_t wait,
			 apr_time_t now);

int send_rank_is_before(const struct send_rank *a, const struct send_rank *b);
void swarm_make_have(const struct swarm *s, const struct swarm_peer *p,
		     struct weights_have *out, apr_time_t now);
void swarm_merge_hint(struct swarm *s, struct swarm_peer *p,
		      const struct weights_have *in, apr_time_t now);
int swarm_merge_have(struct swarm *s, struct swarm_peer *p,
		     const struct weights_have *in, apr_time_t now);
int swarm_next_exchange_peer(struct swarm *s, int urgent, apr_time_t now);

static inline int bit_get(const unsigned char *bits, uint32_t i)
{
	return bits[i / 8] >> (i % 8) & 1;
}

static inline void bit_set(unsigned char *bits, uint32_t i)
{
	bits[i / 8] = (unsigned char)(bits[i / 8] | 1u << (i % 8));
}

#endif
