#ifndef NET_FETCH_H
#define NET_FETCH_H

#include <apr_time.h>
#include <stddef.h>

#include "base/error.h"
#include "net/chunks.h"
#include "net/framing.h"
#include "net/message-head.h"

/*
 * HTTP client on libcurl's multi interface: one event thread runs all
 * transfers of a fetcher.  Callbacks run on that thread and must not block.
 *
 * The caller owns the fetch and must not move or free it between fetch_submit
 * and the call of done.  done is called exactly once for each submit.
 */

struct fetcher;
struct fetch;

struct fetch_ops {
	/* Optional: one response header line; f->status is set. */
	void (*header)(struct fetch *f, const char *name, const char *value);
	/*
	 * Optional: a piece of the body.  Returns 0 to continue, FETCH_PAUSE
	 * to get the same piece again after fetch_resume, -1 to abort the
	 * transfer.
	 */
	int (*data)(struct fetch *f, const void *data, size_t size);
	/*
	 * The transfer ended; f->error.code is 0 for an answer that is complete
	 * as far as its framing tells. With FRAMING_CLOSE that is little: the
	 * body itself has to prove it, by a digest or as a whole document.
	 */
	void (*done)(struct fetch *f);
	/* Optional: a status line; earlier headers are to be discarded. */
	void (*status_line)(struct fetch *f);
};

#define FETCH_PAUSE 1
#define FETCH_HEADERS_MAX 16
/* Longer trailers are left out, as any may be (RFC 9110, 6.5.1). */
#define FETCH_TRAILER_MAX 1024

struct fetch {
	/* filled in by the caller */
	const struct fetch_ops *ops;
	void *arg;
	const char *method; /* NULL: GET, or POST with a body */
	const char *url;    /* must stay valid until done */
	const char *target; /* NULL, or request target instead of the path */
	int verbatim;	    /* no default headers, no path normalization */
	const char *headers[FETCH_HEADERS_MAX]; /* "Name: value", NULL ends */
	const char *const *more_headers; /* further ones, NULL ends; or NULL */
	const void *body;		 /* valid until done */
	size_t body_size;
	long timeout_ms;	 /* for the whole transfer, 0 for none */
	long connect_timeout_ms; /* 0: FETCH_CONNECT_MS */
	long idle_seconds;	 /* time-out without a received byte */
	long long max_rate;	 /* bytes received per second, 0: no limit */
	/*
	 * Latest time to send it, 0: no limit. Applies to the library's retry
	 * on another connection as well.
	 */
	apr_time_t send_by;
	/*
	 * The library may not send it again on another connection when a kept
	 * one closes before the answer: its caller counts what it sends.
	 */
	int sends_once;
	/* Its connection is not kept: the server takes few connections. */
	int closes_connection;
	int once; /* never sent twice: new connection, no library retry */
	size_t text_max; /* of the body when ops->data is NULL, 0: FETCH_TEXT_MAX */

	/* filled in by the library */
	int status;		  /* of HTTP, 0 before a response */
	enum framing framing;	  /* of the response */
	long long content_length; /* of the response, -1: none */
	size_t head_size;	  /* bytes of all its heads and trailers */
	struct message_head head; /* of the response, while it is read */
	int is_in_head;
	struct chunks chunks;
	char trailer[FETCH_TRAILER_MAX]; /* the line that is read */
	size_t trailer_size;
	int has_invalid_chunks;
	const char *head_fault; /* what is invalid in it: no response */
	int has_invalid_status; /* it counts as no response */
	apr_time_t submitted_at;
	int never_sent;	 /* no byte of the request left this process */
	int sends;	 /* connections on which it was, or was to be, sent */
	int is_refused;	 /* nobody listens at the address */
	int is_too_late; /* given up when it was to be sent after send_by */
	int reused;	 /* atomic: went over a connection used before */
	struct error error;
	void *easy;
	void *header_list;
	struct fetcher *fetcher;
	struct fetch *next;
	struct fetch **link;	/* pointer to this fetch while running */
	int queued_requests;	/* guarded by the fetcher's mutex */
	int is_done;		/* done was or is being called; same mutex */
	int is_aborted_by_data; /* data() returned -1 */
	char *text; /* the body when ops->data is NULL; done must free it */
	size_t text_size;
	size_t text_capacity;
};

#define FETCH_CONNECT_MS 1000
#define FETCH_TEXT_MAX (4 * 1024 * 1024)
/* Bytes of interim responses, head and trailers together. */
#define FETCH_HEAD_MAX (64 * 1024)

struct fetcher *fetcher_start(const char *local_address, struct error *err);
void fetcher_stop(struct fetcher *r);
void fetch_submit(struct fetcher *r, struct fetch *f);
void fetch_cancel(struct fetch *f);
void fetch_resume(struct fetch *f);

/* Blocking form for tools and start-up. */
int fetch_wait(struct fetcher *r, struct fetch *f, char **body, size_t *size);

#endif
