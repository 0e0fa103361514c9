#include "net/httpd-internal.h"

#include "base/metric.h"

static const char *const written_names[] = {
	[WRITTEN_NONE] = "none",
	[WRITTEN_LENGTH] = "length",
	[WRITTEN_CHUNKED] = "chunked",
	[WRITTEN_LENGTH_CLOSING] = "length/closing",
	[WRITTEN_CHUNKED_CLOSING] = "chunked/closing",
};

/*
 * Records the head of an answer that is given to the library: its framing, and
 * whether the connection closes because the process stops.
 */
void http_call_record_written(struct http_call *c, int is_closing)
{
	int is_chunked = c->framing == FRAMING_CHUNKED;
	enum written_head w = is_closing ? WRITTEN_LENGTH_CLOSING + is_chunked
					 : WRITTEN_LENGTH + is_chunked;

	__atomic_store_n(&c->written, w, __ATOMIC_RELAXED);
	metric_count("http_written", written_names[w], 1);
}

/*
 * Returns what was written of the head of the answer: "none", or its framing and
 * whether the connection closes because the process stops.
 */
const char *http_call_written_name(const struct http_call *c)
{
	return written_names[__atomic_load_n(&c->written, __ATOMIC_RELAXED)];
}
