#include "net/rpc-reply.h"

#include <fcntl.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/metric.h"
#include "base/pool.h"

/* The buffer of an idle connection takes this much at once. */
#define REPLY_INLINE_MAX_BYTES 8192

#define REPLY_THREADS 6
#define REPLY_QUEUE_LIMIT 64

/* Time for which a write waits for the peer before the connection is closed. */
#define WRITE_TIMEOUT_S 2

struct reply_job {
	struct job job;
	struct rpc_reply_queue *queue;
	SVCXPRT *xprt;
	struct envelope_reply reply;
	const char *key;
	struct reply_job *next; /* in the list of those that were sent */
};

struct rpc_reply_queue {
	struct worker_pool *pool;
	int wake_fd;
	pthread_mutex_t mutex;	/* guards the members below */
	struct reply_job *sent; /* their connections are to be polled again */
	int is_stopping;
};

/* Starts the threads.  Returns NULL on failure. */
struct rpc_reply_queue *rpc_reply_queue_start(void)
{
	struct rpc_reply_queue *q = calloc(1, sizeof(*q));

	if (!q)
		abort();
	pthread_mutex_init(&q->mutex, NULL);
	q->wake_fd = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
	q->pool = worker_pool_start(REPLY_THREADS, REPLY_QUEUE_LIMIT);
	if (q->wake_fd >= 0 && q->pool)
		return q;
	rpc_reply_queue_stop(q);
	return NULL;
}

/*
 * Drops the replies that are queued, waits for those that are being written and
 * frees the queue.  The server thread must have ended.
 */
void rpc_reply_queue_stop(struct rpc_reply_queue *q)
{
	pthread_mutex_lock(&q->mutex);
	q->is_stopping = 1;
	pthread_mutex_unlock(&q->mutex);
	worker_pool_stop(q->pool);
	rpc_reply_take_back(q);
	if (q->wake_fd >= 0)
		close(q->wake_fd);
	pthread_mutex_destroy(&q->mutex);
	free(q);
}

static int send_signed(SVCXPRT *xprt, struct envelope_reply *rep,
		       const char *key)
{
	struct digest mac;

	if (envelope_reply_sign(rep, key, &mac)) {
		svcerr_systemerr(xprt);
		return 0;
	}
	return svc_sendreply(xprt, (xdrproc_t)xdr_envelope_reply, (char *)rep)
		       ? 0
		       : -1;
}

static void set_blocking(int fd, int is_blocking)
{
	struct timeval timeout = { WRITE_TIMEOUT_S, 0 };
	int flags = fcntl(fd, F_GETFL);

	setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof(timeout));
	fcntl(fd, F_SETFL,
	      is_blocking ? flags & ~O_NONBLOCK : flags | O_NONBLOCK);
}

/* Hands a connection back to the server thread. */
static void finish_reply(struct reply_job *r)
{
	struct rpc_reply_queue *q = r->queue;
	uint64_t one = 1;

	pthread_mutex_lock(&q->mutex);
	r->next = q->sent;
	q->sent = r;
	pthread_mutex_unlock(&q->mutex);
	/* Fails only when the server thread is about to be woken anyway. */
	if (write(q->wake_fd, &one, sizeof(one)) < 0)
		return;
}

static int is_queue_stopping(struct rpc_reply_queue *q)
{
	int is_stopping;

	pthread_mutex_lock(&q->mutex);
	is_stopping = q->is_stopping;
	pthread_mutex_unlock(&q->mutex);
	return is_stopping;
}

static void run_reply(struct job *job)
{
	struct reply_job *r = (struct reply_job *)job;
	int fd = r->xprt->xp_fd;

	set_blocking(fd, 1);
	/* The server thread destroys the connection once it polls it. */
	if (is_queue_stopping(r->queue) ||
	    send_signed(r->xprt, &r->reply, r->key)) {
		metric_count("rpc_reply_failures", NULL, 1);
		shutdown(fd, SHUT_RDWR);
	}
	set_blocking(fd, 0);
	free(r->reply.body.body_val);
	finish_reply(r);
}

/*
 * Signs and sends a reply and frees its body.  The rest of rep and key must stay
 * valid while the server runs.  Server thread only; the request of xprt must have
 * been freed.
 */
void rpc_reply_send(struct rpc_reply_queue *q, SVCXPRT *xprt,
		    struct envelope_reply *rep, const char *key)
{
	struct reply_job *r;

	metric_count("rpc_sent_bytes", NULL, rep->body.body_len + 160);
	if (rep->body.body_len <= REPLY_INLINE_MAX_BYTES) {
		send_signed(xprt, rep, key);
		free(rep->body.body_val);
		return;
	}
	r = calloc(1, sizeof(*r));
	if (!r)
		abort();
	r->job.run = run_reply;
	r->queue = q;
	r->xprt = xprt;
	r->reply = *rep;
	r->key = key;
	xprt_unregister(xprt);
	if (!worker_pool_submit(q->pool, &r->job))
		return;
	metric_count("rpc_reply_failures", NULL, 1);
	xprt_register(xprt);
	svcerr_systemerr(xprt);
	free(rep->body.body_val);
	free(r);
}

/* Returns the descriptor to poll for reading beside the connections. */
int rpc_reply_wake_fd(const struct rpc_reply_queue *q)
{
	return q->wake_fd;
}

/* Polls the connections of sent replies again.  Server thread only. */
void rpc_reply_take_back(struct rpc_reply_queue *q)
{
	struct reply_job *r, *next;
	uint64_t count;

	if (read(q->wake_fd, &count, sizeof(count)) < 0 && !q->is_stopping)
		return;
	pthread_mutex_lock(&q->mutex);
	r = q->sent;
	q->sent = NULL;
	pthread_mutex_unlock(&q->mutex);
	for (; r; r = next) {
		next = r->next;
		xprt_register(r->xprt);
		free(r);
	}
}
