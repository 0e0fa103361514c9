#ifndef CALLS_LIMIT_CORE_H
#define CALLS_LIMIT_CORE_H

#include "calls/limit-peers.h"
#include "calls/limit-share.h"
#include "calls/limits.h"
#include "calls/queue.h"
#include "config/document.h"

/*
 * The decisions of limits.h: tables, an event and the present time go in,
 * decided admissions come out as a list.  The table of accounts is locked
 * by the caller, and its lock guards everything here.
 */

#define LIMIT_ACCOUNTS_MAX 1024
#define LIMIT_POOLS_MAX 64
#define LIMIT_QUEUE_MAX 4096		/* calls waiting for one pool */
#define LIMIT_TICK_US (100 * 1000)	/* slices and late calls */
#define LIMIT_TICK_LATE_US (500 * 1000) /* a tick so late means a pause */
#define LIMIT_WAIT_MAX_US (2000 * 1000) /* in the queue, without deadline */
/* Of its slice that a bucket holds: for accounts below and above budget. */
#define LIMIT_BURST_US APR_USEC_PER_SEC
#define LIMIT_BURST_MIN 4.0
#define LIMIT_BURST_OVER_BUDGET_US (250 * 1000)
#define LIMIT_BURST_OVER_BUDGET_MIN 2.0
/* Claims brought up to date in one turn, besides those that are far off. */
#define LIMIT_REFINE_CELLS 32 /* divided by the number of other entries */
#define LIMIT_REFINE_CELLS_MIN 2
#define LIMIT_REFINE_CELLS_MAX 8
#define LIMIT_REFINE_ERROR_MIN 0.02
#define LIMIT_ISOLATED_MIN_US (6 * APR_USEC_PER_SEC) /* cut off, not just new */
#define LIMIT_RETRY_MIN_MS 100
#define LIMIT_RETRY_MAX_MS 10000

/* Calls in upstreams against their slots: keeps them busy, without a queue. */
#define LIMIT_GAIN_INITIAL 1.1
#define LIMIT_GAIN_MIN 0.5
#define LIMIT_GAIN_MAX 2.0
#define LIMIT_GAIN_STEP 0.01	      /* each tick */
#define LIMIT_BUSY_RATIO 0.95	      /* of the slots run calls */
#define LIMIT_WAITING_RATIO_HIGH 0.05 /* waiting in upstreams, of their slots */
#define LIMIT_WAITING_RATIO_LOW 0.02
#define LIMIT_RESERVE_RATIO                                                    \
	0.125 /* of the window, for accounts below their part */
#define LIMIT_RESERVE_SLOTS_MIN 2

struct limit_account {
	char name[DOCUMENT_NAME_SIZE];
	int is_listed; /* in the document in force */
	double share;
	struct limit_spec limit;
	int demand_key; /* index of its demand in limit_peers */
	struct demand_window requests;
	struct demand_window tokens;
	struct bucket request_bucket;
	struct bucket token_bucket;
	int slots;   /* that may run here, below 0 for any number */
	int running; /* here */
	int waiting;
	double run_time_us; /* mean time that a call runs */
	struct demand_mean demand[LIMIT_VALUE_COUNT];
	double budget[LIMIT_VALUE_COUNT]; /* of the account, to divide */
	struct metric *granted_calls;
	struct metric *refused_calls;
	struct metric *wait_us;
};

struct limit_pool {
	char name[DOCUMENT_NAME_SIZE];
	int is_plain;
	int demand_key;
	int slots;	      /* of the upstreams, 0: not known */
	int upstream_running; /* in the upstreams, as they reported */
	int upstream_waiting;
	double gain;
	int window; /* calls that may run from here, below 0 for any number */
	int running;
	struct demand_mean demand;
	double run_time_us;	      /* mean time that a call runs */
	double run_time_deviation_us; /* mean distance from it */
	struct demand_window arrivals;
	struct demand_window finished;
	struct fair_queue queue;
};

/* What upstreams that serve one pool reported, added up. */
struct pool_report {
	char name[DOCUMENT_NAME_SIZE];
	int is_plain;
	int slots;
	int running;
	int waiting;
};

struct limit_core {
	struct table accounts; /* struct limit_account, rank RANK_ACCOUNT */
	struct limit_peers peers;
	struct limit_view view;
	struct limit_spec fleet;
	uint64_t revision;
	struct limit_pool pools[LIMIT_POOLS_MAX];
	int pool_count;
	struct handle account_rows[LIMIT_KEYS_MAX]; /* by key */
	uint32_t own_codes[LIMIT_KEYS_MAX];	    /* own demand */
	apr_time_t ticked_at;
	apr_time_t published_at;
	apr_time_t isolated_since;
};

/* Decided admissions, linked by next. */
struct limit_decisions {
	struct admission *first;
	struct admission **tail;
};

void limit_core_init(struct limit_core *c, const char *id, uint64_t boot);
void limit_core_destroy(struct limit_core *c);
void limit_core_configure(struct limit_core *c, const struct document *d,
			  apr_time_t now);
void limit_core_apply_reports(struct limit_core *c,
			      const struct pool_report *reports, int count);
void limit_core_tick(struct limit_core *c, apr_time_t now,
		     struct limit_decisions *out);
void limit_core_admit(struct limit_core *c, struct admission *a, apr_time_t now,
		      struct limit_decisions *out);
void limit_core_finish(struct limit_core *c, struct admission *a,
		       int tokens_used, apr_time_t now,
		       struct limit_decisions *out);
int limit_core_withdraw(struct limit_core *c, struct admission *a,
			apr_time_t now, struct limit_decisions *out);

int limit_core_answer(struct limit_core *c, const char *id, uint64_t boot,
		      const struct limits_message *m,
		      struct limits_message *reply, apr_time_t now);

/* Parts of the core: limit-pool.c, limit-demand.c, limit-slices.c. */

void limit_add_decision(struct limit_decisions *out, struct admission *a,
			enum admit_outcome outcome, apr_interval_time_t wait,
			const char *reason);
void limit_refund(struct limit_core *c, struct admission *a);
int limit_pool_get_or_add(struct limit_core *c, const char *name, int plain);
void limit_pool_enqueue(struct limit_core *c, struct limit_account *row,
			struct admission *a, apr_time_t now,
			struct limit_decisions *out);
void limit_pools_grant_ready(struct limit_core *c, apr_time_t now,
			     struct limit_decisions *out);
void limit_pools_shed_late(struct limit_core *c, apr_time_t now,
			   struct limit_decisions *out);
void limit_core_update_demand(struct limit_core *c, apr_time_t now);
void limit_core_divide_budgets(struct limit_core *c, apr_time_t now);

#endif
