#ifndef FORWARD_NOTICE_H
#define FORWARD_NOTICE_H

#include <apr_time.h>
#include <stdint.h>

#include "base/settings.h"

/*
 * What upstreams announced to this entry in their answers: that they leave, or
 * that they want no requests for a while. Kept apart from the rows of upstreams,
 * since a notice stays in force when the platform's list drops its upstream and
 * names it again. The functions read no clock.
 */

#define NOTICES_MAX 1024

/* Longest pause that an upstream may ask for. */
#define NOTICE_PAUSE_MAX_US (300 * APR_USEC_PER_SEC)

struct notice {
	char id[SETTINGS_NAME_SIZE];
	/* Latest start of its process, as far as known: Unix time in ms. */
	int64_t started_before_ms;
	int is_leaving;
	apr_time_t paused_until;
	/* Requests a second that it takes from all entries, if is_limited. */
	int is_limited;
	double limit_per_s;
	apr_time_t limited_since;
	apr_time_t updated_at;
};

/* When a notice arrived. */
struct notice_time {
	apr_time_t now;
	int64_t unix_ms; /* time of day, to compare with starts of processes */
};

struct notice_table {
	struct notice *rows;
	int count;
};

void notice_table_init(struct notice_table *t);
void notice_table_destroy(struct notice_table *t);
const struct notice *notice_find(const struct notice_table *t, const char *id,
				 int64_t started_ms);
void notice_record_leaving(struct notice_table *t, const char *id,
			   int64_t started_ms, const struct notice_time *at);
void notice_record_pause(struct notice_table *t, const char *id,
			 int64_t started_ms, double pause_s,
			 const struct notice_time *at);

int notice_record_limit(struct notice_table *t, const char *id,
			int64_t started_ms, double limit_per_s,
			const struct notice_time *at);
int notice_end_limit(struct notice_table *t, const char *id, int64_t started_ms,
		     apr_time_t asked_at);

#endif
