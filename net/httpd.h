#ifndef NET_HTTPD_H
#define NET_HTTPD_H

#include <apr_time.h>
#include <jansson.h>
#include <stddef.h>

#include "base/error.h"
#include "net/framing.h"

/*
 * HTTP server on libmicrohttpd.  A handler gets the complete request body
 * and may answer at once or later, from any thread; a waiting request
 * occupies no thread.  Every request must be answered exactly once, by
 * http_call_reply* or by http_call_stream_begin and _end.  The handler must
 * not use the call after the answer.  A request whose caller has closed its
 * connection by then does not reach the handler.
 */

struct httpd;
struct http_call;

struct http_route {
	const char *method; /* "GET", or NULL for any */
	const char *path;   /* full path, or a prefix when it ends in '/' */
	size_t body_limit;  /* bytes; larger requests get 413 */
	void (*handle)(struct http_call *c, void *arg);
	void *arg;
};

struct httpd *httpd_start(const char *address, int port,
			  const struct http_route *routes, int threads,
			  struct error *err);
void httpd_close_after_answers(struct httpd *h);
void httpd_stop_accepting(struct httpd *h);
void httpd_sweep(struct httpd *h, apr_time_t now);
int httpd_active(struct httpd *h);
void httpd_stop(struct httpd *h);

const char *http_call_method(struct http_call *c);
const char *http_call_path(struct http_call *c);
const char *http_call_target(struct http_call *c);
const char *http_call_query(struct http_call *c, const char *name);
const char *http_call_header(struct http_call *c, const char *name);
void http_call_headers(struct http_call *c,
		       void (*each)(void *arg, const char *name,
				    const char *value),
		       void *arg);
const char *http_call_peer(struct http_call *c);
apr_time_t http_call_started_at(const struct http_call *c);
const void *http_call_body(struct http_call *c, size_t *size);
size_t http_call_fields_size(const struct http_call *c);
size_t http_call_answer_room(const struct http_call *c);
const char *http_call_written_name(const struct http_call *c);

void http_call_set(struct http_call *c, const char *name, const char *value);
void http_call_reply(struct http_call *c, int status, const char *type,
		     const void *body, size_t size);
void http_call_reply_head(struct http_call *c, int status, long long length);
void http_call_reply_json(struct http_call *c, int status, json_t *body);

void http_call_stream_begin(struct http_call *c, int status, const char *type,
			    enum framing framing, long long size);
int http_call_stream_write(struct http_call *c, const void *data, size_t size);
int http_call_stream_is_full(struct http_call *c);
void http_call_stream_end(struct http_call *c, int is_complete);
void http_call_on_drain(struct http_call *c, void (*on_drained)(void *arg),
			void *arg);
void http_call_on_disconnect(struct http_call *c,
			     void (*on_disconnect)(void *arg), void *arg);

#endif
