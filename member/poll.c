#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/metric.h"
#include "config/document.h"
#include "member/component.h"
#include "member/merge.h"

/*
 * Reports are asked for every so often, slower with more exchanges for one
 * process, on either side, than its share of the control traffic allows.
 */
#define REPORT_PERIOD_MIN_US (250 * 1000)
#define REPORT_PERIOD_MAX_US (2 * APR_USEC_PER_SEC)
#define REPORT_COST_US (75 * 1000) /* period for each agent asked */
#define FAR_PERIOD_US (2 * APR_USEC_PER_SEC)
#define SILENT_PERIOD_US APR_USEC_PER_SEC /* of one that doesn't answer */

struct poll_job {
	struct job job;
	struct member *member;
	struct target target; /* as it was when the job was made */
};

/* What a subset is chosen from. */
struct fleet {
	struct subset_agent *agents;
	int agent_count;
	int near_agents;
	int entries; /* live ones of this data centre, self included */
	int rank;    /* of this one among them */
};

static void agent_collect(struct fleet *f, const struct instance *row, int near)
{
	struct subset_agent *a;

	if (f->agent_count == SUBSET_AGENTS_MAX)
		return;
	a = &f->agents[f->agent_count++];
	memcpy(a->id, row->id, sizeof(a->id));
	memcpy(a->upstream, row->upstream, sizeof(a->upstream));
	memcpy(a->data_center, row->data_center, sizeof(a->data_center));
	memcpy(a->address, row->address, sizeof(a->address));
	a->is_local = near;
	subset_agent_hash(a);
	f->near_agents += near;
}

/* Entries are ranked by the hash of their ids. */
static int entry_before(const char *a, const char *b)
{
	uint64_t x = place_hash_string(a, 0), y = place_hash_string(b, 0);

	return x != y ? x < y : strcmp(a, b) < 0;
}

static void fleet_collect(struct member *m, struct fleet *f)
{
	const struct settings *s = &m->node->settings;
	struct table *t = &m->node->board.instances;
	struct handle at = HANDLE_NONE;
	struct instance *row;

	memset(f, 0, sizeof(*f));
	f->entries = 1;
	f->agents = calloc(SUBSET_AGENTS_MAX, sizeof(*f->agents));
	if (!f->agents)
		abort();
	table_lock(t);
	while ((row = table_next(t, &at))) {
		int near = !strcmp(row->data_center, s->data_center);

		/* A suspect may be back in a moment: its place is kept. */
		if (row->state != INSTANCE_LIVE &&
		    row->state != INSTANCE_SUSPECT)
			continue;
		if (row->role == ROLE_AGENT) {
			agent_collect(f, row, near);
		} else if (near && strcmp(row->id, s->instance)) {
			f->entries++;
			f->rank += entry_before(row->id, s->instance);
		}
	}
	table_unlock(t);
}

static const struct target *target_find(const struct target *list, int count,
					const struct subset_agent *a)
{
	int i;

	for (i = 0; i < count; i++) {
		if (!strcmp(list[i].id, a->id) &&
		    !strcmp(list[i].address, a->address))
			return &list[i];
	}
	return NULL;
}

/* Replaces the targets, keeping what is known of those that stay. */
static void targets_replace(struct member *m, const struct fleet *f,
			    apr_time_t now)
{
	struct target *old = malloc(sizeof(m->targets));
	const struct target *known;
	int i, old_count;

	if (!old)
		abort();
	pthread_mutex_lock(&m->mutex);
	memcpy(old, m->targets, sizeof(m->targets));
	old_count = m->target_count;
	m->target_count = 0;
	m->subset_near = 0;
	for (i = 0; i < f->agent_count && m->target_count < TARGETS_MAX; i++) {
		const struct subset_agent *a = &f->agents[i];
		struct target *t = &m->targets[m->target_count];

		if (a->selection == SUBSET_NOT_SELECTED)
			continue;
		m->target_count++;
		known = target_find(old, old_count, a);
		if (known) {
			*t = *known;
		} else {
			memset(t, 0, sizeof(*t));
			memcpy(t->id, a->id, sizeof(t->id));
			memcpy(t->address, a->address, sizeof(t->address));
			t->due = now;
		}
		t->near = a->is_local;
		m->subset_near += a->is_local;
	}
	pthread_mutex_unlock(&m->mutex);
	free(old);
}

static int target_known(struct member *m, const char *id)
{
	int i, found = 0;

	pthread_mutex_lock(&m->mutex);
	for (i = 0; i < m->target_count && !found; i++)
		found = !strcmp(m->targets[i].id, id);
	pthread_mutex_unlock(&m->mutex);
	return found;
}

/* Drops the reports of agents that are no longer asked. */
static void reports_prune(struct member *m)
{
	struct table *t = &m->node->board.upstreams;
	struct handle at = HANDLE_NONE;
	struct upstream_report *row;

	table_lock(t);
	while ((row = table_next(t, &at))) {
		if (!target_known(m, row->instance))
			table_remove(t, at);
	}
	table_unlock(t);
}

static void period_set(struct member *m, const struct fleet *f)
{
	long long asked = m->subset_near;
	long long asking =
		f->near_agents ? asked * f->entries / f->near_agents : 0;
	apr_interval_time_t period =
		(asked > asking ? asked : asking) * REPORT_COST_US;

	if (period < REPORT_PERIOD_MIN_US)
		period = REPORT_PERIOD_MIN_US;
	if (period > REPORT_PERIOD_MAX_US)
		period = REPORT_PERIOD_MAX_US;
	m->report_period = period;
}

/* Chooses anew whom this entry asks. */
void member_update_targets(struct member *m, apr_time_t now)
{
	struct document *d = board_document(&m->node->board);
	struct fleet f;

	fleet_collect(m, &f);
	subset_select(f.agents, f.agent_count, f.rank, f.entries, d);
	targets_replace(m, &f, now);
	reports_prune(m);
	pthread_mutex_lock(&m->mutex);
	period_set(m, &f);
	m->subset_agents = f.near_agents;
	m->subset_entries = f.entries;
	pthread_mutex_unlock(&m->mutex);
	m->subset_revision = d ? d->revision : 0;
	document_release(d);
	free(f.agents);
}

/* The models of a report, or those known before when they didn't change. */
static void models_take(struct target *t, const member_report *r)
{
	u_int i;

	if (!r->has_models)
		return;
	t->model_count = 0;
	for (i = 0; i < r->models.models_len && i < REPORT_MODELS_MAX; i++) {
		struct report_model *to = &t->models[t->model_count++];

		snprintf(to->name, sizeof(to->name), "%s",
			 r->models.models_val[i].name);
		snprintf(to->version, sizeof(to->version), "%s",
			 r->models.models_val[i].manifest);
	}
	t->models_hash = r->models_hash;
}

static void report_fill(struct upstream_report *u, const struct target *t,
			const member_report *r, const char *data_center,
			apr_time_t now)
{
	memset(u, 0, sizeof(*u));
	memcpy(u->instance, t->id, sizeof(u->instance));
	memcpy(u->address, t->address, sizeof(u->address));
	snprintf(u->upstream, sizeof(u->upstream), "%s", r->upstream);
	snprintf(u->data_center, sizeof(u->data_center), "%s", data_center);
	u->kind = r->kind == UPSTREAM_PLAIN ? UPSTREAM_PLAIN : UPSTREAM_MODEL;
	u->boot = r->boot;
	u->is_draining = r->is_draining;
	u->is_reachable = r->is_reachable;
	u->running = r->running;
	u->waiting = r->waiting;
	u->slots = r->slots;
	u->token_us = r->token_us;
	u->load_age_ms = r->load_age_ms;
	u->received_at = now;
	memcpy(u->models, t->models, sizeof(u->models));
	u->model_count = t->model_count;
}

/* Writes the row of an agent; leaving wins over what the report says. */
static void report_write(struct member *m, const struct target *t,
			 const member_report *r, apr_time_t now)
{
	char data_center[SETTINGS_NAME_SIZE] = "";
	struct board *b = &m->node->board;
	struct handle at = HANDLE_NONE;
	struct upstream_report *row, u;
	struct instance *i;
	int leaving = 0;

	table_lock(&b->instances);
	i = instance_find(&b->instances, t->id);
	if (i) {
		memcpy(data_center, i->data_center, sizeof(data_center));
		leaving = i->state == INSTANCE_DRAINING && i->boot == r->boot;
	}
	table_unlock(&b->instances);
	report_fill(&u, t, r, data_center, now);
	u.is_draining |= leaving;
	table_lock(&b->upstreams);
	while ((row = table_next(&b->upstreams, &at))) {
		if (!strcmp(row->instance, t->id))
			break;
	}
	if (row)
		*row = u;
	else
		table_add(&b->upstreams, &u);
	table_unlock(&b->upstreams);
}

static apr_interval_time_t next_period(const struct member *m,
				       const struct target *t, int ok)
{
	if (!ok)
		return SILENT_PERIOD_US;
	return t->near ? m->report_period : FAR_PERIOD_US;
}

/* Puts the target back in line, if it is still one.  Returns 1 if so. */
static int target_done(struct member *m, const struct target *t, int ok,
		       apr_time_t now)
{
	int i, found = 0;

	pthread_mutex_lock(&m->mutex);
	for (i = 0; i < m->target_count; i++) {
		struct target *x = &m->targets[i];

		if (strcmp(x->id, t->id) || strcmp(x->address, t->address))
			continue;
		*x = *t;
		x->is_busy = 0;
		x->due = now + next_period(m, t, ok);
		found = 1;
	}
	pthread_mutex_unlock(&m->mutex);
	return found;
}

static void answer_post(struct member *m, const struct target *t,
			const member_report *r, apr_time_t began,
			apr_time_t now)
{
	struct evidence e;

	memset(&e, 0, sizeof(e));
	memcpy(e.id, t->id, sizeof(e.id));
	e.started_at = began;
	e.finished_at = now;
	e.kind = strcmp(r->id, t->id) ? EVIDENCE_OTHER_INSTANCE
				      : EVIDENCE_ANSWER;
	e.boot = r->boot;
	e.is_draining = r->is_draining;
	member_post_evidence(m, &e);
}

/* A greeting, on a fresh connection, will tell more. */
static void poll_failed(struct member *m, const struct target *t)
{
	metric_count("member_report_failures", NULL, 1);
	hello_send(m, t->address, t->id, 0, NULL);
}

static void poll_run(struct job *job)
{
	struct poll_job *j = (struct poll_job *)job;
	struct member *m = j->member;
	struct target *t = &j->target;
	struct node *n = m->node;
	member_report_request req = { t->models_hash };
	struct error err = ERROR_INIT;
	apr_time_t began = clock_now(), now;
	member_report rep;
	int ok;

	ok = !rpc_exchange(n->rpc, t->address, n->settings.rpc_port,
			   &member_kinds[KIND_REPORT], &req, &rep,
			   t->near ? LOCAL_TIMEOUT_MS : REMOTE_TIMEOUT_MS,
			   &err);
	now = clock_now();
	if (ok) {
		answer_post(m, t, &rep, began, now);
		ok = !strcmp(rep.id, t->id);
		models_take(t, &rep);
	}
	if (target_done(m, t, ok, now) && ok)
		report_write(m, t, &rep, now);
	if (ok)
		metric_count("member_reports", NULL, 1);
	else
		poll_failed(m, t);
	if (!err.code)
		xdr_free((xdrproc_t)xdr_member_report, &rep);
	free(j);
}

static void poll_start(struct member *m, const struct target *t)
{
	struct poll_job *j = calloc(1, sizeof(*j));

	if (!j)
		abort();
	j->job.run = poll_run;
	j->member = m;
	j->target = *t;
	if (!member_submit(m, &j->job))
		return;
	target_done(m, t, 0, clock_now());
	free(j);
}

/* Asks those agents for their report that are due. */
void member_poll_reports(struct member *m, apr_time_t now)
{
	static struct target due[TARGETS_MAX]; /* of the controller thread */
	int i, count = 0;

	pthread_mutex_lock(&m->mutex);
	for (i = 0; i < m->target_count; i++) {
		struct target *t = &m->targets[i];

		if (t->is_busy || t->due > now)
			continue;
		t->is_busy = 1;
		due[count++] = *t;
	}
	pthread_mutex_unlock(&m->mutex);
	for (i = 0; i < count; i++)
		poll_start(m, &due[i]);
}
