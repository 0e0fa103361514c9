#include "net/httpd-internal.h"

#include <stdio.h>

/* Retry delay of a request that is refused for want of memory. */
#define NO_ROOM_RETRY_S "1"

static const char *error_reason(int status)
{
	switch (status) {
	case MHD_HTTP_BAD_REQUEST:
		return "bad-head";
	case MHD_HTTP_NOT_FOUND:
		return "no-such-path";
	case MHD_HTTP_CONTENT_TOO_LARGE:
		return "body-too-large";
	case MHD_HTTP_REQUEST_HEADER_FIELDS_TOO_LARGE:
		return "head-too-large";
	case MHD_HTTP_BAD_GATEWAY:
		return "unwritable-head";
	}
	return "memory";
}

/*
 * Queues an answer of the server itself, with no field or stamp of another one: the
 * request is refused, or its answer can't be written.
 */
enum MHD_Result http_call_queue_error(struct http_call *c, int status)
{
	int is_temporary = status == MHD_HTTP_SERVICE_UNAVAILABLE;
	/* The request was handled, and its answer can't be written. */
	int is_unknown = status == MHD_HTTP_BAD_GATEWAY;
	struct MHD_Response *r;
	enum MHD_Result ret;
	char text[192];
	int n;

	n = snprintf(text, sizeof(text),
		     "{\"type\":\"about:blank\",\"status\":%d,"
		     "\"outcome\":\"%s\",\"reason\":\"%s\","
		     "\"step\":\"request\",\"scope\":\"attempt\","
		     "\"again\":\"%s\"}",
		     status, is_unknown ? "unknown" : "not-run",
		     error_reason(status),
		     is_temporary ? "same"
		     : is_unknown ? "check"
				  : "no");
	r = MHD_create_response_from_buffer((size_t)n, text,
					    MHD_RESPMEM_MUST_COPY);
	/* Behind a bad head, it is not known where the next request begins. */
	if (status == MHD_HTTP_BAD_REQUEST || c->is_last ||
	    __atomic_load_n(&c->server->closing, __ATOMIC_RELAXED))
		http_add_field(r, "Connection", "close");
	http_add_field(r, "Content-Type", "application/problem+json");
	if (is_temporary)
		http_add_field(r, "Retry-After", NO_ROOM_RETRY_S);
	ret = MHD_queue_response(c->connection, (unsigned)status, r);
	MHD_destroy_response(r);
	return ret;
}
