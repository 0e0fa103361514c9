#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/metric.h"
#include "calls/crash-table.h"
#include "member/instance.h"

/*
 * Tells the entries and agents of the data center about deaths: at once to
 * all, and by comparing whole lists with one of them every few seconds, for
 * those that were out of reach or have just started.
 */

#define CRASH_STEP_US (20 * 1000)
#define CRASH_COMPARE_US (5 * APR_USEC_PER_SEC)
#define CRASH_TARGETS_MAX 128
#define CRASH_TIMEOUT_MS 300
#define CRASH_TRIES 2

struct crash_target {
	char id[64];
	char address[64];
};

/* One message to many; the last job frees it. */
struct crash_spread {
	struct crash_list *list;
	const struct rpc_kind *kind;
	struct crash_message message;
	int refs;
};

struct crash_job {
	struct job job;
	struct crash_spread *broadcast;
	struct crash_target to;
};

/* Gives so many references back. */
static void spread_release(struct crash_spread *s, int refs)
{
	if (__atomic_sub_fetch(&s->refs, refs, __ATOMIC_ACQ_REL))
		return;
	xdr_free((xdrproc_t)xdr_crash_message, &s->message);
	free(s);
}

static void crash_job_run(struct job *j)
{
	struct crash_job *x = (struct crash_job *)j;
	struct crash_spread *s = x->broadcast;
	struct node *n = s->list->node;
	struct crash_message reply;
	struct error err = ERROR_INIT;
	int i, failed = 1;

	for (i = 0; i < CRASH_TRIES && failed; i++)
		failed = rpc_exchange(
			n->rpc, x->to.address, n->settings.rpc_port, s->kind,
			&s->message, &reply, CRASH_TIMEOUT_MS, &err);
	if (!failed) {
		crash_merge(s->list, &reply, clock_now());
		xdr_free((xdrproc_t)xdr_crash_message, &reply);
	}
	spread_release(s, 1);
	free(x);
}

static int news_serve(void *arg, const struct rpc_peer *from,
		      const void *request, void *reply)
{
	(void)from;
	(void)reply;
	if (crash_merge(arg, request, clock_now()))
		metric_count("crash_news", NULL, 1);
	return 0;
}

static int compare_serve(void *arg, const struct rpc_peer *from,
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
	  sizeof(struct crash_message), news_serve },
	{ RPC_KIND_LIMITS + 11, "crash-compare", (xdrproc_t)xdr_crash_message,
	  sizeof(struct crash_message), (xdrproc_t)xdr_crash_message,
	  sizeof(struct crash_message), compare_serve },
	{ 0 },
};

/* Lists the other processes of this data center. */
static int targets_list(struct node *n, struct crash_target *out)
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

/* Returns the references left to give back: 1 if no job took it. */
static int spread_to(struct crash_spread *s, const struct crash_target *to)
{
	struct crash_job *x = calloc(1, sizeof(*x));

	if (!x)
		abort();
	x->job.run = crash_job_run;
	x->broadcast = s;
	x->to = *to;
	__atomic_add_fetch(&s->refs, 1, __ATOMIC_ACQ_REL);
	if (!worker_pool_submit(s->list->node->pool, &x->job))
		return 0;
	free(x);
	return 1;
}

static struct crash_spread *spread_new(struct crash_list *c, int all,
				       apr_time_t now)
{
	struct crash_spread *s = calloc(1, sizeof(*s));

	if (!s)
		abort();
	s->list = c;
	s->kind = &crash_kinds[all];
	s->refs = 1;
	crash_collect_updates(c, &s->message, all, now);
	return s;
}

/* Tells what is new to all; now and then compares with one. */
static void crash_step(void *arg, apr_time_t now)
{
	static struct crash_target targets[CRASH_TARGETS_MAX];
	struct crash_list *c = arg;
	struct crash_spread *s;
	int i, count, left = 1;

	s = spread_new(c, 0, now);
	if (s->message.records.records_len) {
		count = targets_list(c->node, targets);
		for (i = 0; i < count; i++)
			left += spread_to(s, &targets[i]);
		log_warning("crash", NULL,
			    "tells %d processes of %u requests in flight at "
			    "a death",
			    count, s->message.records.records_len);
	}
	spread_release(s, left);
	if (now - c->last_compare < CRASH_COMPARE_US)
		return;
	count = targets_list(c->node, targets);
	if (!count)
		return;
	c->last_compare = now;
	s = spread_new(c, 1, now);
	left = spread_to(s, &targets[random_below(&c->node->random, count)]);
	spread_release(s, 1 + left);
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

/* Adds the list to an entry or an agent that is not running yet. */
int crash_start(struct node *n, struct crash_list **out, struct error *err)
{
	struct crash_list *c = calloc(1, sizeof(*c));

	if (!c)
		return error_set(err, ERROR_INTERNAL, "crash-start", NULL,
				 "no memory");
	crash_init(c);
	c->node = n;
	if (rpc_server_add(crash_kinds, c))
		return error_set(err, ERROR_FULL, "crash-start", NULL,
				 "too many message kinds");
	node_add_controller(n, "crash", CRASH_STEP_US, crash_step, c);
	node_add_status(n, "crash", crash_status, c);
	*out = c;
	return 0;
}
