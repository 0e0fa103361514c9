#include "calls/home.h"

#include <stdio.h>
#include <string.h>

#include "base/digest.h"
#include "member/instance.h"

/* Rank of an agent for a key's identity; the highest is the home. */
uint64_t home_rank(const char *identity, uint64_t place)
{
	return place_hash_string(identity, place);
}

/* Returns the index of the home among agents, -1 when there are none. */
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
 * Copies the agents of a service out of the board's view.  Returns their
 * number, which is above max when some did not fit.
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
		    !spec_covers(s->upstreams, s->upstream_count, in->upstream))
			continue;
		if (n++ >= max)
			continue;
		memset(&out[n - 1], 0, sizeof(out[n - 1]));
		snprintf(out[n - 1].id, sizeof(out->id), "%s", in->id);
		snprintf(out[n - 1].address, sizeof(out->address), "%s",
			 in->address);
		out[n - 1].boot = in->boot;
		out[n - 1].rank_seed = place_hash_string(in->id, 0);
		out[n - 1].last_contact = in->heard;
	}
	table_unlock(&b->instances);
	return n;
}

static struct home_agent *view_find(struct home_view *v, const char *id)
{
	int i;

	for (i = 0; i < v->count; i++)
		if (!strcmp(v->agents[i].id, id))
			return &v->agents[i];
	return NULL;
}

/* Removes the agent that has been away longest, if any is away. */
static int view_make_room(struct home_view *v)
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
	/* What it may have run is no longer known from here on. */
	if (v->tracked_since <= v->agents[oldest].last_present_at)
		v->tracked_since = v->agents[oldest].last_present_at + 1;
	v->agents[oldest] = v->agents[--v->count];
	return 0;
}

static void view_add(struct home_view *v, const struct home_agent *a,
		     apr_time_t now)
{
	struct home_agent *to = view_find(v, a->id);

	if (!to && v->count == HOME_AGENTS_MAX && view_make_room(v)) {
		v->has_overflowed = 1;
		return;
	}
	if (!to)
		to = &v->agents[v->count++];
	*to = *a;
	to->is_present = 1;
	to->last_present_at = now;
}

/* Notes which agents are in the view at now. */
void home_view_update(struct home_view *v, const struct home_agent *agents,
		      int count, apr_time_t now)
{
	int i;

	for (i = 0; i < v->count; i++)
		v->agents[i].is_present = 0;
	v->has_overflowed = 0;
	for (i = 0; i < count; i++)
		view_add(v, &agents[i], now);
}

/*
 * Returns 1 when no other agent can have run the key within its lifetime:
 * the view was followed for that long, no agent that outranks this one was
 * in it, and every other agent has been heard from, so that this one is not
 * cut off while the rest moved on.
 */
int home_is_exclusive(const struct home_view *v, const char *identity,
		      apr_interval_time_t lifetime, apr_time_t now)
{
	uint64_t own = home_rank(identity, place_hash_string(v->self, 0));
	apr_time_t from = now - lifetime - HOME_CONTACT_MAX_AGE_US;
	const struct home_agent *a;
	int i, present = 0;

	if (v->has_overflowed || v->tracked_since > now - lifetime)
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
		if ((a->is_present || a->last_present_at > from) &&
		    home_rank(identity, a->rank_seed) >= own)
			return 0;
	}
	return present;
}
