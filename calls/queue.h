#ifndef CALLS_QUEUE_H
#define CALLS_QUEUE_H

#include "calls/limits.h"

/*
 * Fair queue of calls that wait for one pool of upstreams: start-time fair
 * queueing over accounts, by weight; within an account by priority, then by
 * arrival.  Priorities order only calls of the same account, so that no account
 * gains over another by requesting a better one.
 */

#define QUEUE_PRIORITIES 10

struct queue_flow {
	double weight;
	double virtual_start; /* virtual start of its next call */
	int count;
	int running; /* picked and not finished yet */
	int waiting[QUEUE_PRIORITIES];
	struct admission *first[QUEUE_PRIORITIES];
	struct admission *last[QUEUE_PRIORITIES];
};

struct fair_queue {
	struct queue_flow *flows; /* indexed by the account's row */
	int flow_count;
	double virtual_now; /* virtual start of the call picked last */
	int count;
	double weight_waiting; /* sum over flows with waiting calls */
	double weight_active; /* sum over flows with waiting or running calls */
};

void queue_destroy(struct fair_queue *q);
void queue_push(struct fair_queue *q, struct admission *a, double weight);
void queue_finish(struct fair_queue *q, const struct admission *a);
void queue_remove(struct fair_queue *q, struct admission *a);
struct admission *queue_pick(struct fair_queue *q,
			     int (*eligible)(void *arg, int flow), void *arg);
struct admission *queue_flow_first(const struct fair_queue *q, int flow);
struct admission *queue_flow_next(const struct fair_queue *q,
				  const struct admission *a);
int queue_count_ahead(const struct fair_queue *q, int flow, int priority);
double queue_flow_slots(const struct fair_queue *q, int flow, int slots);
double queue_flow_share(const struct fair_queue *q, int flow, double weight);

#endif
