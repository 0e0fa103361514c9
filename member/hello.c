#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/metric.h"
#include "member/component.h"
#include "member/merge.h"

/* Sends a hello to one peer; an answer proves that the peer is live. */
struct hello_job {
	struct job job;
	struct member *member;
	char address[SETTINGS_ADDRESS_SIZE];
	char id[SETTINGS_NAME_SIZE]; /* expected instance, "": any */
	int wants_all;		     /* ask for all instances the peer has */
	int fact_count;
	struct fact facts[OUTBOX_MAX];
};

/* Fills in the fact that describes this process. */
void member_get_self_fact(struct member *m, struct fact *f)
{
	const struct settings *s = &m->node->settings;
	apr_time_t age = (clock_now() - m->node->started) / 1000;

	memset(f, 0, sizeof(*f));
	snprintf(f->id, sizeof(f->id), "%s", s->instance);
	snprintf(f->data_center, sizeof(f->data_center), "%s", s->data_center);
	snprintf(f->address, sizeof(f->address), "%s", s->address);
	snprintf(f->upstream, sizeof(f->upstream), "%s", s->upstream_name);
	f->role = m->node->role;
	f->boot = m->node->self.boot;
	f->boot_age_ms = age > UINT32_MAX ? UINT32_MAX : (uint32_t)age;
	f->state = node_draining(m->node) ? INSTANCE_DRAINING : INSTANCE_LIVE;
	f->incarnation = __atomic_load_n(&m->incarnation, __ATOMIC_RELAXED);
}

/* Fills in the XDR form of f; its strings point into f. */
void fact_to_xdr(const struct fact *f, member_fact *w)
{
	w->id = (char *)f->id;
	w->role = f->role;
	w->data_center = (char *)f->data_center;
	w->address = (char *)f->address;
	w->upstream = (char *)f->upstream;
	w->boot = f->boot;
	w->boot_age_ms = f->boot_age_ms;
	w->incarnation = f->incarnation;
	w->state = f->state;
}

static int exchange_hello(struct hello_job *j, member_hello *rep,
			  struct error *err)
{
	struct node *n = j->member->node;
	member_fact wire[OUTBOX_MAX];
	member_hello req;
	struct fact self;
	int i;

	memset(&req, 0, sizeof(req));
	member_get_self_fact(j->member, &self);
	fact_to_xdr(&self, &req.self);
	for (i = 0; i < j->fact_count; i++)
		fact_to_xdr(&j->facts[i], &wire[i]);
	req.facts.facts_val = wire;
	req.facts.facts_len = (u_int)j->fact_count;
	req.wants_all = (u_int)j->wants_all;
	return rpc_exchange(n->rpc, j->address, n->settings.rpc_port,
			    &member_kinds[KIND_HELLO], &req, rep,
			    LOCAL_TIMEOUT_MS, err);
}

static void init_evidence(struct evidence *e, const char *id)
{
	memset(e, 0, sizeof(*e));
	snprintf(e->id, sizeof(e->id), "%s", id);
	e->started_at = clock_now();
	e->max_duration = LOCAL_TIMEOUT_MS * 1000 * 2;
}

static void set_evidence_answer(struct evidence *e, const member_fact *self)
{
	e->kind = EVIDENCE_ANSWER;
	e->boot = self->boot;
	e->boot_age_ms = self->boot_age_ms;
	e->incarnation = self->incarnation;
	e->is_draining = self->state == INSTANCE_DRAINING;
}

/*
 * Posts the evidence of an answer, which may come from another instance than
 * the expected one.
 */
static void post_answer(struct hello_job *j, struct evidence *e,
			const member_hello *rep)
{
	struct member *m = j->member;

	e->finished_at = clock_now();
	if (*j->id && strcmp(j->id, rep->self.id)) {
		e->kind = EVIDENCE_OTHER_INSTANCE;
		member_post_evidence(m, e);
	}
	member_apply_facts(m, rep);
	snprintf(e->id, sizeof(e->id), "%s", rep->self.id);
	set_evidence_answer(e, &rep->self);
	member_post_evidence(m, e);
}

static int is_unreachable(const struct error *err)
{
	return err->code == ERROR_UNREACHABLE;
}

/*
 * Sends the hello on a connection that may be a reused one and, if that
 * fails, once more on a new one: only the second attempt distinguishes a
 * dead peer from a broken connection.
 */
static void run_hello(struct job *job)
{
	struct hello_job *j = (struct hello_job *)job;
	struct member *m = j->member;
	struct node *n = m->node;
	struct error err = ERROR_INIT;
	struct evidence e;
	member_hello rep;
	int failed;

	init_evidence(&e, j->id);
	failed = exchange_hello(j, &rep, &err);
	if (failed) {
		e.kind = EVIDENCE_NO_ANSWER;
		e.finished_at = clock_now();
		member_post_evidence(m, &e);
		rpc_client_reset(n->rpc, j->address, n->settings.rpc_port);
		init_evidence(&e, j->id);
		failed = exchange_hello(j, &rep, &err);
		if (!failed)
			metric_count("member_silent_connections", NULL, 1);
	}
	if (failed) {
		e.kind = is_unreachable(&err) ? EVIDENCE_RECONNECT_FAILED
					      : EVIDENCE_RECONNECT_NO_ANSWER;
		e.finished_at = clock_now();
		member_post_evidence(m, &e);
	} else {
		post_answer(j, &e, &rep);
		xdr_free((xdrproc_t)xdr_member_hello, &rep);
	}
	free(j);
}

static void collect_facts(struct hello_job *j, const struct outbox *o)
{
	struct table *t = &j->member->node->board.instances;
	apr_time_t now = clock_now();
	struct instance *row;
	int i;

	table_lock(t);
	for (i = 0; i < o->count && j->fact_count < OUTBOX_MAX; i++) {
		row = instance_find(t, o->ids[i]);
		if (row && row->boot)
			fact_from_instance(&j->facts[j->fact_count++], row,
					   now);
	}
	table_unlock(t);
}

/*
 * Queues a hello to the peer at address, with the facts of the instances in
 * outbox when sends_outbox is set.  id is the instance expected there, ""
 * for any; with an id, a failed exchange is evidence against that instance.
 */
void hello_send(struct member *m, const char *address, const char *id,
		int sends_outbox, const struct outbox *outbox)
{
	struct hello_job *j = calloc(1, sizeof(*j));

	if (!j)
		abort();
	j->job.run = run_hello;
	j->member = m;
	snprintf(j->address, sizeof(j->address), "%s", address);
	snprintf(j->id, sizeof(j->id), "%s", id);
	if (sends_outbox)
		collect_facts(j, outbox);
	if (member_submit(m, &j->job))
		free(j);
}

/*
 * Queues a hello to any instance at address that asks for all instances in
 * its table.
 */
void hello_send_join(struct member *m, const char *address)
{
	struct hello_job *j = calloc(1, sizeof(*j));

	if (!j)
		abort();
	j->job.run = run_hello;
	j->member = m;
	j->wants_all = 1;
	snprintf(j->address, sizeof(j->address), "%s", address);
	if (member_submit(m, &j->job))
		free(j);
}

/* As fact_to_xdr(), but allocates each string, so that xdr_free() works. */
void fact_copy_to_xdr(const struct fact *f, member_fact *w)
{
	fact_to_xdr(f, w);
	w->id = strdup(f->id);
	w->data_center = strdup(f->data_center);
	w->address = strdup(f->address);
	w->upstream = strdup(f->upstream);
}

/* Reports to a peer that it is marked dead here, so that it can refute it. */
static void add_reported_death(struct member *m, const char *id,
			       member_hello *rep)
{
	struct table *t = &m->node->board.instances;
	struct instance *row;
	struct fact f;
	int is_dead = 0;

	table_lock(t);
	row = instance_find(t, id);
	if (row && row->state == INSTANCE_DEAD) {
		fact_from_instance(&f, row, clock_now());
		is_dead = 1;
	}
	table_unlock(t);
	if (!is_dead)
		return;
	rep->facts.facts_val = calloc(1, sizeof(member_fact));
	if (!rep->facts.facts_val)
		return;
	rep->facts.facts_len = 1;
	fact_copy_to_xdr(&f, rep->facts.facts_val);
}

/*
 * Answers a hello.  The request itself is evidence that its sender is live.
 * Returns -1 when the sender's id is not that of its connection.
 */
int hello_serve(void *arg, const struct rpc_peer *from, const void *request,
		void *reply)
{
	struct member *m = arg;
	const member_hello *req = request;
	member_hello *rep = reply;
	struct evidence e;
	struct fact self;

	if (strcmp(from->instance, req->self.id))
		return -1;
	member_get_self_fact(m, &self);
	fact_copy_to_xdr(&self, &rep->self);
	if (req->wants_all)
		rep->facts.facts_len = member_list_facts(m, req->self.id,
							 &rep->facts.facts_val);
	else
		add_reported_death(m, req->self.id, rep);
	member_apply_facts(m, req);
	init_evidence(&e, req->self.id);
	e.finished_at = e.started_at;
	set_evidence_answer(&e, &req->self);
	member_post_evidence(m, &e);
	return 0;
}
