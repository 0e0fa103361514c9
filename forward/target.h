#ifndef FORWARD_TARGET_H
#define FORWARD_TARGET_H

#include <apr_time.h>

#include "base/random.h"
#include "calls/recent.h"
#include "config/routing.h"
#include "forward/health.h"
#include "forward/listing.h"

/*
 * Choice of the upstream for a request that the entry hands over itself.
 * Rows hold what the platform lists, what the agents beside the upstreams
 * report and what this entry did since.  Pure: no clock, no I/O.
 */

#define TARGETS_MAX 2048
#define TARGET_EXCLUDED_MAX 8

/* What an agent says of its upstream at one moment. */
struct target_report {
	char address[SETTINGS_ADDRESS_SIZE]; /* of the upstream */
	int64_t started_ms;		     /* of the upstream's process */
	uint64_t agent_boot;
	uint64_t sequence;  /* of this agent's reports */
	apr_time_t sent_at; /* by the agent's steady clock */
	int is_busy;	    /* an order keeps it from taking requests */
	int running;
	int waiting;
	double slowdown; /* 1: usual speed, above: slower */
	struct listed_model models[LISTED_MODELS_MAX];
	int model_count;
};

struct target {
	int is_used;
	char id[SETTINGS_NAME_SIZE];
	char service[SETTINGS_NAME_SIZE];
	char address[SETTINGS_ADDRESS_SIZE];
	char data_center[SETTINGS_NAME_SIZE];
	int is_listed;		/* the platform lists it */
	int was_listed;		/* before the present list */
	apr_time_t grace_until; /* used until then though not listed */
	int is_draining;
	int is_replaced; /* another process is at its address */
	int is_local;	 /* in this entry's data centre */
	int slots;
	int64_t started_ms;
	struct listed_model models[LISTED_MODELS_MAX];
	int model_count;

	apr_time_t reported_at; /* 0: no report of this process of it */
	uint64_t agent_boot;
	uint64_t sequence;
	apr_interval_time_t
		clock_offset; /* of the agent's clock and the trip */
	apr_interval_time_t report_delay; /* of the last report above that */
	int is_busy;
	apr_time_t busy_since; /* first report of it, 0: not busy */
	int running;
	int waiting;
	double slowdown;

	struct recent_calls recent;
	int in_flight;
	int unanswered;		 /* of those, without a byte of an answer yet */
	apr_time_t full_until;	 /* it said that it is full */
	apr_time_t last_contact; /* last byte from it */
	struct health health;
};

struct target_table {
	struct target *rows;
	int count;
	int entry_count; /* that send requests to the same upstreams, 0: one */
};

/* Requests wait at most so long, on the way or in an upstream's queue. */
#define TARGET_QUEUE_MAX_US (2 * APR_USEC_PER_SEC)

struct target_query {
	const char *service;
	const struct engine_spec *engine; /* NULL for a plain service */
	const char *model;		  /* "" or NULL: any */
	uint64_t release_min;		  /* the oldest that will do, 0: any */
	uint64_t queued_release_min;	  /* the same a moment later; 0: any */
	int prompt_tokens;
	const char *excluded[TARGET_EXCLUDED_MAX]; /* ids */
	int excluded_count;
};

struct target_choice {
	int index;	       /* of the row, -1 for none */
	double wait_us;	       /* estimated until the answer begins */
	double backlog_us;     /* of that, for those before it */
	double first_event_us; /* of that, for itself */
	int load;	       /* requests there */
	int is_ejected;	       /* chosen although it is ejected */
	int eligible;	       /* rows that could be chosen */
	const char *reason;    /* why none */
	int is_unservable;     /* none that is there will do in a moment */
};

void target_table_init(struct target_table *t);
void target_table_destroy(struct target_table *t);
void target_apply_listing(struct target_table *t, const struct listing *l,
			  const char *data_center, apr_time_t now);
struct target *target_find(struct target_table *t, const char *id);
int target_merge_report(struct target_table *t, const struct target_report *r,
			apr_time_t now);
void target_record_start(struct target *u, apr_time_t now);
void target_record_finish(struct target *u, apr_time_t now);
int target_estimate_load(const struct target_table *t, const struct target *u,
			 apr_time_t now);
double target_typical_first_event_us(const struct engine_spec *e);
int target_is_congested(const struct target *u);
int target_has_blocked_order(const struct target *u, apr_time_t now);
void target_choose(struct target_table *t, const struct target_query *q,
		   apr_time_t now, struct random *r, struct target_choice *out);

#endif
