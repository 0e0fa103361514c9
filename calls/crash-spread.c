#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/metric.h"
#include "calls/crash-table.h"
#include "member/instance.h"

/*
 * Sends deaths to the entries and agents of the data center.  Changed rows are
 * sent to all at the next step; every CRASH_COMPARE_INTERVAL_US whole lists
 * are exchanged with one of them, for processes that were unreachable or have
 * just started.
 */

#define CRASH_STEP_INTERVAL_US (20 * 1000)
#define CRASH_COMPARE_INTERVAL_US (5 * APR_USEC_PER_SEC)
#define CRASH_TARGETS_MAX 128
#define CRASH_TIMEOUT_MS 300
#define CRASH_SEND_ATTEMPTS_MAX 2

struct crash_target {
	char id[64];
	char address[64];
};

/* A message that several jobs send; the last reference frees it. */
struct crash_broadcast {
	struct crash_list *list;
	const struct rpc_kind *kind;
	struct crash_message message;
	int refs;
};

struct crash_job {
	struct job job;
	struct crash_broadcast *broadcast;
	struct crash_target to;
};

/* Drops refs references, and frees the message with the last one. */
static void release_broadcast(struct crash_broadcast *s, int refs)
{
	if (__atomic_sub_fetch(&s->refs, refs, __ATOMIC_ACQ_REL))
		return;
	xdr_free((xdrproc_t)xdr_crash_message, &s->message);
	free(s);
}

static void crash_job_run(struct job *j)
{
	struct crash_job *crash_job = (struct crash_job *)j;
	struct crash_broadcast *s = crash_job->broadcast;
	struct node *n = s->list->node;
	struct crash_message reply;
	struct error err = ERROR_INIT;
	int i, failed = 1;

	for (i = 0; i < CRASH_SEND_ATTEMPTS_MAX && failed; i++)
		failed = rpc_exchange(
			n->rpc, crash_job->to.address, n->settings.rpc_port,
			s->kind, &s->message, &reply, CRASH_TIMEOUT_MS, &err);
	if (!failed) {
		crash_merge(s->list, &reply, clock_now());
		xdr_free((xdrproc_t)xdr_crash_message, &reply);
	}
	release_broadcast(s, 1);
	free(crash_job);
}

static int serve_updates(void *arg, const struct rpc_peer *from,
			 const void *request, void *reply)
{
	(void)from;
	(void)reply;
	if (crash_merge(arg, request, clock_now()))
		metric_count("crash_news", NULL, 1);
	return 0;
}

static int serve_compare(void *arg, const struct rpc_peer *from,
			 const void *request, void *reply)
{
	(void)from;
	crash_merge(arg, request, clock_now());
	crash_collect_updates(arg, reply, 1, clock_now());
	return 0;
}

static const struct rpc_kind crash_kinds[] = {
	{ RPC_KIND_LIMITS + 10, "crash-news", (xdrproc_t)xdr_crash_message,
	  sizeof(struct crash_message), (xdrproc_t)xdr_crash_message,
	  sizeof(struct crash_message), serve_updates },
	{ RPC_KIND_LIMITS + 11, "crash-compare", (xdrproc_t)xdr_crash_message,
	  sizeof(struct crash_message), (xdrproc_t)xdr_crash_message,
	  sizeof(struct crash_message), serve_compare },
	{ 0 },
};

/*
 * Lists the other live processes of this data center, up to
 * CRASH_TARGETS_MAX.  Returns their number.
 */
static int list_targets(struct node *n, struct crash_target *out)
{
	struct table *t = &n->board.instances;
	struct handle h = HANDLE_NONE;
	struct instance *i;
	int count = 0;

	table_lock(t);
	while ((i = table_next(t, &h)) && count < CRASH_TARGETS_MAX) {
		if (i->state == INSTANCE_DEAD ||
		    strcmp(i->data_center, n->settings.data_center) ||
		    !strcmp(i->id, n->settings.instance))
			continue;
		memcpy(out[count].id, i->id, sizeof(i->id));
		memcpy(out[count].address, i->address, sizeof(i->address));
		count++;
	}
	table_unlock(t);
	return count;
}

/*
 * Submits a job that sends the message to one process.  Returns the number of
 * references that the caller must release: 1 if the job was not accepted.
 */
static int broadcast_to(struct crash_broadcast *s,
			const struct crash_target *to)
{
	struct crash_job *crash_job = calloc(1, sizeof(*crash_job));

	if (!crash_job)
		abort();
	crash_job->job.run = crash_job_run;
	crash_job->broadcast = s;
	crash_job->to = *to;
	__atomic_add_fetch(&s->refs, 1, __ATOMIC_ACQ_REL);
	if (!worker_pool_submit(s->list->node->pool, &crash_job->job))
		return 0;
	free(crash_job);
	return 1;
}

static struct crash_broadcast *new_broadcast(struct crash_list *c, int all,
					     apr_time_t now)
{
	struct crash_broadcast *s = calloc(1, sizeof(*s));

	if (!s)
		abort();
	s->list = c;
	s->kind = &crash_kinds[all];
	s->refs = 1;
	crash_collect_updates(c, &s->message, all, now);
	return s;
}

/*
 * Sends changed rows to all processes of the data center, and every
 * CRASH_COMPARE_INTERVAL_US exchanges the whole list with a random one.
 */
static void crash_step(void *arg, apr_time_t now)
{
	static struct crash_target targets[CRASH_TARGETS_MAX];
	struct crash_list *c = arg;
	struct crash_broadcast *s;
	int i, count, refs_left = 1;

	s = new_broadcast(c, 0, now);
	if (s->message.records.records_len) {
		count = list_targets(c->node, targets);
		for (i = 0; i < count; i++)
			refs_left += broadcast_to(s, &targets[i]);
		log_warning("crash", NULL,
			    "sending to %d processes %u changed records of "
			    "requests in flight when an upstream died",
			    count, s->message.records.records_len);
	}
	release_broadcast(s, refs_left);
	if (now - c->last_compare < CRASH_COMPARE_INTERVAL_US)
		return;
	count = list_targets(c->node, targets);
	if (!count)
		return;
	c->last_compare = now;
	s = new_broadcast(c, 1, now);
	refs_left = broadcast_to(
		s, &targets[random_below(&c->node->random, count)]);
	release_broadcast(s, 1 + refs_left);
}

static json_t *crash_status(void *arg)
{
	struct handle h = HANDLE_NONE;
	struct crash_list *c = arg;
	apr_time_t now = clock_now();
	int suspects = 0, refused = 0;
	struct crash_row *r;

	table_lock(&c->rows);
	while ((r = table_next(&c->rows, &h))) {
		if (now < r->refused_until)
			refused++;
		else
			suspects++;
	}
	table_unlock(&c->rows);
	return json_pack("{s:i,s:i}", "suspects", suspects, "refused", refused);
}

/*
 * Creates the list of an entry or agent, with its RPC handlers, controller and
 * status.  Must be called before the node runs.  Fails with ERROR_INTERNAL
 * when out of memory and ERROR_FULL when too many message kinds exist.
 */
int crash_start(struct node *n, struct crash_list **out, struct error *err)
{
	struct crash_list *c = calloc(1, sizeof(*c));

	if (!c)
		return error_set(
			err, ERROR_INTERNAL, "crash-start", NULL,
			"out of memory for the list of crash suspects");
	crash_init(c);
	c->node = n;
	if (rpc_server_add(crash_kinds, c))
		return error_set(
			err, ERROR_FULL, "crash-start", NULL,
			"no room for the RPC message kinds of the crash list");
	node_add_controller(n, "crash", CRASH_STEP_INTERVAL_US, crash_step, c);
	node_add_status(n, "crash", crash_status, c);
	*out = c;
	return 0;
}
