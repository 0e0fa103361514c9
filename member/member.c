#include "member/member.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/metric.h"
#include "config/document.h"
#include "config/value.h"
#include "member/component.h"
#include "member/merge.h"

#define THREADS_ENTRY 6
#define THREADS_AGENT 3
#define QUEUE_LIMIT 1024
#define CONTROLLER_US (50 * 1000)
#define HELLO_PERIOD_US (500 * 1000)
#define RETRY_PERIOD_US APR_USEC_PER_SEC
#define RETRY_MAX 4 /* suspects and dead tried again in one period */
#define FLOOD_GAP_US (100 * 1000)
#define SUBSET_GAP_US (250 * 1000)

/* How often a process without a list asks others whom they know. */
#define JOIN_EARLY_US (300 * 1000)
#define JOIN_EARLY_TURNS 8 /* greetings at that pace, at the start */
#define JOIN_LATE_US (3 * APR_USEC_PER_SEC)

static struct member member;

const struct rpc_kind member_kinds[] = {
	{ RPC_KIND_MEMBER, "member-hello", (xdrproc_t)xdr_member_hello,
	  sizeof(member_hello), (xdrproc_t)xdr_member_hello,
	  sizeof(member_hello), hello_serve },
	{ RPC_KIND_MEMBER + 1, "member-report",
	  (xdrproc_t)xdr_member_report_request, sizeof(member_report_request),
	  (xdrproc_t)xdr_member_report, sizeof(member_report), report_serve },
	{ 0 }
};

/* Hands a job to the workers.  Returns -1, leaving it to the caller. */
int member_submit(struct member *m, struct job *j)
{
	int ret = -1;

	pthread_mutex_lock(&m->mutex);
	if (!m->stopping)
		ret = worker_pool_submit(m->pool, j);
	pthread_mutex_unlock(&m->mutex);
	return ret;
}

/* Leaves evidence for the controller, which knows of pauses; any thread. */
void member_post_evidence(struct member *m, const struct evidence *e)
{
	if (!*e->id)
		return;
	pthread_mutex_lock(&m->mutex);
	if (m->inbox.count < INBOX_MAX)
		m->inbox.list[m->inbox.count++] = *e;
	pthread_mutex_unlock(&m->mutex);
}

/* Has the neighbours told of an instance; any thread. */
void member_queue_notification(struct member *m, const char *id)
{
	struct outbox *o = &m->outbox;
	int i;

	pthread_mutex_lock(&m->mutex);
	for (i = 0; i < o->count && strcmp(o->ids[i], id); i++)
		;
	if (i == o->count && o->count < OUTBOX_MAX)
		snprintf(o->ids[o->count++], SETTINGS_NAME_SIZE, "%s", id);
	pthread_mutex_unlock(&m->mutex);
}

/* Has the entry stop using an agent that left or died. */
static void report_mark(struct member *m, const struct instance *row)
{
	struct table *t = &m->node->board.upstreams;
	struct handle at = HANDLE_NONE;
	struct upstream_report *u;

	table_lock(t);
	while ((u = table_next(t, &at))) {
		if (strcmp(u->instance, row->id))
			continue;
		if (row->state == INSTANCE_DEAD)
			table_remove(t, at);
		else if (row->state == INSTANCE_DRAINING)
			u->is_draining = 1;
	}
	table_unlock(t);
}

static void changed_log(const struct instance *row)
{
	log_info("member", row->id, "is %s", instance_state_name(row->state));
	metric_count("member_changes", instance_state_name(row->state), 1);
}

static void evidence_apply(struct member *m, const struct evidence *e,
			   apr_time_t now)
{
	const struct settings *s = &m->node->settings;
	struct table *t = &m->node->board.instances;
	struct instance *row, copy;
	int changed = 0;

	table_lock(t);
	row = instance_find(t, e->id);
	if (row) {
		changed = instance_apply_evidence(row, e, m->node->pause_end,
						  now);
		copy = *row;
	}
	table_unlock(t);
	if (!changed)
		return;
	changed_log(&copy);
	__atomic_add_fetch(&m->generation, 1, __ATOMIC_RELAXED);
	/* Silence across data centres is a matter of this process alone. */
	if (!strcmp(copy.data_center, s->data_center) ||
	    e->kind == EVIDENCE_ANSWER)
		member_queue_notification(m, copy.id);
}

static void inbox_take(struct member *m, apr_time_t now)
{
	static struct inbox in; /* of the controller thread */
	int i;

	pthread_mutex_lock(&m->mutex);
	in.count = m->inbox.count;
	memcpy(in.list, m->inbox.list, (size_t)in.count * sizeof(in.list[0]));
	m->inbox.count = 0;
	pthread_mutex_unlock(&m->mutex);
	for (i = 0; i < in.count; i++)
		evidence_apply(m, &in.list[i], now);
}

/* The id known at an address, or "". */
static void id_at(struct member *m, const char *address, char *id)
{
	struct table *t = &m->node->board.instances;
	struct handle at = HANDLE_NONE;
	struct instance *row;

	*id = '\0';
	table_lock(t);
	while ((row = table_next(t, &at))) {
		if (strcmp(row->address, address) ||
		    (*id && row->state == INSTANCE_DEAD))
			continue;
		snprintf(id, SETTINGS_NAME_SIZE, "%s", row->id);
	}
	table_unlock(t);
}

/* Greets the next process on the ring, and the one after it in turn. */
static void successor_greet(struct member *m, apr_time_t now)
{
	char id[SETTINGS_NAME_SIZE];
	struct overlay o;
	const char *address;

	if (now < m->hello_due)
		return;
	m->hello_due = now + HELLO_PERIOD_US;
	config_get_overlay(&o);
	if (!o.successor_count)
		return;
	address = o.successors[m->hello_turn++ % (unsigned)o.successor_count];
	id_at(m, address, id);
	hello_send(m, address, id, 0, NULL);
}

/* An instance to be tried again. */
struct retry {
	char id[SETTINGS_NAME_SIZE];
	char address[SETTINGS_ADDRESS_SIZE];
};

static int needs_retry(const struct instance *row)
{
	return row->state == INSTANCE_SUSPECT ||
	       row->state == INSTANCE_DRAINING ||
	       (row->state == INSTANCE_DEAD && row->is_listed);
}

/*
 * Tries suspects and those who leave, whom nobody else greets, and some
 * of the dead that the list still shows: they may be back, or have been on
 * the other side of a partition.
 */
static void retry_some(struct member *m, apr_time_t now)
{
	struct table *t = &m->node->board.instances;
	struct handle at = HANDLE_NONE;
	struct retry list[RETRY_MAX];
	struct instance *row;
	int seen = 0, i;

	if (now < m->retry_due)
		return;
	m->retry_due = now + RETRY_PERIOD_US;
	table_lock(t);
	while ((row = table_next(t, &at))) {
		int place;

		if (!needs_retry(row))
			continue;
		place = seen < RETRY_MAX
				? seen
				: (int)random_below(&m->random,
						    (uint32_t)seen + 1);
		seen++;
		if (place >= RETRY_MAX)
			continue;
		memcpy(list[place].id, row->id, sizeof(row->id));
		memcpy(list[place].address, row->address, sizeof(row->address));
	}
	table_unlock(t);
	for (i = 0; i < seen && i < RETRY_MAX; i++)
		hello_send(m, list[i].address, list[i].id, 0, NULL);
}

/* Passes on what changed, to the neighbours of the overlay. */
static void flood(struct member *m, apr_time_t now)
{
	struct outbox out;
	struct overlay o;
	int i;

	if (now < m->flood_due)
		return;
	pthread_mutex_lock(&m->mutex);
	out = m->outbox;
	m->outbox.count = 0;
	pthread_mutex_unlock(&m->mutex);
	if (!out.count)
		return;
	m->flood_due = now + FLOOD_GAP_US;
	config_get_overlay(&o);
	for (i = 0; i < o.neighbor_count; i++)
		hello_send(m, o.neighbors[i], "", 1, &out);
	for (i = 0; i < o.extra_peer_count; i++)
		hello_send(m, o.extra_peers[i], "", 1, &out);
}

/* Tells at once those who route here, and the neighbours. */
static void leaving_tell(struct member *m)
{
	char addresses[REPORT_READERS_MAX][SETTINGS_ADDRESS_SIZE];
	struct overlay o;
	int i;

	if (m->told_leaving || !node_draining(m->node))
		return;
	m->told_leaving = 1;
	pthread_mutex_lock(&m->mutex);
	for (i = 0; i < REPORT_READERS_MAX; i++)
		memcpy(addresses[i], m->askers[i].address,
		       SETTINGS_ADDRESS_SIZE);
	pthread_mutex_unlock(&m->mutex);
	for (i = 0; i < REPORT_READERS_MAX; i++) {
		if (*addresses[i])
			hello_send(m, addresses[i], "", 0, NULL);
	}
	config_get_overlay(&o);
	for (i = 0; i < o.neighbor_count; i++)
		hello_send(m, o.neighbors[i], "", 0, NULL);
}

/*
 * Asks the seeds in turn whom they know: at the start, and now and then so
 * that the sides of a healed partition find each other again.
 */
static void join_step(struct member *m, apr_time_t now)
{
	const struct settings *s = &m->node->settings;
	const char *seed;

	if (!m->unlisted || !s->seed_count || now < m->join_due)
		return;
	m->join_due = now + (m->join_turn < JOIN_EARLY_TURNS ? JOIN_EARLY_US
							     : JOIN_LATE_US);
	seed = s->seeds[m->join_turn++ % (unsigned)s->seed_count];
	if (strcmp(seed, s->address))
		hello_send_join(m, seed);
}

static void leaving_mark(struct member *m)
{
	struct table *t = &m->node->board.instances;
	struct handle at = HANDLE_NONE;
	struct instance *row, *left;
	int count = 0, i;

	table_lock(t);
	left = calloc(t->count + 1, sizeof(*left));
	while (left && (row = table_next(t, &at))) {
		if (row->state == INSTANCE_DRAINING ||
		    row->state == INSTANCE_DEAD)
			left[count++] = *row;
	}
	table_unlock(t);
	for (i = 0; i < count; i++)
		report_mark(m, &left[i]);
	free(left);
}

/* See member.h.  Called on the controller thread. */
void member_send_hello(const char *address, const char *id)
{
	hello_send(&member, address, id, 0, NULL);
}

/* See member.h. */
int member_is_self_listed(void)
{
	return __atomic_load_n(&member.self_listed, __ATOMIC_RELAXED);
}

static uint64_t revision_in_force(struct member *m)
{
	struct document *d = board_document(&m->node->board);
	uint64_t revision = d ? d->revision : 0;

	document_release(d);
	return revision;
}

/* Follows changes of the fleet and of the document, not too often. */
static void subset_follow(struct member *m, apr_time_t now)
{
	unsigned generation = __atomic_load_n(&m->generation, __ATOMIC_RELAXED);

	if (now < m->subset_due || (generation == m->subset_generation &&
				    revision_in_force(m) == m->subset_revision))
		return;
	m->subset_due = now + SUBSET_GAP_US;
	m->subset_generation = generation;
	leaving_mark(m);
	member_update_targets(m, now);
}

static void every_second(struct member *m, apr_time_t now)
{
	struct table *t = &m->node->board.instances;

	if (now < m->second_due)
		return;
	m->second_due = now + APR_USEC_PER_SEC;
	table_lock(t);
	if (member_remove_expired(t, m->unlisted, now))
		__atomic_add_fetch(&m->generation, 1, __ATOMIC_RELAXED);
	table_unlock(t);
}

/* Keeps an agent's own row in step with its draining. */
static void own_report_step(struct member *m)
{
	struct table *t = &m->node->board.upstreams;
	struct upstream_report *row;

	table_lock(t);
	row = table_get(t, m->own_report);
	if (row)
		row->is_draining = node_draining(m->node);
	table_unlock(t);
}

static void member_step(void *arg, apr_time_t now)
{
	struct member *m = arg;

	inbox_take(m, now);
	leaving_tell(m);
	successor_greet(m, now);
	retry_some(m, now);
	join_step(m, now);
	flood(m, now);
	every_second(m, now);
	if (m->node->role == ROLE_AGENT) {
		own_report_step(m);
		return;
	}
	if (m->unlisted) /* agents send their reports by themselves */
		return;
	subset_follow(m, now);
	member_poll_reports(m, now);
}

static void own_report_add(struct member *m)
{
	const struct settings *s = &m->node->settings;
	struct table *t = &m->node->board.upstreams;
	struct upstream_report u;

	memset(&u, 0, sizeof(u));
	memcpy(u.instance, s->instance, sizeof(u.instance));
	memcpy(u.upstream, s->upstream_name, sizeof(u.upstream));
	memcpy(u.address, s->address, sizeof(u.address));
	memcpy(u.data_center, s->data_center, sizeof(u.data_center));
	u.kind = s->upstream_kind;
	u.boot = m->node->self.boot;
	table_lock(t);
	m->own_report = table_add(t, &u);
	table_unlock(t);
}

static void member_stop(void *arg)
{
	struct member *m = arg;

	pthread_mutex_lock(&m->mutex);
	m->stopping = 1;
	pthread_mutex_unlock(&m->mutex);
	worker_pool_stop(m->pool);
	m->pool = NULL;
}

/* See member.h. */
int member_start(struct node *n, struct error *err)
{
	struct member *m = &member;
	int threads = n->role == ROLE_ENTRY ? THREADS_ENTRY : THREADS_AGENT;

	m->node = n;
	m->unlisted = n->settings.platform == PLATFORM_STORE;
	pthread_mutex_init(&m->mutex, NULL);
	random_seed(&m->random, random_next(&n->random));
	m->report_period = HELLO_PERIOD_US;
	m->pool = worker_pool_start(threads, QUEUE_LIMIT);
	if (!m->pool || rpc_server_add(member_kinds, m))
		return error_set(err, ERROR_INTERNAL, "member-start", NULL,
				 "no threads or no room for messages");
	if (n->role == ROLE_AGENT)
		own_report_add(m);
	config_set_value_ops(SPREAD_INSTANCES, &member_list_ops, m);
	node_add_controller(n, "member", CONTROLLER_US, member_step, m);
	node_add_status(n, "members", member_status, m);
	node_add_stop(n, member_stop, m);
	return 0;
}
