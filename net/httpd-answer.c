#include "net/httpd-internal.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "base/clock.h"
#include "net/cut.h"
#include "net/message-head.h"

/* The library's block of an answer with a length. */
#define STREAM_BLOCK_BYTES (16 * 1024)
/* The first size of the buffer of a stream, and the most by which it grows. */
#define OUTPUT_FIRST_BYTES 1024
#define OUTPUT_STEP_BYTES (64 * 1024)
#define HEADERS_FIRST 16
/* Keeps the library from chunks; the name is of that version. */
#if MHD_VERSION >= 0x00097308
#define NO_CHUNKS MHD_RF_HTTP_1_0_COMPATIBLE_STRICT
#else
#define NO_CHUNKS MHD_RF_HTTP_VERSION_1_0_ONLY
#endif
/* Maximum size of an answer that is held until its length is known. */
#define HELD_MAX_BYTES (256 * 1024)

/* Returns the header of a name that an answer has once, NULL: none. Mutex held. */
static struct reply_header *find_singleton(struct http_call *c,
					   const char *name)
{
	int i;

	if (strcasecmp(name, "Content-Type") && strcasecmp(name, "Date"))
		return NULL;
	for (i = 0; i < c->header_count; i++)
		if (!strcasecmp(c->headers[i].name, name))
			return &c->headers[i];
	return NULL;
}

/*
 * Adds a response header; a later Content-Type or Date replaces an earlier one.
 * Call before the answer starts.
 */
void http_call_set(struct http_call *c, const char *name, const char *value)
{
	struct reply_header *h;

	pthread_mutex_lock(&c->mutex);
	h = find_singleton(c, name);
	if (h) {
		free(h->value);
		h->value = strdup(value);
		pthread_mutex_unlock(&c->mutex);
		return;
	}
	if (c->header_count == c->header_capacity) {
		int to = c->header_capacity ? c->header_capacity * 2
					    : HEADERS_FIRST;

		c->headers =
			realloc(c->headers, (size_t)to * sizeof(*c->headers));
		if (!c->headers)
			abort();
		c->header_capacity = to;
	}
	c->headers[c->header_count].name = strdup(name);
	c->headers[c->header_count].value = strdup(value);
	c->header_count++;
	pthread_mutex_unlock(&c->mutex);
}

static void set_response(struct http_call *c, int status, const char *type,
			 struct MHD_Response *r)
{
	if (type)
		http_call_set(c, "Content-Type", type);
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
	c->framing = FRAMING_LENGTH;
	c->reply_size = size;
	pthread_mutex_unlock(&c->mutex);
	set_response(c, status, type, r);
	http_call_unref(c);
}

static ssize_t read_nothing(void *cls, uint64_t pos, char *buf, size_t max)
{
	return MHD_CONTENT_READER_END_OF_STREAM;
}

/* Returns 1 for an answer that ends with its head, whatever that says. */
static int is_bodiless(const struct http_call *c, int status)
{
	return !strcmp(c->method, MHD_HTTP_METHOD_HEAD) ||
	       is_status_without_body(status);
}

/*
 * Answers with a head alone. length is that of the body which it describes, -1: it
 * is not known. libmicrohttpd 0.9.75 writes a last chunk after a head that names
 * chunks, although no body follows, and names chunks itself if there is no length;
 * without both it closes the connection.
 */
static void answer_bodiless(struct http_call *c, int status, const char *type,
			    long long length)
{
	struct MHD_Response *r;

	/* Of this status, the library writes no length (RFC 9110, 8.6). */
	if (status == MHD_HTTP_NO_CONTENT)
		length = 0;
	r = MHD_create_response_from_callback(
		length < 0 ? MHD_SIZE_UNKNOWN : (uint64_t)length,
		STREAM_BLOCK_BYTES, read_nothing, NULL, NULL);
	if (length < 0)
		MHD_set_response_options(r, NO_CHUNKS, MHD_RO_END);
	c->framing = length < 0 ? FRAMING_CLOSE : FRAMING_LENGTH;
	set_response(c, status, type, r);
}

/*
 * Answers without a body: a request of the method HEAD, or with a status that has
 * none. length is that of the body which the head describes, -1: it is not known.
 */
void http_call_reply_head(struct http_call *c, int status, long long length)
{
	pthread_mutex_lock(&c->mutex);
	c->is_ended = 1;
	pthread_mutex_unlock(&c->mutex);
	answer_bodiless(c, status, NULL, length);
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

/* Gives the buffer of a stream back once all of it is sent.  Mutex held. */
static void release_output(struct http_call *c)
{
	c->out_start = c->out_size = 0;
	if (c->out_capacity <= OUTPUT_FIRST_BYTES)
		return;
	guard_discharge(c->out_capacity);
	free(c->out);
	c->out = NULL;
	c->out_capacity = 0;
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
			release_output(c);
			if (c->on_drained && !c->is_ended)
				c->on_drained(c->drained_arg);
		}
		ret = (ssize_t)n;
	} else if (c->is_ended) {
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
 * Starts a streamed answer; size counts for FRAMING_LENGTH only.  All others go
 * out in chunks: a process that is killed closes its connections in the ordinary
 * way, so that only a mark in the answer itself tells its end from a break.  A
 * caller of HTTP/1.0, which knows no chunks, gets a length once the answer is
 * complete. Of an answer without a body only the head goes out.
 */
void http_call_stream_begin(struct http_call *c, int status, const char *type,
			    enum framing framing, long long size)
{
	struct MHD_Response *r;

	if (is_bodiless(c, status)) {
		answer_bodiless(c, status, type,
				framing == FRAMING_LENGTH ? size : -1);
		return;
	}
	if (c->is_http_1_0 && framing != FRAMING_LENGTH) {
		if (type)
			http_call_set(c, "Content-Type", type);
		pthread_mutex_lock(&c->mutex);
		c->is_held = 1;
		c->status = status;
		pthread_mutex_unlock(&c->mutex);
		return;
	}
	r = MHD_create_response_from_callback(
		framing == FRAMING_LENGTH ? (uint64_t)size : MHD_SIZE_UNKNOWN,
		STREAM_BLOCK_BYTES, read_stream, c, NULL);
	c->framing =
		framing == FRAMING_LENGTH ? FRAMING_LENGTH : FRAMING_CHUNKED;
	set_response(c, status, type, r);
}

/* Moves the unsent bytes to the start of the buffer.  Mutex held. */
static void compact_output(struct http_call *c)
{
	if (!c->out_start)
		return;
	c->out_size -= c->out_start;
	memmove(c->out, c->out + c->out_start, c->out_size);
	c->out_start = 0;
}

/* Makes room for more bytes.  Returns -1 if there is none.  Mutex held. */
static int grow_output(struct http_call *c, size_t more)
{
	size_t step = c->out_capacity, want, to;
	char *p;

	if (c->out_size + more <= c->out_capacity)
		return 0;
	compact_output(c);
	want = c->out_size + more;
	if (want <= c->out_capacity)
		return 0;
	step = step < OUTPUT_FIRST_BYTES  ? OUTPUT_FIRST_BYTES
	       : step > OUTPUT_STEP_BYTES ? OUTPUT_STEP_BYTES
					  : step;
	to = c->out_capacity + step;
	if (to < want)
		to = want;
	if (!c->is_held)
		guard_count(to - c->out_capacity);
	else if (want > HELD_MAX_BYTES ||
		 guard_charge(&c->server->guard, c->guarded, to,
			      to - c->out_capacity, clock_now()))
		return -1;
	p = realloc(c->out, to);
	if (!p) {
		guard_discharge(to - c->out_capacity);
		return -1;
	}
	c->out = p;
	c->out_capacity = to;
	return 0;
}

/*
 * Appends bytes to the stream.  Returns -1 when the caller has disconnected,
 * memory is short, or an answer that is held for its length is too long; the
 * stream must still be ended.
 */
int http_call_stream_write(struct http_call *c, const void *data, size_t size)
{
	int ret = 0;

	pthread_mutex_lock(&c->mutex);
	if (c->is_disconnected || grow_output(c, size)) {
		ret = -1;
		goto out;
	}
	memcpy(c->out + c->out_size, data, size);
	c->out_size += size;
	http_call_resume_locked(c);
out:
	pthread_mutex_unlock(&c->mutex);
	return ret;
}

/*
 * Returns 1 when so much lies unsent that the writer has to wait until the stream
 * is drained.  What is held doesn't wait for the caller.
 */
int http_call_stream_is_full(struct http_call *c)
{
	size_t n;

	pthread_mutex_lock(&c->mutex);
	n = c->is_held ? 0 : c->out_size - c->out_start;
	pthread_mutex_unlock(&c->mutex);
	return n > guard_stream_limit();
}

/* Drops the headers set so far: they belong to an answer that is not sent. */
static void clear_headers(struct http_call *c)
{
	while (c->header_count) {
		c->header_count--;
		free(c->headers[c->header_count].name);
		free(c->headers[c->header_count].value);
	}
}

/*
 * Sends an answer that was held for its length, or a failure if it did not
 * become complete.
 */
static void finish_held(struct http_call *c, int is_complete)
{
	int status = is_complete ? c->status : MHD_HTTP_BAD_GATEWAY;
	struct MHD_Response *r;

	if (!is_complete)
		clear_headers(c);
	r = MHD_create_response_from_buffer(is_complete ? c->out_size : 0,
					    c->out, MHD_RESPMEM_MUST_COPY);
	c->framing = FRAMING_LENGTH;
	c->reply_size = is_complete ? c->out_size : 0;
	set_response(c, status, NULL, r);
}

/* Ends the stream; is_complete 0 makes it visibly truncated. */
void http_call_stream_end(struct http_call *c, int is_complete)
{
	pthread_mutex_lock(&c->mutex);
	c->is_ended = 1;
	c->is_complete = is_complete;
	c->on_drained = NULL;
	c->on_disconnect = NULL;
	if (!c->is_held)
		http_call_resume_locked(c);
	pthread_mutex_unlock(&c->mutex);
	if (c->is_held)
		finish_held(c, is_complete);
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
