#ifndef FORWARD_TARGET_H
#define FORWARD_TARGET_H

#include <apr_time.h>

#include "base/digest.h"
#include "base/random.h"
#include "calls/recent.h"
#include "config/routing.h"
#include "forward/cold.h"
#include "forward/evacuation.h"
#include "forward/health.h"
#include "forward/listing.h"
#include "forward/notice.h"
#include "forward/region.h"
#include "forward/upstream-limit.h"

/*
 * Choice of the upstream for a request that this entry sends itself. A row
 * of the table combines what the platform lists, what the agent beside the
 * upstream reports, and the requests that this entry has sent since. The
 * functions are pure: they read no clock and do no I/O.
 */

#define TARGETS_MAX 2048
#define TARGET_EXCLUDED_MAX 8
/* Upstreams at which a request that may crash them may run. */
#define TARGET_ALLOWED_MAX 2

/* Load report of an agent about its upstream at one moment. */
struct target_report {
	char address[SETTINGS_ADDRESS_SIZE]; /* of the upstream */
	int64_t started_ms; /* start of the upstream's process, Unix time */
	uint64_t agent_boot;
	uint64_t sequence;  /* number of the report within agent_boot */
	apr_time_t sent_at; /* on the agent's monotonic clock */
	int is_busy; /* accepts no requests while it carries out an order */
	int running;
	int waiting;
	double slowdown; /* service time relative to normal; above 1: slower */
	struct listed_model models[LISTED_MODELS_MAX];
	int model_count;
};

struct target {
	int is_used;
	char id[SETTINGS_NAME_SIZE];
	char service[SETTINGS_NAME_SIZE];
	char address[SETTINGS_ADDRESS_SIZE];
	char data_center[SETTINGS_NAME_SIZE];
	int is_listed;		/* in the platform's current list */
	int was_listed;		/* in the list before the current one */
	apr_time_t grace_until; /* used until then although not listed */
	int is_draining;
	/* Copies of the notice of its process. */
	int has_announced_end;
	apr_time_t paused_until;
	struct limit_share limit;
	apr_time_t cold_until; /* by its own word */
	uint64_t listed_sequence;
	struct cold_entries cold_entries;
	apr_time_t sent_at; /* last request to it, 0: none yet */
	int is_replaced;    /* another process runs at its address */
	int is_local;	    /* in this entry's data centre */
	int is_evacuated;   /* gets no new requests, by order of the operator */
	apr_time_t evacuation_ended_at; /* 0: none ended */
	int region; /* number of its data centre's, or REGION_UNKNOWN */
	int slots;
	int64_t started_ms;
	struct listed_model models[LISTED_MODELS_MAX];
	int model_count;

	/* When the last report of this process arrived, 0: none yet. */
	apr_time_t reported_at;
	uint64_t agent_boot;
	uint64_t sequence;
	/* Offset of the agent's clock plus the one-way delay of reports. */
	apr_interval_time_t clock_offset;
	/* Delay of the last report above clock_offset. */
	apr_interval_time_t report_delay;
	int is_busy;
	apr_time_t busy_since; /* first report of is_busy, 0: not busy */
	int running;
	int waiting;
	double slowdown;

	struct recent_calls recent;
	int in_flight;
	int unanswered; /* requests in flight without a byte of an answer */
	apr_time_t full_until;	 /* set when it answered that it is full */
	apr_time_t last_contact; /* last byte received from it */
	struct health health;
};

struct target_table {
	struct target *rows;
	int count;
	uint64_t listing_epoch; /* of the list applied last */
	int entry_count; /* entries that send to the same upstreams, 0: one */
	struct notice_table notices;
	struct evacuations evacuations;
	const struct settings_region *regions; /* of all data centres */
	int region_count;
	/* Entries, this one first; those that are present before the others. */
	struct limit_entry *entries;
	int present_count;
	int known_count;
	int entries_assumed; /* least number in a data centre, while unsure */
};

/* Age from which a report is no longer used to estimate the load. */
#define TARGET_REPORT_VALID_US (1500 * 1000)

/* Maximum time of a request in queues: the network's and the upstream's. */
#define TARGET_QUEUE_MAX_US (2 * APR_USEC_PER_SEC)

struct target_query {
	const char *service;
	const struct engine_spec *engine; /* NULL for a plain service */
	const char *model;		  /* "" or NULL: any */
	uint64_t release_min;		  /* oldest that may serve, 0: any */
	uint64_t queued_release_min;	  /* same after TARGET_QUEUE_MAX_US */
	int prompt_tokens;
	uint64_t regions_excluded; /* mask, see region.h */
	struct cold_spec cold;
	int needs_sound; /* neither ejected nor on probation */
	const char *excluded[TARGET_EXCLUDED_MAX]; /* ids */
	int excluded_count;
	int allowed[TARGET_ALLOWED_MAX]; /* rows; unless the count is 0 */
	int allowed_count;
};

struct target_choice {
	int index;	       /* of the row, -1 for none */
	double wait_us;	       /* estimated time until the answer starts */
	double backlog_us;     /* part of wait_us due to earlier requests */
	double first_event_us; /* part of wait_us for the request itself */
	int load;	       /* requests at the upstream */
	int is_ejected;	       /* chosen although its health ejected it */
	int eligible;	       /* number of rows that could be chosen */
	const char *reason;    /* why no row was chosen */
	/*
	 * End of the first pause, or next request within a limit, when the
	 * reason is that all are paused or limited.
	 */
	apr_time_t paused_until;
	int is_unservable; /* no listed upstream can serve it within moments */
};

void target_table_init(struct target_table *t);
void target_table_destroy(struct target_table *t);
void target_apply_listing(struct target_table *t, const struct listing *l,
			  const char *data_center, apr_time_t now);
int target_is_usable(const struct target *u, apr_time_t now);
struct target *target_find(struct target_table *t, const char *id);
void target_record_leaving(struct target_table *t, const char *id,
			   int64_t started_ms, const struct notice_time *at);
void target_record_pause(struct target_table *t, const char *id,
			 int64_t started_ms, double pause_s,
			 const struct notice_time *at);
int target_record_limit(struct target_table *t, const char *id,
			int64_t started_ms, double limit_per_s,
			const struct notice_time *at);
int target_end_limit(struct target_table *t, const char *id, int64_t started_ms,
		     apr_time_t asked_at);
int target_set_evacuations(struct target_table *t, const struct evacuations *e,
			   apr_time_t now);
void target_set_entries(struct target_table *t, struct limit_entry *entries,
			int present, int known, apr_time_t now);
int target_is_cold(const struct target *u, const struct cold_spec *c,
		   apr_time_t now);
int target_merge_report(struct target_table *t, const struct target_report *r,
			apr_time_t now);
void target_record_start(struct target *u, apr_time_t now);
void target_record_finish(struct target *u, apr_time_t now);
int target_estimate_load(const struct target_table *t, const struct target *u,
			 apr_time_t now);
int target_can_use_slot(const struct target *u, const struct target_query *q,
			apr_time_t now);
double target_typical_answer_us(const struct engine_spec *e);
double target_typical_first_event_us(const struct engine_spec *e);
uint64_t target_find_release(const struct target *u, const char *model);
int target_is_congested(const struct target *u);
int target_has_blocked_order(const struct target *u,
			     apr_interval_time_t delay_us, apr_time_t now);
int target_is_replaced(const struct target_table *t, const char *id,
		       const char *address, int64_t started_ms);
void target_restrict(const struct target_table *t, struct target_query *q,
		     const struct digest *key, apr_time_t now);
void target_choose(struct target_table *t, const struct target_query *q,
		   apr_time_t now, struct random *r, struct target_choice *out);

#endif
