#include <stdio.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/metric.h"
#include "forward/internal.h"

/* Log lines and metrics about the ends of attempts and requests. */

/* Returns when the last attempt was sent, in ms since the request arrived. */
static json_int_t sent_ms(const struct forward *f)
{
	return (json_int_t)((f->sent_at - f->received_at) / 1000);
}

/*
 * Reports an answer that began on a release on which, as far as this entry
 * knows, no request may begin any more.
 */
void forward_check_release(struct forward *f, apr_time_t now)
{
	struct log_place at = { "release", f->upstream,
				*f->head.id ? f->head.id : "-" };
	apr_time_t expiry = forward_release_expiry(f);

	if (!expiry || now < expiry)
		return;
	metric_count("forward_expired_release", f->head.model, 1);
	if (!log_is_enabled(LOG_SEV_WARNING, 1))
		return;
	log_fields(LOG_SEV_WARNING, &at,
		   json_pack("{s:I,s:I,s:I}", "release", (json_int_t)f->release,
			     "sent_ms", sent_ms(f), "over_ms",
			     (json_int_t)((now - expiry) / 1000)),
		   "first bytes of an answer of an expired release");
}

/* Returns 1 when the last attempt was withdrawn as its release expired. */
int forward_is_withdrawn(const struct forward *f)
{
	return __atomic_load_n(&f->cancel_reason, __ATOMIC_ACQUIRE) ==
	       CANCEL_WITHDRAWN;
}

static const char *const cancel_names[] = { [CANCEL_UNRESPONSIVE] = "silence",
					    [CANCEL_MOVE] = "move",
					    [CANCEL_WITHDRAWN] = "withdrawal",
					    [CANCEL_BLAMED] = "blame",
					    [CANCEL_STOPPING] = "stop" };

/* Returns what ended an attempt, for log lines and counters. */
static const char *find_end_cause(const struct forward *f,
				  const struct attempt_result *e,
				  int is_caller_disconnected,
				  int is_release_end)
{
	int canceled = __atomic_load_n(&f->cancel_reason, __ATOMIC_ACQUIRE);

	if (e->is_complete)
		return "completion";
	if (is_caller_disconnected)
		return "caller";
	if (canceled)
		return cancel_names[canceled];
	if (e->is_timed_out)
		return "deadline";
	if (f->fetch.is_aborted_by_data)
		return "unusable-answer";
	if (is_release_end)
		return "release-limit";
	return e->is_unsent ? "unsent" : "upstream";
}

/* Records what ended the last attempt. */
void forward_record_end_cause(struct forward *f, const struct attempt_result *e,
			      int is_caller_disconnected, int is_release_end)
{
	f->ended_by =
		find_end_cause(f, e, is_caller_disconnected, is_release_end);
	metric_count("forward_attempt_ends", f->ended_by, 1);
}

/* Returns a time in ms for log lines; -1: not known. */
static json_int_t to_ms(apr_interval_time_t us)
{
	return us < 0 ? -1 : (json_int_t)us / 1000;
}

/* Adds what ended the last attempt and, if this entry did, why. */
static void add_end_fields(const struct forward *f, json_t *o, apr_time_t now)
{
	const struct cancel_inputs *c = &f->canceled;

	json_object_set_new(o, "ended_by",
			    json_string(f->ended_by ? f->ended_by : ""));
	json_object_set_new(o, "no_attempt",
			    json_string(f->no_attempt ? f->no_attempt : ""));
	if (f->waiting_since)
		json_object_set_new(
			o, "waited_ms",
			json_integer(to_ms(now - f->waiting_since)));
	if (f->no_place)
		json_object_set_new(o, "no_place", json_string(f->no_place));
	if (!__atomic_load_n(&f->cancel_reason, __ATOMIC_ACQUIRE))
		return;
	json_object_update_new(
		o, json_pack("{s:I,s:I,s:I,s:I,s:i,s:i}", "silence_ms",
			     to_ms(c->silence_us), "upstream_silence_ms",
			     to_ms(c->upstream_silence_us), "report_age_ms",
			     to_ms(c->report_age_us), "order_ms",
			     to_ms(c->order_us), "upstream_running", c->running,
			     "upstream_slots", c->slots));
}

/* Counts an answer that was broken off: by what, and why it ended there. */
static void count_truncated(const struct forward *f)
{
	char label[64];

	snprintf(label, sizeof(label), "%s/%s",
		 f->ended_by ? f->ended_by : "none",
		 f->no_attempt ? f->no_attempt : "none");
	metric_count("forward_truncated", label, 1);
}

/*
 * Returns the time in ms until the caller received the first bytes of its
 * answer, -1 when it has received none.
 */
static json_int_t first_byte_ms(const struct forward *f)
{
	return f->answer_started_at
		       ? (json_int_t)((f->answer_started_at - f->received_at) /
				      1000)
		       : -1;
}

static void record_times(const struct forward *f, apr_time_t now)
{
	uint64_t took = (uint64_t)(now - f->received_at);

	metric_record(metric_histogram("forward_us", f->route->name), took);
	metric_record(metric_histogram("forward_upstream_us", f->upstream),
		      (uint64_t)(now - f->sent_at));
	if (f->account)
		metric_record(
			metric_histogram("forward_account_us", f->account),
			took);
	if (f->answer_started_at)
		metric_record(
			metric_histogram("forward_first_us", f->route->name),
			(uint64_t)(f->answer_started_at - f->received_at));
}

void forward_log_end(struct forward *f, const char *outcome, int status,
		     apr_time_t now)
{
	struct log_place at = { "answer", f->upstream,
				*f->head.id ? f->head.id : "-" };
	const char *framing = framing_name(f->fetch.framing);
	int is_expected =
		!strcmp(outcome, "answer") || !strcmp(outcome, "gone");
	enum log_severity sev = is_expected ? LOG_SEV_INFO : LOG_SEV_WARNING;
	json_t *fields;

	metric_count("forward_outcome", outcome, 1);
	metric_count("forward_framing", framing, 1);
	if (f->is_answer_started && !is_expected)
		count_truncated(f);
	record_times(f, now);
	if (!log_is_enabled(sev, 1))
		return;
	fields = json_pack(
		"{s:s,s:i,s:s,s:s,s:s,s:i,s:i,s:I,s:I,s:I,s:I,s:i,"
		"s:i,s:I,s:I,s:I,s:I,s:s,s:s,s:I,s:s,s:s}",
		"outcome", outcome, "status", status, "route", f->route->name,
		"account", f->account ? f->account : "", "admitted",
		admit_class_name(f->admitted), "tries", f->attempts, "runs",
		f->runs, "ms", (json_int_t)((now - f->received_at) / 1000),
		"sent_ms", sent_ms(f), "first_ms", first_byte_ms(f), "wait_ms",
		forward_wait_ms(f), "load", f->load, "elapsed_ms",
		f->elapsed_ms, "revision", (json_int_t)f->document->revision,
		"release", (json_int_t)f->release, "release_left_ms",
		forward_release_left_ms(f), "deadline_ms",
		forward_deadline_ms(f), "framing", framing, "written",
		http_call_written_name(f->call), "open_event_bytes",
		(json_int_t)f->events.size, "error", f->fetch.error.text,
		"crash", forward_verdict_name(f));
	add_end_fields(f, fields, now);
	log_fields(sev, &at, fields, "request finished");
}

void forward_log_retry(struct forward *f, const struct attempt_result *e,
		       const char *what, apr_time_t now)
{
	struct log_place at = { what, f->upstream,
				*f->head.id ? f->head.id : "-" };
	json_t *fields;

	if (!log_is_enabled(LOG_SEV_NOTICE, 1))
		return;
	fields = json_pack(
		"{s:i,s:b,s:b,s:b,s:b,s:b,s:i,s:i,s:I,s:I,s:I,s:I,"
		"s:s,s:I,s:s,s:s}",
		"status", e->status, "not_run", e->is_not_run, "never_sent",
		e->is_unsent, "too_late", e->is_too_late, "silent",
		e->is_unresponsive, "withdrawn", forward_is_withdrawn(f),
		"tries", f->attempts, "runs", f->runs, "sent_ms", sent_ms(f),
		"release", (json_int_t)f->release, "release_left_ms",
		forward_release_left_ms(f), "deadline_ms",
		forward_deadline_ms(f), "framing",
		framing_name(f->fetch.framing), "open_event_bytes",
		(json_int_t)f->events.size, "error", f->fetch.error.text,
		"crash", forward_verdict_name(f));
	add_end_fields(f, fields, now);
	log_fields(LOG_SEV_NOTICE, &at, fields,
		   "attempt did not succeed; trying another upstream");
}
