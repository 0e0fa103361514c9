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
 * The entry's side of calls.  Parts: entry.c (start, tickets, explain),
 * entry-request.c (what callers send), relay.c (attempts and outcomes),
 * relay-answer.c (answers on their way back), relay-watch.c (silence).
 */

#define ENTRY_BODY_MAX (1024 * 1024)
#define ENTRY_DEADLINE_MS 30000 /* when nobody states one */
#define ENTRY_DEADLINE_MAX_MS (10 * 60 * 1000)
#define ENTRY_PAUSE_US (500 * 1000)
#define ENTRY_PAUSE_GRACE_US (250 * 1000)
#define ENTRY_HAND_OVER_US (250 * 1000)
#define ENTRY_PROVEN 65536
#define ENTRY_SESSIONS 4096
#define RELAY_ATTEMPTS_MAX 4
#define RELAY_ANSWER_MAX (4 * 1024 * 1024)

/* Where a session ran last, to bring its KV cache along when it moves. */
struct entry_session {
	uint64_t affinity;
	char agent[SETTINGS_NAME_SIZE];
};

struct entry {
	struct node *n;
	struct limits *limits;
	struct crash_list *crashes;
	/* Fingerprints that ended well, by their first bytes; atomic. */
	uint64_t proven[ENTRY_PROVEN];
	struct retry_budget budget;
	struct explain_ring explain;
	apr_time_t last_turn;	 /* atomic */
	apr_time_t paused_until; /* atomic */
	struct table relays;	 /* struct relay *, rank RANK_CALL */
	struct metric *calls;

	/* Guards the rest; taken when no table is locked. */
	pthread_mutex_t mutex;
	struct entry_session sessions[ENTRY_SESSIONS];
	struct route_table routes;
	struct random random;
};

enum relay_end { RELAY_NONE = 0, RELAY_SILENT, RELAY_DEAD, RELAY_GONE };

/* One call of a caller, from its admission to its answer. */
struct relay {
	struct entry *e;
	struct http_call *call;
	struct handle self;
	char id[HOP_REQUEST_SIZE];
	char account[DOCUMENT_NAME_SIZE];
	char name[DOCUMENT_NAME_SIZE]; /* of the model or service */
	char operation[DOCUMENT_NAME_SIZE];
	enum upstream_kind kind;
	int repeatable;
	int lifetime_s;
	int priority;
	apr_time_t arrived;
	apr_time_t deadline;
	struct admission admission;
	int admitted;

	/* routing */
	uint64_t class;
	uint64_t affinity;
	int has_session;
	int affine;    /* the attempt went to its affinity's own upstream */
	int cache_hit; /* as the gate said: 1, 0, -1 for nothing */
	char version[DIGEST_HEX_SIZE]; /* wanted, later the answer's */
	int version_strict;
	double min_serving;
	int attempts;
	char tried[ROUTE_EXCLUDED_MAX][SETTINGS_NAME_SIZE];
	int tried_count;
	int row; /* of the attempt under way, -1 for none */
	int fresh;
	int resend;    /* the same ticket goes to the same agent again */
	int maybe_ran; /* an attempt ended without proof */
	char agent[SETTINGS_NAME_SIZE];
	char agent_address[SETTINGS_ADDRESS_SIZE];

	/* at most once */
	char key[HOP_KEY_SIZE];
	struct ticket ticket;
	char ticket_text[TICKET_TEXT_SIZE];
	int ticket_given;    /* by the caller: bound, never moved */
	uint32_t generation; /* as the gate said last */

	/* crashing requests */
	struct digest fingerprint;
	char entered[SETTINGS_NAME_SIZE]; /* upstream that it may run at */

	/* the attempt */
	struct hop hop;
	struct hop_headers headers;
	struct fetch fetch;
	char url[320];
	char path[160];
	json_t *request; /* of a model call */
	char *body;
	size_t body_size;
	char echoed[HOP_REQUEST_SIZE];
	char type[64];
	enum outcome outcome;
	int gate_replied;

	/* the answer */
	int stream;
	int begun;
	int crossed;
	struct sse sse;
	json_t *tokens;
	json_t *last_event;
	char *buffer;
	size_t buffer_size;
	size_t buffer_capacity;

	apr_time_t last_byte; /* atomic */
	apr_time_t probed;    /* of the watch's */
	int probing;	      /* atomic */
	int probe_failures;   /* atomic */
	enum relay_end why;   /* atomic */
	int paused;	      /* atomic */
	struct explain_call explain;
};

int entry_paused(struct entry *e, apr_time_t now);

/* entry-request.c */
void entry_routes_add(struct entry *e);
int entry_authenticate(struct http_call *c, const struct document *d);
void entry_refuse(struct http_call *c, int status, enum again again,
		  const char *reason, const char *fmt, ...)
	__attribute__((format(printf, 5, 6)));

/* relay-crash.c */
int relay_crash_check(struct relay *r, apr_time_t now, struct refusal *why);
void relay_route(struct relay *r, struct route_query *q, apr_time_t now,
		 struct route_choice *out);
int relay_crash_enter(struct relay *r, const char *upstream, apr_time_t now);
void relay_crash_leave(struct relay *r, int finished);

/* relay-target.c */
int relay_row_pick(struct relay *r, struct refusal *why);
void relay_ticket_make(struct relay *r, const struct route_upstream *u);

/* relay-session.c */
void relay_session_move(struct relay *r, const struct route_upstream *to);
void relay_session_note(struct relay *r);

/* relay.c */
void relay_attempt(struct relay *r);
void relay_refuse(struct relay *r, struct refusal *why);
void relay_free(struct relay *r);
void relay_finish(struct relay *r, const char *outcome, const char *reason);

/* relay-answer.c */
extern const struct fetch_ops relay_ops;
void relay_done(struct fetch *f);
int relay_answer_whole(struct relay *r);
void relay_answer_send(struct relay *r);
void relay_drained(void *arg);
void relay_gone(void *arg);
void relay_answer_reset(struct relay *r);

/* relay-watch.c */
void relays_check(struct entry *e, apr_time_t now);

#endif
