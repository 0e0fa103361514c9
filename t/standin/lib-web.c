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
	bool held;
	bool released; /* released before it was held */
	bool silent;
	bool dropped;
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

/* Writes the IPv4 address of one end of socket fd to out. */
static void conn_address(int (*end)(int, struct sockaddr *, socklen_t *),
			 int fd, char *out)
{
	struct sockaddr_in sin;
	socklen_t len = sizeof(sin);

	out[0] = '\0';
	if (!end(fd, (struct sockaddr *)&sin, &len))
		inet_ntop(AF_INET, &sin.sin_addr, out, WEB_ADDRESS_MAX);
}

/* getpeername() with the plain type of an address. */
static int conn_peername(int fd, struct sockaddr *sa, socklen_t *len)
{
	return getpeername(fd, sa, len);
}

/* getsockname() with the plain type of an address. */
static int conn_sockname(int fd, struct sockaddr *sa, socklen_t *len)
{
	return getsockname(fd, sa, len);
}

/* Creates the record of a new connection and links it into its server. */
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

/* Unlinks and frees the record of a connection. */
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

/* Called by libmicrohttpd as a connection starts and ends. */
static void on_connection(void *arg, struct MHD_Connection *mhd, void **ctx,
			  enum MHD_ConnectionNotificationCode code)
{
	if (code == MHD_CONNECTION_NOTIFY_STARTED)
		*ctx = conn_open(arg, mhd);
	else if (*ctx)
		conn_close(*ctx);
}

/*
 * Suspends conn until it is released.  Returns 1 when it was released in the
 * meantime (the caller has to look again), 0 when it is suspended now and -1
 * when the connection was dropped.
 */
static int conn_hold(struct web_conn *conn)
{
	int ret = 0;

	pthread_mutex_lock(&conn->lock);
	if (conn->dropped) {
		ret = -1;
	} else if (conn->released && !conn->silent) {
		conn->released = false;
		ret = 1;
	} else {
		conn->held = true;
		MHD_suspend_connection(conn->mhd);
	}
	pthread_mutex_unlock(&conn->lock);
	return ret;
}

/* Resumes a held connection.  The caller holds the connection's lock. */
static void conn_resume(struct web_conn *conn)
{
	if (conn->held) {
		conn->held = false;
		MHD_resume_connection(conn->mhd);
	} else {
		conn->released = true;
	}
}

/* Lets a held request go on; its handler or stream is called again. */
void web_release(struct web_request *req)
{
	struct web_conn *conn = req->conn;

	pthread_mutex_lock(&conn->lock);
	if (!conn->silent || conn->dropped)
		conn_resume(conn);
	pthread_mutex_unlock(&conn->lock);
}

/* Tells whether conn takes part in a fault and shall not be served. */
static bool conn_is_silent(struct web_conn *conn)
{
	bool silent;

	pthread_mutex_lock(&conn->lock);
	silent = conn->silent && !conn->dropped;
	pthread_mutex_unlock(&conn->lock);
	return silent;
}

/* Tells whether conn was dropped and has to end. */
static bool conn_is_dropped(struct web_conn *conn)
{
	bool dropped;

	pthread_mutex_lock(&conn->lock);
	dropped = conn->dropped;
	pthread_mutex_unlock(&conn->lock);
	return dropped;
}

/*
 * Makes the connections that are open now to address (NULL: to every address)
 * never answer again; new connections work.
 */
void web_silence(struct web_server *server, const char *address)
{
	struct web_conn *conn;

	pthread_mutex_lock(&server->lock);
	for (conn = server->conns; conn; conn = conn->next) {
		if (address && strcmp(conn->local, address) != 0)
			continue;
		pthread_mutex_lock(&conn->lock);
		conn->silent = true;
		pthread_mutex_unlock(&conn->lock);
	}
	pthread_mutex_unlock(&server->lock);
}

/* Closes the connections that are open now to address, without a reply. */
void web_drop(struct web_server *server, const char *address)
{
	struct web_conn *conn;

	pthread_mutex_lock(&server->lock);
	for (conn = server->conns; conn; conn = conn->next) {
		if (address && strcmp(conn->local, address) != 0)
			continue;
		pthread_mutex_lock(&conn->lock);
		conn->dropped = true;
		shutdown(conn->fd, SHUT_RDWR);
		conn_resume(conn);
		pthread_mutex_unlock(&conn->lock);
	}
	pthread_mutex_unlock(&server->lock);
}

/* Creates the record of a request whose head has come. */
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

/* Called by libmicrohttpd when a request is over, in whatever way. */
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

/* Room to allocate for the body so far and len bytes more. */
static size_t body_room(struct web_request *req, size_t len)
{
	const char *length = web_header(req, "Content-Length");
	size_t want = length ? strtoull(length, NULL, 10) : 0;

	if (want >= req->body_len + len)
		return want;
	return 2 * (req->body_len + len) + BODY_BLOCK_BYTES;
}

/* Appends a piece of the request's body.  Returns -1 when it is too large. */
static int body_append(struct web_request *req, const char *data, size_t len)
{
	size_t room;
	char *body;

	if (req->body_len + len > req->body_alloc) {
		room = body_room(req, len);
		if (room > BODY_MAX_BYTES)
			return -1;
		body = realloc(req->body, room + 1);
		if (!body)
			return -1;
		req->body = body;
		req->body_alloc = room;
	}
	memcpy(req->body + req->body_len, data, len);
	req->body_len += len;
	req->body[req->body_len] = '\0';
	return 0;
}

/* Runs the handler of a whole request; called again after each hold. */
static enum MHD_Result request_run(struct web_server *server,
				   struct web_request *req)
{
	enum web_verdict verdict;
	int held;

	do {
		if (conn_is_dropped(req->conn))
			return MHD_NO;
		if (conn_is_silent(req->conn))
			verdict = WEB_HOLD;
		else
			verdict = server->ops->handle(req, server->arg);
		if (verdict == WEB_DONE)
			return MHD_YES;
		if (verdict == WEB_CLOSE)
			return MHD_NO;
		held = conn_hold(req->conn);
	} while (held > 0);
	return held < 0 ? MHD_NO : MHD_YES;
}

/* Called by libmicrohttpd for a request's head, body pieces and end. */
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

/* Hands an accepted connection to the thread pool. */
static void on_accept(void *arg, int fd, const struct sockaddr *sa,
		      socklen_t len)
{
	struct web_server *server = arg;

	/* libmicrohttpd closes fd itself when it refuses the connection. */
	MHD_add_connection(server->daemon, fd, sa, len);
}

/* Starts a server without addresses; web_listen() adds them. */
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

/* Listens on one address. */
int web_listen(struct web_server *server, const char *address, unsigned port)
{
	return listen_add(server->listeners, address, port);
}

/* Stops listening on address; its open connections stay. */
void web_unlisten(struct web_server *server, const char *address)
{
	listen_remove(server->listeners, address);
}

/* Address that the request came to. */
const char *web_local(const struct web_request *req)
{
	return req->conn->local;
}

/* Address that the request came from. */
const char *web_peer(const struct web_request *req)
{
	return req->conn->peer;
}

/* A header's value, or NULL. */
const char *web_header(const struct web_request *req, const char *name)
{
	return MHD_lookup_connection_value(req->mhd, MHD_HEADER_KIND, name);
}

/* A query parameter's value, or NULL. */
const char *web_query(const struct web_request *req, const char *name)
{
	return MHD_lookup_connection_value(req->mhd, MHD_GET_ARGUMENT_KIND,
					   name);
}

/* Value of a number in the query, or missing when it isn't there. */
long web_query_long(const struct web_request *req, const char *name,
		    long missing)
{
	const char *value = web_query(req, name);

	return value ? strtol(value, NULL, 10) : missing;
}

/* Called by libmicrohttpd when it can send more of a streamed reply. */
static ssize_t stream_read(void *arg, uint64_t pos, char *buf, size_t max)
{
	struct web_stream_state *state = arg;
	ssize_t n;
	int held;

	do {
		if (conn_is_dropped(state->conn))
			return WEB_STREAM_FAIL;
		n = WEB_STREAM_WAIT;
		if (!conn_is_silent(state->conn))
			n = state->ops->read(state->arg, buf, max);
		if (n != WEB_STREAM_WAIT)
			return n;
		held = conn_hold(state->conn);
	} while (held > 0);
	return held < 0 ? WEB_STREAM_FAIL : 0;
}

/* Called by libmicrohttpd when a streamed reply is over. */
static void stream_close(void *arg)
{
	struct web_stream_state *state = arg;

	if (state->ops->close)
		state->ops->close(state->arg);
	free(state);
}

/*
 * Creates a reply whose body comes from ops->read(), chunked when size is
 * MHD_SIZE_UNKNOWN.  Read is called again after web_release().
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
