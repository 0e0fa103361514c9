#include <string.h>

#include "t/standin/lib-bucket.h"

#define US_PER_S 1000000
#define GRANT_BYTES (16 * 1024)
#define BURST_US 20000

/* Starts with an empty bucket. */
void bucket_init(struct bucket *bucket, int64_t rate, int64_t now_us)
{
	memset(bucket, 0, sizeof(*bucket));
	pthread_mutex_init(&bucket->lock, NULL);
	bucket->rate = rate;
	bucket->filled_us = now_us;
	bucket->last = &bucket->first;
}

/* Queues a stream unless it waits already. */
static void waiter_push(struct bucket *bucket, struct bucket_waiter *waiter)
{
	if (waiter->queued)
		return;
	waiter->queued = true;
	waiter->next = NULL;
	*bucket->last = waiter;
	bucket->last = &waiter->next;
}

/* Takes the stream that has waited longest. */
static struct bucket_waiter *waiter_pop(struct bucket *bucket)
{
	struct bucket_waiter *waiter = bucket->first;

	bucket->first = waiter->next;
	if (!bucket->first)
		bucket->last = &bucket->first;
	waiter->queued = false;
	return waiter;
}

/*
 * Takes up to want bytes from what waiter was granted.  Returns 0 when it has
 * to wait; its wake function is called when there is a grant.
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

/* Fills the bucket up to now and grants its bytes to those who wait. */
void bucket_tick(struct bucket *bucket, int64_t now_us)
{
	double burst = (double)bucket->rate * BURST_US / US_PER_S;
	struct bucket_waiter *waiter;

	pthread_mutex_lock(&bucket->lock);
	bucket->level += (double)bucket->rate *
			 (double)(now_us - bucket->filled_us) / US_PER_S;
	bucket->filled_us = now_us;
	while (bucket->first && bucket->level > 0) {
		waiter = waiter_pop(bucket);
		/* A debt is paid back before the next grant. */
		waiter->granted = GRANT_BYTES;
		bucket->level -= GRANT_BYTES;
		waiter->wake(waiter);
	}
	if (bucket->level > burst)
		bucket->level = burst;
	pthread_mutex_unlock(&bucket->lock);
}

/* Returns the grant of a stream that ends and removes it from the queue. */
void bucket_forget(struct bucket *bucket, struct bucket_waiter *waiter)
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
