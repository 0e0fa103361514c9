#include "net/httpd-internal.h"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdio.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <sys/ioctl.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/metric.h"
#include "net/cut.h"

/*
 * From 0.9.77 on, libmicrohttpd refuses by itself what http_call_find_head_fault()
 * can't see in its fields then: folded lines, and a bare CR as a blank or line end.
 */
#if MHD_VERSION >= 0x00097701
#define STRICT_OPTIONS MHD_OPTION_CLIENT_DISCIPLINE_LVL, 1,
#else
#define STRICT_OPTIONS
#endif

/* Answers that may lie unread as the next request comes. */
#define UNREAD_MAX_BYTES (64 * 1024)

/* Drops a reference; the last one frees the call. */
void http_call_unref(struct http_call *c)
{
	int i;

	if (__atomic_sub_fetch(&c->refs, 1, __ATOMIC_ACQ_REL))
		return;
	for (i = 0; i < c->header_count; i++) {
		free(c->headers[i].name);
		free(c->headers[i].value);
	}
	pthread_mutex_destroy(&c->mutex);
	free(c->headers);
	free(c->method);
	free(c->path);
	free(c->target);
	guard_discharge(c->body_capacity);
	free(c->body);
	guard_discharge(c->out_capacity);
	free(c->out);
	free(c);
}

static void call_ref(struct http_call *c)
{
	__atomic_fetch_add(&c->refs, 1, __ATOMIC_RELAXED);
}

static const struct http_route *find_route(const struct httpd *h,
					   const char *method, const char *path)
{
	const struct http_route *r;

	for (r = h->routes; r->path; r++) {
		size_t n = strlen(r->path);

		if (r->method && strcmp(r->method, method))
			continue;
		if (r->path[n - 1] == '/' ? !strncmp(r->path, path, n)
					  : !strcmp(r->path, path))
			return r;
	}
	return NULL;
}

/*
 * Creates the call once the request line is read: only this callback gets
 * the target exactly as the caller sent it.
 */
static void *call_new(void *cls, const char *target, struct MHD_Connection *con)
{
	struct http_call *c = calloc(1, sizeof(*c));
	struct httpd *h = cls;

	if (!c)
		return NULL;
	pthread_mutex_init(&c->mutex, NULL);
	c->refs = 1;
	c->server = h;
	c->connection = con;
	c->target = strdup(target);
	c->started_at = clock_now();
	c->guarded =
		MHD_get_connection_info(con, MHD_CONNECTION_INFO_SOCKET_CONTEXT)
			->socket_context;
	guard_enter(&h->guard, c->guarded, INTAKE_HEAD, 0, c->started_at);
	__atomic_fetch_add(&h->active, 1, __ATOMIC_RELAXED);
	return c;
}

static void init_call(struct httpd *h, struct http_call *c,
		      struct MHD_Connection *con, const char *method,
		      const char *path, const char *version)
{
	const char *length = MHD_lookup_connection_value(
		con, MHD_HEADER_KIND, MHD_HTTP_HEADER_CONTENT_LENGTH);
	const union MHD_ConnectionInfo *info;

	c->state = CALL_READING;
	http_call_measure_head(c, con, method);
	c->body_expected = length ? strtoull(length, NULL, 10) : 0;
	guard_enter(&h->guard, c->guarded, INTAKE_BODY, 0, clock_now());
	c->is_http_1_0 = !strcmp(version, MHD_HTTP_VERSION_1_0);
	c->head_fault = http_call_find_head_fault(c, method, path, version);
	c->method = strdup(method);
	c->path = strdup(path);
	c->route = find_route(h, method, path);
	info = MHD_get_connection_info(con, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
	if (info && info->client_addr->sa_family == AF_INET)
		inet_ntop(AF_INET,
			  &((struct sockaddr_in *)info->client_addr)->sin_addr,
			  c->peer, sizeof(c->peer));
}

/* Suspends the connection and watches it for a hang-up.  Mutex held. */
void http_call_suspend_locked(struct http_call *c)
{
	const union MHD_ConnectionInfo *info;

	if (!c->hangup) {
		info = MHD_get_connection_info(
			c->connection, MHD_CONNECTION_INFO_CONNECTION_FD);
		c->fd = info->connect_fd;
		c->hangup = hangup_add(c->server->hangups, c->fd, c);
	}
	c->is_suspended = 1;
	MHD_suspend_connection(c->connection);
}

/*
 * Records that the caller has disconnected and notifies the handler.  The
 * mutex is held, so that a handler that ends the call waits for this.
 */
static void mark_disconnected_locked(struct http_call *c)
{
	if (c->is_ended || c->is_disconnected)
		return;
	c->is_disconnected = 1;
	if (c->on_drained)
		c->on_drained(c->drained_arg);
	if (c->on_disconnect)
		c->on_disconnect(c->disconnect_arg);
}

/*
 * Answers with a failure in place of a response whose head can't be written. Who
 * writes the rest of that answer sees the caller as gone.
 */
static enum MHD_Result refuse_response(struct http_call *c,
				       struct MHD_Response *r)
{
	MHD_destroy_response(r);
	pthread_mutex_lock(&c->mutex);
	mark_disconnected_locked(c);
	pthread_mutex_unlock(&c->mutex);
	return http_call_queue_error(c, MHD_HTTP_BAD_GATEWAY);
}

/*
 * Queues the response, or suspends the connection until there is one.
 * libmicrohttpd locks a response while it reads a stream, so its functions
 * are called here without the call's mutex; once the call is answered, only
 * this thread uses the fields read here.
 */
static enum MHD_Result queue_response(struct http_call *c)
{
	int is_closing = __atomic_load_n(&c->server->closing, __ATOMIC_RELAXED);
	struct MHD_Response *r;
	enum MHD_Result ret;

	pthread_mutex_lock(&c->mutex);
	if (c->state != CALL_ANSWERED) {
		if (!c->is_disconnected)
			http_call_suspend_locked(c);
		ret = c->is_disconnected ? MHD_NO : MHD_YES;
		pthread_mutex_unlock(&c->mutex);
		return ret;
	}
	r = c->response;
	c->response = NULL;
	pthread_mutex_unlock(&c->mutex);
	if (http_call_add_fields(c, r, is_closing || c->is_last))
		return refuse_response(c, r);
	http_call_record_written(c, is_closing);
	guard_enter(&c->server->guard, c->guarded, INTAKE_ANSWER, c->reply_size,
		    clock_now());
	ret = MHD_queue_response(c->connection, (unsigned)c->status, r);
	MHD_destroy_response(r);
	return ret;
}

static int call_is_handled(struct http_call *c)
{
	int handled;

	pthread_mutex_lock(&c->mutex);
	handled = c->state != CALL_READING;
	pthread_mutex_unlock(&c->mutex);
	return handled;
}

/*
 * Returns 1 when the caller has closed its connection. The watch for that
 * begins with the first wait only, and a request that was not read in time may
 * be one whose caller has given up.
 */
static int is_hung_up(struct MHD_Connection *con)
{
	const union MHD_ConnectionInfo *info;
	struct pollfd fd = { .events = POLLRDHUP };

	info = MHD_get_connection_info(con, MHD_CONNECTION_INFO_CONNECTION_FD);
	if (!info)
		return 0;
	fd.fd = info->connect_fd;
	return poll(&fd, 1, 0) > 0;
}

/*
 * Returns 1 for a caller that sends requests ahead and doesn't read the answers,
 * so that these pile up in the socket.
 */
static int reads_no_answers(struct MHD_Connection *con)
{
	const union MHD_ConnectionInfo *info =
		MHD_get_connection_info(con, MHD_CONNECTION_INFO_CONNECTION_FD);
	int unsent = 0;

	return info && !ioctl(info->connect_fd, SIOCOUTQ, &unsent) &&
	       unsent > UNREAD_MAX_BYTES;
}

static enum MHD_Result receive_request(void *cls, struct MHD_Connection *con,
				       const char *url, const char *method,
				       const char *version,
				       const char *upload_data,
				       size_t *upload_data_size, void **con_cls)
{
	struct httpd *h = cls;
	struct http_call *c = *con_cls;
	int status;

	if (!c)
		return MHD_NO;
	if (c->state == CALL_NEW) {
		init_call(h, c, con, method, url, version);
		if (reads_no_answers(con)) {
			metric_count("http_closed", "unread", 1);
			return MHD_NO;
		}
		status = http_call_find_refusal(c);
		if (status)
			return http_call_queue_error(c, status);
		return is_address_partitioned(c->peer) ? MHD_NO : MHD_YES;
	}
	if (*upload_data_size) {
		guard_record_bytes(&h->guard, c->guarded, *upload_data_size,
				   clock_now());
		if (http_call_append_body(c, upload_data, *upload_data_size))
			return MHD_NO;
		*upload_data_size = 0;
		return MHD_YES;
	}
	if (call_is_handled(c))
		return queue_response(c);
	/*
	 * libmicrohttpd 0.9.75 takes a line without a name for the end of the
	 * trailers, so that what is behind them may be one of them.
	 */
	c->is_last =
		MHD_get_connection_values(con, MHD_FOOTER_KIND, NULL, NULL) > 0;
	if (!c->route)
		return http_call_queue_error(c, MHD_HTTP_NOT_FOUND);
	if (c->is_too_large)
		return http_call_queue_error(c, MHD_HTTP_CONTENT_TOO_LARGE);
	if (is_hung_up(con)) {
		metric_count("http_abandoned", NULL, 1);
		return MHD_NO;
	}
	c->state = CALL_HANDLED;
	guard_enter(&h->guard, c->guarded, INTAKE_SERVED, 0, clock_now());
	call_ref(c);
	c->route->handle(c, c->route->arg);
	return queue_response(c);
}

/* Resumes a suspended connection.  Mutex held. */
void http_call_resume_locked(struct http_call *c)
{
	if (!c->is_suspended || !c->connection)
		return;
	c->is_suspended = 0;
	MHD_resume_connection(c->connection);
}

static void ref_call_on_hangup(void *arg)
{
	call_ref(arg);
}

/* Called when the caller closes its connection during a wait. */
static void handle_hangup(void *arg)
{
	struct http_call *c = arg;

	pthread_mutex_lock(&c->mutex);
	mark_disconnected_locked(c);
	http_call_resume_locked(c);
	pthread_mutex_unlock(&c->mutex);
	http_call_unref(c);
}

static const struct hangup_ops hangup_ops = { ref_call_on_hangup,
					      handle_hangup };

static void complete_request(void *cls, struct MHD_Connection *con,
			     void **con_cls,
			     enum MHD_RequestTerminationCode code)
{
	struct http_call *c = *con_cls;

	if (!c)
		return;
	*con_cls = NULL;
	if (c->state == CALL_NEW && code == MHD_REQUEST_TERMINATED_WITH_ERROR)
		http_call_record_refused_head(c);
	pthread_mutex_lock(&c->mutex);
	if (c->hangup)
		hangup_remove(c->server->hangups, c->hangup, c->fd);
	c->connection = NULL;
	guard_enter(&c->server->guard, c->guarded, INTAKE_IDLE, 0, clock_now());
	c->guarded = NULL;
	c->is_suspended = 0;
	mark_disconnected_locked(c);
	if (c->response) {
		MHD_destroy_response(c->response);
		c->response = NULL;
	}
	pthread_mutex_unlock(&c->mutex);
	__atomic_fetch_sub(&c->server->active, 1, __ATOMIC_RELAXED);
	http_call_unref(c);
}

static void handle_connection(void *cls, struct MHD_Connection *con,
			      void **context,
			      enum MHD_ConnectionNotificationCode code)
{
	char peer[INET_ADDRSTRLEN] = "";
	const struct sockaddr *sa;
	struct httpd *h = cls;
	int fd;

	if (code == MHD_CONNECTION_NOTIFY_CLOSED) {
		guard_remove(&h->guard, *context);
		return;
	}
	sa = MHD_get_connection_info(con, MHD_CONNECTION_INFO_CLIENT_ADDRESS)
		     ->client_addr;
	fd = MHD_get_connection_info(con, MHD_CONNECTION_INFO_CONNECTION_FD)
		     ->connect_fd;
	if (sa->sa_family == AF_INET)
		inet_ntop(AF_INET, &((const struct sockaddr_in *)sa)->sin_addr,
			  peer, sizeof(peer));
	*context = guard_add(&h->guard, fd, peer, clock_now());
}

/* Discards libmicrohttpd's own log messages. */
static void discard_library_log(void *cls, const char *fmt, va_list ap)
{
	(void)cls;
	(void)fmt;
	(void)ap;
}

/*
 * Starts a server on address:port with that number of event threads.  routes
 * ends with a NULL path and must outlive the server.  Returns NULL with err
 * set on failure.
 */
struct httpd *httpd_start(const char *address, int port,
			  const struct http_route *routes, int threads,
			  struct error *err)
{
	struct sockaddr_in sa = { .sin_family = AF_INET };
	struct httpd *h = calloc(1, sizeof(*h));
	unsigned flags = MHD_USE_EPOLL_INTERNAL_THREAD |
			 MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ERROR_LOG;

	if (!h)
		abort();
	sa.sin_port = htons((uint16_t)port);
	h->routes = routes;
	if (inet_pton(AF_INET, address, &sa.sin_addr) != 1) {
		free(h);
		error_set(err, ERROR_INVALID, "http-listen", address,
			  "not an IPv4 address");
		return NULL;
	}
	guard_init(&h->guard);
	h->hangups = hangup_start(&hangup_ops);
	h->daemon = MHD_start_daemon(
		flags, (uint16_t)port, NULL, NULL, receive_request, h,
		MHD_OPTION_EXTERNAL_LOGGER, discard_library_log, NULL,
		MHD_OPTION_SOCK_ADDR, (struct sockaddr *)&sa,
		MHD_OPTION_URI_LOG_CALLBACK, call_new, h,
		MHD_OPTION_NOTIFY_COMPLETED, complete_request, h,
		MHD_OPTION_NOTIFY_CONNECTION, handle_connection, h,
		MHD_OPTION_CONNECTION_LIMIT, guard_connections_max(),
		MHD_OPTION_CONNECTION_MEMORY_LIMIT,
		(size_t)HTTP_CONNECTION_BYTES,
		STRICT_OPTIONS threads > 1 ? MHD_OPTION_THREAD_POOL_SIZE
					   : MHD_OPTION_END,
		(unsigned)threads, MHD_OPTION_END);
	if (!h->daemon) {
		hangup_stop(h->hangups);
		free(h);
		error_set(err, ERROR_INTERNAL, "http-listen", address,
			  "cannot listen on port %d: %m", port);
		return NULL;
	}
	return h;
}

/*
 * Closes each connection after its next answer, so that callers move to
 * another server before this one closes connections that they are about to
 * use.
 */
void httpd_close_after_answers(struct httpd *h)
{
	__atomic_store_n(&h->closing, 1, __ATOMIC_RELAXED);
}

/* Accepts no more connections; open ones are still served. */
void httpd_stop_accepting(struct httpd *h)
{
	MHD_socket fd = MHD_quiesce_daemon(h->daemon);

	if (fd != MHD_INVALID_SOCKET)
		close(fd);
}

/* Returns the number of requests not yet answered completely. */
int httpd_active(struct httpd *h)
{
	return __atomic_load_n(&h->active, __ATOMIC_RELAXED);
}

/* Closes the connections whose callers get no further. */
void httpd_sweep(struct httpd *h, apr_time_t now)
{
	if (h)
		guard_sweep(&h->guard, now);
}

/* Closes all connections and frees the server. */
void httpd_stop(struct httpd *h)
{
	if (!h)
		return;
	MHD_stop_daemon(h->daemon);
	hangup_stop(h->hangups);
	guard_destroy(&h->guard);
	free(h);
}

/* Returns the request's method. */
const char *http_call_method(struct http_call *c)
{
	return c->method;
}

/* Returns the request's path without its query. */
const char *http_call_path(struct http_call *c)
{
	return c->path;
}

/* Returns the path and query exactly as the caller sent them. */
const char *http_call_target(struct http_call *c)
{
	return c->target;
}

/* Returns a query argument or NULL; valid until the call is answered. */
const char *http_call_query(struct http_call *c, const char *name)
{
	return MHD_lookup_connection_value(c->connection, MHD_GET_ARGUMENT_KIND,
					   name);
}

/* Returns a request header or NULL.  Handler only. */
const char *http_call_header(struct http_call *c, const char *name)
{
	return MHD_lookup_connection_value(c->connection, MHD_HEADER_KIND,
					   name);
}

struct header_walk {
	void (*each)(void *arg, const char *name, const char *value);
	void *arg;
};

static enum MHD_Result header_walk(void *cls, enum MHD_ValueKind kind,
				   const char *name, const char *value)
{
	struct header_walk *w = cls;

	(void)kind;
	w->each(w->arg, name, value ? value : "");
	return MHD_YES;
}

/* Calls each for every request header, in order.  Handler only. */
void http_call_headers(struct http_call *c,
		       void (*each)(void *arg, const char *name,
				    const char *value),
		       void *arg)
{
	struct header_walk w = { each, arg };

	MHD_get_connection_values(c->connection, MHD_HEADER_KIND, header_walk,
				  &w);
}

/* Returns the IP address of the caller. */
const char *http_call_peer(struct http_call *c)
{
	return c->peer;
}

/* Returns when the request line was read, before headers and body. */
apr_time_t http_call_started_at(const struct http_call *c)
{
	return c->started_at;
}

/* Returns the body, NUL-ended, and its size. */
const void *http_call_body(struct http_call *c, size_t *size)
{
	*size = c->body_size;
	return c->body ? c->body : "";
}
