#include "t/helper/lib-weights-run.h"
#include "weights/hint.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define FAILED_US (1500 * 1000)
#define REFUSED_US (5 * 1000)
#define BUSY_WAIT_US (60 * 1000)
#define QUEUE_MAX 4
#define ACTIONS_MAX 16
#define NEVER INT64_MAX

static struct manifest *manifest_fake(const struct run *r)
{
	struct manifest *m = calloc(1, sizeof(*m));
	int i;

	m->chunk_size = RUN_CHUNK;
	m->chunk_count = (uint32_t)r->chunks;
	m->size = (uint64_t)r->chunks * RUN_CHUNK;
	m->chunks = calloc((size_t)r->chunks, sizeof(*m->chunks));
	for (i = 0; i < r->chunks; i++) {
		uint64_t in[2] = { r->seed, (uint64_t)i };

		digest_of(in, sizeof(in), &m->chunks[i]);
	}
	digest_of(m->chunks, sizeof(*m->chunks), &m->id);
	return m;
}

/* Creates the instances of a fleet whose sizes are set. */
void run_begin(struct run *r)
{
	struct swarm_policy policy = { r->time_weight, PLACE_PERMITS_MAX };
	int i;

	random_seed(&r->random, r->seed);
	r->count = r->dcs * r->per_dc;
	r->draws = calloc((size_t)r->chunks, sizeof(*r->draws));
	r->now = APR_USEC_PER_SEC;
	for (i = 0; i < r->count; i++) {
		struct run_node *n = &r->nodes[i];
		int carriers = r->per_dc < PLACE_CARRIERS_MAX
				       ? r->per_dc
				       : PLACE_CARRIERS_MAX;

		n->dc = i / r->per_dc;
		snprintf(n->id, sizeof(n->id), "dc%d-%d", n->dc, i % r->per_dc);
		n->swarm = swarm_new(manifest_fake(r), &policy,
				     random_next(&r->random), r->now);
		n->view.self = -1;
		pace_init(&n->receive, r->link_rate, r->link_rate / 4, r->now);
		pace_init(&n->cross, r->cross_rate / carriers, RUN_CHUNK,
			  r->now);
	}
}

/* Returns 1 when two instances reach each other. */
static int reach(const struct run *r, int a, int b)
{
	int da = r->nodes[a].dc, db = r->nodes[b].dc;

	return da == db || (!r->cut[da] && !r->cut[db]);
}

/* What an instance believes of another: deaths and cuts show late. */
static int believed_live(const struct run *r, int of, int by)
{
	const struct run_node *o = &r->nodes[of];
	int dc = r->nodes[by].dc;

	if (o->dead && r->now - o->dead_at > RUN_NOTICE_US)
		return 0;
	if (reach(r, of, by))
		return 1;
	if (r->cut[o->dc])
		return r->now - r->cut_at[o->dc] <= RUN_NOTICE_US;
	return r->now - r->cut_at[dc] <= RUN_NOTICE_US;
}

static void node_place(struct run *r, int node)
{
	struct run_node *n = &r->nodes[node];
	char dc[16];
	int i;

	place_view_clear(&n->view);
	for (i = 0; i < r->count; i++) {
		snprintf(dc, sizeof(dc), "dc%d", r->nodes[i].dc);
		place_view_add(&n->view, r->nodes[i].id, r->nodes[i].id, dc,
			       i == node || believed_live(r, i, node));
	}
	place_view_rank_members(&n->view, n->id, &n->swarm->manifest->id);
	swarm_apply_view(n->swarm, &n->view, r->now);
}

/* Returns the index of an instance, or -1. */
int run_node_find(const struct run *r, const char *id)
{
	int i;

	for (i = 0; i < r->count; i++)
		if (!strcmp(r->nodes[i].id, id))
			return i;
	return -1;
}

static int awake(const struct run *r, int node)
{
	return !r->nodes[node].dead && r->nodes[node].paused_until <= r->now;
}

static void have_pass(struct run *r, int from, int to)
{
	struct swarm *sf = r->nodes[from].swarm, *st = r->nodes[to].swarm;
	struct swarm_peer *p = swarm_find_peer(sf, r->nodes[to].id);
	struct swarm_peer *q = swarm_find_peer(st, r->nodes[from].id);
	struct weights_have h;

	memset(&h, 0, sizeof(h));
	if (!p || !q)
		return;
	swarm_make_have(sf, p, &h, r->now);
	swarm_merge_have(st, q, &h, r->now);
	xdr_free((xdrproc_t)xdr_weights_have, (char *)&h);
}

/* The same by the header of a request for a chunk. */
static void hint_pass(struct run *r, int from, int to)
{
	struct swarm *sf = r->nodes[from].swarm, *st = r->nodes[to].swarm;
	struct swarm_peer *p = swarm_find_peer(sf, r->nodes[to].id);
	struct swarm_peer *q = swarm_find_peer(st, r->nodes[from].id);
	u_int entries[HINT_ENTRIES_MAX];
	struct weights_have h, got;
	char text[HINT_SIZE];

	memset(&h, 0, sizeof(h));
	if (!p || !q)
		return;
	swarm_make_have(sf, p, &h, r->now);
	hint_format(&h, text);
	if (!hint_parse(text, &got, entries))
		swarm_merge_hint(st, q, &got, r->now);
	xdr_free((xdrproc_t)xdr_weights_have, (char *)&h);
}

static void node_exchange(struct run *r, int node)
{
	struct swarm *s = r->nodes[node].swarm;
	int i, peer, other;

	for (i = 0; i < 4; i++) {
		peer = swarm_next_exchange_peer(s, 0, r->now);
		if (peer == SWARM_NO_PEER)
			return;
		r->exchanges++;
		s->peers[peer].exchanged_at = r->now;
		other = run_node_find(r, s->peers[peer].id);
		if (!awake(r, other) || !reach(r, node, other)) {
			s->peers[peer].failures++;
			continue;
		}
		have_pass(r, node, other);
		have_pass(r, other, node);
	}
}

static struct run_transfer *transfer_new(struct run *r, int node,
					 const struct swarm_action *a)
{
	struct run_transfer *t = r->transfers;

	while (t->used)
		t++;
	t->used = 1;
	t->node = node;
	t->peer = -1;
	t->action = *a;
	t->result = RESULT_DONE;
	t->wait = 0;
	return t;
}

static void draw_begin(struct run *r, struct run_transfer *t)
{
	apr_interval_time_t time =
		(apr_interval_time_t)(RUN_CHUNK * 1e6 / r->origin_rate);

	if (r->origin != ORIGIN_OK) {
		t->end = r->now + REFUSED_US;
		t->result =
			r->origin == ORIGIN_429 ? RESULT_WAIT : RESULT_FAILED;
		t->wait = APR_USEC_PER_SEC;
		return;
	}
	if (r->origin_free < r->now)
		r->origin_free = r->now;
	r->origin_free += time;
	t->end = r->origin_free;
	r->draws[t->action.chunk]++;
	r->origin_chunks++;
	if ((int)random_below(&r->random, 1000) < r->origin_corrupt)
		t->result = RESULT_CORRUPT;
}

static void pull_begin(struct run *r, struct run_transfer *t, int peer)
{
	struct run_node *from = &r->nodes[peer];

	t->peer = peer;
	if (!awake(r, peer) || !reach(r, t->node, peer)) {
		t->end = r->now + FAILED_US;
		t->result = RESULT_FAILED;
		return;
	}
	if (from->swarm->chunks[t->action.chunk].status != CHUNK_HELD ||
	    from->queued >= (t->action.kind == TRANSFER_CARRY ? RUN_QUEUE_MAX
							      : QUEUE_MAX)) {
		t->end = r->now + REFUSED_US;
		t->result = RESULT_BUSY;
		t->wait = BUSY_WAIT_US;
		t->peer = -1;
		return;
	}
	t->end = NEVER;
	from->queue[from->queued++] = t;
	if (from->corrupt)
		t->result = RESULT_CORRUPT;
}

static struct send_rank rank_of(const struct run *r, const struct run_node *n,
				const struct run_transfer *t)
{
	struct send_rank rank = { t->action.kind == TRANSFER_CARRY,
				  !n->swarm->chunks[t->action.chunk].is_sent,
				  r->nodes[t->node].swarm->held_count * 1000 /
					  (uint32_t)r->chunks };

	return rank;
}

static int queue_best(const struct run *r, const struct run_node *n)
{
	struct send_rank a, b;
	int i, best = 0;

	for (i = 1; i < n->queued; i++) {
		a = rank_of(r, n, n->queue[i]);
		b = rank_of(r, n, n->queue[best]);
		if (send_rank_is_before(&a, &b))
			best = i;
	}
	return best;
}

/* Sends on: one chunk after the other, at the rate of the link. */
static void node_send(struct run *r, struct run_node *n)
{
	int best;

	while (n->send_free <= r->now && n->queued) {
		best = queue_best(r, n);
		n->sending = n->queue[best];
		n->queue[best] = n->queue[--n->queued];
		n->swarm->chunks[n->sending->action.chunk].is_sent = 1;
		if (n->send_free < r->now - RUN_STEP_US)
			n->send_free = r->now;
		n->send_free +=
			(apr_interval_time_t)(RUN_CHUNK * 1e6 / r->link_rate);
		n->sending->end = n->send_free;
	}
}

/* What waits at a sender that died or is cut off fails after a while. */
static void queue_fail(struct run *r, struct run_node *n)
{
	while (n->queued) {
		n->queue[--n->queued]->result = RESULT_FAILED;
		n->queue[n->queued]->end = r->now + FAILED_US;
	}
}

static void node_choose(struct run *r, int node)
{
	struct run_node *n = &r->nodes[node];
	struct swarm_action actions[ACTIONS_MAX];
	struct swarm_credit credit = { pace_level(&n->receive, r->now),
				       pace_level(&n->cross, r->now) };
	int i, count;

	count = swarm_choose_transfers(n->swarm, &credit, r->now, actions,
				       ACTIONS_MAX);
	for (i = 0; i < count; i++) {
		struct run_transfer *t = transfer_new(r, node, &actions[i]);

		pace_charge(&n->receive, RUN_CHUNK, r->now);
		if (actions[i].kind == TRANSFER_CARRY)
			pace_charge(&n->cross, RUN_CHUNK, r->now);
		if (actions[i].kind == TRANSFER_ORIGIN_FETCH)
			draw_begin(r, t);
		else
			pull_begin(
				r, t,
				run_node_find(
					r,
					n->swarm->peers[actions[i].peer].id));
	}
}

static void transfer_end(struct run *r, struct run_transfer *t)
{
	struct run_node *n = &r->nodes[t->node];

	t->used = 0;
	if (t->peer >= 0 &&
	    (r->nodes[t->peer].dead || !reach(r, t->node, t->peer)))
		t->result = RESULT_FAILED;
	if (n->dead)
		return;
	if (t->result != RESULT_DONE) {
		pace_charge(&n->receive, -RUN_CHUNK, r->now);
		if (t->action.kind == TRANSFER_CARRY)
			pace_charge(&n->cross, -RUN_CHUNK, r->now);
	} else if (t->action.kind == TRANSFER_CARRY) {
		r->cross_chunks[n->dc]++;
	}
	if (t->result == RESULT_DONE && t->peer >= 0 &&
	    r->nodes[t->peer].corrupt)
		r->bad_staged++;
	swarm_record_result(n->swarm, &t->action, t->result, t->wait, r->now);
	if (t->result == RESULT_DONE && t->peer >= 0) {
		hint_pass(r, t->peer, t->node);
		hint_pass(r, t->node, t->peer);
	}
}

static void transfers_step(struct run *r)
{
	int i;

	for (i = 0; i < RUN_TRANSFERS_MAX; i++) {
		struct run_transfer *t = &r->transfers[i];

		if (t->used && t->end <= r->now &&
		    (r->nodes[t->node].dead || awake(r, t->node)))
			transfer_end(r, t);
	}
}

/* Every instance draws every chunk: what the real version is held against. */
static void naive_step(struct run *r)
{
	int i, c;

	for (i = 0; i < r->count; i++) {
		struct swarm *s = r->nodes[i].swarm;

		for (c = 0; c < r->chunks && !r->nodes[i].dead; c++) {
			r->draws[c]++;
			r->origin_chunks++;
			swarm_mark_held(s, (uint32_t)c, r->now);
		}
	}
}

/* Advances the run by one step of time. */
void run_step(struct run *r)
{
	int i, place = !r->placed_at || r->now - r->placed_at >= 250000;

	r->now += RUN_STEP_US;
	if (r->naive) {
		naive_step(r);
		r->finished = r->now;
		return;
	}
	transfers_step(r);
	if (place)
		r->placed_at = r->now;
	for (i = 0; i < r->count; i++) {
		if (r->nodes[i].dead)
			queue_fail(r, &r->nodes[i]);
		if (!awake(r, i))
			continue;
		node_send(r, &r->nodes[i]);
		if (place)
			node_place(r, i);
		node_exchange(r, i);
		node_choose(r, i);
	}
	if (!r->finished && run_whole(r) == run_living(r))
		r->finished = r->now;
}

/* Returns how many living instances hold every chunk. */
int run_whole(const struct run *r)
{
	int i, n = 0;

	for (i = 0; i < r->count; i++)
		n += !r->nodes[i].dead && swarm_is_complete(r->nodes[i].swarm);
	return n;
}

/* Returns how many instances live. */
int run_living(const struct run *r)
{
	int i, n = 0;

	for (i = 0; i < r->count; i++)
		n += !r->nodes[i].dead;
	return n;
}

/* Ends an instance at once. */
void run_kill(struct run *r, int node)
{
	r->nodes[node].dead = 1;
	r->nodes[node].dead_at = r->now;
}

/* Frees what a run holds. */
void run_end(struct run *r)
{
	int i;

	for (i = 0; i < r->count; i++) {
		swarm_free(r->nodes[i].swarm);
		place_view_clear(&r->nodes[i].view);
	}
	free(r->draws);
}
