#include <stdio.h>
#include <string.h>

#include "calls/entry-internal.h"

/*
 * Records which agent holds the KV cache of a session, and whether calls found
 * their prefix cached.
 */

static struct entry_session *find_session_slot(struct relay *r)
{
	return &r->e->sessions[r->affinity % ENTRY_SESSION_SLOTS];
}

/*
 * Has the agent fetch the session's KV cache if the agent that holds it is
 * draining or absent.  Otherwise that one may be chosen again, and the cache
 * stays there.  The caller holds the entry's mutex.
 */
void relay_set_kv_source(struct relay *r, const struct route_upstream *to)
{
	struct entry_session *s = find_session_slot(r);
	struct route_upstream *from;

	r->hop.kv_source[0] = '\0';
	if (!r->has_session || s->affinity != r->affinity ||
	    !strcmp(s->agent, to->instance))
		return;
	from = route_find(&r->e->routes, s->agent);
	if (from && (from->is_draining || !from->is_present))
		snprintf(r->hop.kv_source, sizeof(r->hop.kv_source), "%s",
			 from->address);
}

/* Records which agent ran the session and whether its prefix was cached. */
void relay_record_session(struct relay *r)
{
	struct entry_session *s = find_session_slot(r);
	struct route_upstream *u;

	if (!r->affinity)
		return;
	pthread_mutex_lock(&r->e->mutex);
	if (r->has_session) {
		s->affinity = r->affinity;
		snprintf(s->agent, sizeof(s->agent), "%s", r->agent);
	}
	u = route_find(&r->e->routes, r->agent);
	if (u && r->cache_result >= 0 && r->is_affine)
		route_record_cache_result(u, r->cache_result);
	pthread_mutex_unlock(&r->e->mutex);
}
