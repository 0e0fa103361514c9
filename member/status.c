#include <stdio.h>
#include <string.h>

#include "base/clock.h"
#include "member/component.h"

static json_t *age_json(apr_time_t at, apr_time_t now)
{
	return json_integer(at ? (now - at) / 1000 : -1);
}

static json_t *instance_json(const struct instance *row, apr_time_t now)
{
	char boot[20];

	snprintf(boot, sizeof(boot), "%016llx", (unsigned long long)row->boot);
	return json_pack("{s:s,s:s,s:s,s:s,s:s,s:s,s:b,s:o}", "id", row->id,
			 "role", row->role == ROLE_AGENT ? "agent" : "entry",
			 "data_center", row->data_center, "address",
			 row->address, "state", instance_state_name(row->state),
			 "boot", boot, "listed", row->is_listed, "heard_ms",
			 age_json(row->last_contact, now));
}

static json_t *instances_json(struct table *t, apr_time_t now)
{
	struct handle at = HANDLE_NONE;
	json_t *list = json_array();
	struct instance *row;

	table_lock(t);
	while ((row = table_next(t, &at)))
		json_array_append_new(list, instance_json(row, now));
	table_unlock(t);
	return list;
}

static json_t *report_json(const struct upstream_report *u, apr_time_t now)
{
	return json_pack("{s:s,s:s,s:s,s:b,s:b,s:i,s:i,s:i,s:i,s:o}",
			 "instance", u->instance, "upstream", u->upstream,
			 "data_center", u->data_center, "draining",
			 u->is_draining, "reachable", u->is_reachable,
			 "running", u->running, "waiting", u->waiting, "slots",
			 u->slots, "models", u->model_count, "heard_ms",
			 age_json(u->received_at, now));
}

static json_t *reports_json(struct table *t, apr_time_t now)
{
	struct handle at = HANDLE_NONE;
	json_t *list = json_array();
	struct upstream_report *row;

	table_lock(t);
	while ((row = table_next(t, &at)))
		json_array_append_new(list, report_json(row, now));
	table_unlock(t);
	return list;
}

/* Returns the status section "members"; ages are in ms, -1 for never. */
json_t *member_status(void *arg)
{
	struct member *m = arg;
	struct board *b = &m->node->board;
	apr_time_t now = clock_now();
	json_t *o;

	pthread_mutex_lock(&m->mutex);
	o = json_pack("{s:i,s:i,s:i,s:i,s:I}", "agents_near",
		      m->local_agent_count, "entries_near",
		      m->local_entry_count, "subset", m->target_count,
		      "subset_near", m->subset_local_count, "report_period_ms",
		      (json_int_t)(m->report_period / 1000));
	pthread_mutex_unlock(&m->mutex);
	json_object_set_new(o, "instances", instances_json(&b->instances, now));
	json_object_set_new(o, "upstreams", reports_json(&b->upstreams, now));
	return o;
}
