#include <string.h>

#include "base/log.h"
#include "base/metric.h"
#include "forward/internal.h"

/*
 * Applies what an upstream announces in the head of an answer: that it leaves,
 * or that it wants no requests for a while. All functions run on the fetcher's
 * thread.
 */

#define STATUS_MISDIRECTED 421
#define STATUS_UNAVAILABLE 503

/* Returns 1 when the answer asks this entry to send nothing for a while. */
int forward_is_pause_asked(const struct forward *f)
{
	return f->fetch.status == STATUS_UNAVAILABLE &&
	       f->answer.retry_after_s > 0;
}

/*
 * Gives up the requests to an upstream of which no byte was sent, so that they
 * go elsewhere. It has no effect on those that were sent. Called with the mutex
 * held.
 */
static void give_up_unsent(struct forwarder *w, const char *upstream,
			   apr_time_t now)
{
	struct forward *f;

	for (f = w->active; f; f = f->next)
		if (!strcmp(f->upstream, upstream) && f->fetch.send_by >= now)
			f->fetch.send_by = now - 1;
}

static void log_malformed(struct forward *f)
{
	if (!f->answer.is_malformed)
		return;
	f->answer.is_malformed = 0;
	metric_count("forward_notices", "malformed", 1);
	log_notice("notice", f->upstream,
		   "ignored a malformed announcement in an answer of status %d",
		   f->fetch.status);
}

static void apply_leaving(struct forward *f, const struct notice_time *at)
{
	struct forwarder *w = f->w;
	const char *id = f->upstream;
	int64_t started_ms = f->upstream_started_ms;
	const struct target *u;

	f->is_leaving_applied = 1;
	pthread_mutex_lock(&w->mutex);
	/* Another instance answered at the address. */
	if (f->fetch.status == STATUS_MISDIRECTED && *f->answer.upstream &&
	    strcmp(f->answer.upstream, id) != 0) {
		id = f->answer.upstream;
		u = target_find(&w->targets, id);
		started_ms = u ? u->started_ms : 0;
	}
	target_record_leaving(&w->targets, id, started_ms, at);
	give_up_unsent(w, id, at->now);
	pthread_mutex_unlock(&w->mutex);
	metric_count("forward_notices", "leaving", 1);
	log_notice("notice", id, "upstream announced its end in an answer");
}

static void apply_pause(struct forward *f, const struct notice_time *at)
{
	struct forwarder *w = f->w;

	f->applied_pause_s = f->answer.retry_after_s;
	pthread_mutex_lock(&w->mutex);
	target_record_pause(&w->targets, f->upstream, f->upstream_started_ms,
			    f->answer.retry_after_s, at);
	give_up_unsent(w, f->upstream, at->now);
	pthread_mutex_unlock(&w->mutex);
	metric_count("forward_notices", "pause", 1);
	log_notice("notice", f->upstream,
		   "upstream asked for a pause of %.3g s, at most %d s count",
		   f->answer.retry_after_s,
		   (int)(NOTICE_PAUSE_MAX_US / APR_USEC_PER_SEC));
}

static void apply_limit(struct forward *f, const struct notice_time *at)
{
	struct forwarder *w = f->w;
	int is_stricter;

	f->is_limit_applied = 1;
	pthread_mutex_lock(&w->mutex);
	is_stricter = target_record_limit(&w->targets, f->upstream,
					  f->upstream_started_ms,
					  f->answer.limit_per_s, at);
	if (is_stricter)
		give_up_unsent(w, f->upstream, at->now);
	pthread_mutex_unlock(&w->mutex);
	if (!is_stricter)
		return;
	metric_count("forward_notices", "limit", 1);
	log_notice("notice", f->upstream,
		   "upstream takes %.3g requests a second from all entries",
		   f->answer.limit_per_s);
}

/* The answer is complete, or broke off after its head, without a limit. */
static void apply_no_limit(struct forward *f)
{
	struct forwarder *w = f->w;
	int has_ended;

	pthread_mutex_lock(&w->mutex);
	has_ended = target_end_limit(&w->targets, f->upstream,
				     f->upstream_started_ms, f->sent_at);
	pthread_mutex_unlock(&w->mutex);
	if (has_ended)
		log_notice("notice", f->upstream,
			   "upstream names no limit any more");
}

/*
 * Applies the notices of an answer, as soon as their header arrives: the body of
 * a stream may take minutes. Which instance sent an answer of status 421 is
 * known only when its head is complete.
 */
void forward_apply_notice(struct forward *f, int is_head_complete,
			  apr_time_t now)
{
	struct notice_time at = { now, apr_time_now() / 1000 };

	log_malformed(f);
	if (f->answer.is_leaving && !f->is_leaving_applied &&
	    (is_head_complete || f->fetch.status != STATUS_MISDIRECTED))
		apply_leaving(f, &at);
	if (forward_is_pause_asked(f) &&
	    f->answer.retry_after_s > f->applied_pause_s)
		apply_pause(f, &at);
	/* Another instance may answer with status 421. */
	if (f->fetch.status == STATUS_MISDIRECTED || !f->fetch.status)
		return;
	if (f->answer.has_limit && !f->is_limit_applied)
		apply_limit(f, &at);
	else if (is_head_complete && !f->answer.has_limit)
		apply_no_limit(f);
}
