#ifndef NET_HTTPD_INTERNAL_H
#define NET_HTTPD_INTERNAL_H

#include <arpa/inet.h>
#include <microhttpd.h>
#include <pthread.h>

#include "net/hangup.h"
#include "net/httpd-guard.h"
#include "net/httpd.h"

/* Shared by httpd.c (requests) and httpd-answer.c (answers, streams). */

/*
 * libmicrohttpd's memory of a connection: the head of a request, with a record
 * for each of its fields, cookies and query arguments, and that of its answer.
 */
#define HTTP_CONNECTION_BYTES (32 * 1024)

enum call_state {
	CALL_NEW = 0, /* the request line was read */
	CALL_READING,
	CALL_HANDLED, /* the handler runs or will answer later */
	CALL_ANSWERED /* a response is ready to be queued */
};

/* What was written of an answer, see http_call_written_name(). */
enum written_head {
	WRITTEN_NONE = 0, /* not yet */
	WRITTEN_LENGTH,
	WRITTEN_CHUNKED,
	WRITTEN_UNMARKED, /* neither, of a head without a body */
	WRITTEN_LENGTH_CLOSING,
	WRITTEN_CHUNKED_CLOSING,
	WRITTEN_UNMARKED_CLOSING
};

struct httpd {
	struct MHD_Daemon *daemon;
	const struct http_route *routes;
	struct hangup_watch *hangups;
	struct http_guard guard;
	int closing; /* atomic; connections close after the answer */
	int active;  /* calls not yet answered completely */
};

struct reply_header {
	char *name;
	char *value;
};

struct http_call {
	struct httpd *server;
	struct MHD_Connection *connection;
	struct guarded_connection *guarded; /* NULL once the connection ends */
	const struct http_route *route;
	char *method;
	char *path;
	char *target; /* path and query as received */
	char peer[INET_ADDRSTRLEN];
	apr_time_t started_at; /* the request line was read */
	char *body;
	size_t body_size;
	size_t body_capacity;
	size_t body_expected; /* by its Content-Length, 0: not named */
	int is_too_large;
	int is_http_1_0;
	int is_last;		/* its connection closes behind its answer */
	const char *head_fault; /* why its head is refused, NULL: it is valid */
	size_t fields_size; /* of the request's head without its first line */
	size_t answer_room; /* for the head of its answer */

	int refs; /* atomic; one for the server, one for the handler */

	pthread_mutex_t mutex; /* guards all members below */
	enum call_state state;
	int is_suspended;
	int fd;
	uint64_t hangup;     /* id of the watch, 0 before the first wait */
	int is_disconnected; /* caller closed or sending failed */
	int status;
	enum framing framing; /* of the answer, FRAMING_NONE before it is set */
	/* atomic: enum written_head, of the head that was given to the library */
	int written;
	size_t reply_size;
	struct MHD_Response *response;
	struct reply_header *headers;
	int header_count;
	int header_capacity;

	int is_ended;
	int is_complete;
	int is_held; /* its caller gets a length, known at the end */
	char *out;   /* stream bytes not yet sent */
	size_t out_start;
	size_t out_size;
	size_t out_capacity;
	void (*on_drained)(void *arg);
	void *drained_arg;
	void (*on_disconnect)(void *arg);
	void *disconnect_arg;
};

/* httpd-head.c */
void http_call_measure_head(struct http_call *c, struct MHD_Connection *con,
			    const char *method);
void http_call_record_refused_head(const struct http_call *c);
int http_call_lacks_room(const struct http_call *c);
const char *http_call_find_head_fault(const struct http_call *c,
				      const char *method, const char *path,
				      const char *version);
void http_call_record_head_fault(const struct http_call *c);

/* httpd-fields.c */
int http_add_field(struct MHD_Response *r, const char *name, const char *value);
int http_call_add_fields(const struct http_call *c, struct MHD_Response *r,
			 int is_closing);
void http_call_record_written(struct http_call *c, int is_closing);

/* httpd-error.c */
enum MHD_Result http_call_queue_error(struct http_call *c, int status);

/* httpd-body.c */
int http_call_append_body(struct http_call *c, const char *data, size_t n);
int http_call_find_refusal(const struct http_call *c);

/* httpd.c */
void http_call_unref(struct http_call *c);
void http_call_suspend_locked(struct http_call *c);
void http_call_resume_locked(struct http_call *c);

#endif
