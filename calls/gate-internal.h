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
 * The gate of an agent: every call to the agent's upstream passes through it.
 *
 * gate.c         checks of a call before it is sent
 * gate-stream.c  repeatable calls, whose answers are streamed
 * gate-once.c    calls that run at most once
 * gate-watch.c   state of the upstream, other agents of its services
 * gate-crash.c   detection of upstream crashes
 * gate-cache.c   prefix and KV caches of a model engine
 */

#define GATE_SERVICES_MAX 8
#define GATE_BODY_MAX_BYTES (1024 * 1024)
#define GATE_HEADERS_MAX 6
#define GATE_HEADER_SIZE 320
/* Maximum size of the answers of an upstream to the questions of its agent. */
#define GATE_TEXT_MAX (256 * 1024)

/*
 * Steps of the gate's controller that are further apart show that the process
 * was paused.
 */
#define GATE_PAUSE_MIN_US (500 * 1000)
/*
 * Requests that arrive this soon after a pause may have waited in a socket
 * buffer during the pause, so their remaining time is not reliable.
 */
#define GATE_PAUSE_GRACE_US (250 * 1000)
/* Time limit from the checks of a request to sending its first byte. */
#define GATE_SEND_TIMEOUT_US (250 * 1000)

struct stream_run;
struct once_run;

struct gate_service {
	char name[SETTINGS_NAME_SIZE];
	struct home_view view;
};

/* A request whose connection to the upstream broke. */
struct gate_broken_request {
	struct digest fingerprint;
	apr_time_t broken_at; /* 0: unused or already collected */
};

#define GATE_BROKEN_REQUESTS_MAX 64

struct gate {
	struct node *n;
	struct crash_list *crashes;
	struct gate_table table;
	apr_time_t last_step_at; /* atomic; of the controller */
	apr_time_t paused_until; /* atomic; requests are refused before */

	/*
	 * Guards all members below.  Taken after tables of RANK_UPSTREAM have
	 * been unlocked and before tables of RANK_TICKET are locked.
	 */
	pthread_mutex_t mutex;
	struct stream_run *stream_runs;
	struct once_run *once_runs;
	int stream_count;
	int once_count;
	struct gate_service services[GATE_SERVICES_MAX];
	int service_count;
	unsigned next_greeted; /* index; of the controller thread only */
	apr_time_t last_answered_poll; /* start of that poll */
	apr_time_t poll_started_at;
	int is_polling;
	int is_polling_cache;
	struct cache_view cache;
	int is_checking_boot; /* a request for the upstream's boot is open */
	char upstream_boot[64];
	uint64_t upstream_crashes;
	struct gate_broken_request broken[GATE_BROKEN_REQUESTS_MAX];
	unsigned broken_next;
	int is_reachable;
	/* Last load report of a model engine. */
	int engine_waiting; /* queued calls */
	int engine_running;
	int engine_slots;
	int token_us; /* time for each token */
};

int gate_is_paused(struct gate *g, apr_time_t now);
void gate_refuse(struct http_call *c, const struct hop *h, struct refusal *r,
		 uint32_t generation);

/* gate-stream.c */
void stream_run_start(struct gate *g, struct http_call *c, const struct hop *h,
		      const char *path);
void stream_runs_cancel_silent(struct gate *g, apr_time_t now);
int stream_run_is_in_flight(struct gate *g, const char *request_id,
			    int *events);

/* gate-once.c */
void once_run_admit(struct gate *g, struct http_call *c, const struct hop *h,
		    const struct ticket *t, const char *service,
		    const char *operation, struct refusal *why);

int once_run_is_in_flight(struct gate *g, const char *request_id);

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
void engine_cancel_request(struct gate *g, const char *request_id,
			   void (*after)(void *arg), void *arg);

#endif
