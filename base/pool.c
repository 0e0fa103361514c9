#include "base/pool.h"

#include <pthread.h>
#include <stdlib.h>

struct worker_pool {
	pthread_mutex_t mutex;
	pthread_cond_t ready;
	struct job *first;
	struct job **tail;
	int depth;
	int queue_limit;
	int stopping;
	int thread_count;
	pthread_t threads[];
};

/*
 * Waits for a job and removes it from the queue.  Returns NULL when the pool
 * is stopping and the queue is empty.
 */
static struct job *job_dequeue(struct worker_pool *p)
{
	struct job *j;

	pthread_mutex_lock(&p->mutex);
	while (!p->first && !p->stopping)
		pthread_cond_wait(&p->ready, &p->mutex);
	j = p->first;
	if (j) {
		p->first = j->next;
		if (!p->first)
			p->tail = &p->first;
		p->depth--;
	}
	pthread_mutex_unlock(&p->mutex);
	return j;
}

static void *worker_main(void *arg)
{
	struct worker_pool *p = arg;
	struct job *j;

	while ((j = job_dequeue(p)))
		j->run(j);
	return NULL;
}

/*
 * Starts a pool with the given number of threads; at most queue_limit jobs
 * may be queued.  Returns NULL on failure.
 */
struct worker_pool *worker_pool_start(int threads, int queue_limit)
{
	struct worker_pool *p;

	p = calloc(1, sizeof(*p) + threads * sizeof(p->threads[0]));
	if (!p)
		return NULL;
	pthread_mutex_init(&p->mutex, NULL);
	pthread_cond_init(&p->ready, NULL);
	p->tail = &p->first;
	p->queue_limit = queue_limit;
	while (p->thread_count < threads) {
		if (pthread_create(&p->threads[p->thread_count], NULL,
				   worker_main, p)) {
			worker_pool_stop(p);
			return NULL;
		}
		p->thread_count++;
	}
	return p;
}

/*
 * Queues a job.  Returns -1 if the queue is full or the pool is stopping; the
 * job is then still owned by the caller.
 */
int worker_pool_submit(struct worker_pool *p, struct job *j)
{
	int ret = -1;

	pthread_mutex_lock(&p->mutex);
	if (!p->stopping && p->depth < p->queue_limit) {
		j->next = NULL;
		*p->tail = j;
		p->tail = &j->next;
		p->depth++;
		pthread_cond_signal(&p->ready);
		ret = 0;
	}
	pthread_mutex_unlock(&p->mutex);
	return ret;
}

/* Returns the number of queued jobs, without those that are running. */
int worker_pool_depth(struct worker_pool *p)
{
	int depth;

	pthread_mutex_lock(&p->mutex);
	depth = p->depth;
	pthread_mutex_unlock(&p->mutex);
	return depth;
}

/* Runs the queued jobs to completion, joins the threads and frees the pool. */
void worker_pool_stop(struct worker_pool *p)
{
	int i;

	if (!p)
		return;
	pthread_mutex_lock(&p->mutex);
	p->stopping = 1;
	pthread_cond_broadcast(&p->ready);
	pthread_mutex_unlock(&p->mutex);
	for (i = 0; i < p->thread_count; i++)
		pthread_join(p->threads[i], NULL);
	pthread_cond_destroy(&p->ready);
	pthread_mutex_destroy(&p->mutex);
	free(p);
}
