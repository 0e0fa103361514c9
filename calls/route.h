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
 * Choice of the upstream for a call.  A row holds what an agent last reported,
 * which arrives with a delay, and what this entry has sent since.  route_choose
 * reads no clock and does no I/O.
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
	int is_present; /* in the latest reports */
	int is_draining;
	int is_reachable;
	int is_local; /* in this entry's data center */
	struct {
		uint64_t class; /* route_class_hash of a model or service */
		char version[DIGEST_HEX_SIZE];
		int is_current; /* 0: not served any more */
		apr_time_t reported_at;
	} classes[ROUTE_CLASSES_MAX];
	int class_count;
	int running; /* requests, as last reported */
	int waiting; /* requests, as last reported */
	int slots;
	int token_us;		/* time per token; 0: not known */
	apr_time_t measured_at; /* when the report was taken */
	int in_flight;		/* requests of this entry */
	int choice_load;	/* load, cached during route_choose */
	struct recent_calls recent;
	double cache_hit_rate; /* 0 to 1, moving average */
	struct breaker breaker;
};

struct route_table {
	struct route_upstream *rows;
	int count;
};

struct route_query {
	uint64_t class;
	const char *version;	 /* declared; NULL: plain service */
	int is_version_required; /* reject other versions */
	/* Share of candidates with version from which on only they are used. */
	double min_version_share;
	uint64_t affinity; /* hash of session or prefix; 0: none */
	const char *excluded[ROUTE_EXCLUDED_MAX]; /* instances */
	int excluded_count;
	const char *data_center;    /* required; NULL: local first */
	const char *const *allowed; /* upstream names; NULL: any */
	int allowed_count;
};

struct route_choice {
	int index; /* of the row; -1: no upstream */
	char version[DIGEST_HEX_SIZE];
	int needs_new_connection; /* the attempt is the breaker's probe */
	int eligible_count;	  /* rows that could be chosen */
	int is_affine;		  /* the affinity's upstream was chosen */
	double estimated_wait_us;
	const char *reason; /* set when index is -1 */
};

/* How much longer a wait may be for an upstream whose cache has the prefix. */
#define ROUTE_AFFINITY_BONUS_US (50 * 1000)
/* Maximum load for affinity, as a ratio of the mean load. */
#define ROUTE_AFFINITY_LOAD_RATIO_MAX 1.25
#define ROUTE_TYPICAL_CALL_TOKENS 32
/* How long route_choose_pair still counts an upstream that stopped serving. */
#define ROUTE_CLASS_RETENTION_US (5 * 1000 * 1000)
#define ROUTE_PLAIN_DEFAULT_SLOTS 16	 /* assumed for a plain service */
#define ROUTE_PLAIN_DEFAULT_CALL_US 2000 /* assumed time of its calls */
/* Weight of one answer in the moving average cache_hit_rate. */
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
				    const char *local, int n);

/* Internal to route.c, route-choose.c and route-pair.c. */
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
