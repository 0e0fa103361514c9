#include "net/httpd-internal.h"

#include <string.h>
#include <strings.h>

#include "base/log.h"
#include "base/metric.h"
#include "net/message-head.h"

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
 * What libmicrohttpd 0.9.75 hides of a head shows in where its parts lie.
 * It splits the head in the buffer that was read, with a NUL in place of each
 * byte of a line's end, so that a line begins one or two bytes after the one
 * before it. It appends a folded line to the name of its field, which it moves
 * for that; it cuts a value at a NUL, and takes a line without a name for the
 * end of the head.
 */
#define LAYOUT_END_VERSION "0.9.76"

/* Returns 1 if the library that runs, whatever its headers were, has this layout. */
static int has_head_layout(void)
{
	return strverscmp(MHD_get_version(), LAYOUT_END_VERSION) < 0;
}

struct head_check {
	struct message_head head;
	uintptr_t line_end; /* of the last line, without its mark */
	int has_gap;	    /* some bytes of the head are in no line */
	int has_unread_coding;
};

static int is_blank(char c)
{
	return c == ' ' || c == '\t';
}

static int is_gap(uintptr_t from, uintptr_t to, uintptr_t min, uintptr_t max)
{
	return to < from + min || to > from + max;
}

/*
 * Cuts the blanks behind a value, which are no part of it (RFC 9110, 5.5). The
 * library keeps them; the value lies in the buffer into which it read the head.
 */
static void trim_value(const char *value, size_t size)
{
	while (size && is_blank(value[size - 1]))
		((char *)(uintptr_t)value)[--size] = '\0';
}

static enum MHD_Result check_field(void *cls, enum MHD_ValueKind kind,
				   const char *name, size_t name_size,
				   const char *value, size_t value_size)
{
	struct head_check *k = cls;

	(void)kind;
	if (!value) {
		value = "";
		value_size = 0;
	}
	k->has_gap |= is_gap(k->line_end, (uintptr_t)name, 1, 2) ||
		      (uintptr_t)value < (uintptr_t)name + name_size;
	k->line_end = (uintptr_t)value + value_size;
	/* The library compares the whole value, and finds no coding that it knows. */
	if (value_size && is_blank(value[value_size - 1]) &&
	    !strcasecmp(name, MHD_HTTP_HEADER_TRANSFER_ENCODING))
		k->has_unread_coding = 1;
	message_head_add_field(&k->head, name, name_size, value, value_size);
	trim_value(value, value_size);
	return MHD_YES;
}

/*
 * Returns what HTTP doesn't allow in the first line, or NULL. The library takes
 * any method, ends it and the target at a NUL, and passes over blanks.
 */
static const char *find_first_line_fault(const struct http_call *c,
					 const char *method, const char *path,
					 const char *version)
{
	size_t method_size = strlen(method);

	if (!is_field_name(method, method_size))
		return "method";
	if (!*c->target || strpbrk(c->target, " \t\r\n"))
		return "target";
	if (has_head_layout() &&
	    ((uintptr_t)path != (uintptr_t)method + method_size + 1 ||
	     (uintptr_t)version != (uintptr_t)path + strlen(c->target) + 1))
		return "first-line";
	return NULL;
}

/*
 * Returns what HTTP doesn't allow in the head of a request, as a word for log
 * lines and metrics, or NULL. method, path and version are those that the library
 * passes on with the request.
 */
const char *http_call_find_head_fault(const struct http_call *c,
				      const char *method, const char *path,
				      const char *version)
{
	struct head_check k = { .line_end =
					(uintptr_t)version + strlen(version) };
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
		c->connection, MHD_CONNECTION_INFO_REQUEST_HEADER_SIZE);
	const char *fault = find_first_line_fault(c, method, path, version);

	message_head_start(&k.head, MESSAGE_REQUEST, !c->is_http_1_0);
	MHD_get_connection_values_n(c->connection, MHD_HEADER_KIND, check_field,
				    &k);
	if (!fault)
		fault = message_head_end(&k.head);
	if (!fault && k.has_unread_coding)
		fault = "coding-blank";
	if (fault || !has_head_layout() || !info)
		return fault;
	/* The end of the last line and the empty one. */
	k.has_gap |=
		is_gap(k.line_end, (uintptr_t)method + info->header_size, 2, 4);
	return k.has_gap ? "hidden-bytes" : NULL;
}

/*
 * Records a request that is refused for its head: a proxy on the way may have
 * read another request (request smuggling).
 */
void http_call_record_head_fault(const struct http_call *c)
{
	metric_count("http_refused_head", c->head_fault, 1);
	if (log_is_enabled(LOG_SEV_WARNING, 1))
		log_warning("http-head", c->guarded ? c->guarded->peer : NULL,
			    "refused the head of a request: %s", c->head_fault);
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
