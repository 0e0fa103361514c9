#include "calls/queue.h"

#include <stdlib.h>
#include <string.h>

/* Frees the queue's own memory; calls that wait are the owner's. */
void queue_destroy(struct fair_queue *q)
{
	free(q->flows);
	memset(q, 0, sizeof(*q));
}

static int flow_of(const struct admission *a)
{
	return (int)a->account_row.index - 1;
}

static int priority_of(const struct admission *a)
{
	if (a->priority < 0)
		return 0;
	return a->priority < QUEUE_PRIORITIES ? a->priority
					      : QUEUE_PRIORITIES - 1;
}

static struct queue_flow *flow_get(struct fair_queue *q, int flow)
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

/* A call costs the tokens that it is expected to take, at least one. */
static double cost_of(const struct admission *a)
{
	return a->tokens > 1 ? a->tokens : 1;
}

/* Takes a flow's weight out of the sum or into it, if it has calls. */
static void flow_weigh(struct fair_queue *q, const struct queue_flow *f,
		       int sign)
{
	if (f->running)
		q->weight_active += sign * f->weight;
}

/* Adds a call behind those of its account and priority. */
void queue_push(struct fair_queue *q, struct admission *a, double weight)
{
	struct queue_flow *f = flow_get(q, flow_of(a));
	int priority = priority_of(a);

	if (weight <= 0)
		weight = 1;
	if (!f->count) {
		/* An account that was idle does not save up its turns. */
		if (f->virtual_start < q->virtual_now)
			f->virtual_start = q->virtual_now;
		flow_weigh(q, f, -1);
		f->weight = weight;
		flow_weigh(q, f, 1);
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

/* Takes a call out, wherever it stands. */
void queue_remove(struct fair_queue *q, struct admission *a)
{
	struct queue_flow *f = flow_get(q, flow_of(a));
	int priority = priority_of(a);

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
		q->weight_waiting = 0; /* no rounding is left over */
}

/* Notes that a call which queue_pick took out has ended. */
void queue_finish(struct fair_queue *q, const struct admission *a)
{
	struct queue_flow *f = flow_get(q, flow_of(a));

	if (!--f->running && !f->count)
		q->weight_active -= f->weight;
}

/* Returns a flow's part of so many lanes, shared by those that wait or run. */
double queue_flow_slots(const struct fair_queue *q, int flow, int lanes)
{
	return q->weight_active > 0
		       ? lanes * q->flows[flow].weight / q->weight_active
		       : lanes;
}

/* Returns the next call of a flow, or NULL. */
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

/* Returns the call that is served after a within its flow, or NULL. */
struct admission *queue_flow_next(const struct fair_queue *q,
				  const struct admission *a)
{
	const struct queue_flow *f = &q->flows[flow_of(a)];
	int i;

	if (a->next)
		return a->next;
	for (i = priority_of(a) + 1; i < QUEUE_PRIORITIES; i++)
		if (f->first[i])
			return f->first[i];
	return NULL;
}

/*
 * Takes out the call to serve next: the first one of the flow with the
 * least virtual start among those that eligible lets pass.  Returns NULL if
 * there is none.
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
	best->virtual_start += cost_of(a) / best->weight;
	best->running++; /* before the removal: the flow stays active */
	queue_remove(q, a);
	return a;
}

/* Returns how many calls of a flow a new one of that priority waits for. */
int queue_count_ahead(const struct fair_queue *q, int flow, int priority)
{
	int i, count = 0;

	if (flow >= q->flow_count)
		return 0;
	for (i = 0; i < QUEUE_PRIORITIES && i <= priority; i++)
		count += q->flows[flow].waiting[i];
	return count;
}

/* Returns the part of the pool that a flow gets while all others wait too. */
double queue_flow_share(const struct fair_queue *q, int flow, double weight)
{
	double all = q->weight_waiting;

	if (weight <= 0)
		weight = 1;
	if (flow >= q->flow_count || !q->flows[flow].count)
		all += weight;
	return all > 0 ? weight / all : 1;
}
