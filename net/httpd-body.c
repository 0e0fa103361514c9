#include "net/httpd-internal.h"

#include <stdlib.h>
#include <string.h>

#include "base/clock.h"

/* Makes room for so many bytes of a body. Returns -1 if there is none. */
static int grow_body(struct http_call *c, size_t want, apr_time_t now)
{
	size_t to = c->body_capacity ? c->body_capacity * 2 : 1024;
	size_t whole = c->body_expected ? c->body_expected + 1 : to;
	char *p;

	if (whole >= want && whole < to)
		to = whole;
	if (to < want)
		to = want;
	if (guard_charge(&c->server->guard, c->guarded, whole > to ? whole : to,
			 to - c->body_capacity, now))
		return -1;
	p = realloc(c->body, to);
	if (!p) {
		guard_discharge(to - c->body_capacity);
		return -1;
	}
	c->body = p;
	c->body_capacity = to;
	return 0;
}

/*
 * Appends what was read of a body. Returns -1 when the connection is to be closed
 * as there is no memory.
 */
int http_call_append_body(struct http_call *c, const char *data, size_t n)
{
	size_t want = c->body_size + n + 1;
	apr_time_t now = clock_now();

	if (c->is_too_large || !c->route ||
	    c->body_size + n > c->route->body_limit) {
		c->is_too_large = 1;
		return 0;
	}
	if (want > c->body_capacity && grow_body(c, want, now))
		return -1;
	memcpy(c->body + c->body_size, data, n);
	c->body_size += n;
	c->body[c->body_size] = '\0';
	return 0;
}

/*
 * Returns the status with which a request is refused before its body is read, 0
 * for none: its head is invalid, its head or length is above the limit, or there is
 * no memory for it now.
 */
int http_call_find_refusal(const struct http_call *c)
{
	if (c->head_fault) {
		http_call_record_head_fault(c);
		return MHD_HTTP_BAD_REQUEST;
	}
	if (http_call_lacks_room(c))
		return MHD_HTTP_REQUEST_HEADER_FIELDS_TOO_LARGE;
	if (!c->route || !c->body_expected)
		return 0;
	if (c->body_expected > c->route->body_limit)
		return MHD_HTTP_CONTENT_TOO_LARGE;
	return guard_has_room(c->body_expected, c->body_expected)
		       ? 0
		       : MHD_HTTP_SERVICE_UNAVAILABLE;
}
