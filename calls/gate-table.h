#ifndef CALLS_GATE_TABLE_H
#define CALLS_GATE_TABLE_H

#include <apr_time.h>
#include <stdint.h>

#include "base/digest.h"
#include "base/table.h"
#include "calls/ticket.h"
#include "net/framing.h"

/*
 * Table of the calls that may run at most once.  Each identity has one row,
 * which is removed only when a later request with the same identity would
 * still not be treated as new.
 *
 * Rows of tickets are evicted in the order of their expiry.  The highest
 * expiry of a removed row is the expiry floor; the outcome of a ticket that
 * has no row and whose expiry is not above the floor is unknown.  Rows of
 * callers' keys are retained for the lifetime of the key after the end of the
 * run, as the run may begin at any time until then: how long the upstream
 * queues it is not known.  When such a row has to be evicted earlier, all new
 * keys are refused until that lifetime has passed.
 * At-most-once execution therefore does not depend on correct clocks.
 */

enum gate_state {
	GATE_RUNNING = 1,
	GATE_ANSWERED,
	GATE_ANSWER_LOST,   /* may have run: no complete answer */
	GATE_MARKED_NOT_RUN /* never ran; this generation must not run */
};

enum gate_verdict {
	GATE_RUN = 1, /* the caller of gate_admit must run it now */
	GATE_JOIN,    /* wait for the run in flight */
	GATE_REPLAY,  /* send the cached answer */
	GATE_NOT_RUN, /* marked: this generation never runs */
	GATE_UNKNOWN,
	GATE_MISMATCH,		  /* the identity belongs to another request */
	GATE_EARLIER_RUN_POSSIBLE /* another agent may have run it */
};

/* A complete answer, shared by its row and by the calls it is sent to. */
struct gate_answer {
	int refs; /* atomic */
	int status;
	char content_type[CONTENT_TYPE_SIZE];
	char version[DIGEST_HEX_SIZE];
	size_t size;
	char body[];
};

struct gate_row {
	char identity[TICKET_IDENTITY_SIZE];
	enum gate_state state;
	uint32_t generation;
	uint64_t expiry;	 /* of the ticket; wall clock, in seconds */
	apr_time_t retain_until; /* row of a caller's key; monotonic */
	apr_interval_time_t key_lifetime;
	struct digest request_digest; /* of the first request */
	struct gate_answer *answer;   /* NULL for none or evicted */
	struct handle hash_next;      /* next row of the bucket */
	struct handle next_newer_answer;
};

#define GATE_BUCKETS 16384

/* Rows are retained this long past expiry, as the clocks of entries differ. */
#define GATE_EXPIRY_MARGIN_S 60

struct gate_table {
	struct table rows; /* RANK_TICKET; its lock guards the rest */
	struct handle buckets[GATE_BUCKETS];
	struct handle oldest_answer; /* first row in the list of answers */
	struct handle newest_answer;
	size_t answers_bytes;
	size_t answers_max_bytes;
	uint64_t expiry_floor;
	apr_time_t keys_refused_until;
};

/* A request as gate_admit sees it. */
struct gate_request {
	const struct ticket *ticket; /* identity, generation, expiry, boot */
	int has_ticket;		     /* 0: the caller's key alone */
	uint64_t agent_boot;	     /* boot of this process */
	struct digest request_digest;
	int is_exclusive_home; /* no other agent ran it in key_lifetime */
	int may_run;	       /* 0: it is refused, so mark it as not run */
	apr_interval_time_t key_lifetime;
};

struct gate_decision {
	enum gate_verdict verdict;
	struct handle row;
	uint32_t generation;	    /* of the row */
	struct gate_answer *answer; /* with GATE_REPLAY; a reference */
	const char *reason;	    /* static; "" for none */
};

void gate_table_init(struct gate_table *t, uint32_t row_limit,
		     size_t answers_max_bytes);
void gate_table_destroy(struct gate_table *t);

void gate_admit(struct gate_table *t, const struct gate_request *request,
		apr_time_t now, uint64_t wall_s, struct gate_decision *out);
void gate_finish_run(struct gate_table *t, struct handle h,
		     enum gate_state state, struct gate_answer *answer,
		     apr_time_t now);
void gate_remove_expired_rows(struct gate_table *t, apr_time_t now,
			      uint64_t wall_s);

struct gate_answer *gate_answer_new(int status, const char *type,
				    const char *version, const void *body,
				    size_t size);
void gate_answer_release(struct gate_answer *a);

#endif
