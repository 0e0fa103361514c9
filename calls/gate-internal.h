#ifndef CALLS_GATE_INTERNAL_H
#define CALLS_GATE_INTERNAL_H

#include "calls/cache-view.h"
#include "calls/crash.h"
#include "calls/gate-table.h"
#include "calls/hop.h"
#include "calls/home.h"
#include "calls/problem.h"
#include "net/node.h"

/*
 * The agent's gate: every call to its upstream goes through here.  Parts:
 * gate.c (checks), gate-stream.c (calls that may be repeated, streamed
 * through), gate-once.c (calls that run at most once), gate-watch.c (the
 * upstream's state, silent connections).
 */

#define GATE_SERVICES_MAX 8
#define GATE_BODY_MAX_BYTES (1024 * 1024)
#define GATE_HEADERS_MAX 6
#define GATE_HEADER_SIZE 320

/* A gap between two turns of the gate's controller that was a pause. */
#define GATE_PAUSE_MIN_US (500 * 1000)
/* Requests this soon after a pause may have waited in a socket meanwhile. */
#define GATE_PAUSE_GRACE_US (250 * 1000)
/* The longest that a request may take from its check to its first byte. */
#define GATE_SEND_TIMEOUT_US (250 * 1000)

struct stream_run;
struct once_run;

struct gate_service {
	char name[SETTINGS_NAME_SIZE];
	struct home_view view;
};

/* A request whose connection to the upstream broke, and when. */
struct gate_broken_request {
	struct digest fingerprint;
	apr_time_t at;
};

#define GATE_BROKEN_REQUESTS_MAX 64

struct gate {
	struct node *n;
	struct crash_list *crashes;
	struct gate_table table;
	apr_time_t last_turn;	 /* atomic; of the controller */
	apr_time_t paused_until; /* atomic; requests are refused so long */

	/*
	 * Guards all below.  Taken after RANK_UPSTREAM tables were left and
	 * before RANK_TICKET ones.
	 */
	pthread_mutex_t mutex;
	struct stream_run *streams;
	struct once_run *onces;
	int stream_count;
	int once_count;
	struct gate_service services[GATE_SERVICES_MAX];
	int service_count;
	unsigned greet_turn; /* of the controller thread only */
	apr_time_t alive_at; /* the upstream last answered a new connection */
	apr_time_t poll_began;
	int polling;
	int polling_cache;
	struct cache_view cache;
	int checking; /* whether the upstream died */
	char upstream_boot[64];
	uint64_t deaths;
	struct gate_broken_request lost[GATE_BROKEN_REQUESTS_MAX];
	unsigned lost_next;
	int reachable;
	int waiting; /* calls queued in the upstream, as last reported */
	int running;
	int slots;
	int token_us;
};

int gate_is_paused(struct gate *g, apr_time_t now);
void gate_refuse(struct http_call *c, const struct hop *h, struct refusal *r,
		 uint32_t generation);

/* gate-stream.c */
void stream_run_start(struct gate *g, struct http_call *c, const struct hop *h,
		      const char *path);
void stream_runs_cancel_silent(struct gate *g, apr_time_t now);
int stream_run_is_in_flight(struct gate *g, const char *request, int *events);

/* gate-once.c */
void once_run_admit(struct gate *g, struct http_call *c, const struct hop *h,
		    const struct ticket *t, const char *service,
		    const char *operation, struct refusal *why);

int once_run_is_in_flight(struct gate *g, const char *request);

/* gate-crash.c */
int gate_crash_admit(struct gate *g, const struct hop *h, apr_time_t now,
		     struct refusal *why);
void gate_crash_request_finished(struct gate *g, const struct hop *h,
				 int finished);
void gate_crash_connection_lost(struct gate *g, const struct hop *h);
void gate_crash_start(struct gate *g);

/* gate-cache.c */
int gate_has_cached_prefix(struct gate *g, const char *model,
			   const char *prompt);
void gate_fetch_kv_cache(struct gate *g, const char *address,
			 const char *session, void (*after)(void *arg),
			 void *arg);
void gate_cache_start(struct gate *g);

/* gate-watch.c */
void gate_watch_start(struct gate *g);
void engine_cancel_request(struct gate *g, const char *request,
			   void (*after)(void *arg), void *arg);

#endif
