#include "net/httpd-internal.h"

#include "base/log.h"
#include "base/metric.h"

static const char *const written_names[] = {
	[WRITTEN_LENGTH] = "length",
	[WRITTEN_CHUNKED] = "chunked",
	[WRITTEN_UNMARKED] = "unmarked",
	[WRITTEN_LENGTH_CLOSING] = "length/closing",
	[WRITTEN_CHUNKED_CLOSING] = "chunked/closing",
	[WRITTEN_UNMARKED_CLOSING] = "unmarked/closing",
};

/* Adds a field. Returns -1 if the library does not take it. */
int http_add_field(struct MHD_Response *r, const char *name, const char *value)
{
	/* The library takes no empty value; readers ignore blanks around one. */
	if (MHD_add_response_header(r, name, *value ? value : " ") == MHD_YES)
		return 0;
	metric_count("http_unwritable", NULL, 1);
	/* The value may be a secret of the caller's. */
	log_warning("http-head", NULL,
		    "the library refused the field \"%s\" of an answer", name);
	return -1;
}

/*
 * Adds all fields of an answer's head to the library's response, but for those of
 * its framing, which the library alone writes. Connection comes first:
 * libmicrohttpd 0.9.75 forgets, as it takes that field, that a Date was added, and
 * writes one more. Returns -1 if a field can't be written: an answer without it is
 * another answer.
 */
int http_call_add_fields(const struct http_call *c, struct MHD_Response *r,
			 int is_closing)
{
	int i;

	if (is_closing && http_add_field(r, "Connection", "close"))
		return -1;
	for (i = 0; i < c->header_count; i++)
		if (http_add_field(r, c->headers[i].name, c->headers[i].value))
			return -1;
	return 0;
}

static enum written_head describe_head(const struct http_call *c,
				       int is_closing)
{
	enum written_head w = c->framing == FRAMING_CHUNKED ? WRITTEN_CHUNKED
			      : c->framing == FRAMING_CLOSE ? WRITTEN_UNMARKED
							    : WRITTEN_LENGTH;

	return is_closing ? w + WRITTEN_LENGTH_CLOSING - WRITTEN_LENGTH : w;
}

/*
 * Records the head of an answer that is given to the library: its framing, and
 * whether the connection closes because the process stops.
 */
void http_call_record_written(struct http_call *c, int is_closing)
{
	enum written_head w = describe_head(c, is_closing);

	__atomic_store_n(&c->written, w, __ATOMIC_RELAXED);
	metric_count("http_written", written_names[w], 1);
}

/*
 * Returns what was written of the head of the answer, or what would be now: its
 * framing, and whether the connection closes because the process stops.
 */
const char *http_call_written_name(const struct http_call *c)
{
	enum written_head w = (enum written_head)__atomic_load_n(
		&c->written, __ATOMIC_RELAXED);
	int is_closing = __atomic_load_n(&c->server->closing, __ATOMIC_RELAXED);

	return written_names[w == WRITTEN_NONE ? describe_head(c, is_closing)
					       : w];
}
