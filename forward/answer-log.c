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

	metric_count("forward_outcome", outcome, 1);
	metric_count("forward_framing", framing, 1);
	record_times(f, now);
	if (!log_is_enabled(sev, 1))
		return;
	log_fields(
		sev, &at,
		json_pack(
			"{s:s,s:i,s:s,s:s,s:s,s:i,s:i,s:I,s:I,s:I,s:I,s:i,"
			"s:i,s:I,s:I,s:I,s:I,s:s,s:I,s:s,s:s}",
			"outcome", outcome, "status", status, "route",
			f->route->name, "account", f->account ? f->account : "",
			"admitted", admit_class_name(f->admitted), "tries",
			f->attempts, "runs", f->runs, "ms",
			(json_int_t)((now - f->received_at) / 1000), "sent_ms",
			sent_ms(f), "first_ms", first_byte_ms(f), "wait_ms",
			forward_wait_ms(f), "load", f->load, "elapsed_ms",
			f->elapsed_ms, "revision",
			(json_int_t)f->document->revision, "release",
			(json_int_t)f->release, "release_left_ms",
			forward_release_left_ms(f), "deadline_ms",
			forward_deadline_ms(f), "framing", framing,
			"open_event_bytes", (json_int_t)f->events.size, "error",
			f->fetch.error.text, "crash", forward_verdict_name(f)),
		"request finished");
}

void forward_log_retry(struct forward *f, const struct attempt_result *e,
		       const char *what)
{
	struct log_place at = { what, f->upstream,
				*f->head.id ? f->head.id : "-" };

	if (!log_is_enabled(LOG_SEV_NOTICE, 1))
		return;
	log_fields(LOG_SEV_NOTICE, &at,
		   json_pack("{s:i,s:b,s:b,s:b,s:b,s:b,s:i,s:i,s:I,s:I,s:I,s:I,"
			     "s:s,s:I,s:s,s:s}",
			     "status", e->status, "not_run", e->is_not_run,
			     "never_sent", e->is_unsent, "too_late",
			     e->is_too_late, "silent", e->is_unresponsive,
			     "withdrawn", forward_is_withdrawn(f), "tries",
			     f->attempts, "runs", f->runs, "sent_ms",
			     sent_ms(f), "release", (json_int_t)f->release,
			     "release_left_ms", forward_release_left_ms(f),
			     "deadline_ms", forward_deadline_ms(f), "framing",
			     framing_name(f->fetch.framing), "open_event_bytes",
			     (json_int_t)f->events.size, "error",
			     f->fetch.error.text, "crash",
			     forward_verdict_name(f)),
		   "attempt did not succeed; trying another upstream");
}
