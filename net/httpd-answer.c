#include "net/httpd-internal.h"

#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "base/clock.h"
#include "base/metric.h"
#include "net/cut.h"

#define STREAM_BLOCK_BYTES (32 * 1024)

/* Adds a response header.  Call before the answer starts. */
void http_call_set(struct http_call *c, const char *name, const char *value)
{
	pthread_mutex_lock(&c->mutex);
	if (c->header_count < REPLY_HEADERS_MAX) {
		c->headers[c->header_count].name = strdup(name);
		c->headers[c->header_count].value = strdup(value);
		c->header_count++;
	}
	pthread_mutex_unlock(&c->mutex);
}

static void set_response(struct http_call *c, int status, const char *type,
			 struct MHD_Response *r)
{
	if (type)
		MHD_add_response_header(r, "Content-Type", type);
	pthread_mutex_lock(&c->mutex);
	if (c->is_disconnected) {
		MHD_destroy_response(r);
	} else {
		c->response = r;
		c->status = status;
		c->state = CALL_ANSWERED;
		http_call_resume_locked(c);
	}
	pthread_mutex_unlock(&c->mutex);
}

/* Answers with a body, which is copied. */
void http_call_reply(struct http_call *c, int status, const char *type,
		     const void *body, size_t size)
{
	struct MHD_Response *r = MHD_create_response_from_buffer(
		size, (void *)body, MHD_RESPMEM_MUST_COPY);

	pthread_mutex_lock(&c->mutex);
	c->is_ended = 1;
	c->reply_size = size;
	pthread_mutex_unlock(&c->mutex);
	set_response(c, status, type, r);
	http_call_unref(c);
}

/* Answers with JSON; steals the reference to body. */
void http_call_reply_json(struct http_call *c, int status, json_t *body)
{
	char *text = json_dumps(body, JSON_COMPACT);

	http_call_reply(c, status, "application/json", text ? text : "{}",
			text ? strlen(text) : 2);
	free(text);
	json_decref(body);
}

/*
 * Resets the caller's connection. libmicrohttpd closes it in the same way after
 * a complete and a truncated answer, which shows in nothing else when only the
 * connection marks the answer's end.
 */
static void reset_connection(struct http_call *c)
{
	struct sockaddr unspecified = { .sa_family = AF_UNSPEC };
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
		c->connection, MHD_CONNECTION_INFO_CONNECTION_FD);

	/* On Linux, this resets a connection and keeps its descriptor. */
	if (connect(info->connect_fd, &unspecified, sizeof(unspecified)))
		metric_count("http_reset_failures", NULL, 1);
}

static ssize_t read_stream(void *cls, uint64_t pos, char *buf, size_t max)
{
	struct http_call *c = cls;
	size_t left, n;
	ssize_t ret;

	pthread_mutex_lock(&c->mutex);
	left = c->out_size - c->out_start;
	if (c->is_disconnected || is_address_partitioned(c->peer)) {
		ret = MHD_CONTENT_READER_END_WITH_ERROR;
	} else if (left) {
		n = left < max ? left : max;
		memcpy(buf, c->out + c->out_start, n);
		c->out_start += n;
		guard_enter(&c->server->guard, c->guarded, INTAKE_ANSWER, n,
			    clock_now());
		if (n == left) {
			c->out_start = c->out_size = 0;
			if (c->on_drained && !c->is_ended)
				c->on_drained(c->drained_arg);
		}
		ret = (ssize_t)n;
	} else if (c->is_ended) {
		if (!c->is_complete && c->ends_with_connection)
			reset_connection(c);
		ret = c->is_complete ? MHD_CONTENT_READER_END_OF_STREAM
				     : MHD_CONTENT_READER_END_WITH_ERROR;
	} else {
		http_call_suspend_locked(c);
		guard_enter(&c->server->guard, c->guarded, INTAKE_SERVED, 0,
			    clock_now());
		ret = 0;
	}
	pthread_mutex_unlock(&c->mutex);
	return ret;
}

/*
 * Starts a streamed answer with that framing; size counts for FRAMING_LENGTH
 * only.  With FRAMING_CLOSE, a complete answer closes the connection and a
 * truncated one resets it.
 */
void http_call_stream_begin(struct http_call *c, int status, const char *type,
			    enum framing framing, long long size)
{
	struct MHD_Response *r = MHD_create_response_from_callback(
		framing == FRAMING_LENGTH ? (uint64_t)size : MHD_SIZE_UNKNOWN,
		STREAM_BLOCK_BYTES, read_stream, c, NULL);

	if (framing == FRAMING_CLOSE)
		MHD_set_response_options(r, MHD_RF_HTTP_1_0_COMPATIBLE_STRICT,
					 MHD_RO_END);
	c->ends_with_connection =
		framing == FRAMING_CLOSE ||
		(framing == FRAMING_CHUNKED && c->is_http_1_0);
	set_response(c, status, type, r);
}

/*
 * Appends bytes to the stream.  Returns -1 when the caller has disconnected
 * or memory is short; the stream must still be ended.
 */
int http_call_stream_write(struct http_call *c, const void *data, size_t size)
{
	int ret = 0;

	pthread_mutex_lock(&c->mutex);
	if (c->is_disconnected) {
		ret = -1;
		goto out;
	}
	if (c->out_size + size > c->out_capacity) {
		size_t to = c->out_capacity ? c->out_capacity * 2 : 1024;
		char *p;

		while (to < c->out_size + size)
			to *= 2;
		p = realloc(c->out, to);
		if (!p) {
			ret = -1;
			goto out;
		}
		c->out = p;
		c->out_capacity = to;
	}
	memcpy(c->out + c->out_size, data, size);
	c->out_size += size;
	http_call_resume_locked(c);
out:
	pthread_mutex_unlock(&c->mutex);
	return ret;
}

/* Returns the number of bytes written to the stream but not yet sent. */
size_t http_call_stream_pending(struct http_call *c)
{
	size_t n;

	pthread_mutex_lock(&c->mutex);
	n = c->out_size - c->out_start;
	pthread_mutex_unlock(&c->mutex);
	return n;
}

/*
 * Answers with a body that was received whole.  The end is not marked if it was
 * not when the body was received (FRAMING_CLOSE).
 */
void http_call_reply_framed(struct http_call *c, int status, const char *type,
			    enum framing framing, const void *body, size_t size)
{
	if (framing != FRAMING_CLOSE) {
		http_call_reply(c, status, type, body, size);
		return;
	}
	http_call_stream_begin(c, status, type, FRAMING_CLOSE, 0);
	if (size)
		http_call_stream_write(c, body, size);
	http_call_stream_end(c, 1);
}

/* Ends the stream; is_complete 0 makes it visibly truncated. */
void http_call_stream_end(struct http_call *c, int is_complete)
{
	pthread_mutex_lock(&c->mutex);
	c->is_ended = 1;
	c->is_complete = is_complete;
	c->on_drained = NULL;
	c->on_disconnect = NULL;
	http_call_resume_locked(c);
	pthread_mutex_unlock(&c->mutex);
	http_call_unref(c);
}

/*
 * Sets a callback that runs on a server thread whenever all written bytes
 * are sent and when the caller disconnects.  It must not use the call.
 */
void http_call_on_drain(struct http_call *c, void (*on_drained)(void *arg),
			void *arg)
{
	pthread_mutex_lock(&c->mutex);
	c->on_drained = on_drained;
	c->drained_arg = arg;
	pthread_mutex_unlock(&c->mutex);
}

/*
 * Sets a callback that runs once, on a server thread, when the caller
 * disconnects before the answer is complete, or at once if it already has.
 * It must not use the call.
 */
void http_call_on_disconnect(struct http_call *c,
			     void (*on_disconnect)(void *arg), void *arg)
{
	pthread_mutex_lock(&c->mutex);
	c->on_disconnect = on_disconnect;
	c->disconnect_arg = arg;
	if (c->is_disconnected && !c->is_ended && on_disconnect)
		on_disconnect(arg);
	pthread_mutex_unlock(&c->mutex);
}
