#include "net/fetch-internal.h"

#include <apr_poll.h>
#include <apr_portable.h>
#include <errno.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "net/cut.h"
#include "net/silence.h"

#define POLLSET_SIZE 8192
#define READY_MAX 1024 /* sockets per loop iteration */
#define POLL_MAX_US (200 * 1000)
#define CONNECTION_CACHE 1024

/*
 * Age of a request without an answer from which on its cancellation counts as
 * a time-out.
 */
#define SILENT_CANCEL_MIN_US (500 * 1000)

enum request_kind { REQUEST_SUBMIT, REQUEST_CANCEL, REQUEST_RESUME };

/* A request from another thread to the event thread. */
struct request {
	enum request_kind kind;
	struct fetch *fetch;
	struct request *next;
};

/* A ready socket with its CURL_CSELECT_* flags. */
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
	struct request *executing; /* dequeued, event thread only */
	int stopping;
	int is_wakeup_pending;
	apr_time_t timer; /* time of libcurl's next time-out, -1: none */
	struct fetch *running;
	struct silence silence; /* event thread only */
	struct ready_socket ready[READY_MAX];
};

/* Pollset entry of one of libcurl's sockets. */
struct socket_watch {
	apr_pool_t *pool;
	apr_pollfd_t fd;
};

static int update_socket_watch(CURL *easy, curl_socket_t s, int what,
			       void *userp, void *socketp)
{
	struct fetcher *r = userp;
	struct socket_watch *w = socketp;
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

static int update_timer(CURLM *multi, long timeout_ms, void *userp)
{
	struct fetcher *r = userp;

	(void)multi;
	r->timer = timeout_ms < 0 ? -1 : clock_now() + timeout_ms * 1000;
	return 0;
}

static void remove_requests_for(struct request **link, const struct fetch *f)
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
 * Removes all queued requests for f, because done may free it.  A later
 * cancel or resume finds f->is_done set and does nothing.
 */
static void remove_pending_requests(struct fetcher *r, struct fetch *f)
{
	pthread_mutex_lock(&r->mutex);
	f->is_done = 1;
	if (f->queued_requests) {
		remove_requests_for(&r->requests, f);
		for (r->requests_tail = &r->requests; *r->requests_tail;)
			r->requests_tail = &(*r->requests_tail)->next;
		remove_requests_for(&r->executing, f);
	}
	pthread_mutex_unlock(&r->mutex);
}

/* Records a request that got no answer on a reused connection. */
static void record_if_unanswered(struct fetcher *r, const struct fetch *f,
				 long sent, CURLcode code)
{
	int is_unanswered =
		code == CURLE_OPERATION_TIMEDOUT ||
		(code == CURLE_ABORTED_BY_CALLBACK &&
		 clock_now() - f->submitted_at > SILENT_CANCEL_MIN_US);

	if (is_unanswered && sent && !f->status && f->sends < 2 &&
	    __atomic_load_n(&f->reused, __ATOMIC_RELAXED))
		silence_record(&r->silence, f->url, f->submitted_at);
}

/* Finishes a fetch: unlinks it, frees its easy handle and calls done. */
static void finish_fetch(struct fetcher *r, struct fetch *f, CURLcode code)
{
	long status = 0, sent = 0, os_error = 0;

	if (f->link) {
		*f->link = f->next;
		if (f->next)
			f->next->link = f->link;
		f->link = NULL;
	}
	if (f->easy) {
		curl_easy_getinfo(f->easy, CURLINFO_RESPONSE_CODE, &status);
		curl_easy_getinfo(f->easy, CURLINFO_REQUEST_SIZE, &sent);
		curl_easy_getinfo(f->easy, CURLINFO_OS_ERRNO, &os_error);
		curl_multi_remove_handle(r->multi, f->easy);
		curl_easy_cleanup(f->easy);
		f->easy = NULL;
	}
	curl_slist_free_all(f->header_list);
	f->header_list = NULL;
	f->status = (int)status;
	f->never_sent = !sent;
	f->is_refused =
		code == CURLE_COULDNT_CONNECT && os_error == ECONNREFUSED;
	record_if_unanswered(r, f, sent, code);
	fetch_error_from_curl(f, code);
	if (code == CURLE_OK && f->framing == FRAMING_NONE)
		error_set(&f->error, ERROR_CORRUPT, "fetch", f->url,
			  "the answer ended inside its head");
	else if (code == CURLE_OK && fetch_is_cut(f))
		error_set(&f->error, ERROR_CORRUPT, "fetch", f->url,
			  "the answer ended before its last chunk");
	remove_pending_requests(r, f);
	/* done may take ownership of f->text by clearing it, or free f. */
	f->ops->done(f);
}

static void start_fetch(struct fetcher *r, struct fetch *f)
{
	f->easy = NULL;
	if (is_url_partitioned(f->url)) {
		finish_fetch(r, f, CURLE_COULDNT_CONNECT);
		return;
	}
	f->easy = fetch_easy_new(
		f, r->local_address,
		silence_max_age(&r->silence, f->url, clock_now()));
	if (!f->easy) {
		finish_fetch(r, f, CURLE_OUT_OF_MEMORY);
		return;
	}
	f->next = r->running;
	f->link = &r->running;
	if (f->next)
		f->next->link = &f->next;
	r->running = f;
	curl_multi_add_handle(r->multi, f->easy);
}

/*
 * Passes on the piece that was kept at the pause, and reads on. libcurl drops a
 * piece that data() refuses now and would go on with the next one.
 */
static void resume_fetch(struct fetcher *r, struct fetch *f)
{
	CURLcode code = curl_easy_pause(f->easy, CURLPAUSE_CONT);

	if (code != CURLE_OK)
		finish_fetch(r, f, code);
}

static void execute_request(struct fetcher *r, struct request *q)
{
	switch (q->kind) {
	case REQUEST_SUBMIT:
		start_fetch(r, q->fetch);
		break;
	case REQUEST_CANCEL:
		if (q->fetch->link)
			finish_fetch(r, q->fetch, CURLE_ABORTED_BY_CALLBACK);
		break;
	case REQUEST_RESUME:
		if (q->fetch->link)
			resume_fetch(r, q->fetch);
		break;
	}
}

/* Executes requests of other threads.  Returns 0 once stopping is set. */
static int execute_requests(struct fetcher *r)
{
	struct request *q;
	int stopping;

	pthread_mutex_lock(&r->mutex);
	r->executing = r->requests;
	r->requests = NULL;
	r->requests_tail = &r->requests;
	r->is_wakeup_pending = 0;
	stopping = r->stopping;
	pthread_mutex_unlock(&r->mutex);
	while ((q = r->executing)) {
		r->executing = q->next;
		pthread_mutex_lock(&r->mutex);
		q->fetch->queued_requests--;
		pthread_mutex_unlock(&r->mutex);
		execute_request(r, q);
		free(q);
	}
	return !stopping;
}

static void collect_finished(struct fetcher *r)
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
		finish_fetch(r, f, code);
	}
}

static int ready_flags(const apr_pollfd_t *fd)
{
	int what = (fd->rtnevents & APR_POLLIN ? CURL_CSELECT_IN : 0) |
		   (fd->rtnevents & APR_POLLOUT ? CURL_CSELECT_OUT : 0);

	if (fd->rtnevents & (APR_POLLERR | APR_POLLHUP))
		what |= CURL_CSELECT_IN | CURL_CSELECT_ERR;
	return what;
}

/*
 * Passes the ready sockets to libcurl.  They are copied first: libcurl may
 * remove any of them, and its pollset entry, while it handles another one.
 */
static void process_ready_sockets(struct fetcher *r, apr_int32_t n,
				  const apr_pollfd_t *fds)
{
	apr_int32_t i, count = 0;
	int running;

	for (i = 0; i < n && count < READY_MAX; i++) {
		if (fds[i].desc_type != APR_POLL_SOCKET || !fds[i].client_data)
			continue;
		apr_os_sock_get(&r->ready[count].socket, fds[i].desc.s);
		r->ready[count++].what = ready_flags(&fds[i]);
	}
	for (i = 0; i < count; i++)
		curl_multi_socket_action(r->multi, r->ready[i].socket,
					 r->ready[i].what, &running);
}

static apr_interval_time_t poll_timeout(const struct fetcher *r)
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

	while (execute_requests(r)) {
		n = 0;
		if (apr_pollset_poll(r->pollset, poll_timeout(r), &n, &fds) ==
		    APR_SUCCESS)
			process_ready_sockets(r, n, fds);
		if (r->timer >= 0 && r->timer <= clock_now()) {
			r->timer = -1;
			curl_multi_socket_action(r->multi, CURL_SOCKET_TIMEOUT,
						 0, &running);
		}
		collect_finished(r);
	}
	/* A done may submit another transfer; that one is aborted as well. */
	do {
		while (r->running)
			finish_fetch(r, r->running, CURLE_ABORTED_BY_CALLBACK);
		execute_requests(r);
	} while (r->running);
	return NULL;
}

/*
 * Starts the event thread.  local_address, if not NULL, is the source IP
 * address of its connections.  Returns NULL with err set on failure.
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
	curl_multi_setopt(r->multi, CURLMOPT_SOCKETFUNCTION,
			  update_socket_watch);
	curl_multi_setopt(r->multi, CURLMOPT_SOCKETDATA, r);
	curl_multi_setopt(r->multi, CURLMOPT_TIMERFUNCTION, update_timer);
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
		  "cannot start the event loop: %m");
	return NULL;
}

static void queue_request(struct fetcher *r, enum request_kind kind,
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
		f->is_done = 0;
	if (f->is_done) {
		pthread_mutex_unlock(&r->mutex);
		free(q);
		return;
	}
	f->queued_requests++;
	*r->requests_tail = q;
	r->requests_tail = &q->next;
	wake = !r->is_wakeup_pending;
	r->is_wakeup_pending = 1;
	pthread_mutex_unlock(&r->mutex);
	if (wake)
		apr_pollset_wakeup(r->pollset);
}

/* Aborts all transfers (their done is called) and frees the fetcher. */
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
	fetch_reset_head(f);
	f->head_size = 0;
	f->never_sent = 1;
	f->submitted_at = clock_now();
	f->link = NULL;
	f->is_aborted_by_data = 0;
	f->has_invalid_status = 0;
	f->sends = 0;
	f->is_too_late = 0;
	f->reused = 0;
	f->text = NULL;
	f->text_size = 0;
	f->text_capacity = 0;
	error_clear(&f->error);
	queue_request(r, REQUEST_SUBMIT, f);
}

/*
 * Aborts a transfer; its done is still called.  Has no effect on a finished
 * one.  The caller must make sure that the fetch is not freed meanwhile.
 */
void fetch_cancel(struct fetch *f)
{
	queue_request(f->fetcher, REQUEST_CANCEL, f);
}

/* Resumes a transfer whose data() returned FETCH_PAUSE. */
void fetch_resume(struct fetch *f)
{
	queue_request(f->fetcher, REQUEST_RESUME, f);
}

/* State of one call of fetch_wait. */
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
 * Runs a transfer and waits until it ends.  Returns the HTTP status, or -1
 * with f->error set when no complete answer arrived.  *body, NUL-ended, is the
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
