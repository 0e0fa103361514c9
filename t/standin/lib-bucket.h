/*
 * Token bucket that limits the total rate of many streams.  Waiting streams
 * are granted bytes in FIFO order.
 */
#ifndef STANDIN_LIB_BUCKET_H
#define STANDIN_LIB_BUCKET_H

#include <stdint.h>
#include <stdbool.h>
#include <stddef.h>
#include <pthread.h>

struct bucket_waiter {
	struct bucket_waiter *next;
	bool is_queued;
	size_t granted;
	void (*wake)(struct bucket_waiter *waiter);
};

struct bucket {
	pthread_mutex_t lock;
	int64_t rate; /* bytes per second, 0 for unlimited */
	double level;
	int64_t refilled_us;
	struct bucket_waiter *first;
	struct bucket_waiter **last;
};

void bucket_init(struct bucket *bucket, int64_t rate, int64_t now_us);
size_t bucket_take(struct bucket *bucket, struct bucket_waiter *waiter,
		   size_t want);
void bucket_refill(struct bucket *bucket, int64_t now_us);
void bucket_remove_waiter(struct bucket *bucket, struct bucket_waiter *waiter);

#endif
