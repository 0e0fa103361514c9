#include "calls/home.h"

#include <stdio.h>
#include <string.h>

#include "base/digest.h"
#include "member/instance.h"

/*
 * Returns the rank of an agent for a key's identity; the agent with the
 * highest rank is the home.
 */
uint64_t home_rank(const char *identity, uint64_t rank_seed)
{
	return place_hash_string(identity, rank_seed);
}

/*
 * Returns the index of the home among agents, -1 when there are none.  Of two
 * agents with equal rank the one with the smaller id is the home.
 */
int home_pick(const struct home_agent *agents, int count, const char *identity)
{
	uint64_t rank, best_rank = 0;
	int i, best = -1;

	for (i = 0; i < count; i++) {
		rank = home_rank(identity, agents[i].rank_seed);
		if (best < 0 || rank > best_rank ||
		    (rank == best_rank &&
		     strcmp(agents[i].id, agents[best].id) < 0)) {
			best = i;
			best_rank = rank;
		}
	}
	return best;
}

/*
 * Copies the agents of a service from the board.  Returns their number, which
 * is above max when some did not fit.
 */
int home_list_agents(struct board *b, const struct service_spec *s,
		     struct home_agent *out, int max)
{
	struct handle cursor = HANDLE_NONE;
	struct instance *in;
	int n = 0;

	table_lock(&b->instances);
	while ((in = table_next(&b->instances, &cursor))) {
		if (in->role != ROLE_AGENT ||
		    !has_matching_pattern(s->upstreams, s->upstream_count,
					  in->upstream))
			continue;
		if (n++ >= max)
			continue;
		memset(&out[n - 1], 0, sizeof(out[n - 1]));
		snprintf(out[n - 1].id, sizeof(out->id), "%s", in->id);
		snprintf(out[n - 1].address, sizeof(out->address), "%s",
			 in->address);
		out[n - 1].boot = in->boot;
		out[n - 1].rank_seed = place_hash_string(in->id, 0);
		out[n - 1].last_contact = in->last_contact;
	}
	table_unlock(&b->instances);
	return n;
}

static struct home_agent *find_agent(struct home_view *v, const char *id)
{
	int i;

	for (i = 0; i < v->count; i++)
		if (!strcmp(v->agents[i].id, id))
			return &v->agents[i];
	return NULL;
}

/*
 * Removes the agent that has been absent longest.  Returns -1 if all agents
 * are present.
 */
static int evict_absent_agent(struct home_view *v)
{
	int i, oldest = -1;

	for (i = 0; i < v->count; i++) {
		if (!v->agents[i].is_present &&
		    (oldest < 0 || v->agents[i].last_present_at <
					   v->agents[oldest].last_present_at))
			oldest = i;
	}
	if (oldest < 0)
		return -1;
	/* What the agent ran up to then is no longer known. */
	if (v->tracked_since <= v->agents[oldest].last_present_at)
		v->tracked_since = v->agents[oldest].last_present_at + 1;
	v->agents[oldest] = v->agents[--v->count];
	return 0;
}

/*
 * Records a gap.  One that ends soon after the last one is joined with it.
 * Without room the oldest one is forgotten, and the view counts from its end.
 */
static void add_gap(struct home_view *v, apr_time_t start, apr_time_t end)
{
	struct home_gap *last =
		v->gap_count ? &v->gaps[v->gap_count - 1] : NULL;

	if (last && end - last->end <= HOME_CONTACT_MAX_AGE_US) {
		last->end = end;
		if (start < last->start)
			last->start = start;
		return;
	}
	if (v->gap_count == HOME_GAPS_MAX) {
		if (v->tracked_since < v->gaps[0].end)
			v->tracked_since = v->gaps[0].end;
		memmove(v->gaps, v->gaps + 1,
			(HOME_GAPS_MAX - 1) * sizeof(*v->gaps));
		v->gap_count--;
	}
	v->gaps[v->gap_count++] = (struct home_gap){ start, end };
}

/* Records the gap that ends with an agent's being in the view again, if any. */
static void find_gap(struct home_view *v, const struct home_agent *before,
		     const struct home_agent *a, apr_time_t now)
{
	if (!strcmp(a->id, v->self)) {
		if (before->last_present_at < v->updated_at)
			add_gap(v, before->last_present_at, now);
	} else if (a->last_contact - before->gap_since >
		   HOME_CONTACT_MAX_AGE_US) {
		add_gap(v, before->gap_since, now);
	}
}

/* Returns 1 when others may have run the keys of this agent in their lifetime. */
static int has_recent_gap(const struct home_view *v,
			  apr_interval_time_t lifetime, apr_time_t now)
{
	const struct home_gap *g;

	for (g = v->gaps; g < v->gaps + v->gap_count; g++)
		if (g->end - g->start >= lifetime &&
		    now - g->end < lifetime + HOME_CONTACT_MAX_AGE_US)
			return 1;
	return 0;
}

static void add_or_update_agent(struct home_view *v, const struct home_agent *a,
				apr_time_t now)
{
	struct home_agent *to = find_agent(v, a->id);
	apr_time_t gap_since = now;

	if (!to && v->count == HOME_AGENTS_MAX && evict_absent_agent(v)) {
		v->has_overflowed = 1;
		return;
	}
	if (to) {
		find_gap(v, to, a, now);
		gap_since = to->gap_since;
	} else {
		to = &v->agents[v->count++];
	}
	*to = *a;
	to->is_present = 1;
	to->last_present_at = now;
	to->gap_since = a->last_contact ? a->last_contact : gap_since;
}

/* Updates the view with the agents that the board lists at now. */
void home_view_update(struct home_view *v, const struct home_agent *agents,
		      int count, apr_time_t now)
{
	int i;

	for (i = 0; i < v->count; i++)
		v->agents[i].is_present = 0;
	v->has_overflowed = 0;
	for (i = 0; i < count; i++)
		add_or_update_agent(v, &agents[i], now);
	v->updated_at = now;
}

/*
 * Returns 1 when no other agent can have run the key within its lifetime (in
 * microseconds).  These conditions hold then: this agent is in the view; the
 * view was tracked for the lifetime; no gap as long as the lifetime ended within
 * it and HOME_CONTACT_MAX_AGE_US; no other agent of equal or higher rank
 * was in it then or in the HOME_CONTACT_MAX_AGE_US before; and every other
 * agent in the view sent a message within HOME_CONTACT_MAX_AGE_US, so that
 * this agent is not partitioned while the others chose another home.
 */
int home_is_exclusive(const struct home_view *v, const char *identity,
		      apr_interval_time_t lifetime, apr_time_t now)
{
	uint64_t own_rank = home_rank(identity, place_hash_string(v->self, 0));
	apr_time_t absent_since = now - lifetime - HOME_CONTACT_MAX_AGE_US;
	const struct home_agent *a;
	int i, present = 0;

	if (v->has_overflowed || v->tracked_since > now - lifetime ||
	    has_recent_gap(v, lifetime, now))
		return 0;
	for (i = 0; i < v->count; i++) {
		a = &v->agents[i];
		if (!strcmp(a->id, v->self)) {
			present = a->is_present;
			continue;
		}
		if (a->is_present &&
		    now - a->last_contact > HOME_CONTACT_MAX_AGE_US)
			return 0;
		if ((a->is_present || a->last_present_at > absent_since) &&
		    home_rank(identity, a->rank_seed) >= own_rank)
			return 0;
	}
	return present;
}
