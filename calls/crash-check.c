#include <string.h>

#include "base/metric.h"
#include "calls/crash-table.h"

/* Verdicts on requests by their items, and the trial after a blame. */

#define US_PER_MS 1000

/* Returns 1 after the end of a blame unless its trials are used up. */
int crash_is_trial_due(const struct crash_row *r, apr_time_t now)
{
	return crash_is_blamed(r) && now >= r->refused_until &&
	       r->failed_trials < CRASH_TRIALS_MAX;
}

/* Returns 1 if this entry is the one that may try the item again. */
static int is_trial_entry(const struct crash_list *c, const unsigned char *key)
{
	uint64_t own = place_hash(key, CRASH_KEY_SIZE, c->self);
	int i;

	for (i = 0; i < c->entry_count; i++)
		if (c->entries[i] != c->self &&
		    place_hash(key, CRASH_KEY_SIZE, c->entries[i]) > own)
			return 0;
	return 1;
}

static int can_try(const struct crash_list *c, const struct crash_row *r,
		   apr_time_t now)
{
	return crash_is_trial_due(r, now) && is_trial_entry(c, r->key) &&
	       (!r->trial_at || now - r->trial_at > CRASH_TRIAL_US);
}

static int compute_retry_after_ms(const struct crash_row *r, apr_time_t now)
{
	apr_interval_time_t left = r->refused_until - now;

	if (r->failed_trials >= CRASH_TRIALS_MAX && left < CRASH_QUARANTINE_US)
		left = CRASH_QUARANTINE_US;
	if (left < CRASH_TRIAL_US)
		left = CRASH_TRIAL_US;
	return (int)(left / US_PER_MS);
}

static void describe(struct crash_finding *out, const struct crash_items *s,
		     int i)
{
	memset(out, 0, sizeof(*out));
	out->kind = s->kinds[i];
	out->key = s->keys[i];
}

/*
 * Returns whether a request with these items may run now, and why not, or what
 * it is suspected of, in *out.  After the end of a blame one run in the fleet
 * is let through as a trial: the result is then CRASH_SUSPECT with is_trial,
 * and the caller must run it at most once.  Without out no trial is given.
 */
enum crash_verdict crash_check_items(struct crash_list *c,
				     const struct crash_items *s,
				     apr_time_t now, struct crash_finding *out)
{
	struct crash_row *rows[CRASH_ITEMS_MAX], *r;
	enum crash_verdict v = CRASH_CLEAR;
	struct handle h;
	int i, trial = 0;

	if (out)
		memset(out, 0, sizeof(*out));
	if (!__atomic_load_n(&c->row_count, __ATOMIC_RELAXED))
		return CRASH_CLEAR;
	table_lock(&c->rows);
	for (i = 0; i < s->count; i++) {
		r = rows[i] = crash_find(c, s->keys[i].bytes, &h);
		if (!r)
			continue;
		if (crash_is_blamed(r) && !(out && can_try(c, r, now))) {
			v = CRASH_QUARANTINED;
			r->refused_at = now;
			if (out) {
				describe(out, s, i);
				out->retry_after_ms =
					compute_retry_after_ms(r, now);
			}
			metric_count("crash_refused", NULL, 1);
			break;
		}
		trial |= crash_is_blamed(r);
		if (v == CRASH_CLEAR &&
		    (crash_is_blamed(r) || crash_is_suspect(r, now))) {
			v = CRASH_SUSPECT;
			if (out)
				describe(out, s, i);
		}
	}
	if (v == CRASH_SUSPECT && trial) {
		out->is_trial = 1;
		for (i = 0; i < s->count; i++)
			if (rows[i] && crash_is_blamed(rows[i]))
				rows[i]->trial_at = now;
	}
	table_unlock(&c->rows);
	return v;
}

/*
 * Returns 1 if a run with these items that is under way must end: one of them
 * was blamed since.  A trial goes on.
 */
int crash_is_refused(struct crash_list *c, const struct crash_items *s,
		     apr_time_t now)
{
	struct crash_row *r;
	struct handle h;
	int i, refused = 0;

	if (!__atomic_load_n(&c->row_count, __ATOMIC_RELAXED))
		return 0;
	table_lock(&c->rows);
	for (i = 0; i < s->count && !refused; i++) {
		r = crash_find(c, s->keys[i].bytes, &h);
		refused = r && crash_is_blamed(r) && now < r->refused_until;
	}
	table_unlock(&c->rows);
	return refused;
}

/*
 * Returns a number that grows with each blame, so that a caller can tell when
 * to ask crash_is_refused for its runs.  Takes no lock.
 */
uint32_t crash_count_blames(struct crash_list *c)
{
	return __atomic_load_n(&c->blames, __ATOMIC_RELAXED);
}
