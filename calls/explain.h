#ifndef CALLS_EXPLAIN_H
#define CALLS_EXPLAIN_H

#include <apr_time.h>
#include <jansson.h>
#include <pthread.h>

/*
 * Ring of the most recent calls of an entry, with the routing decisions of
 * each, for operators.
 */

#define EXPLAIN_CALLS_MAX 4096
#define EXPLAIN_STEPS_MAX 8
#define EXPLAIN_STEP_SIZE 96

struct explain_call {
	char id[129];
	char account[64];
	char target[96];
	char outcome[12];
	char reason[48];
	apr_time_t started_at;
	apr_interval_time_t duration_us;
	int step_count; /* including steps that were not stored */
	struct {
		int at_ms; /* since started_at */
		char text[EXPLAIN_STEP_SIZE];
	} steps[EXPLAIN_STEPS_MAX];
};

struct explain_ring {
	pthread_mutex_t mutex; /* no other lock is taken under it */
	struct explain_call *calls;
	unsigned added_count;
};

void explain_init(struct explain_ring *r);
void explain_add_step(struct explain_call *c, apr_time_t now, const char *fmt,
		      ...) __attribute__((format(printf, 3, 4)));
void explain_add_call(struct explain_ring *r, const struct explain_call *c);
json_t *explain_find(struct explain_ring *r, const char *id);

#endif
