#include "net/fetch-internal.h"

#include <apr_poll.h>
#include <apr_portable.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "net/cut.h"
#include "net/silence.h"

#define POLLSET_SIZE 8192
#define READY_MAX 1024 /* sockets served in one turn */
#define POLL_MAX_US (200 * 1000)
#define CONNECTION_CACHE 1024
#define SILENCE_CANCEL_US (500 * 1000) /* a cancel after that is a time-out */

enum request_kind { REQUEST_SUBMIT, REQUEST_CANCEL, REQUEST_RESUME };

/* A message to the event thread. */
struct request {
	enum request_kind kind;
	struct fetch *fetch;
	struct request *next;
};

/* One socket that is ready, and for what, in libcurl's terms. */
struct ready_socket {
	curl_socket_t socket;
	int what;
};

struct fetcher {
	CURLM *multi;
	apr_pool_t *pool;
	apr_pollset_t *pollset;
	char local_address[64];
	pthread_t thread;
	pthread_mutex_t mutex; /* guards requests and stopping */
	struct request *requests;
	struct request **requests_tail;
	struct request *serving; /* taken from the queue, event thread only */
	int stopping;
	int woken;	  /* a wake-up is under way */
	apr_time_t timer; /* when libcurl wants to be called, -1 for never */
	struct fetch *running;
	struct silence silence; /* event thread only */
	struct ready_socket ready[READY_MAX];
};

/* What the pollset knows of one of libcurl's sockets. */
struct watched {
	apr_pool_t *pool;
	apr_pollfd_t fd;
};

static int socket_changed(CURL *easy, curl_socket_t s, int what, void *userp,
			  void *socketp)
{
	struct fetcher *r = userp;
	struct watched *w = socketp;
	apr_pool_t *pool;

	(void)easy;
	if (w) {
		apr_pollset_remove(r->pollset, &w->fd);
		if (what == CURL_POLL_REMOVE) {
			curl_multi_assign(r->multi, s, NULL);
			apr_pool_destroy(w->pool);
			return 0;
		}
	} else {
		if (what == CURL_POLL_REMOVE)
			return 0;
		apr_pool_create(&pool, r->pool);
		w = apr_pcalloc(pool, sizeof(*w));
		w->pool = pool;
		w->fd.p = pool;
		w->fd.desc_type = APR_POLL_SOCKET;
		apr_os_sock_put(&w->fd.desc.s, &s, pool);
		w->fd.client_data = w;
		curl_multi_assign(r->multi, s, w);
	}
	w->fd.reqevents = (what & CURL_POLL_IN ? APR_POLLIN : 0) |
			  (what & CURL_POLL_OUT ? APR_POLLOUT : 0);
	apr_pollset_add(r->pollset, &w->fd);
	return 0;
}

static int timer_changed(CURLM *multi, long timeout_ms, void *userp)
{
	struct fetcher *r = userp;

	(void)multi;
	r->timer = timeout_ms < 0 ? -1 : clock_now() + timeout_ms * 1000;
	return 0;
}

static void requests_drop(struct request **link, const struct fetch *f)
{
	struct request *q;

	while ((q = *link)) {
		if (q->fetch == f) {
			*link = q->next;
			free(q);
		} else {
			link = &q->next;
		}
	}
}

/*
 * Has no request name f any more, as done may free it.  A cancel or resume
 * that comes later finds f->over set and does nothing.
 */
static void requests_forget(struct fetcher *r, struct fetch *f)
{
	pthread_mutex_lock(&r->mutex);
	f->over = 1;
	if (f->queued) {
		requests_drop(&r->requests, f);
		for (r->requests_tail = &r->requests; *r->requests_tail;)
			r->requests_tail = &(*r->requests_tail)->next;
		requests_drop(&r->serving, f);
	}
	pthread_mutex_unlock(&r->mutex);
}

/* Notes a request that got no answer on a connection used before. */
static void silence_check(struct fetcher *r, const struct fetch *f, long sent,
			  CURLcode code)
{
	int silent = code == CURLE_OPERATION_TIMEDOUT ||
		     (code == CURLE_ABORTED_BY_CALLBACK &&
		      clock_now() - f->began > SILENCE_CANCEL_US);

	if (silent && sent && !f->status &&
	    __atomic_load_n(&f->reused, __ATOMIC_RELAXED))
		silence_note(&r->silence, f->url, f->began);
}

/* Ends a fetch: frees libcurl's part, unlinks it and calls done. */
static void fetch_end(struct fetcher *r, struct fetch *f, CURLcode code)
{
	long status = 0, sent = 0;

	if (f->link) {
		*f->link = f->next;
		if (f->next)
			f->next->link = f->link;
		f->link = NULL;
	}
	if (f->easy) {
		curl_easy_getinfo(f->easy, CURLINFO_RESPONSE_CODE, &status);
		curl_easy_getinfo(f->easy, CURLINFO_REQUEST_SIZE, &sent);
		curl_multi_remove_handle(r->multi, f->easy);
		curl_easy_cleanup(f->easy);
		f->easy = NULL;
	}
	curl_slist_free_all(f->header_list);
	f->header_list = NULL;
	f->status = (int)status;
	f->never_sent = !sent;
	silence_check(r, f, sent, code);
	fetch_error_from_curl(f, code);
	requests_forget(r, f);
	/* done may take f->text over by clearing it, or free f itself. */
	f->ops->done(f);
}

static void fetch_begin(struct fetcher *r, struct fetch *f)
{
	f->easy = NULL;
	if (cut_blocks_url(f->url)) {
		fetch_end(r, f, CURLE_COULDNT_CONNECT);
		return;
	}
	f->easy = fetch_easy_new(
		f, r->local_address,
		silence_max_age(&r->silence, f->url, clock_now()));
	if (!f->easy) {
		fetch_end(r, f, CURLE_OUT_OF_MEMORY);
		return;
	}
	f->next = r->running;
	f->link = &r->running;
	if (f->next)
		f->next->link = &f->next;
	r->running = f;
	curl_multi_add_handle(r->multi, f->easy);
}

static void request_serve(struct fetcher *r, struct request *q)
{
	switch (q->kind) {
	case REQUEST_SUBMIT:
		fetch_begin(r, q->fetch);
		break;
	case REQUEST_CANCEL:
		if (q->fetch->link)
			fetch_end(r, q->fetch, CURLE_ABORTED_BY_CALLBACK);
		break;
	case REQUEST_RESUME:
		if (q->fetch->link)
			curl_easy_pause(q->fetch->easy, CURLPAUSE_CONT);
		break;
	}
}

/* Serves what other threads asked for.  Returns 0 when it is time to stop. */
static int requests_serve(struct fetcher *r)
{
	struct request *q;
	int stopping;

	pthread_mutex_lock(&r->mutex);
	r->serving = r->requests;
	r->requests = NULL;
	r->requests_tail = &r->requests;
	r->woken = 0;
	stopping = r->stopping;
	pthread_mutex_unlock(&r->mutex);
	while ((q = r->serving)) {
		r->serving = q->next;
		pthread_mutex_lock(&r->mutex);
		q->fetch->queued--;
		pthread_mutex_unlock(&r->mutex);
		request_serve(r, q);
		free(q);
	}
	return !stopping;
}

static void finished_collect(struct fetcher *r)
{
	CURLMsg *m;
	struct fetch *f;
	CURLcode code;
	int left;

	while ((m = curl_multi_info_read(r->multi, &left))) {
		if (m->msg != CURLMSG_DONE)
			continue;
		code = m->data.result;
		curl_easy_getinfo(m->easy_handle, CURLINFO_PRIVATE, &f);
		fetch_end(r, f, code);
	}
}

static int ready_what(const apr_pollfd_t *fd)
{
	int what = (fd->rtnevents & APR_POLLIN ? CURL_CSELECT_IN : 0) |
		   (fd->rtnevents & APR_POLLOUT ? CURL_CSELECT_OUT : 0);

	if (fd->rtnevents & (APR_POLLERR | APR_POLLHUP))
		what |= CURL_CSELECT_IN | CURL_CSELECT_ERR;
	return what;
}

/*
 * Tells libcurl of the ready sockets.  They are copied first: libcurl may
 * drop any of them, and with it its pollset entry, while it handles another.
 */
static void sockets_serve(struct fetcher *r, apr_int32_t n,
			  const apr_pollfd_t *fds)
{
	apr_int32_t i, count = 0;
	int running;

	for (i = 0; i < n && count < READY_MAX; i++) {
		if (fds[i].desc_type != APR_POLL_SOCKET || !fds[i].client_data)
			continue;
		apr_os_sock_get(&r->ready[count].socket, fds[i].desc.s);
		r->ready[count++].what = ready_what(&fds[i]);
	}
	for (i = 0; i < count; i++)
		curl_multi_socket_action(r->multi, r->ready[i].socket,
					 r->ready[i].what, &running);
}

static apr_interval_time_t poll_time(const struct fetcher *r)
{
	apr_interval_time_t left;

	if (r->timer < 0)
		return POLL_MAX_US;
	left = r->timer - clock_now();
	if (left < 0)
		return 0;
	return left < POLL_MAX_US ? left : POLL_MAX_US;
}

static void *fetcher_main(void *arg)
{
	struct fetcher *r = arg;
	const apr_pollfd_t *fds;
	apr_int32_t n;
	int running;

	while (requests_serve(r)) {
		n = 0;
		if (apr_pollset_poll(r->pollset, poll_time(r), &n, &fds) ==
		    APR_SUCCESS)
			sockets_serve(r, n, fds);
		if (r->timer >= 0 && r->timer <= clock_now()) {
			r->timer = -1;
			curl_multi_socket_action(r->multi, CURL_SOCKET_TIMEOUT,
						 0, &running);
		}
		finished_collect(r);
	}
	/* A done may submit another transfer; it is ended as well. */
	do {
		while (r->running)
			fetch_end(r, r->running, CURLE_ABORTED_BY_CALLBACK);
		requests_serve(r);
	} while (r->running);
	return NULL;
}

/*
 * Starts the event thread.  local_address, if not NULL, is the IP number
 * that connections come from.
 */
struct fetcher *fetcher_start(const char *local_address, struct error *err)
{
	struct fetcher *r = calloc(1, sizeof(*r));

	if (!r)
		abort();
	curl_global_init(CURL_GLOBAL_DEFAULT);
	pthread_mutex_init(&r->mutex, NULL);
	r->requests_tail = &r->requests;
	r->timer = -1;
	if (local_address)
		snprintf(r->local_address, sizeof(r->local_address), "%s",
			 local_address);
	apr_pool_create(&r->pool, NULL);
	r->multi = curl_multi_init();
	if (!r->multi ||
	    apr_pollset_create(&r->pollset, POLLSET_SIZE, r->pool,
			       APR_POLLSET_WAKEABLE | APR_POLLSET_NOCOPY) !=
		    APR_SUCCESS)
		goto fail;
	curl_multi_setopt(r->multi, CURLMOPT_SOCKETFUNCTION, socket_changed);
	curl_multi_setopt(r->multi, CURLMOPT_SOCKETDATA, r);
	curl_multi_setopt(r->multi, CURLMOPT_TIMERFUNCTION, timer_changed);
	curl_multi_setopt(r->multi, CURLMOPT_TIMERDATA, r);
	curl_multi_setopt(r->multi, CURLMOPT_MAXCONNECTS,
			  (long)CONNECTION_CACHE);
	if (pthread_create(&r->thread, NULL, fetcher_main, r))
		goto fail;
	return r;
fail:
	if (r->multi)
		curl_multi_cleanup(r->multi);
	apr_pool_destroy(r->pool);
	free(r);
	error_set(err, ERROR_INTERNAL, "fetcher-start", local_address,
		  "no event loop: %m");
	return NULL;
}

static void request_queue(struct fetcher *r, enum request_kind kind,
			  struct fetch *f)
{
	struct request *q = calloc(1, sizeof(*q));
	int wake;

	if (!q)
		abort();
	q->kind = kind;
	q->fetch = f;
	pthread_mutex_lock(&r->mutex);
	if (kind == REQUEST_SUBMIT)
		f->over = 0;
	if (f->over) {
		pthread_mutex_unlock(&r->mutex);
		free(q);
		return;
	}
	f->queued++;
	*r->requests_tail = q;
	r->requests_tail = &q->next;
	wake = !r->woken;
	r->woken = 1;
	pthread_mutex_unlock(&r->mutex);
	if (wake)
		apr_pollset_wakeup(r->pollset);
}

/* Ends all transfers (their done is called) and frees the fetcher. */
void fetcher_stop(struct fetcher *r)
{
	if (!r)
		return;
	pthread_mutex_lock(&r->mutex);
	r->stopping = 1;
	pthread_mutex_unlock(&r->mutex);
	apr_pollset_wakeup(r->pollset);
	pthread_join(r->thread, NULL);
	curl_multi_cleanup(r->multi);
	apr_pollset_destroy(r->pollset);
	apr_pool_destroy(r->pool);
	pthread_mutex_destroy(&r->mutex);
	free(r);
}

/* Starts a transfer. */
void fetch_submit(struct fetcher *r, struct fetch *f)
{
	f->fetcher = r;
	f->status = 0;
	f->never_sent = 1;
	f->began = clock_now();
	f->link = NULL;
	f->refused = 0;
	f->reused = 0;
	f->text = NULL;
	f->text_size = 0;
	f->text_capacity = 0;
	error_clear(&f->error);
	request_queue(r, REQUEST_SUBMIT, f);
}

/*
 * Ends a transfer early; its done is still called.  No effect on one that
 * is over.  The caller must hold what keeps the fetch from being freed.
 */
void fetch_cancel(struct fetch *f)
{
	request_queue(f->fetcher, REQUEST_CANCEL, f);
}

/* Goes on with a transfer whose data() returned FETCH_PAUSE. */
void fetch_resume(struct fetch *f)
{
	request_queue(f->fetcher, REQUEST_RESUME, f);
}

/* Waits for one transfer on behalf of fetch_wait. */
struct waiter {
	pthread_mutex_t mutex;
	pthread_cond_t cond;
	int over;
	char *body;
	size_t size;
};

static void waiter_done(struct fetch *f)
{
	struct waiter *w = f->arg;

	pthread_mutex_lock(&w->mutex);
	w->body = f->text;
	w->size = f->text_size;
	f->text = NULL;
	w->over = 1;
	pthread_cond_signal(&w->cond);
	pthread_mutex_unlock(&w->mutex);
}

/*
 * Runs a transfer and waits for its end.  Returns the HTTP status, or -1
 * with f->error set when no whole answer came.  *body, NUL-ended, is the
 * caller's to free; ops and arg of f are overwritten.
 */
int fetch_wait(struct fetcher *r, struct fetch *f, char **body, size_t *size)
{
	static const struct fetch_ops ops = { NULL, NULL, waiter_done };
	struct waiter w = { PTHREAD_MUTEX_INITIALIZER, PTHREAD_COND_INITIALIZER,
			    0, NULL, 0 };

	f->ops = &ops;
	f->arg = &w;
	fetch_submit(r, f);
	pthread_mutex_lock(&w.mutex);
	while (!w.over)
		pthread_cond_wait(&w.cond, &w.mutex);
	pthread_mutex_unlock(&w.mutex);
	if (body)
		*body = w.body;
	else
		free(w.body);
	if (size)
		*size = w.size;
	return f->error.code ? -1 : f->status;
}
