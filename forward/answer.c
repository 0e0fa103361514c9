#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/metric.h"
#include "forward/internal.h"

/*
 * Processes the answer of an upstream, passes it on, and carries out the
 * decision of decide.c at its end. All functions run on the fetcher's thread.
 */

/* Maximum size of an answer that is held back. */
#define HELD_BODY_MAX_BYTES (256 * 1024)
/* Minimum interval between updates of last_contact. */
#define CONTACT_PERIOD_US (20 * 1000)
/* Time without new requests after an upstream answered that it is full. */
#define FULL_BACKOFF_US (150 * 1000)
/*
 * The same after it refused the release that it had reported. Its next report
 * may be as wrong as the last one.
 */
#define RELEASE_BACKOFF_US APR_USEC_PER_SEC

#define EVENT_STREAM_TYPE "text/event-stream"

#define STATUS_OK 200
#define STATUS_MISDIRECTED 421
#define STATUS_SERVER_ERROR 500
#define STATUS_BAD_GATEWAY 502
#define STATUS_UNAVAILABLE 503

/* Discards the answer of the previous attempt. */
void forward_answer_clear(struct forward *f)
{
	header_list_clear(&f->answer_headers);
	header_list_clear(&f->answer_options);
	memset(&f->answer, 0, sizeof(f->answer));
	f->is_leaving_applied = 0;
	f->applied_pause_s = 0;
	f->is_limit_applied = 0;
	f->is_event_answer = 0;
	f->has_answer = 0;
	free(f->held_body);
	f->held_body = NULL;
	f->held_size = 0;
}

/* Returns 1 when another upstream can continue the answer. */
static int is_resumable(const struct forward *f)
{
	return f->route->kind == ROUTE_STREAM && f->route->is_resumable &&
	       !f->is_reply_refused &&
	       (!f->is_answer_started ||
		(f->is_event_reply && events_has_position(&f->events)));
}

/*
 * Ends the attempt's count in `unanswered`: its answer has started, or never
 * will. Called with the mutex held.
 */
static void clear_unanswered(struct forward *f, struct target *u)
{
	if (u && f->is_unanswered && u->unanswered > 0)
		u->unanswered--;
	f->is_unanswered = 0;
}

/*
 * Removes the current attempt from the upstream's load. Called with the mutex
 * held.
 */
static void record_attempt_end(struct forward *f, apr_time_t now)
{
	struct target *u;

	if (!f->is_in_flight)
		return;
	f->is_in_flight = 0;
	u = target_find(&f->w->targets, f->upstream);
	clear_unanswered(f, u);
	if (u && u->in_flight > 0)
		target_record_finish(u, now);
	forward_unlink(f);
	f->w->active_count--;
}

static void receive_header(struct fetch *f, const char *name, const char *value)
{
	struct forward *x = f->arg;

	x->w->wire->parse_answer_header(name, value, &x->answer);
	forward_apply_notice(x, 0, clock_now());
	if (!strcasecmp(name, "Content-Type"))
		x->is_event_answer = f->status == STATUS_OK &&
				     !strncasecmp(value, EVENT_STREAM_TYPE,
						  strlen(EVENT_STREAM_TYPE));
	/* What follows the head is a trailer, which may be left out. */
	if (f->framing == FRAMING_NONE && !strcasecmp(name, "Connection"))
		header_add(&x->answer_options, name, value);
	if (f->framing == FRAMING_NONE && !header_is_hop_by_hop(name) &&
	    !forward_is_useless_date(x, name, value))
		header_add(&x->answer_headers, name, value);
}

static void receive_status_line(struct fetch *f)
{
	struct forward *x = f->arg;

	forward_answer_clear(x);
	x->is_event_answer =
		x->route->kind == ROUTE_STREAM && f->status == STATUS_OK;
}

/* Returns 1 for an answer that a later attempt may replace by a better one. */
static int is_replaceable_answer(const struct forward *f, int status)
{
	return f->answer.is_not_run || status == STATUS_MISDIRECTED ||
	       status >= STATUS_SERVER_ERROR;
}

/* Returns 1 for an answer whose head can't be passed on as a whole. */
static int is_head_too_large(const struct forward *f)
{
	return f->answer_headers.bytes > http_call_answer_room(f->call);
}

static int is_mismatched_answer(const struct forward *f)
{
	return *f->answer.id && *f->head.id &&
	       strcmp(f->answer.id, f->head.id) != 0;
}

static void start_reply(struct forward *f, int status)
{
	__atomic_store_n(&f->is_answer_started, 1, __ATOMIC_RELAXED);
	f->answer_started_at = clock_now();
	f->answer_status = status;
	forward_copy_answer_headers(f);
	f->is_event_reply = f->is_event_answer;
	f->is_end_promised = f->fetch.framing != FRAMING_CLOSE;
	/* The length of a stream is of one upstream's part of it only. */
	http_call_stream_begin(f->call, status, NULL,
			       f->is_event_answer ? FRAMING_CHUNKED
						  : f->fetch.framing,
			       f->fetch.content_length);
}

static int append_held_body(struct forward *f, const void *data, size_t size)
{
	char *p;

	if (f->held_size + size > HELD_BODY_MAX_BYTES)
		return -1;
	p = realloc(f->held_body, f->held_size + size + 1);
	if (!p)
		return -1;
	f->held_body = p;
	memcpy(f->held_body + f->held_size, data, size);
	f->held_size += size;
	return 0;
}

static int write_reply(struct forward *f, const void *data, size_t size)
{
	if (!http_call_stream_write(f->call, data, size))
		return 0;
	f->is_reply_refused = 1;
	return -1;
}

static int write_event(void *arg, const char *text, size_t size)
{
	return write_reply(arg, text, size);
}

/* Records that the upstream sent bytes, at most once per CONTACT_PERIOD_US. */
static void record_contact(struct forward *f, apr_time_t now)
{
	struct target *u;
	apr_time_t last = __atomic_load_n(&f->last_contact, __ATOMIC_RELAXED);

	if (last && now - last < CONTACT_PERIOD_US)
		return;
	if (!last)
		forward_check_release(f, now);
	__atomic_store_n(&f->last_contact, now, __ATOMIC_RELAXED);
	pthread_mutex_lock(&f->w->mutex);
	u = target_find(&f->w->targets, f->upstream);
	if (u)
		u->last_contact = now;
	clear_unanswered(f, u);
	pthread_mutex_unlock(&f->w->mutex);
}

/*
 * Returns 1 unless the caller has the start of an answer that this one can't
 * continue: a resumed stream must have the same status and type.
 */
static int continues_answer(const struct forward *f)
{
	return !f->is_answer_started ||
	       (f->answer_status == f->fetch.status &&
		f->is_event_reply == f->is_event_answer);
}

/* The caller has read all that was written, or has left. */
static void resume_reading(void *arg)
{
	struct forward *f = arg;

	if (!__atomic_load_n(&f->is_paused, __ATOMIC_ACQUIRE))
		return;
	/* The pause was not the upstream's silence. */
	__atomic_store_n(&f->last_contact, clock_now(), __ATOMIC_RELAXED);
	__atomic_store_n(&f->is_paused, 0, __ATOMIC_RELEASE);
	fetch_resume(&f->fetch);
}

/*
 * Returns 1 when the attempt has to wait for a slow caller. What the caller
 * reads after the second look resumes it.
 */
static int should_pause(struct forward *f)
{
	if (!http_call_stream_is_full(f->call))
		return 0;
	__atomic_store_n(&f->is_paused, 1, __ATOMIC_RELEASE);
	http_call_on_drain(f->call, resume_reading, f);
	if (http_call_stream_is_full(f->call))
		return 1;
	__atomic_store_n(&f->is_paused, 0, __ATOMIC_RELEASE);
	return 0;
}

/* Ends the pause of an attempt that has ended; its fetch is used again. */
static void end_pause(struct forward *f)
{
	http_call_on_drain(f->call, NULL, NULL);
	__atomic_store_n(&f->is_paused, 0, __ATOMIC_RELEASE);
}

/* Passes a piece of the answer on to the caller. */
static int pass_on(struct forward *f, const void *data, size_t size)
{
	int ret = f->is_event_answer
			  ? events_feed(&f->events, data, size, write_event, f)
			  : write_reply(f, data, size);

	__atomic_store_n(&f->can_continue, is_resumable(f), __ATOMIC_RELAXED);
	return ret;
}

static int receive_body(struct fetch *x, const void *data, size_t size)
{
	struct forward *f = x->arg;

	/* Its cancellation was decided on for a request without an answer. */
	if (!f->is_answer_started &&
	    __atomic_load_n(&f->cancel_reason, __ATOMIC_ACQUIRE))
		return -1;
	record_contact(f, clock_now());
	if (is_mismatched_answer(f) || is_head_too_large(f) ||
	    !continues_answer(f))
		return -1;
	if (is_replaceable_answer(f, x->status))
		return append_held_body(f, data, size);
	if (should_pause(f))
		return FETCH_PAUSE;
	if (!f->is_answer_started)
		start_reply(f, x->status);
	return pass_on(f, data, size);
}

static int is_canceled_as_blamed(const struct forward *f)
{
	return __atomic_load_n(&f->cancel_reason, __ATOMIC_ACQUIRE) ==
	       CANCEL_BLAMED;
}

/* Returns 1 for an attempt that was canceled as this process exits. */
static int is_canceled_by_stop(const struct forward *f)
{
	return __atomic_load_n(&f->cancel_reason, __ATOMIC_ACQUIRE) ==
	       CANCEL_STOPPING;
}

/*
 * Returns 1 for an attempt that its upstream ended at the limit of its release.
 * The deadline that the upstream received is in whole milliseconds.
 */
static int is_ended_by_release(const struct forward *f, apr_time_t now)
{
	return f->attempt_expires_at < f->expires_at &&
	       now >= f->attempt_expires_at - TIME_LEFT_MIN_US;
}

/*
 * Returns 1 for an answer that was broken off although its transfer ended
 * without an error: a stream inside an event, or, where nothing but the
 * connection marked its end, a stream before its first event and any answer
 * whose upstream stopped at the deadline that this entry set.
 */
static int is_broken_answer(const struct forward *f, apr_time_t now)
{
	if (f->fetch.framing == FRAMING_CLOSE && is_ended_by_release(f, now))
		return 1;
	if (!f->is_event_answer)
		return 0;
	return events_is_open(&f->events) ||
	       (!f->is_answer_started && f->fetch.framing == FRAMING_CLOSE);
}

static void fill_attempt_result(struct forward *f, struct attempt_result *e,
				apr_time_t now)
{
	const struct fetch *x = &f->fetch;

	memset(e, 0, sizeof(*e));
	e->status = x->status;
	e->is_complete =
		!x->error.code && x->status && !is_broken_answer(f, now);
	e->is_end_marked = x->framing != FRAMING_CLOSE;
	e->is_unsent = x->never_sent;
	e->is_too_late = x->is_too_late;
	e->is_not_run = f->answer.is_not_run && x->status;
	e->is_other_instance = x->status == STATUS_MISDIRECTED;
	e->is_mismatched = is_mismatched_answer(f);
	if (e->is_mismatched)
		e->is_not_run = e->is_other_instance = 0;
	e->is_canceled = __atomic_load_n(&f->cancel_reason, __ATOMIC_ACQUIRE) !=
			 CANCEL_NONE;
	e->is_unresponsive =
		__atomic_load_n(&f->cancel_reason, __ATOMIC_ACQUIRE) ==
		CANCEL_UNRESPONSIVE;
	e->is_answer_started = f->is_answer_started;
	e->is_timed_out =
		!e->is_complete &&
		(is_canceled_by_stop(f) ||
		 (!e->is_canceled && now >= f->expires_at - TIME_LEFT_MIN_US));
	e->is_cut = !e->is_complete && !e->is_unsent && !e->is_canceled &&
		    !e->is_timed_out && !is_ended_by_release(f, now) &&
		    !x->is_aborted_by_data && x->error.code != ERROR_TIMEOUT;
	if (!continues_answer(f))
		e->is_complete = 0;
	if (x->status && is_head_too_large(f)) {
		e->is_complete = 0;
		log_warning("answer-head", f->upstream,
			    "an answer has a head of %zu bytes, which is not "
			    "passed on",
			    f->answer_headers.bytes);
	}
}

static void fill_attempt_context(struct forward *f, struct attempt_context *s,
				 apr_time_t now)
{
	s->is_repeatable = is_route_repeatable(f->route);
	s->is_resumable = is_resumable(f);
	s->is_end_promised = f->is_end_promised;
	s->may_have_run = f->may_have_run;
	s->runs = f->runs;
	s->runs_max = f->route->max_attempts;
	s->attempts = f->attempts;
	s->has_time = f->expires_at - now > TIME_LEFT_MIN_US;
	s->is_suspect = forward_is_suspect(f) || forward_is_blamed(f);
	s->is_caller_disconnected =
		__atomic_load_n(&f->is_caller_disconnected, __ATOMIC_ACQUIRE);
	pthread_mutex_lock(&f->w->mutex);
	/* An answer that has begun may wait for the budget. */
	s->has_budget = f->place.has_retry || f->is_answer_started ||
			retry_budget_remaining(&f->w->retry_budget,
					       f->service_name, now) > 0;
	pthread_mutex_unlock(&f->w->mutex);
}

/* Updates the upstream's health from the end of an attempt. */
static void record_target_outcome(struct forward *f,
				  const struct attempt_result *e,
				  int is_caller_disconnected, apr_time_t now)
{
	enum health_event event = 0;
	struct target *u;
	int ejected = 0;

	pthread_mutex_lock(&f->w->mutex);
	u = target_find(&f->w->targets, f->upstream);
	record_attempt_end(f, now);
	if (!u)
		goto out;
	if (e->is_other_instance && *f->answer.upstream &&
	    strcmp(f->answer.upstream, f->upstream))
		u->is_replaced = 1;
	if (e->is_not_run)
		u->full_until = now + FULL_BACKOFF_US;
	if (e->is_other_instance && f->is_newest_release)
		u->full_until = now + RELEASE_BACKOFF_US;
	if (e->is_unsent && e->is_too_late)
		event = 0; /* this process was delayed, not the upstream */
	else if (f->is_silence_recorded && e->is_canceled)
		event = 0;
	else if (e->is_unresponsive ||
		 (e->is_unsent && !is_caller_disconnected))
		event = HEALTH_UNRESPONSIVE;
	else if (e->is_canceled)
		event = 0;
	else if (is_ended_by_release(f, now) &&
		 (!e->is_complete || e->status >= STATUS_SERVER_ERROR))
		event = 0;
	else if (e->is_complete && e->status < STATUS_SERVER_ERROR)
		event = HEALTH_ANSWERED;
	else if (!e->is_not_run && !e->is_other_instance &&
		 !forward_is_pause_asked(f) && !is_caller_disconnected &&
		 !e->is_timed_out)
		event = HEALTH_FAILED;
	if (event)
		ejected = health_record_outcome(&u->health, event, now);
out:
	pthread_mutex_unlock(&f->w->mutex);
	if (ejected)
		log_warning("health", f->upstream,
			    "upstream ejected: %s, status %d, error: %s",
			    event == HEALTH_UNRESPONSIVE ? "silent" : "fails",
			    e->status, f->fetch.error.text);
}

/* Sends the rest of a complete answer to the caller. */
void forward_finish_complete(struct forward *f, apr_time_t now)
{
	forward_log_end(f, "answer", f->fetch.status, now);
	if (!f->is_answer_started) {
		forward_reply_whole(f);
	} else {
		if (f->events.size)
			http_call_stream_write(f->call, f->events.buffer,
					       f->events.size);
		http_call_stream_end(f->call, 1);
	}
	forward_free(f);
}

/*
 * Ends a request whose answer can't be completed, so that the caller sees it as
 * truncated.
 */
void forward_finish_truncated(struct forward *f, const char *outcome,
			      apr_time_t now)
{
	forward_log_end(f, outcome, f->answer_status, now);
	if (f->is_answer_started) {
		http_call_stream_end(f->call, 0);
	} else {
		http_call_reply(f->call,
				f->may_have_run ? STATUS_BAD_GATEWAY
						: STATUS_UNAVAILABLE,
				NULL, "", 0);
	}
	forward_free(f);
}

static void retry_request(struct forward *f, const struct attempt_result *e,
			  int resume, apr_time_t now)
{
	if (forward_refuse_blamed(f, now))
		return;
	forward_log_retry(f, e, resume ? "resume" : "retry", now);
	f->needs_retry = !e->is_unsent;
	f->is_resuming = resume;
	metric_count("forward_repeats", resume ? "resume" : "retry", 1);
	if (resume)
		events_resume(&f->events);
	forward_send(f, now);
}

/* Returns why a request that may have run gets no other attempt. */
static const char *unknown_reason(const struct forward *f,
				  const struct attempt_result *e,
				  apr_time_t now)
{
	if (forward_is_blamed(f))
		return forward_verdict_name(f);
	if (forward_is_withdrawn(f) || is_ended_by_release(f, now))
		return "release-expired";
	if (e->is_cut && forward_is_suspect(f))
		return "crash-suspect";
	return "upstream-failed";
}

static void finish_attempt(struct fetch *x)
{
	struct forward *f = x->arg;
	struct attempt_result e;
	struct attempt_context s;
	enum attempt_action action;
	apr_time_t now = clock_now();

	end_pause(f);
	fill_attempt_result(f, &e, now);
	forward_apply_notice(f, 1, now);
	pthread_mutex_lock(&f->w->mutex);
	f->runs = attempt_count_runs(f->runs, &e);
	pthread_mutex_unlock(&f->w->mutex);
	if (e.is_cut || is_canceled_as_blamed(f)) {
		pthread_mutex_lock(&f->w->mutex);
		forward_look_up_verdict(f, now);
		pthread_mutex_unlock(&f->w->mutex);
	}
	fill_attempt_context(f, &s, now);
	forward_record_end_cause(f, &e, s.is_caller_disconnected,
				 is_ended_by_release(f, now));
	f->no_attempt = attempt_find_obstacle(&e, &s);
	record_target_outcome(f, &e, s.is_caller_disconnected, now);
	forward_record_end(f, &e, s.is_caller_disconnected, now);
	f->may_have_run |= attempt_may_have_run(&e);
	f->may_return[f->attempts - 1] = e.is_not_run || e.is_canceled;
	f->has_answer =
		e.is_complete && !e.is_mismatched && attempt_may_have_run(&e);
	action = attempt_decide_next(&e, &s);
	if (action != NEXT_RETRY && action != NEXT_RESUME)
		forward_release_place(f, now);
	switch (action) {
	case NEXT_DONE:
		forward_finish_complete(f, now);
		break;
	case NEXT_TRUNCATED:
		forward_finish_truncated(f, "cut", now);
		break;
	case NEXT_DISCONNECTED:
		forward_finish_truncated(f, "gone", now);
		break;
	case NEXT_RETRY:
		retry_request(f, &e, 0, now);
		break;
	case NEXT_RESUME:
		retry_request(f, &e, 1, now);
		break;
	case NEXT_NOT_RUN:
		forward_refuse(f, 503, AGAIN_SAME,
			       forward_retry_after_ms(f, now),
			       is_canceled_by_stop(f) ? "stopping"
			       : e.is_timed_out	      ? "deadline"
						      : "not-run");
		break;
	case NEXT_UNKNOWN:
		forward_refuse(f, 502, AGAIN_CHECK, 0,
			       unknown_reason(f, &e, now));
		break;
	case NEXT_TIMEOUT:
		forward_refuse(f, 504, AGAIN_CHECK, 0,
			       is_canceled_by_stop(f) ? "stopping"
						      : "deadline");
		break;
	}
}

const struct fetch_ops forward_answer_ops = { receive_header, receive_body,
					      finish_attempt,
					      receive_status_line };
