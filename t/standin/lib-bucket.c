#include <string.h>

#include "t/standin/lib-bucket.h"

#define US_PER_S 1000000
#define GRANT_BYTES (16 * 1024)
#define BURST_US 20000

/* Initializes an empty bucket. */
void bucket_init(struct bucket *bucket, int64_t rate, int64_t now_us)
{
	memset(bucket, 0, sizeof(*bucket));
	pthread_mutex_init(&bucket->lock, NULL);
	bucket->rate = rate;
	bucket->refilled_us = now_us;
	bucket->last = &bucket->first;
}

/* Queues a stream unless it is queued already. */
static void waiter_push(struct bucket *bucket, struct bucket_waiter *waiter)
{
	if (waiter->is_queued)
		return;
	waiter->is_queued = true;
	waiter->next = NULL;
	*bucket->last = waiter;
	bucket->last = &waiter->next;
}

/* Dequeues the stream that has waited longest. */
static struct bucket_waiter *waiter_pop(struct bucket *bucket)
{
	struct bucket_waiter *waiter = bucket->first;

	bucket->first = waiter->next;
	if (!bucket->first)
		bucket->last = &bucket->first;
	waiter->is_queued = false;
	return waiter;
}

/*
 * Consumes up to want bytes of the grant of waiter.  Returns 0 and queues
 * waiter if it has no grant; its wake function is called on the next grant.
 */
size_t bucket_take(struct bucket *bucket, struct bucket_waiter *waiter,
		   size_t want)
{
	size_t n = want;

	pthread_mutex_lock(&bucket->lock);
	if (bucket->rate) {
		if (n > waiter->granted)
			n = waiter->granted;
		waiter->granted -= n;
		if (!n)
			waiter_push(bucket, waiter);
	}
	pthread_mutex_unlock(&bucket->lock);
	return n;
}

/* Refills the bucket and grants bytes to queued streams in FIFO order. */
void bucket_refill(struct bucket *bucket, int64_t now_us)
{
	double burst = (double)bucket->rate * BURST_US / US_PER_S;
	struct bucket_waiter *waiter;

	pthread_mutex_lock(&bucket->lock);
	bucket->level += (double)bucket->rate *
			 (double)(now_us - bucket->refilled_us) / US_PER_S;
	bucket->refilled_us = now_us;
	while (bucket->first && bucket->level > 0) {
		waiter = waiter_pop(bucket);
		/* The level may go negative; then no grant until it is positive. */
		waiter->granted = GRANT_BYTES;
		bucket->level -= GRANT_BYTES;
		waiter->wake(waiter);
	}
	if (bucket->level > burst)
		bucket->level = burst;
	pthread_mutex_unlock(&bucket->lock);
}

/* Returns the unused grant of a closed stream and dequeues the stream. */
void bucket_remove_waiter(struct bucket *bucket, struct bucket_waiter *waiter)
{
	struct bucket_waiter **link;

	pthread_mutex_lock(&bucket->lock);
	bucket->level += (double)waiter->granted;
	for (link = &bucket->first; *link; link = &(*link)->next) {
		if (*link != waiter)
			continue;
		*link = waiter->next;
		if (bucket->last == &waiter->next)
			bucket->last = link;
		break;
	}
	pthread_mutex_unlock(&bucket->lock);
}
