#include <arpa/inet.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>

#include "t/standin/lib-web.h"
#include "t/standin/lib-listen.h"

#define CONNECTION_LIMIT 32768
#define CONNECTION_MEMORY_BYTES (64 * 1024)
#define STREAM_BLOCK_BYTES (32 * 1024)
#define BODY_BLOCK_BYTES 4096
#define BODY_MAX_BYTES (256 * 1024 * 1024)

/* One open connection; its lock is a leaf, taken after any other. */
struct web_conn {
	struct web_server *server;
	struct MHD_Connection *mhd;
	struct web_conn *next;
	struct web_conn **link;
	pthread_mutex_t lock;
	int fd;
	bool is_suspended;
	bool has_pending_resume; /* resumed before it was suspended */
	bool is_blackholed;
	bool is_dropped;
	char local[WEB_ADDRESS_MAX];
	char peer[WEB_ADDRESS_MAX];
};

struct web_server {
	const struct web_ops *ops;
	void *arg;
	struct MHD_Daemon *daemon;
	struct listen_set *listeners;
	pthread_mutex_t lock; /* protects the list of connections */
	struct web_conn *conns;
};

struct web_stream_state {
	struct web_conn *conn;
	const struct web_stream_ops *ops;
	void *arg;
};

/* Formats the local or remote IPv4 address of socket fd. */
static void conn_address(int (*get_name)(int, struct sockaddr *, socklen_t *),
			 int fd, char *out)
{
	struct sockaddr_in sin;
	socklen_t len = sizeof(sin);

	out[0] = '\0';
	if (!get_name(fd, (struct sockaddr *)&sin, &len))
		inet_ntop(AF_INET, &sin.sin_addr, out, WEB_ADDRESS_MAX);
}

/* getpeername() without the transparent union of glibc's prototype. */
static int conn_peername(int fd, struct sockaddr *sa, socklen_t *len)
{
	return getpeername(fd, sa, len);
}

/* getsockname() without the transparent union of glibc's prototype. */
static int conn_sockname(int fd, struct sockaddr *sa, socklen_t *len)
{
	return getsockname(fd, sa, len);
}

/* Allocates a connection and adds it to the list of its server. */
static struct web_conn *conn_open(struct web_server *server,
				  struct MHD_Connection *mhd)
{
	struct web_conn *conn = calloc(1, sizeof(*conn));
	const union MHD_ConnectionInfo *info;

	if (!conn)
		return NULL;
	info = MHD_get_connection_info(mhd, MHD_CONNECTION_INFO_CONNECTION_FD);
	conn->server = server;
	conn->mhd = mhd;
	conn->fd = info->connect_fd;
	pthread_mutex_init(&conn->lock, NULL);
	conn_address(conn_sockname, conn->fd, conn->local);
	conn_address(conn_peername, conn->fd, conn->peer);
	pthread_mutex_lock(&server->lock);
	conn->next = server->conns;
	conn->link = &server->conns;
	if (conn->next)
		conn->next->link = &conn->next;
	server->conns = conn;
	pthread_mutex_unlock(&server->lock);
	return conn;
}

/* Removes a connection from the list of its server and frees it. */
static void conn_close(struct web_conn *conn)
{
	struct web_server *server = conn->server;

	pthread_mutex_lock(&server->lock);
	*conn->link = conn->next;
	if (conn->next)
		conn->next->link = conn->link;
	pthread_mutex_unlock(&server->lock);
	pthread_mutex_destroy(&conn->lock);
	free(conn);
}

/* Called by libmicrohttpd when a connection is opened or closed. */
static void on_connection(void *arg, struct MHD_Connection *mhd, void **ctx,
			  enum MHD_ConnectionNotificationCode code)
{
	if (code == MHD_CONNECTION_NOTIFY_STARTED)
		*ctx = conn_open(arg, mhd);
	else if (*ctx)
		conn_close(*ctx);
}

/*
 * Suspends conn until it is resumed.  Returns 0 if it is suspended now, 1 if
 * it was resumed in the meantime, so that the caller has to retry, and -1 if
 * the connection was dropped.
 */
static int conn_suspend(struct web_conn *conn)
{
	int ret = 0;

	pthread_mutex_lock(&conn->lock);
	if (conn->is_dropped) {
		ret = -1;
	} else if (conn->has_pending_resume && !conn->is_blackholed) {
		conn->has_pending_resume = false;
		ret = 1;
	} else {
		conn->is_suspended = true;
		MHD_suspend_connection(conn->mhd);
	}
	pthread_mutex_unlock(&conn->lock);
	return ret;
}

/* Resumes a suspended connection.  The caller holds the connection's lock. */
static void conn_resume(struct web_conn *conn)
{
	if (conn->is_suspended) {
		conn->is_suspended = false;
		MHD_resume_connection(conn->mhd);
	} else {
		conn->has_pending_resume = true;
	}
}

/* Resumes a suspended request; its handler or stream is called again. */
void web_resume(struct web_request *req)
{
	struct web_conn *conn = req->conn;

	pthread_mutex_lock(&conn->lock);
	if (!conn->is_blackholed || conn->is_dropped)
		conn_resume(conn);
	pthread_mutex_unlock(&conn->lock);
}

/* Returns whether conn is blackholed and must not be served. */
static bool conn_is_blackholed(struct web_conn *conn)
{
	bool is_blackholed;

	pthread_mutex_lock(&conn->lock);
	is_blackholed = conn->is_blackholed && !conn->is_dropped;
	pthread_mutex_unlock(&conn->lock);
	return is_blackholed;
}

/* Returns whether conn was dropped and must be closed. */
static bool conn_is_dropped(struct web_conn *conn)
{
	bool is_dropped;

	pthread_mutex_lock(&conn->lock);
	is_dropped = conn->is_dropped;
	pthread_mutex_unlock(&conn->lock);
	return is_dropped;
}

/*
 * Blackholes the connections that are open now to address (to any address if
 * it is NULL): they are never served again.  New connections work.
 */
void web_blackhole(struct web_server *server, const char *address)
{
	struct web_conn *conn;

	pthread_mutex_lock(&server->lock);
	for (conn = server->conns; conn; conn = conn->next) {
		if (address && strcmp(conn->local, address) != 0)
			continue;
		pthread_mutex_lock(&conn->lock);
		conn->is_blackholed = true;
		pthread_mutex_unlock(&conn->lock);
	}
	pthread_mutex_unlock(&server->lock);
}

/*
 * Closes the connections that are open now to address (to any address if it
 * is NULL) without a response.
 */
void web_drop_connections(struct web_server *server, const char *address)
{
	struct web_conn *conn;

	pthread_mutex_lock(&server->lock);
	for (conn = server->conns; conn; conn = conn->next) {
		if (address && strcmp(conn->local, address) != 0)
			continue;
		pthread_mutex_lock(&conn->lock);
		conn->is_dropped = true;
		shutdown(conn->fd, SHUT_RDWR);
		conn_resume(conn);
		pthread_mutex_unlock(&conn->lock);
	}
	pthread_mutex_unlock(&server->lock);
}

/* Allocates a request whose headers have been received. */
static struct web_request *request_open(struct MHD_Connection *mhd,
					const char *path, const char *method)
{
	const union MHD_ConnectionInfo *info;
	struct web_request *req = calloc(1, sizeof(*req));

	if (!req)
		return NULL;
	info = MHD_get_connection_info(mhd, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
	req->conn = info->socket_context;
	req->mhd = mhd;
	req->path = strdup(path);
	snprintf(req->method, sizeof(req->method), "%s", method);
	if (!req->conn || !req->path) {
		free(req->path);
		free(req);
		return NULL;
	}
	return req;
}

/* Called by libmicrohttpd when a request has completed or was aborted. */
static void on_completed(void *arg, struct MHD_Connection *mhd, void **ctx,
			 enum MHD_RequestTerminationCode code)
{
	struct web_server *server = arg;
	struct web_request *req = *ctx;

	if (!req)
		return;
	if (server->ops->end)
		server->ops->end(req, server->arg);
	free(req->path);
	free(req->body);
	free(req);
	*ctx = NULL;
}

/* Returns the size to allocate for the body so far and len more bytes. */
static size_t body_alloc_size(struct web_request *req, size_t len)
{
	const char *length = web_header(req, "Content-Length");
	size_t want = length ? strtoull(length, NULL, 10) : 0;

	if (want >= req->body_len + len)
		return want;
	return 2 * (req->body_len + len) + BODY_BLOCK_BYTES;
}

/* Appends data to the request body.  Returns -1 if it gets too large. */
static int body_append(struct web_request *req, const char *data, size_t len)
{
	size_t alloc;
	char *body;

	if (req->body_len + len > req->body_alloc) {
		alloc = body_alloc_size(req, len);
		if (alloc > BODY_MAX_BYTES)
			return -1;
		body = realloc(req->body, alloc + 1);
		if (!body)
			return -1;
		req->body = body;
		req->body_alloc = alloc;
	}
	memcpy(req->body + req->body_len, data, len);
	req->body_len += len;
	req->body[req->body_len] = '\0';
	return 0;
}

/* Calls the handler of a complete request; called again after a resume. */
static enum MHD_Result request_run(struct web_server *server,
				   struct web_request *req)
{
	enum web_result result;
	int suspended;

	do {
		if (conn_is_dropped(req->conn))
			return MHD_NO;
		if (conn_is_blackholed(req->conn))
			result = WEB_SUSPEND;
		else
			result = server->ops->handle(req, server->arg);
		if (result == WEB_REPLIED)
			return MHD_YES;
		if (result == WEB_CLOSE)
			return MHD_NO;
		suspended = conn_suspend(req->conn);
	} while (suspended > 0);
	return suspended < 0 ? MHD_NO : MHD_YES;
}

/*
 * Called by libmicrohttpd after the headers, for each piece of the body and
 * at the end of a request.
 */
static enum MHD_Result on_request(void *arg, struct MHD_Connection *mhd,
				  const char *path, const char *method,
				  const char *version, const char *data,
				  size_t *len, void **ctx)
{
	struct web_request *req = *ctx;

	if (!req) {
		*ctx = request_open(mhd, path, method);
		return *ctx ? MHD_YES : MHD_NO;
	}
	if (*len) {
		if (body_append(req, data, *len))
			return MHD_NO;
		*len = 0;
		return MHD_YES;
	}
	return request_run(arg, req);
}

/* Adds an accepted connection to the thread pool. */
static void on_accept(void *arg, int fd, const struct sockaddr *sa,
		      socklen_t len)
{
	struct web_server *server = arg;

	/* libmicrohttpd closes fd itself if it rejects the connection. */
	MHD_add_connection(server->daemon, fd, sa, len);
}

/* Starts a server that does not listen yet; see web_listen(). */
struct web_server *web_start(const struct web_ops *ops, void *arg,
			     unsigned threads)
{
	struct web_server *server = calloc(1, sizeof(*server));

	if (!server)
		return NULL;
	server->ops = ops;
	server->arg = arg;
	pthread_mutex_init(&server->lock, NULL);
	server->daemon = MHD_start_daemon(
		MHD_USE_EPOLL_INTERNAL_THREAD | MHD_USE_NO_LISTEN_SOCKET |
			MHD_USE_ITC | MHD_ALLOW_SUSPEND_RESUME,
		0, NULL, NULL, on_request, server, MHD_OPTION_THREAD_POOL_SIZE,
		threads, MHD_OPTION_CONNECTION_LIMIT,
		(unsigned)CONNECTION_LIMIT, MHD_OPTION_CONNECTION_MEMORY_LIMIT,
		(size_t)CONNECTION_MEMORY_BYTES, MHD_OPTION_NOTIFY_CONNECTION,
		on_connection, server, MHD_OPTION_NOTIFY_COMPLETED,
		on_completed, server, MHD_OPTION_END);
	if (!server->daemon)
		goto fail;
	server->listeners = listen_start(on_accept, server);
	if (!server->listeners)
		goto fail;
	return server;
fail:
	if (server->daemon)
		MHD_stop_daemon(server->daemon);
	free(server);
	return NULL;
}

int web_listen(struct web_server *server, const char *address, unsigned port)
{
	return listen_add(server->listeners, address, port);
}

/* Stops listening on address; its connections stay open. */
void web_unlisten(struct web_server *server, const char *address)
{
	listen_remove(server->listeners, address);
}

/* Returns the local address of the connection. */
const char *web_local_address(const struct web_request *req)
{
	return req->conn->local;
}

/* Returns the remote address of the connection. */
const char *web_peer_address(const struct web_request *req)
{
	return req->conn->peer;
}

/* Returns the value of a request header, or NULL. */
const char *web_header(const struct web_request *req, const char *name)
{
	return MHD_lookup_connection_value(req->mhd, MHD_HEADER_KIND, name);
}

/* Returns the value of a query parameter, or NULL. */
const char *web_query(const struct web_request *req, const char *name)
{
	return MHD_lookup_connection_value(req->mhd, MHD_GET_ARGUMENT_KIND,
					   name);
}

/* Returns a numeric query parameter, or default_value if it is absent. */
long web_query_long(const struct web_request *req, const char *name,
		    long default_value)
{
	const char *value = web_query(req, name);

	return value ? strtol(value, NULL, 10) : default_value;
}

/* Called by libmicrohttpd when it can send more of a streamed response. */
static ssize_t stream_read(void *arg, uint64_t pos, char *buf, size_t max)
{
	struct web_stream_state *state = arg;
	ssize_t n;
	int suspended;

	do {
		if (conn_is_dropped(state->conn))
			return WEB_STREAM_ERROR;
		n = WEB_STREAM_WAIT;
		if (!conn_is_blackholed(state->conn))
			n = state->ops->read(state->arg, buf, max);
		if (n != WEB_STREAM_WAIT)
			return n;
		suspended = conn_suspend(state->conn);
	} while (suspended > 0);
	return suspended < 0 ? WEB_STREAM_ERROR : 0;
}

/* Called by libmicrohttpd when a streamed response is freed. */
static void stream_close(void *arg)
{
	struct web_stream_state *state = arg;

	if (state->ops->close)
		state->ops->close(state->arg);
	free(state);
}

/*
 * Creates a response whose body is read from ops->read(), with chunked
 * encoding if size is MHD_SIZE_UNKNOWN.  After ops->read() returned
 * WEB_STREAM_WAIT it is called again once web_resume() was called.
 */
struct MHD_Response *web_stream(struct web_request *req, uint64_t size,
				const struct web_stream_ops *ops, void *arg)
{
	struct web_stream_state *state = calloc(1, sizeof(*state));

	if (!state)
		return NULL;
	state->conn = req->conn;
	state->ops = ops;
	state->arg = arg;
	return MHD_create_response_from_callback(
		size, STREAM_BLOCK_BYTES, stream_read, state, stream_close);
}
