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
 * Period of the polls of one local agent.  It grows with the number of
 * exchange partners of a process, agents that an entry polls or entries that
 * poll an agent, to keep the exchanges within the share of the control traffic
 * that reports may use.
 */
#define REPORT_PERIOD_MIN_US (250 * 1000)
#define REPORT_PERIOD_MAX_US (2 * APR_USEC_PER_SEC)
#define REPORT_PERIOD_PER_AGENT_US (75 * 1000) /* for each partner */

/* Periods for a remote agent and for an agent that does not answer. */
#define REMOTE_PERIOD_US (2 * APR_USEC_PER_SEC)
#define UNRESPONSIVE_PERIOD_US APR_USEC_PER_SEC

struct poll_job {
	struct job job;
	struct member *member;
	struct report_target target; /* copy made at the start */
};

/* The agents to select a subset from, and this entry's position. */
struct fleet {
	struct subset_agent *agents;
	int agent_count;
	int local_agents;
	int entries; /* local ones in use, this one included */
	int rank;    /* position of this entry among them */
};

static void collect_agent(struct fleet *f, const struct instance *row,
			  int is_local)
{
	struct subset_agent *a;

	if (f->agent_count == SUBSET_AGENTS_MAX)
		return;
	a = &f->agents[f->agent_count++];
	memcpy(a->id, row->id, sizeof(a->id));
	memcpy(a->upstream, row->upstream, sizeof(a->upstream));
	memcpy(a->data_center, row->data_center, sizeof(a->data_center));
	memcpy(a->address, row->address, sizeof(a->address));
	a->is_local = is_local;
	subset_agent_hash(a);
	f->local_agents += is_local;
}

/* Returns 1 when entry a precedes b in the order of their id hashes. */
static int is_entry_before(const char *a, const char *b)
{
	uint64_t x = place_hash_string(a, 0), y = place_hash_string(b, 0);

	return x != y ? x < y : strcmp(a, b) < 0;
}

static void collect_fleet(struct member *m, struct fleet *f)
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
		int is_local = !strcmp(row->data_center, s->data_center);

		/* A suspect may recover soon: it keeps its position. */
		if (row->state != INSTANCE_LIVE &&
		    row->state != INSTANCE_SUSPECT)
			continue;
		if (row->role == ROLE_AGENT) {
			collect_agent(f, row, is_local);
		} else if (is_local && strcmp(row->id, s->instance)) {
			f->entries++;
			f->rank += is_entry_before(row->id, s->instance);
		}
	}
	table_unlock(t);
}

static const struct report_target *find_target(const struct report_target *list,
					       int count,
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

/* Replaces the targets, keeping the state of those that stay. */
static void replace_targets(struct member *m, const struct fleet *f,
			    apr_time_t now)
{
	struct report_target *old = malloc(sizeof(m->targets));
	const struct report_target *previous;
	int i, old_count;

	if (!old)
		abort();
	pthread_mutex_lock(&m->mutex);
	memcpy(old, m->targets, sizeof(m->targets));
	old_count = m->target_count;
	m->target_count = 0;
	m->subset_local_count = 0;
	for (i = 0; i < f->agent_count && m->target_count < TARGETS_MAX; i++) {
		const struct subset_agent *a = &f->agents[i];
		struct report_target *t = &m->targets[m->target_count];

		if (a->selection == SUBSET_NOT_SELECTED)
			continue;
		m->target_count++;
		previous = find_target(old, old_count, a);
		if (previous) {
			*t = *previous;
		} else {
			memset(t, 0, sizeof(*t));
			memcpy(t->id, a->id, sizeof(t->id));
			memcpy(t->address, a->address, sizeof(t->address));
			t->due = now;
		}
		t->is_local = a->is_local;
		m->subset_local_count += a->is_local;
	}
	pthread_mutex_unlock(&m->mutex);
	free(old);
}

static int is_target(struct member *m, const char *id)
{
	int i, found = 0;

	pthread_mutex_lock(&m->mutex);
	for (i = 0; i < m->target_count && !found; i++)
		found = !strcmp(m->targets[i].id, id);
	pthread_mutex_unlock(&m->mutex);
	return found;
}

/* Removes the reports of agents that are no longer polled. */
static void remove_stale_reports(struct member *m)
{
	struct table *t = &m->node->board.upstreams;
	struct handle at = HANDLE_NONE;
	struct upstream_report *row;

	table_lock(t);
	while ((row = table_next(t, &at))) {
		if (!is_target(m, row->instance))
			table_remove(t, at);
	}
	table_unlock(t);
}

static void set_report_period(struct member *m, const struct fleet *f)
{
	long long agents_polled = m->subset_local_count;
	long long entries_polling =
		f->local_agents ? agents_polled * f->entries / f->local_agents
				: 0;
	apr_interval_time_t period =
		(agents_polled > entries_polling ? agents_polled
						 : entries_polling) *
		REPORT_PERIOD_PER_AGENT_US;

	if (period < REPORT_PERIOD_MIN_US)
		period = REPORT_PERIOD_MIN_US;
	if (period > REPORT_PERIOD_MAX_US)
		period = REPORT_PERIOD_MAX_US;
	m->report_period = period;
}

/*
 * Selects again the agents that this entry polls, from the instance table
 * and the current document, and adapts the poll period.
 */
void member_update_targets(struct member *m, apr_time_t now)
{
	struct document *d = board_document(&m->node->board);
	struct fleet f;

	collect_fleet(m, &f);
	subset_select(f.agents, f.agent_count, f.rank, f.entries, d);
	replace_targets(m, &f, now);
	remove_stale_reports(m);
	pthread_mutex_lock(&m->mutex);
	set_report_period(m, &f);
	m->local_agent_count = f.local_agents;
	m->local_entry_count = f.entries;
	pthread_mutex_unlock(&m->mutex);
	m->targets_revision = d ? d->revision : 0;
	document_unref(d);
	free(f.agents);
}

/* Stores the models of a report; a report without models keeps the old. */
static void apply_models(struct report_target *t, const member_report *r)
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

static void fill_report(struct upstream_report *u,
			const struct report_target *t, const member_report *r,
			const char *data_center, apr_time_t now)
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

/*
 * Writes the row of an agent.  A draining state in the instance table takes
 * precedence over the report.
 */
static void write_report(struct member *m, const struct report_target *t,
			 const member_report *r, apr_time_t now)
{
	char data_center[SETTINGS_NAME_SIZE] = "";
	struct board *b = &m->node->board;
	struct handle at = HANDLE_NONE;
	struct upstream_report *row, u;
	struct instance *i;
	int is_draining = 0;

	table_lock(&b->instances);
	i = instance_find(&b->instances, t->id);
	if (i) {
		memcpy(data_center, i->data_center, sizeof(data_center));
		is_draining =
			i->state == INSTANCE_DRAINING && i->boot == r->boot;
	}
	table_unlock(&b->instances);
	fill_report(&u, t, r, data_center, now);
	u.is_draining |= is_draining;
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

static apr_interval_time_t
get_next_period(const struct member *m, const struct report_target *t, int ok)
{
	if (!ok)
		return UNRESPONSIVE_PERIOD_US;
	return t->is_local ? m->report_period : REMOTE_PERIOD_US;
}

/*
 * Stores the result of a poll and schedules the next one.  Returns 1 when
 * the agent is still a target.
 */
static int finish_target(struct member *m, const struct report_target *t,
			 int ok, apr_time_t now)
{
	int i, found = 0;

	pthread_mutex_lock(&m->mutex);
	for (i = 0; i < m->target_count; i++) {
		struct report_target *x = &m->targets[i];

		if (strcmp(x->id, t->id) || strcmp(x->address, t->address))
			continue;
		*x = *t;
		x->is_busy = 0;
		x->due = now + get_next_period(m, t, ok);
		found = 1;
	}
	pthread_mutex_unlock(&m->mutex);
	return found;
}

static void post_answer(struct member *m, const struct report_target *t,
			const member_report *r, apr_time_t started_at,
			apr_time_t now)
{
	struct evidence e;

	memset(&e, 0, sizeof(e));
	memcpy(e.id, t->id, sizeof(e.id));
	e.started_at = started_at;
	e.finished_at = now;
	e.kind = strcmp(r->id, t->id) ? EVIDENCE_OTHER_INSTANCE
				      : EVIDENCE_ANSWER;
	e.boot = r->boot;
	e.is_draining = r->is_draining;
	member_post_evidence(m, &e);
}

/* Sends a hello, which checks the agent on a new connection if need be. */
static void handle_poll_failure(struct member *m, const struct report_target *t)
{
	metric_count("member_report_failures", NULL, 1);
	hello_send(m, t->address, t->id, 0, NULL);
}

static void run_poll(struct job *job)
{
	struct poll_job *j = (struct poll_job *)job;
	struct member *m = j->member;
	struct report_target *t = &j->target;
	struct node *n = m->node;
	member_report_request req = { t->models_hash };
	struct error err = ERROR_INIT;
	apr_time_t started_at = clock_now(), now;
	member_report rep;
	int ok;

	ok = !rpc_exchange(n->rpc, t->address, n->settings.rpc_port,
			   &member_kinds[KIND_REPORT], &req, &rep,
			   t->is_local ? LOCAL_TIMEOUT_MS : REMOTE_TIMEOUT_MS,
			   &err);
	now = clock_now();
	if (ok) {
		post_answer(m, t, &rep, started_at, now);
		ok = !strcmp(rep.id, t->id);
		apply_models(t, &rep);
	}
	if (finish_target(m, t, ok, now) && ok)
		write_report(m, t, &rep, now);
	if (ok)
		metric_count("member_reports", NULL, 1);
	else
		handle_poll_failure(m, t);
	if (!err.code)
		xdr_free((xdrproc_t)xdr_member_report, &rep);
	free(j);
}

static void start_poll(struct member *m, const struct report_target *t)
{
	struct poll_job *j = calloc(1, sizeof(*j));

	if (!j)
		abort();
	j->job.run = run_poll;
	j->member = m;
	j->target = *t;
	if (!member_submit(m, &j->job))
		return;
	finish_target(m, t, 0, clock_now());
	free(j);
}

/* Starts the polls that are due. */
void member_poll_reports(struct member *m, apr_time_t now)
{
	/* Used by the controller thread only. */
	static struct report_target due[TARGETS_MAX];
	int i, count = 0;

	pthread_mutex_lock(&m->mutex);
	for (i = 0; i < m->target_count; i++) {
		struct report_target *t = &m->targets[i];

		if (t->is_busy || t->due > now)
			continue;
		t->is_busy = 1;
		due[count++] = *t;
	}
	pthread_mutex_unlock(&m->mutex);
	for (i = 0; i < count; i++)
		start_poll(m, &due[i]);
}
