#ifndef CALLS_LIMIT_CORE_H
#define CALLS_LIMIT_CORE_H

#include "calls/limit-peers.h"
#include "calls/limit-share.h"
#include "calls/limits.h"
#include "calls/queue.h"
#include "config/document.h"

/*
 * Admission decisions for limits.h.  Each function takes the tables, an event
 * and the current time, and returns the decided admissions as a list.  The
 * caller holds the lock of the account table, which guards everything here.
 */

#define LIMIT_ACCOUNTS_MAX 1024
#define LIMIT_POOLS_MAX 64
#define LIMIT_KEY_NONE (-1)
#define LIMIT_QUEUE_MAX 4096 /* maximum per pool */
/* Interval between updates of the slices and refusals of late calls. */
#define LIMIT_TICK_US (100 * 1000)
/* A tick delayed by more than this means that the process was paused. */
#define LIMIT_TICK_LATE_US (500 * 1000)
/* Maximum time that a call waits in the queue, also without a deadline. */
#define LIMIT_WAIT_MAX_US (2000 * 1000)
/*
 * Depth of a token bucket: the time in which its slice fills it, with a
 * minimum, for accounts below and above (OVER_BUDGET) their budget.
 */
#define LIMIT_BURST_US APR_USEC_PER_SEC
#define LIMIT_BURST_MIN 4.0
#define LIMIT_BURST_OVER_BUDGET_US (250 * 1000)
#define LIMIT_BURST_OVER_BUDGET_MIN 2.0
/*
 * Number of claims updated at each publication, in addition to those with a
 * large error: LIMIT_REFINE_CELLS divided by the number of entries, within the
 * bounds below.  A claim with a relative error of at most
 * LIMIT_REFINE_ERROR_MIN is left as it is.
 */
#define LIMIT_REFINE_CELLS 32
#define LIMIT_REFINE_CELLS_MIN 2
#define LIMIT_REFINE_CELLS_MAX 8
#define LIMIT_REFINE_ERROR_MIN 0.02
/*
 * An entry without contact for this time counts as partitioned; before that it
 * may only just have started.
 */
#define LIMIT_ISOLATED_MIN_US (6 * APR_USEC_PER_SEC)
/* Bounds of the retry delay for refused callers. */
#define LIMIT_RETRY_MIN_MS 100
#define LIMIT_RETRY_MAX_MS 10000

/*
 * The gain is the ratio of calls sent to upstreams to their slots.  It is
 * adapted so that upstreams are busy, but calls do not queue in them.
 */
#define LIMIT_GAIN_INITIAL 1.1
#define LIMIT_GAIN_MIN 0.5
#define LIMIT_GAIN_MAX 2.0
#define LIMIT_GAIN_STEP 0.01 /* relative change per tick */
/* Upstreams are busy if at least this ratio of their slots runs calls. */
#define LIMIT_BUSY_RATIO 0.95
/*
 * Ratio of calls waiting in upstreams to their slots: above HIGH the gain
 * falls, below LOW it may rise.
 */
#define LIMIT_WAITING_RATIO_HIGH 0.05
#define LIMIT_WAITING_RATIO_LOW 0.02
/*
 * Slots reserved above the window for accounts that use less than their share,
 * as a ratio of the window.
 */
#define LIMIT_RESERVE_RATIO 0.125
#define LIMIT_RESERVE_SLOTS_MIN 2

struct limit_account {
	char name[DOCUMENT_NAME_SIZE];
	int is_listed; /* in the current document */
	double share;
	struct limit_spec limit;
	int demand_key; /* index of its demand in struct limit_peers */
	struct demand_window requests;
	struct demand_window tokens;
	struct bucket request_bucket;
	struct bucket token_bucket;
	int slots;   /* calls that may run at this entry; < 0: no limit */
	int running; /* at this entry */
	int waiting;
	double run_time_us; /* mean time that a call runs */
	struct demand_mean demand[LIMIT_VALUE_COUNT];
	/* Budgets of the account, which are divided over the entries. */
	double budget[LIMIT_VALUE_COUNT];
	struct metric *granted_calls;
	struct metric *refused_calls;
	struct metric *wait_us;
};

struct limit_pool {
	char name[DOCUMENT_NAME_SIZE];
	int is_plain;
	int is_shared;	      /* for all names that have no pool of their own */
	int demand_key;	      /* LIMIT_KEY_NONE: not published */
	int slots;	      /* of the upstreams; 0: unknown */
	int upstream_running; /* calls that run in upstreams, as reported */
	int upstream_waiting;
	double gain;
	/* Number of calls from this entry that may run; < 0: no limit. */
	int window;
	int running;
	struct demand_mean demand;
	double run_time_us;	      /* mean time that a call runs */
	double run_time_deviation_us; /* mean absolute deviation */
	struct demand_window arrivals;
	struct demand_window finished;
	struct fair_queue queue;
};

/* Sum of the reports of the upstreams that serve one pool. */
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
	struct handle account_rows[LIMIT_KEYS_MAX]; /* indexed by key */
	uint32_t own_codes[LIMIT_KEYS_MAX]; /* claimed demand of this entry */
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

/*
 * Internal functions, defined in limit-pool.c, limit-demand.c and
 * limit-slices.c.
 */

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
