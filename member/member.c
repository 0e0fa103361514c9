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

#define ENTRY_THREADS 6
#define AGENT_THREADS 3
#define QUEUE_MAX 1024
#define CONTROLLER_PERIOD_US (50 * 1000)
#define HELLO_PERIOD_US (500 * 1000)
#define RETRY_PERIOD_US APR_USEC_PER_SEC
#define RETRY_MAX 4 /* instances retried in one RETRY_PERIOD_US */
#define NOTIFY_INTERVAL_US (100 * 1000)
#define SUBSET_UPDATE_INTERVAL_US (250 * 1000)

/* Periods at which a process without a list queries a seed for instances. */
#define JOIN_STARTUP_PERIOD_US (300 * 1000)
#define JOIN_STARTUP_COUNT 8 /* queries at the startup period */
#define JOIN_PERIOD_US (3 * APR_USEC_PER_SEC)

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

/*
 * Submits a job to the workers.  Returns 0, or -1 when it was not accepted;
 * the job then still belongs to the caller.
 */
int member_submit(struct member *m, struct job *j)
{
	int ret = -1;

	pthread_mutex_lock(&m->mutex);
	if (!m->is_stopping)
		ret = worker_pool_submit(m->pool, j);
	pthread_mutex_unlock(&m->mutex);
	return ret;
}

/*
 * Queues evidence for the controller thread, which checks it against pauses
 * of this process.  May be called on any thread.
 */
void member_post_evidence(struct member *m, const struct evidence *e)
{
	if (!*e->id)
		return;
	pthread_mutex_lock(&m->mutex);
	if (m->inbox.count < INBOX_MAX)
		m->inbox.list[m->inbox.count++] = *e;
	pthread_mutex_unlock(&m->mutex);
}

/*
 * Queues an instance whose state is to be sent to the neighbours.  May be
 * called on any thread.
 */
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

/*
 * Removes the report of an agent that is dead, and marks that of a draining
 * one, so that this entry stops using it.
 */
static void update_agent_report(struct member *m, const struct instance *row)
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

static void log_state_change(const struct instance *row)
{
	log_info("member", row->id, "is %s", instance_state_name(row->state));
	metric_count("member_changes", instance_state_name(row->state), 1);
}

static void apply_evidence(struct member *m, const struct evidence *e,
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
	log_state_change(&copy);
	__atomic_add_fetch(&m->instance_generation, 1, __ATOMIC_RELAXED);
	/*
	 * A failure towards a remote instance is not forwarded: it may be due
	 * to the link of this process alone.
	 */
	if (!strcmp(copy.data_center, s->data_center) ||
	    e->kind == EVIDENCE_ANSWER)
		member_queue_notification(m, copy.id);
}

static void process_inbox(struct member *m, apr_time_t now)
{
	static struct inbox in; /* used by the controller thread only */
	int i;

	pthread_mutex_lock(&m->mutex);
	in.count = m->inbox.count;
	memcpy(in.list, m->inbox.list, (size_t)in.count * sizeof(in.list[0]));
	m->inbox.count = 0;
	pthread_mutex_unlock(&m->mutex);
	for (i = 0; i < in.count; i++)
		apply_evidence(m, &in.list[i], now);
}

/*
 * Finds the id of the instance at an address, "" if there is none.  Of
 * several rows with that address, one that is not dead is preferred.
 */
static void find_id_by_address(struct member *m, const char *address, char *id)
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

/* Sends a hello to the successors on the ring in turn. */
static void send_successor_hello(struct member *m, apr_time_t now)
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
	address = o.successors[m->hello_count++ % (unsigned)o.successor_count];
	find_id_by_address(m, address, id);
	hello_send(m, address, id, 0, NULL);
}

/* An instance that is to be sent a hello again. */
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
 * Sends hellos to a random choice of suspect and draining instances, to which
 * no other process sends any, and of dead instances that are still listed:
 * these may have restarted, or a partition may have ended.
 */
static void retry_instances(struct member *m, apr_time_t now)
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
		int slot;

		if (!needs_retry(row))
			continue;
		slot = seen < RETRY_MAX ? seen
					: (int)random_below(&m->random,
							    (uint32_t)seen + 1);
		seen++;
		if (slot >= RETRY_MAX)
			continue;
		memcpy(list[slot].id, row->id, sizeof(row->id));
		memcpy(list[slot].address, row->address, sizeof(row->address));
	}
	table_unlock(t);
	for (i = 0; i < seen && i < RETRY_MAX; i++)
		hello_send(m, list[i].address, list[i].id, 0, NULL);
}

/* Sends the queued changes to the neighbours in the overlay. */
static void notify_neighbors(struct member *m, apr_time_t now)
{
	struct outbox out;
	struct overlay o;
	int i;

	if (now < m->notify_due)
		return;
	pthread_mutex_lock(&m->mutex);
	out = m->outbox;
	m->outbox.count = 0;
	pthread_mutex_unlock(&m->mutex);
	if (!out.count)
		return;
	m->notify_due = now + NOTIFY_INTERVAL_US;
	config_get_overlay(&o);
	for (i = 0; i < o.neighbor_count; i++)
		hello_send(m, o.neighbors[i], "", 1, &out);
	for (i = 0; i < o.extra_peer_count; i++)
		hello_send(m, o.extra_peers[i], "", 1, &out);
}

/*
 * Notifies the entries that route here and the neighbours, once, as soon as
 * this process drains.
 */
static void announce_draining(struct member *m)
{
	char addresses[REPORT_READERS_MAX][SETTINGS_ADDRESS_SIZE];
	struct overlay o;
	int i;

	if (m->has_announced_draining || !node_draining(m->node))
		return;
	m->has_announced_draining = 1;
	pthread_mutex_lock(&m->mutex);
	for (i = 0; i < REPORT_READERS_MAX; i++)
		memcpy(addresses[i], m->report_readers[i].address,
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
 * Queries the seeds in turn for all instances they have: often at the start,
 * and periodically afterwards so that the sides of a partition find each
 * other again when it ends.
 */
static void query_next_seed(struct member *m, apr_time_t now)
{
	const struct settings *s = &m->node->settings;
	const char *seed;

	if (!m->has_no_list || !s->seed_count || now < m->join_due)
		return;
	m->join_due = now + (m->join_count < JOIN_STARTUP_COUNT
				     ? JOIN_STARTUP_PERIOD_US
				     : JOIN_PERIOD_US);
	seed = s->seeds[m->join_count++ % (unsigned)s->seed_count];
	if (strcmp(seed, s->address))
		hello_send_join(m, seed);
}

static void update_agent_reports(struct member *m)
{
	struct table *t = &m->node->board.instances;
	struct handle at = HANDLE_NONE;
	struct instance *row, *rows;
	int count = 0, i;

	table_lock(t);
	rows = calloc(t->count + 1, sizeof(*rows));
	while (rows && (row = table_next(t, &at))) {
		if (row->state == INSTANCE_DRAINING ||
		    row->state == INSTANCE_DEAD)
			rows[count++] = *row;
	}
	table_unlock(t);
	for (i = 0; i < count; i++)
		update_agent_report(m, &rows[i]);
	free(rows);
}

/* See member.h. */
void member_send_hello(const char *address, const char *id)
{
	hello_send(&member, address, id, 0, NULL);
}

/* See member.h. */
int member_is_self_listed(void)
{
	return __atomic_load_n(&member.is_self_listed, __ATOMIC_RELAXED);
}

static uint64_t current_revision(struct member *m)
{
	struct document *d = board_document(&m->node->board);
	uint64_t revision = d ? d->revision : 0;

	document_unref(d);
	return revision;
}

/*
 * Updates the subset after a change of the fleet or of the document, at most
 * once in SUBSET_UPDATE_INTERVAL_US.
 */
static void update_subset(struct member *m, apr_time_t now)
{
	unsigned instance_generation =
		__atomic_load_n(&m->instance_generation, __ATOMIC_RELAXED);

	if (now < m->subset_due ||
	    (instance_generation == m->targets_generation &&
	     current_revision(m) == m->targets_revision))
		return;
	m->subset_due = now + SUBSET_UPDATE_INTERVAL_US;
	m->targets_generation = instance_generation;
	update_agent_reports(m);
	member_update_targets(m, now);
}

static void remove_expired_instances(struct member *m, apr_time_t now)
{
	struct table *t = &m->node->board.instances;

	if (now < m->cleanup_due)
		return;
	m->cleanup_due = now + APR_USEC_PER_SEC;
	table_lock(t);
	if (member_remove_expired(t, m->has_no_list, now))
		__atomic_add_fetch(&m->instance_generation, 1,
				   __ATOMIC_RELAXED);
	table_unlock(t);
}

/* Updates is_draining in an agent's own row. */
static void update_own_report(struct member *m)
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

	process_inbox(m, now);
	announce_draining(m);
	send_successor_hello(m, now);
	retry_instances(m, now);
	query_next_seed(m, now);
	notify_neighbors(m, now);
	remove_expired_instances(m, now);
	if (m->node->role == ROLE_AGENT) {
		update_own_report(m);
		return;
	}
	if (m->has_no_list) /* agents send their reports unasked */
		return;
	update_subset(m, now);
	member_poll_reports(m, now);
}

static void add_own_report(struct member *m)
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
	m->is_stopping = 1;
	pthread_mutex_unlock(&m->mutex);
	worker_pool_stop(m->pool);
	m->pool = NULL;
}

/* See member.h. */
int member_start(struct node *n, struct error *err)
{
	struct member *m = &member;
	int threads = n->role == ROLE_ENTRY ? ENTRY_THREADS : AGENT_THREADS;

	m->node = n;
	m->has_no_list = n->settings.platform == PLATFORM_STORE;
	pthread_mutex_init(&m->mutex, NULL);
	random_seed(&m->random, random_next(&n->random));
	m->report_period = HELLO_PERIOD_US;
	m->pool = worker_pool_start(threads, QUEUE_MAX);
	if (!m->pool || rpc_server_add(member_kinds, m))
		return error_set(err, ERROR_INTERNAL, "member-start", NULL,
				 "cannot start worker threads or register "
				 "RPC messages");
	if (n->role == ROLE_AGENT)
		add_own_report(m);
	config_set_value_ops(SPREAD_INSTANCES, &member_list_ops, m);
	node_add_controller(n, "member", CONTROLLER_PERIOD_US, member_step, m);
	node_add_status(n, "members", member_status, m);
	node_add_stop(n, member_stop, m);
	return 0;
}
