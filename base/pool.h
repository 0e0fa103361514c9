#ifndef BASE_POOL_H
#define BASE_POOL_H

/*
 * A pool of worker threads that carry out jobs.  A job is embedded in the
 * caller's structure; its run function owns it from then on.
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
