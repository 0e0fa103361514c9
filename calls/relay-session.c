#include <stdio.h>
#include <string.h>

#include "calls/entry-internal.h"

/*
 * Sessions: which upstream holds a session's KV cache, and what the caches
 * were seen to hold.
 */

static struct entry_session *session_slot(struct relay *r)
{
	return &r->e->sessions[r->affinity % ENTRY_SESSION_SLOTS];
}

/*
 * Has the agent fetch the session's KV cache when the upstream that holds it
 * is leaving.  While that one stays, it may be chosen again, so nothing is
 * moved.  The entry's mutex is held.
 */
void relay_set_kv_source(struct relay *r, const struct route_upstream *to)
{
	struct entry_session *s = session_slot(r);
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

/* Notes where the session ran, and whether the cache had its prefix. */
void relay_record_session(struct relay *r)
{
	struct entry_session *s = session_slot(r);
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
