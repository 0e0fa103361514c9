#include "forward/notice.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Prepares an empty table. */
void notice_table_init(struct notice_table *t)
{
	t->count = 0;
	t->rows = calloc(NOTICES_MAX, sizeof(*t->rows));
	if (!t->rows)
		abort();
}

/* Frees the rows. */
void notice_table_destroy(struct notice_table *t)
{
	free(t->rows);
	t->rows = NULL;
}

static struct notice *find_row(const struct notice_table *t, const char *id)
{
	int i;

	for (i = 0; i < t->count; i++)
		if (!strcmp(t->rows[i].id, id))
			return &t->rows[i];
	return NULL;
}

/*
 * Returns 1 when started_ms is that of a later process than the one that spoke.
 * An unknown start, 0, proves no new process.
 */
static int is_later_process(const struct notice *n, int64_t started_ms)
{
	return started_ms > n->started_before_ms;
}

/*
 * Returns the notice that binds requests to the process of an upstream that
 * started at started_ms (Unix time, 0: unknown), or NULL. An older list names an
 * earlier process, whose successor has the same id and would get the requests.
 */
const struct notice *notice_find(const struct notice_table *t, const char *id,
				 int64_t started_ms)
{
	const struct notice *n = find_row(t, id);

	return n && !is_later_process(n, started_ms) ? n : NULL;
}

/* Returns a free row, or that of the notice which is the oldest. */
static struct notice *allocate_row(struct notice_table *t)
{
	int i, oldest = 0;

	if (t->count < NOTICES_MAX)
		return &t->rows[t->count++];
	for (i = 1; i < t->count; i++)
		if (t->rows[i].updated_at < t->rows[oldest].updated_at)
			oldest = i;
	return &t->rows[oldest];
}

/*
 * Returns the row of a process, empty when it had none. The process that spoke
 * may have started after started_ms, the start in a list that is late, but not
 * after it spoke.
 */
static struct notice *find_or_add(struct notice_table *t, const char *id,
				  int64_t started_ms,
				  const struct notice_time *at)
{
	struct notice *n = find_row(t, id);

	if (!n || is_later_process(n, started_ms)) {
		if (!n)
			n = allocate_row(t);
		memset(n, 0, sizeof(*n));
		snprintf(n->id, sizeof(n->id), "%s", id);
		n->started_before_ms = started_ms;
	}
	if (n->started_before_ms < at->unix_ms)
		n->started_before_ms = at->unix_ms;
	n->updated_at = at->now;
	return n;
}

/* Records that the process of an upstream announced its end. */
void notice_record_leaving(struct notice_table *t, const char *id,
			   int64_t started_ms, const struct notice_time *at)
{
	find_or_add(t, id, started_ms, at)->is_leaving = 1;
}

/*
 * Records that the process of an upstream asked for a pause of pause_s seconds.
 * The latest end of several pauses counts.
 */
void notice_record_pause(struct notice_table *t, const char *id,
			 int64_t started_ms, double pause_s,
			 const struct notice_time *at)
{
	struct notice *n = find_or_add(t, id, started_ms, at);
	double us = pause_s * APR_USEC_PER_SEC;
	apr_time_t until;

	if (us > NOTICE_PAUSE_MAX_US)
		us = NOTICE_PAUSE_MAX_US;
	until = at->now + (apr_interval_time_t)us;
	if (until > n->paused_until)
		n->paused_until = until;
}

/*
 * Records the limit that the process of an upstream names. Returns 1 when it is
 * a new one or lower than before.
 */
int notice_record_limit(struct notice_table *t, const char *id,
			int64_t started_ms, double limit_per_s,
			const struct notice_time *at)
{
	struct notice *n = find_or_add(t, id, started_ms, at);
	int is_stricter = !n->is_limited || limit_per_s < n->limit_per_s;

	if (!n->is_limited)
		n->limited_since = at->now;
	n->is_limited = 1;
	n->limit_per_s = limit_per_s;
	return is_stricter;
}

/*
 * Ends a limit with an answer that names none, if its request was sent after
 * the limit was named: answers on other connections may overtake it. Returns 1
 * when there was one.
 */
int notice_end_limit(struct notice_table *t, const char *id, int64_t started_ms,
		     apr_time_t asked_at)
{
	struct notice *n = find_row(t, id);

	if (!n || is_later_process(n, started_ms) || !n->is_limited ||
	    asked_at <= n->limited_since)
		return 0;
	n->is_limited = 0;
	return 1;
}
