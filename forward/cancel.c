#include <string.h>

#include "base/log.h"
#include "base/metric.h"
#include "forward/internal.h"

/* Decides which attempts are given up before their upstream has ended them. */

/*
 * An upstream counts as unresponsive when a request waits and no byte has come
 * from it on any connection for this time. Behind a network queue that delays
 * requests, bytes for other requests may still arrive, so these are not taken
 * into account then.
 */
#define FIRST_BYTE_TIMEOUT_US (700 * 1000)
#define NEXT_BYTE_TIMEOUT_US (600 * 1000)
/* Time limit of plain services, as a multiple of their objective. */
#define PLAIN_TIMEOUT_OBJECTIVES 2

/*
 * Time for the answer of an upstream that dropped a request at its deadline. It
 * may have arrived while this process was paused.
 */
#define OVERDUE_ANSWER_US (80 * 1000)

/* Time for a request that was checked before a blame to be sent. */
#define BLAME_CHECK_US (500 * 1000)

/* Retries that moving streams leaves in the budget for failures. */
#define MOVE_RESERVED_RETRIES 5

/*
 * Takes a place for the next attempt of a request that is under way, so that
 * the attempt can be given up. Returns 0 when there is none. Called with the
 * mutex held.
 */
static int reserve_place(struct forwarder *w, struct forward *f,
			 struct reservation_terms *terms, apr_time_t now)
{
	int is_begun = __atomic_load_n(&f->is_answer_started, __ATOMIC_RELAXED);
	struct target_query q;

	f->no_place = "not-resumable";
	if (is_begun && !__atomic_load_n(&f->can_continue, __ATOMIC_RELAXED))
		return 0;
	f->no_place = "crash-blamed";
	if (crash_check_items(w->crashes, &f->items, now, NULL) ==
	    CRASH_QUARANTINED)
		return 0;
	if (is_begun && f->service && f->service->has_engine)
		terms->answer_us =
			(apr_interval_time_t)target_typical_answer_us(
				&f->service->engine);
	terms->needs_free_slot = is_begun;
	terms->attempts = f->attempts;
	terms->runs = f->runs + 1;
	terms->runs_max = f->route->max_attempts;
	terms->expires_at = f->expires_at - TIME_LEFT_MIN_US;
	terms->releases = &w->releases;
	forward_fill_query(f, &q, now);
	q.needs_sound = 1;
	if (forward_is_suspect(f))
		target_restrict(&w->targets, &q, &f->finding.key, now);
	f->no_place = reservation_take(&f->place, &w->targets, &w->retry_budget,
				       &q, terms, &w->random, now);
	return !f->no_place;
}

/* Gives back what of the place for the next attempt is not used. */
void forward_release_place(struct forward *f, apr_time_t now)
{
	struct forwarder *w = f->w;

	pthread_mutex_lock(&w->mutex);
	reservation_release(&f->place, &w->targets, &w->retry_budget,
			    f->service_name, now);
	pthread_mutex_unlock(&w->mutex);
}

/*
 * Returns 1 when the upstream is unresponsive; it is not while this entry has
 * stopped reading. Called with the mutex held.
 */
static int is_attempt_unresponsive(struct forwarder *w, const struct forward *f,
				   apr_time_t now)
{
	const struct target *u;
	int is_paused = __atomic_load_n(&f->is_paused, __ATOMIC_ACQUIRE);
	apr_time_t last_contact =
		__atomic_load_n(&f->last_contact, __ATOMIC_RELAXED);
	apr_interval_time_t bound = FIRST_BYTE_TIMEOUT_US;
	apr_time_t since = last_contact ? last_contact : f->sent_at;

	if (is_paused)
		return 0;
	/* What arrived while this process was stopped may not be read yet. */
	if (since < w->node->pause_end)
		since = w->node->pause_end;
	if (f->route->kind != ROUTE_STREAM)
		bound = f->route->objective_ms * 1000LL *
			PLAIN_TIMEOUT_OBJECTIVES;
	else if (last_contact)
		bound = NEXT_BYTE_TIMEOUT_US;
	if (now - since < bound)
		return 0;
	u = target_find(&w->targets, f->upstream);
	return !u || now - u->last_contact >= bound || target_is_congested(u) ||
	       f->route->kind != ROUTE_STREAM;
}

/*
 * Returns 1 for an attempt at an unresponsive upstream that another one may take
 * over. Called with the mutex held.
 */
static int is_replaceable(struct forwarder *w, const struct forward *f,
			  apr_time_t now)
{
	return is_route_repeatable(f->route) &&
	       f->runs + 1 < f->route->max_attempts &&
	       is_attempt_unresponsive(w, f, now);
}

/*
 * Records once for each attempt that its upstream is unresponsive, of all
 * attempts before places are taken: those that are silent at the same time are
 * none for each other. Called with the mutex held.
 */
static void record_silences(struct forwarder *w, apr_time_t now)
{
	struct forward *f;

	for (f = w->active; f; f = f->next) {
		struct target *u;

		if (f->is_silence_recorded || !is_replaceable(w, f, now))
			continue;
		u = target_find(&w->targets, f->upstream);
		f->is_silence_recorded = 1;
		if (u &&
		    health_record_outcome(&u->health, HEALTH_UNRESPONSIVE, now))
			log_warning("health", u->id,
				    "upstream ejected: silent");
	}
}

/*
 * Returns 1 for an attempt at an unresponsive upstream that is given up for a
 * place. Until there is one it goes on: it may only be slow. New requests go
 * elsewhere in either case. Called with the mutex held.
 */
static int should_replace_unresponsive(struct forwarder *w, struct forward *f,
				       apr_time_t now)
{
	struct reservation_terms terms = { 0 };

	return is_replaceable(w, f, now) && reserve_place(w, f, &terms, now);
}

/*
 * Returns 1 for a stream to be moved, as it keeps an engine from carrying out
 * an order. Called with the mutex held.
 */
static int should_move(struct forwarder *w, struct forward *f, apr_time_t now)
{
	struct reservation_terms terms = { .retries_kept =
						   MOVE_RESERVED_RETRIES };
	const struct target *u;

	if (f->route->kind != ROUTE_STREAM || !f->route->is_resumable ||
	    !__atomic_load_n(&f->is_answer_started, __ATOMIC_RELAXED) ||
	    !f->service || !f->service->has_engine)
		return 0;
	u = target_find(&w->targets, f->upstream);
	if (!u || !target_has_blocked_order(u, w->move_delay_us, now))
		return 0;
	return reserve_place(w, f, &terms, now);
}

/*
 * Returns 1 for a request that waits at an upstream on whose release no request
 * may begin soon. The upstream drops it by itself at its deadline if that is
 * the release's limit, and its answer proves that it did not run the request,
 * so it is withdrawn only if no answer was there on an earlier step either.
 * Called with the mutex held.
 */
static int should_withdraw(struct forwarder *w, struct forward *f,
			   apr_time_t now)
{
	const struct target *u = target_find(&w->targets, f->upstream);
	uint64_t runs_now = u ? target_find_release(u, f->head.model) : 0;

	if (!f->is_unanswered || !f->service || !f->service->has_engine ||
	    !release_must_withdraw(&w->releases, f->head.model, f->release,
				   runs_now, now))
		return 0;
	if (f->attempt_expires_at == f->expires_at)
		return 1;
	if (!f->overdue_since)
		f->overdue_since = now;
	return now - f->overdue_since >= OVERDUE_ANSWER_US;
}

/*
 * Returns 1 after an item was blamed: long enough to find the requests that
 * were sent while this was decided.
 */
static int must_check_blames(struct forwarder *w, apr_time_t now)
{
	uint32_t count = crash_count_blames(w->crashes);

	if (count != w->blame_count)
		w->blame_check_until = now + BLAME_CHECK_US;
	w->blame_count = count;
	return now < w->blame_check_until;
}

/* Keeps for log lines what the decision to cancel was made from. */
static void record_cancel_inputs(struct forwarder *w, struct forward *f,
				 apr_time_t now)
{
	apr_time_t contact =
		__atomic_load_n(&f->last_contact, __ATOMIC_RELAXED);
	const struct target *u = target_find(&w->targets, f->upstream);
	struct cancel_inputs *c = &f->canceled;

	memset(c, 0, sizeof(*c));
	c->silence_us = now - (contact ? contact : f->sent_at);
	c->upstream_silence_us = c->report_age_us = -1;
	if (!u)
		return;
	if (u->last_contact)
		c->upstream_silence_us = now - u->last_contact;
	if (u->reported_at)
		c->report_age_us = now - u->reported_at;
	c->order_us = u->busy_since ? now - u->busy_since : 0;
	c->running = u->running;
	c->slots = u->slots;
}

static const char *const cancel_metrics[] = {
	[CANCEL_UNRESPONSIVE] = "forward_silent",
	[CANCEL_MOVE] = "forward_moved",
	[CANCEL_WITHDRAWN] = "forward_withdrawn",
	[CANCEL_BLAMED] = "forward_blamed",
	[CANCEL_STOPPING] = "forward_stopped"
};

/* Called with the mutex held. */
static void cancel_attempt(struct forward *f, enum cancel_reason why,
			   apr_time_t now)
{
	record_cancel_inputs(f->w, f, now);
	__atomic_store_n(&f->cancel_reason, why, __ATOMIC_RELEASE);
	metric_count(cancel_metrics[why], NULL, 1);
	fetch_cancel(&f->fetch);
}

/*
 * Returns why an attempt is to be canceled, CANCEL_NONE for one that goes on.
 * check_blames: an item was blamed a moment ago. Called with the mutex held.
 */
enum cancel_reason forward_decide_cancel(struct forwarder *w, struct forward *f,
					 int check_blames, apr_time_t now)
{
	if (node_is_ending(w->node) &&
	    !__atomic_load_n(&f->is_answer_started, __ATOMIC_RELAXED))
		return CANCEL_STOPPING;
	/* An answer that has begun shows that the run did no harm so far. */
	if (check_blames && f->is_unanswered &&
	    crash_is_refused(w->crashes, &f->items, now))
		return CANCEL_BLAMED;
	if (should_withdraw(w, f, now))
		return CANCEL_WITHDRAWN;
	if (should_replace_unresponsive(w, f, now))
		return CANCEL_UNRESPONSIVE;
	if (should_move(w, f, now))
		return CANCEL_MOVE;
	return CANCEL_NONE;
}

/*
 * Cancels attempts whose caller has disconnected, whose request crashes
 * upstreams, whose upstream's release expires, whose upstream is unresponsive,
 * whose stream is to be moved, or whose answer would not come before the process
 * exits.
 */
void forward_check_active(struct forwarder *w, apr_time_t now)
{
	int check_blames = must_check_blames(w, now);
	struct forward *f;

	pthread_mutex_lock(&w->mutex);
	record_silences(w, now);
	for (f = w->active; f; f = f->next) {
		enum cancel_reason why;

		if (__atomic_load_n(&f->is_caller_disconnected,
				    __ATOMIC_ACQUIRE)) {
			fetch_cancel(&f->fetch);
			continue;
		}
		if (__atomic_load_n(&f->cancel_reason, __ATOMIC_ACQUIRE))
			continue;
		why = forward_decide_cancel(w, f, check_blames, now);
		if (why != CANCEL_NONE)
			cancel_attempt(f, why, now);
	}
	pthread_mutex_unlock(&w->mutex);
}
