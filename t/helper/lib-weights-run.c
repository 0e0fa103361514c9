#include "t/helper/lib-weights-run.h"
#include "weights/hint.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define FAILURE_DELAY_US (1500 * 1000)
#define REFUSAL_DELAY_US (5 * 1000)
#define BUSY_RETRY_US (60 * 1000)
#define QUEUE_MAX 4
#define ACTIONS_MAX 16
#define NEVER INT64_MAX
/* Time limit that the default intervals of a distribution suit. */
#define RUN_DEFAULT_LIMIT_US (20.0 * APR_USEC_PER_SEC)

static struct manifest *create_fake_manifest(const struct run *r, int release)
{
	struct manifest *m = calloc(1, sizeof(*m));
	int i;

	m->chunk_size = RUN_CHUNK_BYTES;
	m->chunk_count = (uint32_t)r->chunks;
	m->size = (uint64_t)r->chunks * RUN_CHUNK_BYTES;
	m->chunks = calloc((size_t)r->chunks, sizeof(*m->chunks));
	for (i = 0; i < r->chunks; i++) {
		uint64_t in[2] = { r->seed, (uint64_t)i };

		in[1] |= (uint64_t)(release - 1) << 32;
		digest_of(in, sizeof(in), &m->chunks[i]);
	}
	digest_of(m->chunks, sizeof(*m->chunks), &m->id);
	return m;
}

static struct swarm *create_swarm(struct run *r, int release)
{
	struct swarm_policy policy = { r->time_weight, PLACE_PERMITS_MAX,
				       0.4 * (double)r->load_time_limit /
					       RUN_DEFAULT_LIMIT_US };

	return swarm_new(create_fake_manifest(r, release), &policy,
			 random_next(&r->random), r->now);
}

static void set_activation(struct run *r, struct run_node *n)
{
	char version[16];

	snprintf(version, sizeof(version), "%d", n->release);
	activation_set_version(&n->activation, version,
			       r->named_at[n->release]);
}

/*
 * Creates the instances of a fleet. The caller sets its sizes and rates first.
 */
void run_begin(struct run *r)
{
	int i;

	random_seed(&r->random, r->seed);
	r->count = r->dcs * r->nodes_per_dc;
	r->origin_fetches =
		calloc((size_t)r->chunks, sizeof(*r->origin_fetches));
	r->now = APR_USEC_PER_SEC;
	r->release = 1;
	r->named_at[1] = r->now;
	for (i = 0; i < r->count; i++) {
		struct run_node *n = &r->nodes[i];
		int carriers = r->nodes_per_dc < PLACE_CARRIERS_MAX
				       ? r->nodes_per_dc
				       : PLACE_CARRIERS_MAX;

		n->dc = i / r->nodes_per_dc;
		snprintf(n->id, sizeof(n->id), "dc%d-%d", n->dc,
			 i % r->nodes_per_dc);
		n->release = 1;
		n->swarm = create_swarm(r, 1);
		n->activation.loader_bit = ACTIVATE_NOT_LOADER;
		n->activation.loader_rank = i;
		n->activation.live_count = r->count;
		n->activation.load_time_limit = r->load_time_limit;
		set_activation(r, n);
		activation_record_running(&n->activation, "0", 1, 0, 0, r->now);
		n->view.self = -1;
		pace_init(&n->receive, r->link_rate, r->link_rate / 4, r->now);
		pace_init(&n->cross, r->cross_rate / carriers, RUN_CHUNK_BYTES,
			  r->now);
	}
}

/* Returns 1 when two instances can reach each other. */
static int is_reachable(const struct run *r, int a, int b)
{
	int da = r->nodes[a].dc, db = r->nodes[b].dc;

	return da == db || (!r->partitioned[da] && !r->partitioned[db]);
}

/*
 * Returns 1 when observer considers subject live. Crashes and
 * partitions are detected only after RUN_DETECTION_US.
 */
static int is_considered_live(const struct run *r, int subject, int observer)
{
	const struct run_node *o = &r->nodes[subject];
	int dc = r->nodes[observer].dc;

	if (o->dead && r->now - o->dead_at > RUN_DETECTION_US)
		return 0;
	if (is_reachable(r, subject, observer))
		return 1;
	if (r->partitioned[o->dc])
		return r->now - r->partitioned_at[o->dc] <= RUN_DETECTION_US;
	return r->now - r->partitioned_at[dc] <= RUN_DETECTION_US;
}

static void place_node(struct run *r, int node)
{
	struct run_node *n = &r->nodes[node];
	char dc[16];
	int i;

	place_view_clear(&n->view);
	for (i = 0; i < r->count; i++) {
		snprintf(dc, sizeof(dc), "dc%d", r->nodes[i].dc);
		place_view_add(&n->view, r->nodes[i].id, r->nodes[i].id, dc,
			       i == node || is_considered_live(r, i, node));
	}
	place_view_rank_members(&n->view, n->id, &n->swarm->manifest->id);
	swarm_apply_view(n->swarm, &n->view, r->now);
}

/* Returns the index of an instance, or -1. */
int run_find_node(const struct run *r, const char *id)
{
	int i;

	for (i = 0; i < r->count; i++)
		if (!strcmp(r->nodes[i].id, id))
			return i;
	return -1;
}

static int is_awake(const struct run *r, int node)
{
	return !r->nodes[node].dead && r->nodes[node].paused_until <= r->now;
}

static void pass_have(struct run *r, int from, int to)
{
	struct swarm *sf = r->nodes[from].swarm, *st = r->nodes[to].swarm;
	struct swarm_peer *p = swarm_find_peer(sf, r->nodes[to].id);
	struct swarm_peer *q = swarm_find_peer(st, r->nodes[from].id);
	struct weights_have h;

	memset(&h, 0, sizeof(h));
	if (!p || !q || r->nodes[from].release != r->nodes[to].release)
		return;
	swarm_make_have(sf, p, &h, r->now);
	swarm_merge_have(st, q, &h, r->now);
	xdr_free((xdrproc_t)xdr_weights_have, (char *)&h);
}

/* Passes the same state in the header of a request for a chunk. */
static void pass_hint(struct run *r, int from, int to)
{
	struct swarm *sf = r->nodes[from].swarm, *st = r->nodes[to].swarm;
	struct swarm_peer *p = swarm_find_peer(sf, r->nodes[to].id);
	struct swarm_peer *q = swarm_find_peer(st, r->nodes[from].id);
	u_int entries[HINT_ENTRIES_MAX];
	struct weights_have h, got;
	char text[HINT_SIZE];

	memset(&h, 0, sizeof(h));
	if (!p || !q || r->nodes[from].release != r->nodes[to].release)
		return;
	swarm_make_have(sf, p, &h, r->now);
	hint_format(&h, text);
	if (!hint_parse(text, &got, entries))
		swarm_merge_hint(st, q, &got, r->now);
	xdr_free((xdrproc_t)xdr_weights_have, (char *)&h);
}

static void exchange_node(struct run *r, int node)
{
	struct swarm *s = r->nodes[node].swarm;
	int i, peer, other;

	for (i = 0; i < 4; i++) {
		peer = swarm_next_exchange_peer(s, 0, r->now);
		if (peer == SWARM_NO_PEER)
			return;
		r->exchanges++;
		s->peers[peer].exchanged_at = r->now;
		other = run_find_node(r, s->peers[peer].id);
		if (!is_awake(r, other) || !is_reachable(r, node, other)) {
			s->peers[peer].failures++;
			continue;
		}
		pass_have(r, node, other);
		pass_have(r, other, node);
	}
}

static struct run_transfer *allocate_transfer(struct run *r, int node,
					      const struct swarm_action *a)
{
	struct run_transfer *t = r->transfers;

	while (t->is_used)
		t++;
	t->is_used = 1;
	t->node = node;
	t->release = r->nodes[node].release;
	r->superseded_starts += t->release < r->release;
	t->peer = -1;
	t->action = *a;
	t->result = RESULT_DONE;
	t->wait = 0;
	return t;
}

static void start_origin_fetch(struct run *r, struct run_transfer *t)
{
	apr_interval_time_t time =
		(apr_interval_time_t)(RUN_CHUNK_BYTES * 1e6 / r->origin_rate);

	if (r->origin_mode != ORIGIN_OK) {
		t->end = r->now + REFUSAL_DELAY_US;
		t->result = r->origin_mode == ORIGIN_429 ? RESULT_WAIT
							 : RESULT_FAILED;
		t->wait = APR_USEC_PER_SEC;
		return;
	}
	if (r->origin_free_at < r->now)
		r->origin_free_at = r->now;
	r->origin_free_at += time;
	t->end = r->origin_free_at;
	r->origin_fetches[t->action.chunk]++;
	r->origin_chunks++;
	if ((int)random_below(&r->random, 1000) < r->origin_corrupt)
		t->result = RESULT_CORRUPT;
}

static void start_pull(struct run *r, struct run_transfer *t, int peer)
{
	struct run_node *from = &r->nodes[peer];

	t->peer = peer;
	if (!is_awake(r, peer) || !is_reachable(r, t->node, peer)) {
		t->end = r->now + FAILURE_DELAY_US;
		t->result = RESULT_FAILED;
		return;
	}
	if (from->release != t->release ||
	    from->swarm->chunks[t->action.chunk].status != CHUNK_HELD ||
	    from->queued >= (t->action.kind == TRANSFER_CARRY ? RUN_QUEUE_MAX
							      : QUEUE_MAX)) {
		t->end = r->now + REFUSAL_DELAY_US;
		t->result = RESULT_BUSY;
		t->wait = BUSY_RETRY_US;
		t->peer = -1;
		return;
	}
	t->end = NEVER;
	from->queue[from->queued++] = t;
	if (from->corrupt)
		t->result = RESULT_CORRUPT;
}

static struct send_rank request_rank(const struct run *r,
				     const struct run_node *n,
				     const struct run_transfer *t)
{
	struct send_rank rank = { t->action.kind == TRANSFER_CARRY,
				  !n->swarm->chunks[t->action.chunk].is_sent,
				  r->nodes[t->node].swarm->held_count * 1000 /
					  (uint32_t)r->chunks };

	return rank;
}

static int find_best_request(const struct run *r, const struct run_node *n)
{
	struct send_rank a, b;
	int i, best = 0;

	for (i = 1; i < n->queued; i++) {
		a = request_rank(r, n, n->queue[i]);
		b = request_rank(r, n, n->queue[best]);
		if (send_rank_is_before(&a, &b))
			best = i;
	}
	return best;
}

/* Sends queued chunks one after the other, at the rate of the link. */
static void send_chunks(struct run *r, struct run_node *n)
{
	int best;

	while (n->send_free_at <= r->now && n->queued) {
		best = find_best_request(r, n);
		n->sending = n->queue[best];
		n->queue[best] = n->queue[--n->queued];
		n->swarm->chunks[n->sending->action.chunk].is_sent = 1;
		if (n->send_free_at < r->now - RUN_STEP_US)
			n->send_free_at = r->now;
		n->send_free_at += (apr_interval_time_t)(RUN_CHUNK_BYTES * 1e6 /
							 r->link_rate);
		n->sending->end = n->send_free_at;
	}
}

/* Fails the requests that wait at a crashed sender after FAILURE_DELAY_US. */
static void fail_queue(struct run *r, struct run_node *n)
{
	while (n->queued) {
		n->queue[--n->queued]->result = RESULT_FAILED;
		n->queue[n->queued]->end = r->now + FAILURE_DELAY_US;
	}
}

static void start_transfers(struct run *r, int node)
{
	struct run_node *n = &r->nodes[node];
	struct swarm_action actions[ACTIONS_MAX];
	struct swarm_credit credit = { pace_level(&n->receive, r->now),
				       pace_level(&n->cross, r->now) };
	int i, count;

	count = swarm_choose_transfers(n->swarm, &credit, r->now, actions,
				       ACTIONS_MAX);
	for (i = 0; i < count; i++) {
		struct run_transfer *t =
			allocate_transfer(r, node, &actions[i]);

		pace_charge(&n->receive, RUN_CHUNK_BYTES, r->now);
		if (actions[i].kind == TRANSFER_CARRY)
			pace_charge(&n->cross, RUN_CHUNK_BYTES, r->now);
		if (actions[i].kind == TRANSFER_ORIGIN_FETCH)
			start_origin_fetch(r, t);
		else
			start_pull(
				r, t,
				run_find_node(
					r,
					n->swarm->peers[actions[i].peer].id));
	}
}

static void finish_transfer(struct run *r, struct run_transfer *t)
{
	struct run_node *n = &r->nodes[t->node];

	t->is_used = 0;
	if (t->peer >= 0 &&
	    (r->nodes[t->peer].dead || !is_reachable(r, t->node, t->peer)))
		t->result = RESULT_FAILED;
	if (n->dead || t->release != n->release)
		return;
	if (t->result != RESULT_DONE) {
		pace_charge(&n->receive, -RUN_CHUNK_BYTES, r->now);
		if (t->action.kind == TRANSFER_CARRY)
			pace_charge(&n->cross, -RUN_CHUNK_BYTES, r->now);
	} else if (t->action.kind == TRANSFER_CARRY) {
		r->cross_chunks[n->dc]++;
	}
	if (t->result == RESULT_DONE && t->peer >= 0 &&
	    r->nodes[t->peer].corrupt)
		r->corrupt_staged++;
	swarm_record_result(n->swarm, &t->action, t->result, t->wait, r->now);
	if (t->result == RESULT_DONE && t->peer >= 0) {
		pass_hint(r, t->peer, t->node);
		pass_hint(r, t->node, t->peer);
	}
}

static void finish_due_transfers(struct run *r)
{
	int i;

	for (i = 0; i < RUN_TRANSFERS_MAX; i++) {
		struct run_transfer *t = &r->transfers[i];

		if (t->is_used && t->end <= r->now &&
		    (r->nodes[t->node].dead || is_awake(r, t->node)))
			finish_transfer(r, t);
	}
}

/*
 * Fetches every chunk from the origin on every instance: the baseline that the
 * distribution is compared with.
 */
static void run_naive_step(struct run *r)
{
	int i, c;

	for (i = 0; i < r->count; i++) {
		struct swarm *s = r->nodes[i].swarm;

		for (c = 0; c < r->chunks && !r->nodes[i].dead; c++) {
			r->origin_fetches[c]++;
			r->origin_chunks++;
			swarm_mark_held(s, (uint32_t)c, r->now);
		}
	}
}

static void drop_request(struct run_node *n, const struct run_transfer *t)
{
	int i;

	for (i = 0; i < n->queued; i++)
		if (n->queue[i] == t)
			n->queue[i--] = n->queue[--n->queued];
}

/* Ends the transfers of an instance that have not begun to arrive. */
static void cancel_transfers(struct run *r, int node)
{
	apr_interval_time_t time =
		(apr_interval_time_t)(RUN_CHUNK_BYTES * 1e6 / r->origin_rate);
	int i;

	for (i = 0; i < RUN_TRANSFERS_MAX; i++) {
		struct run_transfer *t = &r->transfers[i];

		if (!t->is_used || t->node != node)
			continue;
		if (t->action.kind == TRANSFER_ORIGIN_FETCH &&
		    t->result == RESULT_DONE && t->end - time > r->now) {
			r->origin_free_at -= time;
			r->origin_chunks--;
			t->is_used = 0;
		} else if (t->peer >= 0 && t->end == NEVER) {
			drop_request(&r->nodes[t->peer], t);
			t->is_used = 0;
		}
	}
}

static void set_release(struct run *r, int node, int release)
{
	struct run_node *n = &r->nodes[node];

	cancel_transfers(r, node);
	n->release = release;
	swarm_free(n->swarm);
	n->swarm = create_swarm(r, release);
	set_activation(r, n);
	place_node(r, node);
}

/* Names the next release. All instances hear of it at once. */
void run_name_release(struct run *r)
{
	int i;

	r->named_at[++r->release] = r->now;
	for (i = 0; i < r->count; i++)
		set_release(r, i, r->release);
}

static void finish_load(struct run *r, struct run_node *n)
{
	char version[16];

	n->loaded_at = 0;
	n->running_release = n->loading_release;
	n->activation.is_engine_busy = 0;
	snprintf(version, sizeof(version), "%d", n->running_release);
	activation_record_running(&n->activation, version, 1, 0, 0, r->now);
}

/* Loads the release when its turn has come. */
static void load_release(struct run *r, int node)
{
	struct run_node *n = &r->nodes[node];

	if (n->loaded_at && n->loaded_at <= r->now)
		finish_load(r, n);
	n->activation.is_complete = swarm_is_complete(n->swarm);
	if (activation_step(&n->activation, r->now) == ACTIVATION_READY) {
		n->loading_release = n->release;
		n->loaded_at = r->now + RUN_LOAD_US;
		n->activation.is_engine_busy = 1;
		r->superseded_loads += n->release < r->release;
	}
	r->expired_steps += n->running_release < r->release &&
			    r->now - r->named_at[n->running_release + 1] >=
				    r->load_time_limit;
}

static int is_finished(const struct run *r)
{
	int count = r->load_time_limit ? run_count_loaded(r)
				       : run_count_complete(r);

	return count == run_count_live(r);
}

/* Advances the simulation by RUN_STEP_US. */
void run_step(struct run *r)
{
	int i, place = !r->placed_at || r->now - r->placed_at >= 250000;

	r->now += RUN_STEP_US;
	if (r->naive) {
		run_naive_step(r);
		r->finished_at = r->now;
		return;
	}
	finish_due_transfers(r);
	if (place)
		r->placed_at = r->now;
	for (i = 0; i < r->count; i++) {
		if (r->nodes[i].dead)
			fail_queue(r, &r->nodes[i]);
		if (!is_awake(r, i))
			continue;
		send_chunks(r, &r->nodes[i]);
		if (place)
			place_node(r, i);
		exchange_node(r, i);
		start_transfers(r, i);
		if (r->load_time_limit)
			load_release(r, i);
	}
	if (!r->finished_at && is_finished(r))
		r->finished_at = r->now;
}

/* Returns how many live instances hold every chunk. */
int run_count_complete(const struct run *r)
{
	int i, n = 0;

	for (i = 0; i < r->count; i++)
		n += !r->nodes[i].dead && swarm_is_complete(r->nodes[i].swarm);
	return n;
}

/* Returns how many live instances run the newest release. */
int run_count_loaded(const struct run *r)
{
	int i, n = 0;

	for (i = 0; i < r->count; i++)
		n += !r->nodes[i].dead &&
		     r->nodes[i].running_release == r->release;
	return n;
}

/* Returns how many instances are live. */
int run_count_live(const struct run *r)
{
	int i, n = 0;

	for (i = 0; i < r->count; i++)
		n += !r->nodes[i].dead;
	return n;
}

/* Crashes an instance. */
void run_kill(struct run *r, int node)
{
	r->nodes[node].dead = 1;
	r->nodes[node].dead_at = r->now;
}

/* Frees the instances of a run. */
void run_end(struct run *r)
{
	int i;

	for (i = 0; i < r->count; i++) {
		swarm_free(r->nodes[i].swarm);
		place_view_clear(&r->nodes[i].view);
	}
	free(r->origin_fetches);
}
