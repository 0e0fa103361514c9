#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/digest.h"
#include "member/component.h"

/*
 * Records an entry that requested a report, so that it can be notified at
 * once when this agent starts to drain.  The oldest record is replaced when
 * there is no room.
 */
static void record_report_reader(struct member *m, const char *address,
				 apr_time_t now)
{
	struct report_reader *slot = &m->report_readers[0];
	int i;

	pthread_mutex_lock(&m->mutex);
	for (i = 0; i < REPORT_READERS_MAX; i++) {
		struct report_reader *reader = &m->report_readers[i];

		if (!strcmp(reader->address, address)) {
			slot = reader;
			break;
		}
		if (reader->requested_at < slot->requested_at)
			slot = reader;
	}
	snprintf(slot->address, sizeof(slot->address), "%s", address);
	slot->requested_at = now;
	pthread_mutex_unlock(&m->mutex);
}

static void fill_models(member_report *r, const struct upstream_report *u)
{
	int i;

	r->has_models = 1;
	r->models.models_val = calloc(REPORT_MODELS_MAX, sizeof(member_model));
	if (!r->models.models_val)
		abort();
	r->models.models_len = (u_int)u->model_count;
	for (i = 0; i < u->model_count; i++) {
		r->models.models_val[i].name = strdup(u->models[i].name);
		r->models.models_val[i].manifest = strdup(u->models[i].version);
	}
}

static uint64_t hash_models(const struct upstream_report *u)
{
	uint64_t h = 1; /* 0 stands for no models received */
	int i;

	for (i = 0; i < u->model_count; i++) {
		h = place_hash_string(u->models[i].name, h);
		h = place_hash_string(u->models[i].version, h);
	}
	return h ? h : 1;
}

static int get_load_age_ms(const struct upstream_report *u, apr_time_t now)
{
	if (!u->received_at || now < u->received_at)
		return u->load_age_ms;
	return u->load_age_ms + (int)((now - u->received_at) / 1000);
}

/*
 * Answers an entry's request for a report from the agent's own row.  The
 * models are included only when their hash differs from the one requested.
 * Returns -1 on an entry or without a row.
 */
int report_serve(void *arg, const struct rpc_peer *from, const void *request,
		 void *reply)
{
	struct member *m = arg;
	const member_report_request *req = request;
	member_report *r = reply;
	struct table *t = &m->node->board.upstreams;
	apr_time_t now = clock_now();
	struct upstream_report *row, u;

	if (m->node->role != ROLE_AGENT)
		return -1;
	table_lock(t);
	row = table_get(t, m->own_report);
	if (row)
		u = *row;
	table_unlock(t);
	if (!row)
		return -1;
	r->id = strdup(u.instance);
	r->upstream = strdup(u.upstream);
	r->boot = u.boot;
	r->kind = u.kind;
	r->is_draining = u.is_draining || node_draining(m->node);
	r->is_reachable = u.is_reachable;
	r->running = u.running;
	r->waiting = u.waiting;
	r->slots = u.slots;
	r->token_us = u.token_us;
	r->load_age_ms = get_load_age_ms(&u, now);
	r->models_hash = hash_models(&u);
	if (r->models_hash != req->models_hash)
		fill_models(r, &u);
	record_report_reader(m, from->address, now);
	return 0;
}
