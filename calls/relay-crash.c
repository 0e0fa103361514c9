#include <stdio.h>
#include <string.h>

#include "base/clock.h"
#include "calls/entry-internal.h"

/*
 * Limits a request that crashes upstreams to two upstreams in a data center.
 * A request runs only at its pair of upstreams until it has completed once.
 */

/* Returns the fingerprint's slot and sets *prefix to its first 8 bytes. */
static uint64_t *find_completed_slot(struct relay *r, uint64_t *prefix)
{
	memcpy(prefix, r->fingerprint.bytes, sizeof(*prefix));
	return &r->e->completed_fingerprints[*prefix % ENTRY_COMPLETED_SLOTS];
}

static int has_completed_before(struct relay *r)
{
	uint64_t prefix, *slot = find_completed_slot(r, &prefix);

	return __atomic_load_n(slot, __ATOMIC_RELAXED) == prefix;
}

/* Returns -1 with the refusal if the request crashed two upstreams. */
int relay_check_quarantine(struct relay *r, apr_time_t now, struct refusal *why)
{
	int retry_after_s = 0;

	if (!crash_is_quarantined(r->e->crashes, &r->fingerprint, now,
				  &retry_after_s))
		return 0;
	refusal_set(why, 503, OUTCOME_NOT_RUN, AGAIN_SAME, "crashing-request",
		    "route", "two upstreams died while they ran this request");
	why->retry_after_ms = retry_after_s * 1000;
	return -1;
}

/*
 * Chooses an upstream of the request's pair in one data center.  Returns -1 if
 * neither is available.
 */
static int choose_from_pair(struct relay *r, struct route_query *q,
			    const char *data_center, apr_time_t now,
			    struct route_choice *out)
{
	struct entry *e = r->e;
	const char *pair[2];

	q->data_center = data_center;
	q->allowed = pair;
	q->allowed_count =
		route_choose_pair(&e->routes, r->class, &r->fingerprint,
				  r->affinity, data_center, pair);
	if (!q->allowed_count) {
		out->index = -1;
		out->reason = "no-upstream";
		return -1;
	}
	route_choose(&e->routes, q, now, &e->random, out);
	return out->index < 0 ? -1 : 0;
}

/*
 * Chooses any upstream for a request that has completed before and is not
 * suspected; else one of its pair in the local data center, or in a remote one
 * if no local one is available.  The caller holds the entry's mutex.
 */
void relay_choose_upstream(struct relay *r, struct route_query *q,
			   apr_time_t now, struct route_choice *out)
{
	const char *local = r->e->n->settings.data_center, *remote;
	struct route_choice remote_choice;
	int n;

	if (has_completed_before(r) &&
	    crash_verdict(r->e->crashes, &r->fingerprint, now, NULL) ==
		    CRASH_CLEAR) {
		route_choose(&r->e->routes, q, now, &r->e->random, out);
		return;
	}
	if (!choose_from_pair(r, q, local, now, out))
		return;
	for (n = 0; (remote = route_other_data_center(&r->e->routes, local, n));
	     n++) {
		if (!choose_from_pair(r, q, remote, now, &remote_choice)) {
			*out = remote_choice;
			return;
		}
	}
}

/*
 * Returns 1 if the request may run at an upstream now; relay_crash_end_run
 * must follow.
 */
int relay_crash_begin_run(struct relay *r, const char *upstream, apr_time_t now)
{
	if (!crash_begin_run(r->e->crashes, &r->fingerprint, upstream, now,
			     NULL))
		return 0;
	snprintf(r->crash_run_upstream, sizeof(r->crash_run_upstream), "%s",
		 upstream);
	return 1;
}

/* Ends the run that relay_crash_begin_run began, if any. */
void relay_crash_end_run(struct relay *r, int finished)
{
	uint64_t prefix, *slot = find_completed_slot(r, &prefix);

	if (!*r->crash_run_upstream)
		return;
	crash_end_run(r->e->crashes, &r->fingerprint, r->crash_run_upstream,
		      finished, clock_now());
	r->crash_run_upstream[0] = '\0';
	if (finished)
		__atomic_store_n(slot, prefix, __ATOMIC_RELAXED);
}
