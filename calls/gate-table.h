#ifndef CALLS_GATE_TABLE_H
#define CALLS_GATE_TABLE_H

#include <apr_time.h>
#include <stdint.h>

#include "base/digest.h"
#include "base/table.h"
#include "calls/ticket.h"

/*
 * The agent's memory of calls that may run at most once.  A row stays until
 * no request that its identity could come with would be taken for new.
 *
 * Rows of tickets leave in the order of their expiry; the highest expiry of
 * a row that left is the floor, and a ticket not found whose expiry is not
 * above the floor counts as perhaps run.  Rows of callers' keys stay for
 * the key's lifetime; when one must leave earlier, no new key is taken for
 * that long.  So no clock has to be right for a call to run at most once.
 */

enum gate_state {
	GATE_RUNNING = 1,
	GATE_ANSWERED,
	GATE_ANSWER_LOST,   /* may have run: no whole answer came */
	GATE_MARKED_NOT_RUN /* never ran, and must not with this generation */
};

enum gate_verdict {
	GATE_RUN = 1, /* the caller of gate_admit runs it now */
	GATE_JOIN,    /* wait for the run under way */
	GATE_REPLAY,  /* the answer is there */
	GATE_NOT_RUN, /* marked: it never ran and never will */
	GATE_UNKNOWN,
	GATE_MISMATCH,		  /* the identity belongs to another request */
	GATE_EARLIER_RUN_POSSIBLE /* an earlier run elsewhere can't be ruled out */
};

/* A whole answer, shared by its row and by those that send it. */
struct gate_answer {
	int refs;
	int status;
	char type[64];
	char version[DIGEST_HEX_SIZE];
	size_t size;
	char body[];
};

struct gate_row {
	char identity[TICKET_IDENTITY_SIZE];
	enum gate_state state;
	uint32_t generation;
	uint64_t expiry;       /* of the ticket, wall-clock seconds */
	apr_time_t keep_until; /* of a caller's key, monotonic */
	struct digest content; /* what the identity was first used for */
	struct gate_answer *answer;
	struct handle hash_next;
	struct handle answer_next;
};

#define GATE_BUCKETS 16384
#define GATE_EXPIRY_MARGIN_S 60 /* of clocks that differ */

struct gate_table {
	struct table rows; /* rank RANK_TICKET, guards all below */
	struct handle buckets[GATE_BUCKETS];
	struct handle answers_first; /* oldest answer held */
	struct handle answers_last;
	size_t answer_bytes;
	size_t answer_limit;
	uint64_t floor;
	apr_time_t key_hold_until;
};

/* What a request asks the table. */
struct gate_request {
	const struct ticket *ticket; /* identity, generation, expiry, boot */
	int ticketed;		     /* 0: the caller's key alone */
	uint64_t boot;		     /* of this agent */
	struct digest content;
	int home;    /* 1: no other agent ran a key within its lifetime */
	int may_run; /* 0: it will be refused, so mark it */
	apr_interval_time_t lifetime; /* of the caller's key */
};

struct gate_decision {
	enum gate_verdict verdict;
	struct handle row;
	uint32_t generation;	    /* of the row */
	struct gate_answer *answer; /* a reference, with GATE_REPLAY */
	const char *reason;
};

void gate_table_init(struct gate_table *t, uint32_t row_limit,
		     size_t answer_limit);
void gate_table_destroy(struct gate_table *t);

void gate_admit(struct gate_table *t, const struct gate_request *ask,
		apr_time_t now, uint64_t wall_s, struct gate_decision *out);
void gate_finish_run(struct gate_table *t, struct handle h,
		     enum gate_state state, struct gate_answer *answer);
void gate_remove_expired_rows(struct gate_table *t, apr_time_t now,
			      uint64_t wall_s);

struct gate_answer *gate_answer_new(int status, const char *type,
				    const char *version, const void *body,
				    size_t size);
void gate_answer_release(struct gate_answer *a);

#endif
