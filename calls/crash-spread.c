#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/metric.h"
#include "calls/crash-table.h"
#include "member/instance.h"

/*
 * Sends deaths to others.
 *
 * A list of requests is that of the entries and agents of a data center.
 * Changed rows are sent to all at the next step; every
 * CRASH_COMPARE_INTERVAL_US whole lists are exchanged with one of them, for
 * processes that were unreachable or have just started.
 *
 * A list of items is that of all entries.  Changed rows are sent to a few at
 * each step, for as many steps as reach all, and those to whom they are new
 * send them on.  Every CRASH_PULL_INTERVAL_US an entry whose list isn't empty
 * asks another whether its list differs.
 */

#define CRASH_STEP_INTERVAL_US (20 * 1000)
#define CRASH_COMPARE_INTERVAL_US (5 * APR_USEC_PER_SEC)
#define CRASH_GOSSIP_INTERVAL_US (100 * 1000)
#define CRASH_PULL_INTERVAL_US APR_USEC_PER_SEC
#define CRASH_TARGETS_MAX CRASH_ENTRIES_MAX
/*
 * Longest wait of a process that starts for the lists of others; as long
 * before that to hear of any other entry.
 */
#define CRASH_READY_US APR_USEC_PER_SEC
#define CRASH_TIMEOUT_MS 300
#define CRASH_SEND_ATTEMPTS_MAX 2

struct crash_target {
	char address[64];
	uint64_t hash; /* of its id */
	int is_local;  /* in this data center */
	int is_live;
};

/* A message that several jobs send; the last reference frees it. */
struct crash_broadcast {
	struct crash_list *list;
	const struct rpc_kind *kind;
	struct crash_message message;
	int is_pull;
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
		if (s->is_pull)
			__atomic_store_n(&s->list->has_compared, 1,
					 __ATOMIC_RELAXED);
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

/* Answers with a page of the list, or with none if the lists are equal. */
static int serve_pull(void *arg, const struct rpc_peer *from,
		      const void *request, void *reply)
{
	const struct crash_message *in = request;
	struct crash_message *out = reply;
	apr_time_t now = clock_now();
	uint64_t summary = crash_summary(arg, now);

	(void)from;
	if (in->summary != summary)
		crash_collect_page(arg, out, now);
	out->summary = summary;
	return 0;
}

/* Kinds 10 and 11 had records of another form in earlier releases. */
static const struct rpc_kind crash_kinds[] = {
	{ RPC_KIND_LIMITS + 14, "crash-news", (xdrproc_t)xdr_crash_message,
	  sizeof(struct crash_message), (xdrproc_t)xdr_crash_message,
	  sizeof(struct crash_message), serve_updates },
	{ RPC_KIND_LIMITS + 15, "crash-compare", (xdrproc_t)xdr_crash_message,
	  sizeof(struct crash_message), (xdrproc_t)xdr_crash_message,
	  sizeof(struct crash_message), serve_compare },
	{ 0 },
};

static const struct rpc_kind item_kinds[] = {
	{ RPC_KIND_LIMITS + 12, "crash-items", (xdrproc_t)xdr_crash_message,
	  sizeof(struct crash_message), (xdrproc_t)xdr_crash_message,
	  sizeof(struct crash_message), serve_updates },
	{ RPC_KIND_LIMITS + 13, "crash-pull", (xdrproc_t)xdr_crash_message,
	  sizeof(struct crash_message), (xdrproc_t)xdr_crash_message,
	  sizeof(struct crash_message), serve_pull },
	{ 0 },
};

static int is_in_data_center(const struct node *n, const struct instance *i)
{
	return !strcmp(i->data_center, n->settings.data_center);
}

static int is_entry(const struct node *n, const struct instance *i)
{
	(void)n;
	return i->role == ROLE_ENTRY;
}

/*
 * Lists the other processes that are not dead and that has_list accepts, up to
 * CRASH_TARGETS_MAX.  Returns their number.
 */
static int list_targets(struct node *n,
			int (*has_list)(const struct node *n,
					const struct instance *i),
			struct crash_target *out)
{
	struct table *t = &n->board.instances;
	struct handle h = HANDLE_NONE;
	struct instance *i;
	int count = 0;

	table_lock(t);
	while ((i = table_next(t, &h)) && count < CRASH_TARGETS_MAX) {
		if (i->state == INSTANCE_DEAD || !has_list(n, i) ||
		    !strcmp(i->id, n->settings.instance))
			continue;
		memcpy(out[count].address, i->address, sizeof(i->address));
		out[count].hash = place_hash_string(i->id, 0);
		out[count].is_local = is_in_data_center(n, i);
		out[count].is_live = i->state == INSTANCE_LIVE;
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

/* Returns a message without records, with one reference. */
static struct crash_broadcast *new_broadcast(struct crash_list *c,
					     const struct rpc_kind *kind)
{
	struct crash_broadcast *s = calloc(1, sizeof(*s));

	if (!s)
		abort();
	s->list = c;
	s->kind = kind;
	s->refs = 1;
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

	s = new_broadcast(c, &crash_kinds[0]);
	crash_collect_updates(c, &s->message, 0, now);
	if (s->message.records.records_len) {
		count = list_targets(c->node, is_in_data_center, targets);
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
	count = list_targets(c->node, is_in_data_center, targets);
	if (!count)
		return;
	c->last_compare = now;
	s = new_broadcast(c, &crash_kinds[1]);
	crash_collect_updates(c, &s->message, 1, now);
	refs_left = broadcast_to(
		s, &targets[random_below(&c->node->random, count)]);
	release_broadcast(s, 1 + refs_left);
}

/* Sends the changed rows to some of the targets. */
static void send_gossip(struct crash_list *c,
			const struct crash_target *targets, int count,
			apr_time_t now)
{
	struct crash_broadcast *s = new_broadcast(c, &item_kinds[0]);
	int chosen[CRASH_TARGETS_MAX], locals[CRASH_TARGETS_MAX];
	int i, n, refs_left = 1;

	crash_collect_updates(c, &s->message, 0, now);
	if (s->message.records.records_len) {
		for (i = 0; i < count; i++)
			locals[i] = targets[i].is_local;
		n = crash_choose_targets(locals, count, &c->node->random,
					 chosen);
		for (i = 0; i < n; i++)
			refs_left += broadcast_to(s, &targets[chosen[i]]);
		metric_count("crash_messages", NULL, n);
	}
	release_broadcast(s, refs_left);
}

static void send_pull(struct crash_list *c, const struct crash_target *to,
		      apr_time_t now)
{
	struct crash_broadcast *s = new_broadcast(c, &item_kinds[1]);

	s->is_pull = 1;
	s->message.summary = crash_summary(c, now);
	release_broadcast(s, 1 + broadcast_to(s, to));
	metric_count("crash_messages", NULL, 1);
}

static void update_entries(struct crash_list *c,
			   const struct crash_target *targets, int count)
{
	uint64_t live[CRASH_TARGETS_MAX];
	int i, n = 0;

	for (i = 0; i < count; i++)
		if (targets[i].is_live)
			live[n++] = targets[i].hash;
	crash_set_entries(c, place_hash_string(c->node->settings.instance, 0),
			  live, n, count + 1);
}

/* Logs the blames and acquittals since the last call. */
static void log_turns(struct crash_list *c)
{
	struct handle h = HANDLE_NONE;
	char hex[2 * CRASH_KEY_SIZE + 1];
	struct crash_row *r;
	int is_blamed, place;

	do {
		table_lock(&c->rows);
		while ((r = table_next(&c->rows, &h)))
			if (r->turns != r->logged_turns)
				break;
		if (r) {
			r->logged_turns = r->turns;
			is_blamed = crash_is_blamed(r);
			place = r->place;
			crash_format_key(r->key, hex);
		}
		table_unlock(&c->rows);
		if (r && is_blamed)
			log_warning("crash", NULL,
				    "%s %s is refused: upstreams died while "
				    "they ran it",
				    place ? "part" : "request", hex);
		else if (r)
			log_info("crash", NULL, "%s %s is no longer refused",
				 place ? "part" : "request", hex);
	} while (r);
}

/* Returns 1 if this process, which has just started, still needs a list. */
static int is_starting(struct crash_list *c, apr_time_t now)
{
	return !__atomic_load_n(&c->has_compared, __ATOMIC_RELAXED) &&
	       (!c->peers_since || now - c->peers_since < CRASH_READY_US);
}

static void items_step(void *arg, apr_time_t now)
{
	static struct crash_target targets[CRASH_TARGETS_MAX];
	struct crash_list *c = arg;
	int count;

	if (!is_starting(c, now) &&
	    !__atomic_load_n(&c->row_count, __ATOMIC_RELAXED))
		return;
	crash_judge(c, now);
	log_turns(c);
	count = list_targets(c->node, is_entry, targets);
	if (count && !c->peers_since)
		__atomic_store_n(&c->peers_since, now, __ATOMIC_RELAXED);
	update_entries(c, targets, count);
	if (!count)
		return;
	send_gossip(c, targets, count, now);
	if (!is_starting(c, now) &&
	    now - c->last_compare < CRASH_PULL_INTERVAL_US)
		return;
	c->last_compare = now;
	send_pull(c, &targets[random_below(&c->node->random, count)], now);
	crash_purge(c, now);
}

/*
 * A process that starts is ready when it has the list of another entry, or
 * after a limited time.
 */
static int are_items_ready(void *arg)
{
	struct crash_list *c = arg;
	apr_time_t now = clock_now();
	apr_time_t since = __atomic_load_n(&c->peers_since, __ATOMIC_RELAXED);

	if (__atomic_load_n(&c->has_compared, __ATOMIC_RELAXED))
		return 1;
	return now - (since ? since : c->started_at) >= CRASH_READY_US;
}

static json_t *items_status(void *arg)
{
	struct handle h = HANDLE_NONE;
	struct crash_list *c = arg;
	apr_time_t now = clock_now();
	json_t *blamed = json_array();
	char hex[2 * CRASH_KEY_SIZE + 1];
	struct crash_row *r;
	int suspects = 0, rows = 0;

	table_lock(&c->rows);
	while ((r = table_next(&c->rows, &h))) {
		rows++;
		suspects += crash_is_suspect(r, now);
		if (!crash_is_blamed(r))
			continue;
		crash_format_key(r->key, hex);
		json_array_append_new(
			blamed,
			json_pack("{s:s,s:s,s:i,s:i,s:I}", "item", hex, "kind",
				  r->place ? "part" : "request", "deaths",
				  r->death_count, "failed_trials",
				  r->failed_trials, "left_ms",
				  (json_int_t)(now < r->refused_until
						       ? (r->refused_until -
							  now) / 1000
						       : 0)));
	}
	table_unlock(&c->rows);
	return json_pack("{s:i,s:i,s:o}", "rows", rows, "suspects", suspects,
			 "blamed", blamed);
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

static struct crash_list *new_list(struct node *n,
				   void (*init)(struct crash_list *c),
				   const struct rpc_kind *kinds,
				   struct error *err)
{
	struct crash_list *c = calloc(1, sizeof(*c));

	if (!c) {
		error_set(err, ERROR_INTERNAL, "crash-start", NULL,
			  "out of memory for the list of crash suspects");
		return NULL;
	}
	init(c);
	c->node = n;
	if (!rpc_server_add(kinds, c))
		return c;
	error_set(err, ERROR_FULL, "crash-start", NULL,
		  "no room for the RPC message kinds of the crash list");
	crash_destroy(c);
	free(c);
	return NULL;
}

/*
 * Creates the list of an entry or agent, with its RPC handlers, controller and
 * status.  Must be called before the node runs.  Fails with ERROR_INTERNAL
 * when out of memory and ERROR_FULL when too many message kinds exist.
 */
int crash_start(struct node *n, struct crash_list **out, struct error *err)
{
	struct crash_list *c = new_list(n, crash_init, crash_kinds, err);

	if (!c)
		return -1;
	node_add_controller(n, "crash", CRASH_STEP_INTERVAL_US, crash_step, c);
	node_add_status(n, "crash", crash_status, c);
	*out = c;
	return 0;
}

/*
 * Creates the list of items that all entries share, like crash_start.  The
 * node isn't ready before it has the list of another entry, for a limited
 * time.
 */
int crash_start_entries(struct node *n, struct crash_list **out,
			struct error *err)
{
	struct crash_list *c = new_list(n, crash_init_items, item_kinds, err);

	if (!c)
		return -1;
	c->started_at = clock_now();
	node_add_controller(n, "crash", CRASH_GOSSIP_INTERVAL_US, items_step,
			    c);
	node_add_status(n, "crash", items_status, c);
	node_add_ready(n, "crash", are_items_ready, c);
	*out = c;
	return 0;
}
