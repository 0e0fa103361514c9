#ifndef CALLS_LIMIT_PEERS_H
#define CALLS_LIMIT_PEERS_H

#include <apr_time.h>
#include <stdint.h>

#include "calls/limits_proto.h"

/*
 * What this entry knows of the demand at the other entries, and what they
 * know of its own.  Pure: times are arguments and messages go in and out
 * as structures.
 *
 * A demand that rises here counts for this entry's slice only once every
 * entry in contact has acknowledged it; see share_slice for why.
 */

#define LIMIT_KEYS_MAX 2048
#define LIMIT_PEERS_MAX 63     /* with this entry, the bits of a word */
#define LIMIT_SNAPSHOTS_MAX 16 /* own versions kept to send changes since */

/* One pair of entries exchanges once a period. */
#define LIMIT_PERIOD_MIN_US (500 * 1000)
#define LIMIT_PERIOD_MAX_US (1200 * 1000)
#define LIMIT_PERIOD_PER_PEER_US (33 * 1000) /* for each other entry */
#define LIMIT_EXCHANGE_TIMEOUT_MS 300
#define LIMIT_RETRY_US (50 * 1000)
#define LIMIT_FAILED_RETRY_US APR_USEC_PER_SEC
#define LIMIT_FAILED_EXCHANGES_MAX 2 /* exchanges under way with absent ones */

/*
 * Without contact for the lease an entry gives its slices up; the others
 * take them over later by a margin above the timeout of an exchange.
 */
#define LIMIT_LEASE_MIN_US (1300 * 1000)
#define LIMIT_LEASE_MARGIN_US (400 * 1000)
/* For so long one that only others hear holds rises of demand up. */
#define LIMIT_UNREACHABLE_WAIT_US (5 * APR_USEC_PER_SEC)

enum limit_value { LIMIT_REQUESTS, LIMIT_TOKENS, LIMIT_CONCURRENT };
#define LIMIT_VALUE_COUNT 3

struct limit_peer {
	char id[64];
	char address[64];
	int id_position;	 /* among all entries, by id */
	uint64_t boot;		 /* 0: not heard from yet */
	apr_time_t last_contact; /* last message in either direction, 0: none */
	apr_time_t
		indirect_contact; /* last contact that another entry told of */
	apr_time_t next_exchange_at;	/* when this side asks next */
	int is_exchanging;		/* an exchange is under way */
	apr_time_t exchange_started_at; /* since when */
	int consecutive_failures;	/* exchanges in a row */
	uint32_t acked_snapshot;	/* version of ours that it holds */
	uint32_t received_snapshot;	/* version of its demand held here */
	uint32_t demand_codes[LIMIT_KEYS_MAX];
};

struct limit_peers {
	char id[64];
	uint64_t boot;
	uint32_t snapshot_number;  /* newest version of own demand */
	apr_time_t majority_since; /* in contact with a majority since */
	apr_time_t viewed_at;	   /* last limit_peers_update_view */
	uint64_t ids_digest;	   /* digest of all ids, this one's too */
	int is_without_list;	   /* no list of entries was seen yet */
	int id_position;	   /* of this entry among them, by id */
	int key_count;
	uint32_t key_hashes[LIMIT_KEYS_MAX];
	uint16_t key_table[2 * LIMIT_KEYS_MAX]; /* hash table: key index + 1 */
	uint32_t snapshots[LIMIT_SNAPSHOTS_MAX][LIMIT_KEYS_MAX];
	uint32_t min_codes[LIMIT_KEYS_MAX]; /* what all in contact know of */
	int peer_count;
	struct limit_peer peers[LIMIT_PEERS_MAX];
};

struct limit_address {
	char id[64];
	char address[64];
};

/* Where this entry stands among the others. */
struct limit_view {
	int entry_count;     /* entries, this one included */
	int in_contact;	     /* in contact, this one included */
	int counted_entries; /* those whose demand still counts */
	int has_first_entry; /* the first of all entries is in contact */
	int is_isolated;     /* use the cut-off share by itself */
};

uint8_t limit_encode(double value);
double limit_decode(uint32_t codes, enum limit_value which);
uint32_t limit_encode_demands(double requests, double tokens,
			      double concurrent);

void limit_peers_init(struct limit_peers *p, const char *id, uint64_t boot);
int limit_peers_get_or_add_key(struct limit_peers *p, const char *kind,
			       const char *name);
int limit_peers_find_key(const struct limit_peers *p, const char *kind,
			 const char *name);
int limit_peers_get_or_add_hash(struct limit_peers *p, uint32_t hash);
struct limit_peer *limit_peers_find(struct limit_peers *p, const char *id);
void limit_peers_set_list(struct limit_peers *p,
			  const struct limit_address *list, int count,
			  apr_time_t now);
void limit_peers_publish(struct limit_peers *p, const uint32_t *codes);
void limit_peers_update_view(struct limit_peers *p, apr_time_t now,
			     struct limit_view *v);
double limit_view_budget_ratio(const struct limit_view *v, double cut_off);
int limit_peers_slot_count(const struct limit_peers *p, int key, double budget,
			   int entries, apr_time_t now);
double limit_peers_own_demand(const struct limit_peers *p, int key,
			      enum limit_value which);
double limit_peers_other_demand(const struct limit_peers *p, int key,
				enum limit_value which, apr_time_t now);
uint64_t limit_peers_contact_bits(const struct limit_peers *p, apr_time_t now);
void limit_peers_merge_contacts(struct limit_peers *p,
				const struct limits_message *m, apr_time_t now);
apr_interval_time_t limit_peers_exchange_period(const struct limit_peers *p);

int limit_peers_start_due(struct limit_peers *p, apr_time_t now, int *out,
			  int max);
void limit_peers_fill_message(const struct limit_peers *p,
			      const struct limit_peer *q,
			      struct limits_message *m, apr_time_t now);
void limit_peers_receive_reply(struct limit_peers *p, const char *id,
			       const struct limits_message *m, apr_time_t sent,
			       apr_time_t now);
void limit_peers_record_failure(struct limit_peers *p, const char *id,
				apr_time_t now);
int limit_peers_receive_message(struct limit_peers *p, const char *id,
				uint64_t boot, const struct limits_message *m,
				apr_time_t now);

#endif
