#ifndef CALLS_LIMIT_PEERS_H
#define CALLS_LIMIT_PEERS_H

#include <apr_time.h>
#include <stdint.h>

#include "calls/limits_proto.h"

/*
 * Demand at the other entries as received here, and which part of this entry's
 * demand they have received.  There is no I/O: times are arguments, and
 * messages go in and out as structures.
 *
 * A rise of the demand here counts for this entry's slice only once every entry
 * in contact has acknowledged it; share_slice() has the reason.
 */

#define LIMIT_KEYS_MAX 2048
#define LIMIT_PEERS_MAX 63 /* with this entry, the bits of a uint64_t */
/* Number of snapshots of the own demand retained, to send only changes. */
#define LIMIT_SNAPSHOTS_MAX 16

/* Each pair of entries has one exchange per period. */
#define LIMIT_PERIOD_MIN_US (500 * 1000)
#define LIMIT_PERIOD_MAX_US (1200 * 1000)
#define LIMIT_PERIOD_PER_PEER_US (33 * 1000) /* per other entry */
#define LIMIT_EXCHANGE_TIMEOUT_MS 300
/* Delay after a failed exchange: after up to two in a row, and after more. */
#define LIMIT_RETRY_US (50 * 1000)
#define LIMIT_FAILED_RETRY_US APR_USEC_PER_SEC
/* Maximum number of concurrent exchanges with entries that failed to reply. */
#define LIMIT_FAILED_EXCHANGES_MAX 2

/*
 * An entry without contact for the lease stops using its slices.  The others
 * use them after a further margin, which is above the timeout of an exchange.
 */
#define LIMIT_LEASE_MIN_US (1300 * 1000)
#define LIMIT_LEASE_MARGIN_US (400 * 1000)
/*
 * Maximum time that an entry which only others can reach delays a rise of the
 * demand here.
 */
#define LIMIT_UNREACHABLE_WAIT_US (5 * APR_USEC_PER_SEC)

enum limit_value { LIMIT_REQUESTS, LIMIT_TOKENS, LIMIT_CONCURRENT };
#define LIMIT_VALUE_COUNT 3

struct limit_peer {
	char id[64];
	char address[64];
	int id_position; /* position among all entries, sorted by id */
	uint64_t boot;	 /* 0: no message received yet */
	/* Time of the last message in either direction; 0: none. */
	apr_time_t last_contact;
	/* Time of its last contact with another entry, as that one reported. */
	apr_time_t indirect_contact;
	apr_time_t next_exchange_at; /* time of the next request from here */
	int is_exchanging;
	apr_time_t exchange_started_at;
	int consecutive_failures;
	uint32_t acked_snapshot;    /* own snapshot that it has received */
	uint32_t received_snapshot; /* its snapshot that was received here */
	uint32_t demand_codes[LIMIT_KEYS_MAX];
};

struct limit_peers {
	char id[64];
	uint64_t boot;
	uint32_t snapshot_number; /* newest snapshot of the own demand */
	/* Start of the contact with a majority; 0: none. */
	apr_time_t majority_since;
	apr_time_t viewed_at; /* time of the last limit_peers_update_view() */
	uint64_t ids_digest;  /* digest of all ids, with the own id */
	int is_without_list;  /* no list of entries received yet */
	/* Position of this entry among all entries, sorted by id. */
	int id_position;
	int key_count;
	uint32_t key_hashes[LIMIT_KEYS_MAX];
	/* Hash table of key indexes, each plus 1; 0: free. */
	uint16_t key_table[2 * LIMIT_KEYS_MAX];
	uint32_t snapshots[LIMIT_SNAPSHOTS_MAX][LIMIT_KEYS_MAX];
	/*
	 * Per key, the minimum demand among the snapshots that the entries in
	 * contact may have.  It never exceeds what any of them uses for this
	 * entry.
	 */
	uint32_t min_codes[LIMIT_KEYS_MAX];
	int peer_count;
	struct limit_peer peers[LIMIT_PEERS_MAX];
};

struct limit_address {
	char id[64];
	char address[64];
};

/* Contact of this entry with the others.  Counts include this entry. */
struct limit_view {
	int entry_count;     /* all entries */
	int in_contact;	     /* entries within their lease */
	int counted_entries; /* entries whose demand still counts */
	int has_first_entry; /* in contact with the entry with the lowest id */
	int is_isolated;     /* this entry uses only its cut-off share */
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
