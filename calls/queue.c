#include "calls/queue.h"

#include <stdlib.h>
#include <string.h>

/* Frees the queue's own memory; the waiting calls belong to their owner. */
void queue_destroy(struct fair_queue *q)
{
	free(q->flows);
	memset(q, 0, sizeof(*q));
}

static int get_flow_index(const struct admission *a)
{
	return (int)a->account_row.index - 1;
}

static int get_priority(const struct admission *a)
{
	if (a->priority < 0)
		return 0;
	return a->priority < QUEUE_PRIORITIES ? a->priority
					      : QUEUE_PRIORITIES - 1;
}

static struct queue_flow *get_or_add_flow(struct fair_queue *q, int flow)
{
	int count = q->flow_count ? q->flow_count : 16;

	while (count <= flow)
		count *= 2;
	if (count > q->flow_count) {
		q->flows = realloc(q->flows, count * sizeof(*q->flows));
		if (!q->flows)
			abort();
		memset(q->flows + q->flow_count, 0,
		       (count - q->flow_count) * sizeof(*q->flows));
		q->flow_count = count;
	}
	return &q->flows[flow];
}

/* Returns the cost of a call: its estimated tokens, at least one. */
static double call_cost(const struct admission *a)
{
	return a->tokens > 1 ? a->tokens : 1;
}

/*
 * Adds (sign 1) or removes (sign -1) the weight of a flow with running calls.
 */
static void adjust_active_weight(struct fair_queue *q,
				 const struct queue_flow *f, int sign)
{
	if (f->running)
		q->weight_active += sign * f->weight;
}

/* Appends a call to those of its account and priority. */
void queue_push(struct fair_queue *q, struct admission *a, double weight)
{
	struct queue_flow *f = get_or_add_flow(q, get_flow_index(a));
	int priority = get_priority(a);

	if (weight <= 0)
		weight = 1;
	if (!f->count) {
		/* An idle account does not save up service. */
		if (f->virtual_start < q->virtual_now)
			f->virtual_start = q->virtual_now;
		adjust_active_weight(q, f, -1);
		f->weight = weight;
		adjust_active_weight(q, f, 1);
		q->weight_waiting += weight;
		if (!f->running)
			q->weight_active += weight;
	}
	a->next = NULL;
	a->prev = f->last[priority];
	if (a->prev)
		a->prev->next = a;
	else
		f->first[priority] = a;
	f->last[priority] = a;
	f->waiting[priority]++;
	f->count++;
	q->count++;
}

/* Removes a waiting call, at any position. */
void queue_remove(struct fair_queue *q, struct admission *a)
{
	struct queue_flow *f = get_or_add_flow(q, get_flow_index(a));
	int priority = get_priority(a);

	if (a->prev)
		a->prev->next = a->next;
	else
		f->first[priority] = a->next;
	if (a->next)
		a->next->prev = a->prev;
	else
		f->last[priority] = a->prev;
	a->prev = a->next = NULL;
	q->count--;
	f->waiting[priority]--;
	if (!--f->count) {
		q->weight_waiting -= f->weight;
		if (!f->running)
			q->weight_active -= f->weight;
	}
	if (!q->count)
		q->weight_waiting = 0; /* drop accumulated rounding errors */
}

/* Records that a call returned by queue_pick() has finished. */
void queue_finish(struct fair_queue *q, const struct admission *a)
{
	struct queue_flow *f = get_or_add_flow(q, get_flow_index(a));

	if (!--f->running && !f->count)
		q->weight_active -= f->weight;
}

/*
 * Returns a flow's share of a number of slots, which are divided by weight over
 * the flows with waiting or running calls.
 */
double queue_flow_slots(const struct fair_queue *q, int flow, int slots)
{
	return q->weight_active > 0
		       ? slots * q->flows[flow].weight / q->weight_active
		       : slots;
}

/* Returns the first waiting call of a flow, or NULL. */
struct admission *queue_flow_first(const struct fair_queue *q, int flow)
{
	int i;

	if (flow >= q->flow_count || !q->flows[flow].count)
		return NULL;
	for (i = 0; i < QUEUE_PRIORITIES; i++)
		if (q->flows[flow].first[i])
			return q->flows[flow].first[i];
	return NULL;
}

/* Returns the call that is served after `a` within its flow, or NULL. */
struct admission *queue_flow_next(const struct fair_queue *q,
				  const struct admission *a)
{
	const struct queue_flow *f = &q->flows[get_flow_index(a)];
	int i;

	if (a->next)
		return a->next;
	for (i = get_priority(a) + 1; i < QUEUE_PRIORITIES; i++)
		if (f->first[i])
			return f->first[i];
	return NULL;
}

/*
 * Removes and returns the call to serve next: the first one of the flow with
 * the lowest virtual start among those that eligible() accepts.  Returns NULL
 * if there is none.
 */
struct admission *queue_pick(struct fair_queue *q,
			     int (*eligible)(void *arg, int flow), void *arg)
{
	struct queue_flow *f, *best = NULL;
	struct admission *a;
	int i;

	for (i = 0; i < q->flow_count && q->count; i++) {
		f = &q->flows[i];
		if (!f->count ||
		    (best && f->virtual_start >= best->virtual_start))
			continue;
		if (eligible(arg, i))
			best = f;
	}
	if (!best)
		return NULL;
	a = queue_flow_first(q, (int)(best - q->flows));
	if (best->virtual_start > q->virtual_now)
		q->virtual_now = best->virtual_start;
	best->virtual_start += call_cost(a) / best->weight;
	best->running++; /* before queue_remove(): keeps the flow active */
	queue_remove(q, a);
	return a;
}

/*
 * Returns how many waiting calls of a flow are served before a new call of that
 * priority.
 */
int queue_count_ahead(const struct fair_queue *q, int flow, int priority)
{
	int i, count = 0;

	if (flow >= q->flow_count)
		return 0;
	for (i = 0; i < QUEUE_PRIORITIES && i <= priority; i++)
		count += q->flows[flow].waiting[i];
	return count;
}

/*
 * Returns the ratio of the pool that a flow gets while all flows with waiting
 * calls compete for it.
 */
double queue_flow_share(const struct fair_queue *q, int flow, double weight)
{
	double total = q->weight_waiting;

	if (weight <= 0)
		weight = 1;
	if (flow >= q->flow_count || !q->flows[flow].count)
		total += weight;
	return total > 0 ? weight / total : 1;
}
