#ifndef CALLS_ENTRY_INTERNAL_H
#define CALLS_ENTRY_INTERNAL_H

#include "calls/budget.h"
#include "calls/crash.h"
#include "calls/explain.h"
#include "calls/hop.h"
#include "calls/limits.h"
#include "calls/problem.h"
#include "calls/route.h"
#include "calls/sse.h"
#include "calls/ticket.h"
#include "config/document.h"
#include "net/node.h"

/*
 * The entry's part of calls: entry.c (start, tickets, explain),
 * entry-request.c (requests of callers), relay.c (attempts and outcomes),
 * relay-target.c (agent of an attempt), relay-crash.c (limits on requests
 * that crash upstreams), relay-session.c (KV caches of sessions),
 * relay-answer.c (forwarding of answers), relay-watch.c (probes of attempts
 * whose connection is silent).
 */

#define ENTRY_BODY_MAX_BYTES (1024 * 1024)
/* Deadline of a call when neither its caller nor its operation states one. */
#define ENTRY_DEADLINE_DEFAULT_MS 30000
#define ENTRY_DEADLINE_MAX_MS (10 * 60 * 1000)
/* Gap between two controller steps that counts as a pause of the process. */
#define ENTRY_PAUSE_MIN_US (500 * 1000)
/* How long the entry refuses calls after a pause. */
#define ENTRY_PAUSE_GRACE_US (250 * 1000)
/* Time limit for sending an attempt, in addition to the connect timeout. */
#define ENTRY_SEND_TIMEOUT_US (250 * 1000)
#define ENTRY_COMPLETED_SLOTS 65536
#define ENTRY_SESSION_SLOTS 4096
#define RELAY_ATTEMPTS_MAX 4
#define RELAY_ANSWER_MAX_BYTES (4 * 1024 * 1024)

/* Agent that last ran a session, from which its KV cache can be fetched. */
struct entry_session {
	uint64_t affinity;
	char agent[SETTINGS_NAME_SIZE];
};

struct entry {
	struct node *n;
	struct limits *limits;
	struct crash_list *crashes;
	/*
	 * First 8 bytes of the fingerprints of requests that completed once,
	 * indexed by the same bytes; elements are accessed atomically.
	 */
	uint64_t completed_fingerprints[ENTRY_COMPLETED_SLOTS];
	struct retry_budget budget;
	struct explain_ring explain;
	apr_time_t last_step_at; /* atomic */
	apr_time_t paused_until; /* atomic; calls are refused before */
	struct table relays;	 /* struct relay *, rank RANK_CALL */
	struct metric *calls_metric;

	/* Guards all members below; taken when no table is locked. */
	pthread_mutex_t mutex;
	struct entry_session sessions[ENTRY_SESSION_SLOTS];
	struct route_table routes;
	struct random random;
};

/* Why the entry cancelled the current attempt of a call. */
enum relay_cancel_reason {
	RELAY_NOT_CANCELLED = 0,
	RELAY_CONNECTION_SILENT,
	RELAY_AGENT_UNRESPONSIVE,
	RELAY_CALLER_DISCONNECTED
};

/* One call, from the parsed request to the answer or refusal. */
struct relay {
	struct entry *e;
	struct http_call *call;
	struct handle handle;
	char id[HOP_REQUEST_SIZE];
	char account[DOCUMENT_NAME_SIZE];
	char name[DOCUMENT_NAME_SIZE]; /* of the model or service */
	char operation[DOCUMENT_NAME_SIZE];
	enum upstream_kind kind;
	int is_repeatable;
	int lifetime_s;
	int priority;
	apr_time_t received_at;
	apr_time_t deadline;
	struct admission admission;
	int is_admitted;

	/* routing */
	uint64_t class;
	uint64_t affinity;
	int has_session;
	int is_affine;	  /* the affinity's upstream was chosen */
	int cache_result; /* of the gate: 1 hit, 0 miss, -1 not reported */
	char version[DIGEST_HEX_SIZE]; /* requested, then the upstream's */
	int is_version_required;
	double min_version_share;
	int attempt_count;
	char attempted_agents[ROUTE_EXCLUDED_MAX][SETTINGS_NAME_SIZE];
	int attempted_agent_count;
	int row; /* of the current attempt's upstream; -1: none */
	int needs_new_connection;
	int resends_ticket; /* next attempt: same ticket, same agent */
	int may_have_run;   /* the outcome of an attempt is unknown */
	char agent[SETTINGS_NAME_SIZE];
	char agent_address[SETTINGS_ADDRESS_SIZE];

	/* at most once */
	char idempotency_key[HOP_KEY_SIZE];
	struct ticket ticket;
	char ticket_text[TICKET_TEXT_SIZE];
	int has_caller_ticket;	  /* the call must run at the ticket's agent */
	uint32_t gate_generation; /* ticket generation last reported */

	/* crashing requests */
	struct digest fingerprint;
	/* Upstream for which crash_begin_run was called; empty: none. */
	char crash_run_upstream[SETTINGS_NAME_SIZE];

	/* current attempt */
	struct hop hop;
	struct hop_headers headers;
	struct fetch fetch;
	char url[320];
	char path[160];
	json_t *request; /* body of a model call */
	char *body;
	size_t body_size;
	char echoed_id[HOP_REQUEST_SIZE];
	char content_type[CONTENT_TYPE_SIZE];
	enum outcome reported_outcome;
	int has_gate_reply;

	/* answer */
	int is_streaming;
	int has_started_stream;
	int is_mismatched;
	struct sse sse;
	json_t *collected_tokens;
	json_t *last_event;
	char *buffer;
	size_t buffer_size;
	size_t buffer_capacity;

	apr_time_t last_byte_at;		/* atomic */
	apr_time_t probed_at;			/* start of the last probe */
	int is_probing;				/* atomic */
	int probe_failures;			/* atomic */
	enum relay_cancel_reason cancel_reason; /* atomic */
	int is_paused; /* atomic; fetch waits for the caller */
	struct explain_call explain;
};

int entry_is_paused(struct entry *e, apr_time_t now);

/* entry-request.c */
void entry_add_routes(struct entry *e);
int entry_authenticate(struct http_call *c, const struct document *d);
void entry_refuse(struct http_call *c, int status, enum again again,
		  const char *reason, const char *fmt, ...)
	__attribute__((format(printf, 5, 6)));

/* relay-crash.c */
int relay_check_quarantine(struct relay *r, apr_time_t now,
			   struct refusal *why);
void relay_choose_upstream(struct relay *r, struct route_query *q,
			   apr_time_t now, struct route_choice *out);
int relay_crash_begin_run(struct relay *r, const char *upstream,
			  apr_time_t now);
void relay_crash_end_run(struct relay *r, int finished);

/* relay-target.c */
int relay_choose_row(struct relay *r, struct refusal *why);
void relay_mint_ticket(struct relay *r, const struct route_upstream *u);

/* relay-session.c */
void relay_set_kv_source(struct relay *r, const struct route_upstream *to);
void relay_record_session(struct relay *r);

/* relay.c */
void relay_start_attempt(struct relay *r);
void relay_refuse(struct relay *r, struct refusal *why);
void relay_free(struct relay *r);
void relay_finish(struct relay *r, const char *outcome, const char *reason);

/* relay-answer.c */
extern const struct fetch_ops relay_fetch_ops;
void relay_on_attempt_done(struct fetch *f);
int relay_answer_is_complete(struct relay *r);
void relay_send_answer(struct relay *r);
void relay_on_caller_drained(void *arg);
void relay_on_caller_disconnected(void *arg);
void relay_reset_answer(struct relay *r);

/* relay-watch.c */
void relays_probe_silent(struct entry *e, apr_time_t now);

#endif
