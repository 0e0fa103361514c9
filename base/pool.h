#ifndef BASE_POOL_H
#define BASE_POOL_H

/*
 * A pool of worker threads with a bounded queue of jobs.  struct job is
 * embedded in a structure of the caller.  Once submitted, the job is owned by
 * its run function, which is called on a worker thread.
 */

struct job {
	void (*run)(struct job *j);
	struct job *next;
};

struct worker_pool;

struct worker_pool *worker_pool_start(int threads, int queue_limit);
int worker_pool_submit(struct worker_pool *p, struct job *j);
int worker_pool_depth(struct worker_pool *p);
void worker_pool_stop(struct worker_pool *p);

#endif
