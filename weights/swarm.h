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
#define SWARM_PULLS_MAX 6      /* transfers asked for within the data centre */
#define SWARM_CARRIES_MAX 2    /* across data centres */
#define SWARM_DRAWS_MAX 2      /* from the origin */
#define SWARM_PEER_ASKED_MAX 1 /* transfers asked of one peer */
#define SWARM_NO_PEER (-1)

enum chunk_status {
	CHUNK_MISSING = 0,
	CHUNK_ASKED, /* a transfer is under way */
	CHUNK_FOUND, /* a former agent staged it; not verified yet */
	CHUNK_HELD   /* verified and in the engine's staging memory */
};

struct swarm_chunk {
	struct digest digest;
	uint32_t length;
	uint16_t holders; /* neighbours that have it */
	uint8_t status;
	int8_t rank;	/* in this data centre; 0 carries or draws it */
	int8_t permit;	/* for a draw from the origin */
	int8_t dc_rank; /* of this data centre */
	uint8_t spent;	/* the permit was used */
	uint8_t sent;	/* to a peer, at least once */
	apr_time_t spent_at;
	apr_time_t not_before; /* after a failure */
};

struct swarm_peer {
	char id[SETTINGS_NAME_SIZE];
	char address[SETTINGS_ADDRESS_SIZE];
	int same_data_center;
	int carrier; /* of its data centre */
	int live;
	int whole;
	unsigned char *chunk_bits; /* one bit a chunk */
	uint32_t epoch;		   /* of its log */
	uint32_t known;		   /* entries of its log taken in */
	uint32_t sent_epoch;	   /* of this instance's log, as it knows it */
	uint32_t sent;		   /* entries of it that it knows */
	uint64_t revision;
	int asked; /* transfers under way from it */
	int failures;
	int exchanging;		  /* a message is under way */
	apr_time_t exchanged;	  /* last message, either way */
	apr_time_t heard;	  /* last message from it */
	apr_time_t progress;	  /* its log grew */
	apr_time_t busy_until;	  /* it had no free place */
	apr_time_t avoid_until;	  /* it sent bytes that did not verify */
	apr_time_t waiting_until; /* the store told it to wait */
	int corrupt;
	uint32_t given_up[WEIGHTS_GIVEN_UP_MAX];
	int given_up_count;
};

struct swarm_policy {
	double time_weight; /* 0: fewest origin bytes, 1: least time */
	int permits;	    /* copies that may be drawn in the worst case */
	/* Of the usual intervals: below 1 where little time is allowed, 0: 1. */
	double scale;
};

struct swarm {
	struct manifest *manifest;
	struct swarm_chunk *chunks;
	uint32_t count;
	uint32_t held;
	uint32_t *log;	       /* chunks in the order in which they came */
	uint32_t *order_index; /* of each chunk of the manifest */
	uint32_t epoch;
	struct swarm_peer peers[SWARM_PEERS_MAX];
	int peer_count;
	const struct place_view *view; /* of the last swarm_place */
	struct swarm_policy policy;
	apr_time_t lost_since[PLACE_DATA_CENTERS_MAX]; /* 0: some live */
	uint64_t seed; /* spreads equal choices over instances */
	apr_time_t began;
	apr_time_t origin_until; /* the store told us to wait */
	int origin_failures;
	apr_interval_time_t draw_time; /* smoothed, of one chunk */
	uint32_t hedge_cursor;	   /* where the next look for hedges begins */
	int pulls, carries, draws; /* transfers under way */
	int carrier;		   /* this instance is one */
	uint32_t loaded, crashed;  /* masks of first loaders */
	int found;		   /* some chunks are CHUNK_FOUND */
	uint32_t found_cursor;
};

enum swarm_way { WAY_PULL = 0, WAY_CARRY, WAY_DRAW, WAY_COUNT };

/* A transfer to begin. */
struct swarm_action {
	enum swarm_way way;
	uint32_t chunk;
	int peer; /* index, SWARM_NO_PEER for a draw */
	apr_time_t began;
};

/*
 * What decides whom a sender serves first: other data centres, then chunks
 * that it has sent to nobody, then the receiver that holds the least.
 */
struct send_rank {
	int carry;
	int fresh;
	uint32_t held; /* of 1000 chunks, by the receiver */
};

/* What may be received now, in bytes; not above 0: nothing. */
struct swarm_credit {
	double link;
	double cross;
	int transfers; /* under way at once, 0: as many as there may be */
	int no_draws;  /* it may turn out that the engine holds the chunks */
};

enum swarm_result {
	RESULT_DONE = 0,
	RESULT_BUSY,	/* the other end has no free place or no such chunk */
	RESULT_CORRUPT, /* the bytes did not match the digest */
	RESULT_FAILED,	/* no answer, or cut off */
	RESULT_WAIT,	/* the store asked to wait */
	RESULT_ENGINE,	/* the engine did not take it */
	RESULT_PARKED	/* verified; kept until the engine takes it */
};

struct swarm *swarm_new(struct manifest *m, const struct swarm_policy *policy,
			uint64_t seed, apr_time_t now);
void swarm_free(struct swarm *s);
void swarm_place(struct swarm *s, const struct place_view *v, apr_time_t now);
struct swarm_peer *swarm_peer_find(struct swarm *s, const char *id);
void swarm_hold(struct swarm *s, uint32_t chunk, apr_time_t now);
void swarm_lose(struct swarm *s, const struct digest *d);
void swarm_restart(struct swarm *s, apr_time_t now);
int swarm_is_complete(const struct swarm *s);
int swarm_find(const struct swarm *s, const struct digest *d);

int swarm_choose(struct swarm *s, const struct swarm_credit *credit,
		 apr_time_t now, struct swarm_action *out, int max);
apr_interval_time_t swarm_hedge_delay(const struct swarm *s);
void swarm_unpark(struct swarm *s, uint32_t chunk, int staged, apr_time_t now);
void swarm_result(struct swarm *s, const struct swarm_action *a,
		  enum swarm_result result, apr_interval_time_t wait,
		  apr_time_t now);

int send_rank_before(const struct send_rank *a, const struct send_rank *b);
void swarm_have_make(const struct swarm *s, const struct swarm_peer *p,
		     struct weights_have *out, apr_time_t now);
void swarm_hint_take(struct swarm *s, struct swarm_peer *p,
		     const struct weights_have *in, apr_time_t now);
int swarm_have_take(struct swarm *s, struct swarm_peer *p,
		    const struct weights_have *in, apr_time_t now);
int swarm_exchange_next(struct swarm *s, int urgent, apr_time_t now);

static inline int bit_get(const unsigned char *bits, uint32_t i)
{
	return bits[i / 8] >> (i % 8) & 1;
}

static inline void bit_set(unsigned char *bits, uint32_t i)
{
	bits[i / 8] = (unsigned char)(bits[i / 8] | 1u << (i % 8));
}

#endif
