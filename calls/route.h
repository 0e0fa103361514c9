#ifndef CALLS_ROUTE_H
#define CALLS_ROUTE_H

#include <apr_time.h>
#include <stdint.h>

#include "base/random.h"
#include "calls/breaker.h"
#include "calls/recent.h"
#include "config/document.h"
#include "member/report.h"

/*
 * Choice of the upstream for a call.  Rows hold what the agents reported,
 * late, and what this entry did since; route_choose is pure.
 */

#define ROUTE_UPSTREAMS_MAX 1024
#define ROUTE_CLASSES_MAX 16
#define ROUTE_EXCLUDED_MAX 4

struct route_upstream {
	char instance[SETTINGS_NAME_SIZE];
	char upstream[SETTINGS_NAME_SIZE];
	char address[SETTINGS_ADDRESS_SIZE];
	char data_center[SETTINGS_NAME_SIZE];
	uint64_t id_hash;   /* of instance */
	uint64_t name_hash; /* of upstream */
	uint64_t boot;
	int is_present; /* still reported */
	int is_draining;
	int is_reachable;
	int is_local; /* in this entry's data center */
	struct {
		uint64_t class; /* route_class_hash of a model or service */
		char version[DIGEST_HEX_SIZE];
		int is_current;		/* 0: served until a moment ago */
		apr_time_t reported_at; /* last time it was reported */
	} classes[ROUTE_CLASSES_MAX];
	int class_count;
	int running; /* as reported */
	int waiting;
	int slots;
	int token_us;
	apr_time_t measured_at;
	int in_flight;	 /* own calls */
	int choice_load; /* route_compute_load, during one choice */
	struct recent_calls recent;
	double cache_hit_rate; /* 0 to 1: how often the cache had the prefix */
	struct breaker breaker;
};

struct route_table {
	struct route_upstream *rows;
	int count;
};

struct route_query {
	uint64_t class;
	const char *version;	 /* wanted; NULL for a plain service */
	int is_version_required; /* no other version will do */
	double min_version_share; /* share that must have it to be the only one */
	uint64_t affinity;	  /* of session or prefix, 0 for none */
	const char *excluded[ROUTE_EXCLUDED_MAX]; /* instances */
	int excluded_count;
	const char *data_center;    /* only there; NULL: own first */
	const char *const *allowed; /* upstream names; NULL: any */
	int allowed_count;
};

struct route_choice {
	int index; /* of the row, -1 for none */
	char version[DIGEST_HEX_SIZE];
	int needs_new_connection; /* only over a new connection */
	int eligible_count;
	int is_affine; /* the affinity's own upstream was taken */
	double estimated_wait_us;
	const char *reason; /* why none */
};

#define ROUTE_AFFINITY_BONUS_US (50 * 1000)
#define ROUTE_AFFINITY_LOAD_RATIO_MAX 1.25 /* of the mean, for affinity */
#define ROUTE_TYPICAL_CALL_TOKENS 32	   /* of a typical call */
/* An upstream that stopped serving still counts so long for route_choose_pair. */
#define ROUTE_CLASS_RETENTION_US (5 * 1000 * 1000)
#define ROUTE_PLAIN_DEFAULT_SLOTS 16	 /* assumed of a plain service */
#define ROUTE_PLAIN_DEFAULT_CALL_US 2000 /* likewise, for one call */
#define ROUTE_CACHE_HIT_WEIGHT 0.1

uint64_t route_class_hash(enum upstream_kind kind, const char *name);

void route_table_init(struct route_table *t);
void route_table_destroy(struct route_table *t);
struct route_upstream *route_find(struct route_table *t, const char *instance);
void route_apply_reports(struct route_table *t,
			 const struct upstream_report *reports, int count,
			 const struct document *d, const char *data_center,
			 apr_time_t now);

int route_choose_pair(const struct route_table *t, uint64_t class,
		      const struct digest *fp, uint64_t affinity,
		      const char *data_center, const char *names[2]);
void route_set_draining(struct route_table *t, const char *instance);
const char *route_other_data_center(const struct route_table *t,
				    const char *own, int n);

/* Shared by the parts: route.c, route-choose.c, route-pair.c. */
int route_find_class(const struct route_upstream *u, uint64_t class);
int route_compute_load(const struct route_upstream *u, apr_time_t now);
double route_typical_call_us(const struct route_upstream *u);
double route_wait_at_load(const struct route_upstream *u, double load);
uint64_t route_affinity_rank(uint64_t affinity, uint64_t name_hash);

double route_estimate_wait(const struct route_upstream *u, apr_time_t now);
void route_choose(struct route_table *t, const struct route_query *q,
		  apr_time_t now, struct random *r, struct route_choice *out);
void route_call_started(struct route_upstream *u, apr_time_t now);
void route_call_finished(struct route_upstream *u, apr_time_t now);
void route_record_cache_result(struct route_upstream *u, int hit);

#endif
