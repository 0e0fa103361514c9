#include "forward/crash-watch.h"

#include <stdlib.h>
#include <string.h>

/* Time between two checks of a port. */
#define CHECK_INTERVAL_US (150 * 1000)

static int is_same(const struct incarnation *a, const struct incarnation *b)
{
	return a->started_ms == b->started_ms &&
	       !strcmp(a->upstream, b->upstream) &&
	       !strcmp(a->address, b->address);
}

static void ring_init(struct ended_ring *r)
{
	r->next = 0;
	r->items = calloc(CRASH_WATCH_ATTEMPTS_MAX, sizeof(*r->items));
	if (!r->items)
		abort();
}

/* Adds an attempt in the place of the oldest one. */
static void ring_add(struct ended_ring *r, const struct ended_attempt *a)
{
	r->items[r->next++ % CRASH_WATCH_ATTEMPTS_MAX] = *a;
}

/* Prepares an empty watch. */
void crash_watch_init(struct crash_watch *w)
{
	memset(w, 0, sizeof(*w));
	ring_init(&w->broken);
	ring_init(&w->unmarked);
}

/* Frees the rings. */
void crash_watch_destroy(struct crash_watch *w)
{
	free(w->broken.items);
	free(w->unmarked.items);
}

/* Returns 1 when there is nothing to check, to take or to record. */
int crash_watch_is_idle(const struct crash_watch *w, apr_time_t now)
{
	return !w->checks_used &&
	       (!w->last_ended_at ||
		now - w->last_ended_at >
			CRASH_WATCH_BEFORE_US + CRASH_WATCH_AFTER_US);
}

static struct proved_death *find_death(struct crash_watch *w,
				       const struct incarnation *at)
{
	int i;

	for (i = 0; i < CRASH_WATCH_DEATHS_MAX; i++)
		if (*w->deaths[i].at.upstream && is_same(&w->deaths[i].at, at))
			return &w->deaths[i];
	return NULL;
}

/*
 * Returns 1 when nothing belongs to a death any more. Its process may have been
 * alive, and end later.
 */
static int is_over(const struct proved_death *d, apr_time_t now)
{
	return now - d->proved_at > 2 * CRASH_WATCH_AFTER_US;
}

/* Returns 1 if an attempt that ended then belongs to the death. */
static int is_part_of(const struct proved_death *d,
		      const struct ended_attempt *a)
{
	return is_same(&d->at, &a->at) &&
	       a->run.broken_at >= d->proved_at - CRASH_WATCH_BEFORE_US &&
	       a->run.broken_at <= d->proved_at + CRASH_WATCH_AFTER_US;
}

/*
 * Has the upstream's port checked, several times after each break: it may be
 * closed a little later than the connections.
 */
static void start_check(struct crash_watch *w, const struct ended_attempt *a)
{
	struct port_check *c, *unused = NULL;
	int i;

	for (i = 0; i < CRASH_WATCH_CHECKS_MAX; i++) {
		c = &w->checks[i];
		if (*c->at.upstream && is_same(&c->at, &a->at)) {
			c->tries_left = CRASH_WATCH_TRIES;
			return;
		}
		if (!*c->at.upstream && !unused)
			unused = c;
	}
	if (!unused)
		return;
	memset(unused, 0, sizeof(*unused));
	unused->at = a->at;
	unused->next_at = a->run.broken_at;
	unused->tries_left = CRASH_WATCH_TRIES;
	w->checks_used++;
}

/* Records an attempt whose connection broke. */
void crash_watch_add_broken(struct crash_watch *w,
			    const struct ended_attempt *a)
{
	const struct proved_death *d = find_death(w, &a->at);

	ring_add(&w->broken, a);
	w->last_ended_at = a->run.broken_at;
	if (!d || is_over(d, a->run.broken_at))
		start_check(w, a);
}

/* Records a complete answer whose end only its connection marked. */
void crash_watch_add_unmarked(struct crash_watch *w,
			      const struct ended_attempt *a)
{
	ring_add(&w->unmarked, a);
	w->last_ended_at = a->run.broken_at;
}

/* Records that the process has ended, as far as this was not known. */
void crash_watch_prove(struct crash_watch *w, const struct incarnation *at,
		       apr_time_t now)
{
	struct proved_death *d;

	d = find_death(w, at);
	if (d && !is_over(d, now))
		return;
	if (!d)
		d = &w->deaths[w->next_death++ % CRASH_WATCH_DEATHS_MAX];
	d->at = *at;
	d->proved_at = now;
}

/* Moves the runs of the death from a ring. Returns their number. */
static int take_runs(struct ended_ring *r, const struct proved_death *d,
		     struct crash_run *runs, int max)
{
	int i, count = 0;

	for (i = 0; i < CRASH_WATCH_ATTEMPTS_MAX && count < max; i++) {
		struct ended_attempt *a = &r->items[i];

		if (!*a->at.upstream || !is_part_of(d, a))
			continue;
		runs[count++] = a->run;
		a->at.upstream[0] = '\0';
	}
	return count;
}

/*
 * Takes up to max runs of a death that were not taken yet. Returns their
 * number, 0 when there are none.
 */
int crash_watch_take_death(struct crash_watch *w, apr_time_t now,
			   struct proved_death *out, struct crash_run *runs,
			   int max)
{
	int i, count;

	for (i = 0; i < CRASH_WATCH_DEATHS_MAX; i++) {
		struct proved_death *d = &w->deaths[i];

		if (!*d->at.upstream || is_over(d, now))
			continue;
		count = take_runs(&w->broken, d, runs, max);
		count += take_runs(&w->unmarked, d, runs + count, max - count);
		if (!count)
			continue;
		*out = *d;
		return count;
	}
	return 0;
}

/*
 * Takes up to max answers whose upstream was alive after their end, as
 * get_contact tells when the last byte of that process arrived. Returns their
 * number. Answers of which this is not known in time are dropped. A process
 * that dies and is back under its id within that time is not noticed, unless a
 * connection of another request broke.
 */
int crash_watch_take_sound(struct crash_watch *w,
			   crash_watch_contact get_contact, void *arg,
			   apr_time_t now, struct crash_run *out, int max)
{
	int i, count = 0;

	for (i = 0; i < CRASH_WATCH_ATTEMPTS_MAX && count < max; i++) {
		struct ended_attempt *a = &w->unmarked.items[i];
		int is_alive;

		if (!*a->at.upstream)
			continue;
		is_alive = get_contact(arg, &a->at) >
			   a->run.broken_at + CRASH_WATCH_CONTACT_US;
		if (is_alive)
			out[count++] = a->run;
		if (is_alive || now - a->run.broken_at > CRASH_WATCH_AFTER_US)
			a->at.upstream[0] = '\0';
	}
	return count;
}

/*
 * Lists the upstreams of broken attempts that may still become part of a
 * death. Returns their number.
 */
int crash_watch_list_unproved(const struct crash_watch *w, apr_time_t now,
			      struct incarnation *out, int max)
{
	int i, j, count = 0;

	for (i = 0; i < CRASH_WATCH_ATTEMPTS_MAX && count < max; i++) {
		const struct ended_attempt *a = &w->broken.items[i];

		if (!*a->at.upstream ||
		    now - a->run.broken_at > CRASH_WATCH_BEFORE_US)
			continue;
		for (j = 0; j < count && !is_same(&out[j], &a->at); j++)
			;
		if (j == count)
			out[count++] = a->at;
	}
	return count;
}

/*
 * Returns the index of the check that is due first, and marks it as running; -1
 * when none is due or enough are running.
 */
int crash_watch_next_check(struct crash_watch *w, apr_time_t now)
{
	int i, best = -1, running = 0;

	for (i = 0; i < CRASH_WATCH_CHECKS_MAX; i++) {
		const struct port_check *c = &w->checks[i];

		running += c->is_running;
		if (!*c->at.upstream || c->is_running || now < c->next_at)
			continue;
		if (best < 0 || c->next_at < w->checks[best].next_at)
			best = i;
	}
	if (running >= CRASH_WATCH_RUNNING_MAX || best < 0)
		return -1;
	w->checks[best].is_running = 1;
	w->checks[best].tries_left--;
	return best;
}

/* Records the result of a check: its upstream's port refused connections. */
void crash_watch_end_check(struct crash_watch *w, int check, int is_refused,
			   apr_time_t now)
{
	struct port_check *c = &w->checks[check];

	c->is_running = 0;
	c->next_at = now + CHECK_INTERVAL_US;
	if (is_refused)
		crash_watch_prove(w, &c->at, now);
	else if (c->tries_left > 0)
		return;
	c->at.upstream[0] = '\0';
	w->checks_used--;
}
