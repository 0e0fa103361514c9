#include "net/httpd-internal.h"

#include <string.h>

#include "base/log.h"
#include "base/metric.h"

/* What libmicrohttpd keeps of a field, cookie or query argument beside its text. */
#define FIELD_RECORD_BYTES 64

/* Of the memory of a connection: the library's own fields, a block of the body. */
#define ANSWER_RESERVE_BYTES 512

/*
 * A request that leaves less for the head of its answer is refused: its id, which
 * an upstream repeats, its stamp, a type and a few more fields.
 */
#define ANSWER_ROOM_MIN_BYTES 768

/*
 * Sets the size of the request's head and the room that it leaves for the head
 * of the answer.
 */
void http_call_measure_head(struct http_call *c, struct MHD_Connection *con,
			    const char *method)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
		con, MHD_CONNECTION_INFO_REQUEST_HEADER_SIZE);
	size_t size = info ? info->header_size : 0;
	size_t first =
		strlen(method) + strlen(c->target) + strlen("  HTTP/1.1\r\n");
	int fields = MHD_get_connection_values(
		con, MHD_HEADER_KIND | MHD_COOKIE_KIND | MHD_GET_ARGUMENT_KIND,
		NULL, NULL);
	size_t used = size + (size_t)fields * FIELD_RECORD_BYTES +
		      ANSWER_RESERVE_BYTES;

	c->fields_size = size > first ? size - first : 0;
	c->answer_room =
		used < HTTP_CONNECTION_BYTES ? HTTP_CONNECTION_BYTES - used : 0;
}

/*
 * Records a request that was refused before its head was complete: by the
 * library, which answers 431 or 400 without a callback, or for want of room for
 * its answer.
 */
void http_call_record_refused_head(const struct http_call *c)
{
	metric_count("http_refused", "head", 1);
	if (log_is_enabled(LOG_SEV_WARNING, 1))
		log_warning("http-head", c->guarded ? c->guarded->peer : NULL,
			    "refused the head of a request: malformed, or "
			    "larger than a connection's memory of %d bytes",
			    HTTP_CONNECTION_BYTES);
}

/*
 * Returns 1 when the head of a request leaves too little room for that of its
 * answer, and records it.
 */
int http_call_lacks_room(const struct http_call *c)
{
	if (c->answer_room >= ANSWER_ROOM_MIN_BYTES)
		return 0;
	http_call_record_refused_head(c);
	return 1;
}

/* Returns the bytes of the request's head after its first line. */
size_t http_call_fields_size(const struct http_call *c)
{
	return c->fields_size;
}

/*
 * Returns the bytes that the header fields of the answer may have: the library
 * closes the connection without an answer if there are more.
 */
size_t http_call_answer_room(const struct http_call *c)
{
	return c->answer_room;
}
