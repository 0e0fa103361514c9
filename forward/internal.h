#ifndef FORWARD_INTERNAL_H
#define FORWARD_INTERNAL_H

#include <pthread.h>

#include "config/document.h"
#include "forward/admit.h"
#include "forward/decide.h"
#include "forward/events.h"
#include "forward/forward.h"
#include "calls/problem.h"
#include "forward/crash-watch.h"
#include "forward/release.h"
#include "forward/repeats.h"
#include "forward/reservation.h"
#include "forward/target.h"
#include "net/node.h"

/* State of the forwarding component, private to forward/. */

#define FORWARD_URL_SIZE (SETTINGS_ADDRESS_SIZE + 16)

/* A header of a request or an answer. */
struct header {
	char *name;
	char *value;
};

struct header_list {
	struct header *items;
	int count;
	int capacity;
	size_t bytes; /* of all lines */
	const char **lines;
	char *text; /* of the lines */
};

struct forwarder {
	struct node *node;
	const struct wire_ops *wire;
	struct crash_list *crashes;
	/* Blames seen so far; used by the controller's thread only. */
	uint32_t blame_count;
	apr_time_t blame_check_until;
	/* Guards watch; taken last. */
	pthread_mutex_t watch_mutex;
	struct crash_watch watch;
	/*
	 * Guards the members below. No table is locked while it is held, except
	 * that of crash items, which locks nothing else.
	 */
	pthread_mutex_t mutex;
	struct target_table targets;
	struct service_retry_budget retry_budget;
	struct releases releases;
	struct deadline_table deadline_table;
	uint64_t document_revision; /* last one applied to releases */
	struct random random;
	/*
	 * Of this entry's moves: all entries see an order in the same report.
	 */
	apr_interval_time_t move_delay_us;
	struct forward *active;
	int active_count;
	int is_stopping;	 /* no answer waits any more */
	struct forward *waiting; /* begun answers, for an upstream to go on */
	uint64_t list_version;
	apr_time_t next_entry_count_at;
	int has_targets;
};

/* Why this entry canceled an attempt before its answer was complete. */
enum cancel_reason {
	CANCEL_NONE = 0,
	CANCEL_UNRESPONSIVE, /* the upstream sends nothing: try another */
	CANCEL_MOVE, /* the stream keeps an engine from its order: move it */
	CANCEL_WITHDRAWN, /* not begun, and the upstream's release expires */
	CANCEL_BLAMED,	  /* the request crashes upstreams */
	CANCEL_STOPPING	  /* not begun, and this process exits */
};

/* What was known of an attempt and its upstream when it was canceled. */
struct cancel_inputs {
	apr_interval_time_t
		silence_us; /* since its last byte, or its sending */
	apr_interval_time_t upstream_silence_us; /* on any connection */
	apr_interval_time_t report_age_us;	 /* -1: no report */
	apr_interval_time_t order_us; /* since it reported an order, 0: none */
	int running;
	int slots;
};

/*
 * One forwarded request. Until its first attempt it belongs to the HTTP
 * server's thread, then to the fetcher's. Other threads read only the members
 * marked atomic.
 */
struct forward {
	struct forwarder *w;
	struct http_call *call;
	struct document *document;
	const struct route_spec *route; /* points into document */
	const struct service_limits *service;
	struct request_head head;
	const char *account;	   /* NULL: none */
	uint64_t regions_excluded; /* by its route or account */
	char service_name[ROUTING_NAME_SIZE];
	int priority;
	/* Its first line was read; the caller's time counts from then. */
	apr_time_t received_at;
	apr_time_t expires_at;
	uint64_t list_version; /* of the upstreams, at the last attempt */
	/* End of the first pause while all upstreams are paused, or 0. */
	apr_time_t paused_until;
	/* Estimated time since the caller's first attempt. */
	int elapsed_ms;
	enum admit_class admitted;
	struct header_list headers; /* of the request, for the upstream */
	char *target;
	char *method;
	struct crash_items items;
	/* Before the last attempt, or after one that failed. */
	enum crash_verdict verdict;
	struct crash_finding finding; /* unless the verdict is CRASH_CLEAR */

	/* Attempts. */
	char attempted_upstreams[FORWARD_BEGUN_ATTEMPTS_MAX]
				[SETTINGS_NAME_SIZE];
	/* Upstreams that refused, or were left by this entry, may be used again. */
	int may_return[FORWARD_BEGUN_ATTEMPTS_MAX];
	int attempts;
	/* Attempts that may have run; changed with the forwarder's mutex. */
	int runs;
	int may_have_run;
	int was_cut; /* the connection of an earlier attempt broke */
	char upstream[SETTINGS_NAME_SIZE]; /* id, of the current attempt */
	char address[SETTINGS_ADDRESS_SIZE];
	int64_t upstream_started_ms;
	double wait_us; /* estimated at the last attempt or refusal */
	int load;	/* at the chosen upstream, same time as wait_us */
	int slots;
	/* Of the model at the chosen upstream, 0: unknown or no model. */
	uint64_t release;
	int is_newest_release; /* no newer one is known */
	apr_time_t sent_at;
	/* Of the attempt: expires_at, or earlier as the release expires. */
	apr_time_t attempt_expires_at;
	/* First seen after attempt_expires_at without an answer, 0: not yet. */
	apr_time_t overdue_since;
	/* Atomic: time of the last byte of the answer, 0: none. */
	apr_time_t last_contact;
	int can_continue; /* atomic: another upstream can go on with it */
	int is_paused;	  /* atomic: reading waits for a slow caller */
	int is_in_flight; /* guarded by the forwarder's mutex */
	int is_limited;	  /* what the upstream takes is counted */
	/* Counted in `unanswered` of the upstream's row; same guard. */
	int is_unanswered;
	int needs_retry; /* the next attempt counts in the retry budget */
	int is_resuming; /* the next attempt goes on with a begun answer */
	apr_time_t waiting_since; /* for an upstream, 0: not */
	struct reservation place; /* for the next attempt; same guard */
	int is_silence_recorded;  /* in its upstream's health; same guard */
	int cancel_reason;	  /* atomic: enum cancel_reason */
	struct cancel_inputs canceled; /* valid with a cancel_reason */
	/* For log lines, NULL: not yet known. */
	const char *ended_by;	    /* what ended the last attempt */
	const char *no_attempt;	    /* why no other one followed */
	const char *no_place;	    /* why the current one was not given up */
	int is_caller_disconnected; /* atomic */
	struct fetch fetch;
	char url[FORWARD_URL_SIZE];
	char lines[WIRE_LINES_MAX][WIRE_LINE_SIZE];

	/* The answer. */
	struct header_list answer_headers;
	struct header_list answer_options; /* its Connection headers */
	struct answer_head answer;
	/* What of the answer's notices was applied to its upstream. */
	int is_leaving_applied;
	double applied_pause_s;
	int is_limit_applied;
	int is_event_answer;  /* its body is a stream of events */
	int is_event_reply;   /* the answer that the caller gets is */
	int is_end_promised;  /* its first upstream marked the end, or had to */
	int is_reply_refused; /* the server could not take more of the reply */
	int is_answer_started;	      /* atomic: the caller has its status */
	apr_time_t answer_started_at; /* 0: not yet */
	int answer_status;	      /* sent to the caller */
	struct event_splitter events;
	/* A complete answer of an upstream that ran the request is held. */
	int has_answer;
	/* Body of an answer that a later attempt may replace. */
	char *held_body;
	size_t held_size;

	struct forward *next; /* in active or waiting */
	struct forward **link;
};

void header_add(struct header_list *l, const char *name, const char *value);
int header_list_has(const struct header_list *l, const char *name);
const char *const *header_list_lines(struct header_list *l);
void header_list_clear(struct header_list *l);
int header_is_hop_by_hop(const char *name);
int header_is_named(const char *connection, const char *name);
int header_is_option(const struct header_list *connection, const char *name);

/* intake.c */
void forward_serve(struct http_call *c, void *arg);
void forward_refuse(struct forward *f, int status, enum again again,
		    int retry_after_ms, const char *reason);
void forward_free(struct forward *f);

/* Minimum time left for another attempt to be of use. */
#define TIME_LEFT_MIN_US (20 * 1000)

/* answer.c */
extern const struct fetch_ops forward_answer_ops;
void forward_answer_clear(struct forward *f);
void forward_finish_complete(struct forward *f, apr_time_t now);
void forward_finish_truncated(struct forward *f, const char *outcome,
			      apr_time_t now);

/* answer-head.c */
int forward_is_useless_date(const struct forward *f, const char *name,
			    const char *value);
void forward_copy_answer_headers(struct forward *f);
void forward_reply_whole(struct forward *f);

/* answer-notice.c */
void forward_apply_notice(struct forward *f, int is_head_complete,
			  apr_time_t now);
int forward_is_pause_asked(const struct forward *f);

/* answer-log.c */
int forward_is_withdrawn(const struct forward *f);
void forward_record_end_cause(struct forward *f, const struct attempt_result *e,
			      int is_caller_disconnected, int is_release_end);
void forward_check_release(struct forward *f, apr_time_t now);
void forward_log_end(struct forward *f, const char *outcome, int status,
		     apr_time_t now);
void forward_log_retry(struct forward *f, const struct attempt_result *e,
		       const char *what, apr_time_t now);

/* handover.c */
void forward_fill_query(struct forward *f, struct target_query *q,
			apr_time_t now);
void forward_send(struct forward *f, apr_time_t now);
void forward_finish_unsent(struct forward *f, const char *reason,
			   int retry_after_ms, apr_time_t now);

const char *forward_submit(struct forward *f, apr_time_t now);
void forward_link(struct forward **list, struct forward *f);
void forward_unlink(struct forward *f);

/* waiting.c */
int forward_wait_for_place(struct forward *f, const char *reason,
			   apr_time_t now);
void forward_check_waiting(struct forwarder *w, apr_time_t now);
void forward_stop_waiting(struct forwarder *w, apr_time_t now);

/* crash-guard.c */
void forward_set_items(struct forward *f, const void *body, size_t size);
void forward_look_up_verdict(struct forward *f, apr_time_t now);
int forward_refuse_blamed(struct forward *f, apr_time_t now);
int forward_is_blamed(const struct forward *f);
int forward_is_suspect(const struct forward *f);
const char *forward_verdict_name(const struct forward *f);
json_t *forward_item_json(const struct forward *f);
void forward_record_end(struct forward *f, const struct attempt_result *e,
			int is_caller_disconnected, apr_time_t now);
void forward_step_crashes(struct forwarder *w, apr_time_t now);

/* cancel.c */
enum cancel_reason forward_decide_cancel(struct forwarder *w, struct forward *f,
					 int check_blames, apr_time_t now);
void forward_check_active(struct forwarder *w, apr_time_t now);
void forward_release_place(struct forward *f, apr_time_t now);

/* forward.c */
void forward_apply_releases(struct forwarder *w, const struct document *d,
			    apr_time_t now);
int forward_knows_evacuations(const struct forwarder *w);
json_int_t forward_wait_ms(const struct forward *f);
apr_time_t forward_release_expiry(struct forward *f);
json_int_t forward_release_left_ms(struct forward *f);
json_int_t forward_deadline_ms(const struct forward *f);
int forward_retry_after_ms(struct forward *f, apr_time_t now);

#endif
