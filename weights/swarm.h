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
 * The distribution of one version as seen from one instance: which chunks
 * it holds, what its neighbours hold, and which transfer to begin next.
 * Pure: nothing here reads a clock or does I/O.
 *
 * Equal chunks of a manifest are kept once; a chunk's number is its place
 * among the distinct digests in order of first appearance, which is the
 * same on all instances.
 */

#define SWARM_PEERS_MAX 48
#define SWARM_PULLS_MAX 6   /* transfers asked for within the data centre */
#define SWARM_CARRIES_MAX 2 /* across data centres */
#define SWARM_ORIGIN_FETCHES_MAX 2 /* from the origin */
#define SWARM_PEER_REQUESTS_MAX 1  /* transfers asked of one peer */
#define SWARM_NO_PEER (-1)

enum chunk_status {
	CHUNK_MISSING = 0,
	CHUNK_REQUESTED,  /* a transfer is under way */
	CHUNK_UNVERIFIED, /* a former agent staged it; not verified yet */
	CHUNK_HELD	  /* verified and in the engine's staging memory */
};

struct swarm_chunk {
	struct digest digest;
	uint32_t length;
	uint16_t holders; /* neighbours that have it */
	uint8_t status;
	int8_t carrier_rank; /* in this data centre; 0 carries or draws it */
	int8_t permit;	     /* for a draw from the origin */
	int8_t data_center_rank; /* of this data centre */
	uint8_t is_permit_used;	 /* the permit was used */
	uint8_t is_sent;	 /* to a peer, at least once */
	apr_time_t permit_used_at;
	apr_time_t not_before; /* after a failure */
};

struct swarm_peer {
	char id[SETTINGS_NAME_SIZE];
	char address[SETTINGS_ADDRESS_SIZE];
	int is_local;
	int is_carrier; /* of its data centre */
	int is_live;
	int is_complete;
	unsigned char *chunk_bits; /* one bit a chunk */
	uint32_t log_epoch;	   /* of its log */
	uint32_t received_count;   /* entries of its log taken in */
	uint32_t acked_epoch;	   /* of this instance's log, as it knows it */
	uint32_t acked_count;	   /* entries of it that it knows */
	uint64_t revision;
	int requests_in_flight; /* transfers under way from it */
	int failures;
	int is_exchanging;	      /* a message is under way */
	apr_time_t exchanged_at;      /* last message, either way */
	apr_time_t received_at;	      /* last message from it */
	apr_time_t progress_at;	      /* its log grew */
	apr_time_t busy_until;	      /* it had no free place */
	apr_time_t avoid_until;	      /* it sent bytes that did not verify */
	apr_time_t origin_wait_until; /* the store told it to wait */
	int corrupt_count;
	uint32_t given_up[WEIGHTS_GIVEN_UP_MAX];
	int given_up_count;
};

struct swarm_policy {
	double time_weight; /* 0: fewest origin bytes, 1: least time */
	int permits_max;    /* copies that may be drawn in the worst case */
	/* Of the usual intervals: below 1 where little time is allowed, 0: 1. */
	double scale;
};

struct swarm {
	struct manifest *manifest;
	struct swarm_chunk *chunks;
	uint32_t chunk_count;
	uint32_t held_count;
	uint32_t *log; /* chunks in the order in which they came */
	uint32_t *chunk_by_position; /* of each chunk of the manifest */
	uint32_t epoch;
	struct swarm_peer peers[SWARM_PEERS_MAX];
	int peer_count;
	const struct place_view *view; /* of the last swarm_apply_view */
	struct swarm_policy policy;
	apr_time_t lost_since[PLACE_DATA_CENTERS_MAX]; /* 0: some live */
	uint64_t seed; /* spreads equal choices over instances */
	apr_time_t started_at;
	apr_time_t origin_not_before; /* the store told us to wait */
	int origin_failures;
	apr_interval_time_t origin_fetch_time; /* smoothed, of one chunk */
	uint32_t hedge_cursor; /* where the next look for hedges begins */
	int pulls, carries, origin_fetches; /* transfers under way */
	int is_carrier;			    /* this instance is one */
	uint32_t loaded_mask, crashed_mask; /* masks of first loaders */
	int has_unverified; /* some chunks are CHUNK_UNVERIFIED */
	uint32_t unverified_cursor;
};

enum swarm_transfer_kind {
	TRANSFER_PULL = 0,
	TRANSFER_CARRY,
	TRANSFER_ORIGIN_FETCH,
	TRANSFER_KIND_COUNT
};

/* A transfer to begin. */
struct swarm_action {
	enum swarm_transfer_kind kind;
	uint32_t chunk;
	int peer; /* index, SWARM_NO_PEER for a draw */
	apr_time_t started_at;
};

/*
 * What decides whom a sender serves first: other data centres, then chunks
 * that it has sent to nobody, then the receiver that holds the least.
 */
struct send_rank {
	int is_carry;
	int is_unsent;
	uint32_t held_permille; /* of 1000 chunks, by the receiver */
};

/* What may be received now, in bytes; not above 0: nothing. */
struct swarm_credit {
	double link_bytes;
	double cross_bytes;
	int transfers_max; /* under way at once, 0: as many as there may be */
	int is_origin_excluded; /* it may turn out that the engine holds the chunks */
};

enum swarm_record_result {
	RESULT_DONE = 0,
	RESULT_BUSY,	/* the other end has no free place or no such chunk */
	RESULT_CORRUPT, /* the bytes did not match the digest */
	RESULT_FAILED,	/* no answer, or cut off */
	RESULT_WAIT,	/* the store asked to wait */
	RESULT_ENGINE_REFUSED, /* the engine did not take it */
	RESULT_PARKED	       /* verified; kept until the engine takes it */
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
			 enum swarm_record_result result,
			 apr_interval_time_t wait, apr_time_t now);

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
