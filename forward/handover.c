#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/metric.h"
#include "forward/internal.h"

/*
 * Chooses an upstream for a request and sends it; answer.c processes the
 * answer.
 */

/* Time limit for a connection, many times the delay between data centres. */
#define CONNECT_TIMEOUT_MS 200

/*
 * Time limit from the decision to the first byte: the connection and the delays
 * of this process. A request sent later would have a deadline, and perhaps an
 * upstream, that are no longer right.
 */
#define SEND_TIMEOUT_US (400 * 1000)

/* Adds a request to a list. Called with the mutex held. */
void forward_link(struct forward **list, struct forward *f)
{
	f->next = *list;
	f->link = list;
	if (f->next)
		f->next->link = &f->next;
	*list = f;
}

/* Removes a request from its list. Called with the mutex held. */
void forward_unlink(struct forward *f)
{
	*f->link = f->next;
	if (f->next)
		f->next->link = f->link;
}

/* The upstream's slot is counted already. */
static void record_attempt_start(struct forward *f, struct target *u)
{
	u->unanswered++;
	f->is_unanswered = 1;
	f->is_in_flight = 1;
	forward_link(&f->w->active, f);
	f->w->active_count++;
}

/* Fills in what cold upstreams of the service bear. */
static void fill_cold(struct cold_spec *c, const struct service_limits *service,
		      const struct settings *s)
{
	c->per_s = service->cold_per_s;
	c->window_max = c->per_s * s->cold_ratio + s->cold_slack;
	c->lasts_us = (apr_interval_time_t)(service->cold_s * 1e6);
}

/*
 * Fills the query for the upstream of the next attempt. Called with the mutex
 * held.
 */
void forward_fill_query(struct forward *f, struct target_query *q,
			apr_time_t now)
{
	int i;

	memset(q, 0, sizeof(*q));
	q->service = f->service_name;
	q->engine = f->service && f->service->has_engine ? &f->service->engine
							 : NULL;
	q->model = f->head.model;
	q->release_min =
		release_find_send_min(&f->w->releases, f->head.model, now);
	q->queued_release_min = release_find_send_min(
		&f->w->releases, f->head.model, now + TARGET_QUEUE_MAX_US);
	q->prompt_tokens = f->head.prompt_tokens;
	q->regions_excluded = f->regions_excluded;
	if (f->service)
		fill_cold(&q->cold, f->service, &f->w->node->settings);
	q->needs_sound = f->waiting_since != 0;
	for (i = 0; i < f->attempts && i < TARGET_EXCLUDED_MAX; i++)
		if (!f->waiting_since || !f->may_return[i])
			q->excluded[q->excluded_count++] =
				f->attempted_upstreams[i];
}

static int find_rank(const struct forward *f)
{
	return admit_rank(f->priority, f->service->priority_first,
			  f->service->priority_last);
}

static int find_last_rank(const struct forward *f)
{
	return admit_rank(f->service->priority_last, f->service->priority_first,
			  f->service->priority_last);
}

static enum admit_class decide_admission(const struct forward *f,
					 const struct target_query *q,
					 const struct target_choice *c,
					 int slots)
{
	struct admit_input in = {
		.service_objective_ms = f->service->objective_ms,
		.route_objective_ms = f->route->objective_ms,
		.elapsed_ms = f->elapsed_ms,
		.backlog_us = c->backlog_us,
		.first_event_us = c->first_event_us,
		.typical_first_event_us =
			target_typical_first_event_us(q->engine),
		.load = c->load,
		.slots = slots,
		.rank = find_rank(f),
	};

	return admit_decide(&in);
}

/*
 * Chooses an upstream. A suspect may go to few of them; it goes to any rather
 * than being refused as these have no free slot. Called with the mutex held.
 */
static void choose_target(struct forward *f, struct target_query *q,
			  struct target_choice *out, apr_time_t now)
{
	struct target_table *t = &f->w->targets;

	if (forward_is_suspect(f))
		target_restrict(t, q, &f->finding.key, now);
	target_choose(t, q, now, &f->w->random, out);
	if (!q->allowed_count || out->index < 0 ||
	    out->load < t->rows[out->index].slots)
		return;
	q->allowed_count = 0;
	target_choose(t, q, now, &f->w->random, out);
}

/*
 * Chooses an upstream and counts the request there. Returns NULL, or the reason
 * why no upstream can serve it. Called with the mutex held.
 */
static const char *reserve_target(struct forward *f, struct target_query *q,
				  int *is_probe, apr_time_t now)
{
	struct target_choice choice;
	struct forwarder *w = f->w;
	struct target *u;
	int is_reserved;

	if (!forward_knows_evacuations(w)) {
		f->wait_us = ADMIT_WAIT_UNKNOWN_US;
		return "no-evacuations";
	}
	/* The step that applies documents may be late. */
	forward_apply_releases(w, f->document, now);
	forward_fill_query(f, q, now);
	f->list_version = w->list_version;
	u = reservation_use_slot(&f->place, &w->targets, q, now);
	is_reserved = u != NULL;
	if (is_reserved && forward_is_suspect(f)) {
		/* It became one meanwhile, and may go to few upstreams. */
		target_record_finish(u, now);
		is_reserved = 0;
	}
	if (is_reserved)
		choice = f->place.choice;
	else
		choose_target(f, q, &choice, now);
	f->wait_us = choice.wait_us;
	f->paused_until = choice.paused_until;
	if (choice.is_unservable)
		f->wait_us = ADMIT_WAIT_UNKNOWN_US;
	if (choice.index < 0)
		return choice.reason;
	/* Others wait for the same upstream to return. */
	if (f->waiting_since &&
	    choice.load >= w->targets.rows[choice.index].slots)
		return "upstreams-full";
	if (!is_reserved)
		u = &w->targets.rows[choice.index];
	f->load = choice.load;
	f->slots = u->slots;
	if (!f->attempts && q->engine) {
		f->admitted = decide_admission(f, q, &choice, u->slots);
		if (f->admitted == ADMIT_REFUSED)
			return "overload";
	}
	*is_probe = u->health.is_probing;
	health_record_start(&u->health, now);
	/* The choice heeds releases only where there are engines. */
	f->release = q->engine ? target_find_release(u, f->head.model) : 0;
	f->is_newest_release =
		release_is_newest(&w->releases, f->head.model, f->release);
	f->attempt_expires_at = release_limit_deadline(
		&w->releases, f->head.model, f->release, f->expires_at);
	f->overdue_since = 0;
	f->is_limited = u->limit.is_limited || target_is_cold(u, &q->cold, now);
	snprintf(f->upstream, sizeof(f->upstream), "%s", u->id);
	snprintf(f->url, sizeof(f->url), "http://%s", u->address);
	memcpy(f->address, u->address, sizeof(f->address));
	f->upstream_started_ms = u->started_ms;
	if (!is_reserved)
		target_record_start(u, now);
	record_attempt_start(f, u);
	return NULL;
}

static void fill_headers(struct forward *f, apr_time_t now)
{
	struct upstream_head h = { 0 };
	int i, n = 0, lines;

	h.upstream = f->upstream;
	h.account = f->account;
	h.left_ms = (long)((f->attempt_expires_at - now) / 1000);
	/*
	 * The limit of the older releases is not in the deadline, so the
	 * upstream must refuse the request if it runs one of them after all.
	 */
	h.release = f->is_newest_release ? f->release : 0;
	h.last_event = f->is_answer_started && *f->events.last_id
			       ? f->events.last_id
			       : f->head.last_event;
	h.priority = f->admitted ? admit_priority(f->admitted, find_rank(f),
						  find_last_rank(f))
				 : -1;
	lines = f->w->wire->write_headers(&h, f->lines);
	for (i = 0; i < lines; i++)
		f->fetch.headers[n++] = f->lines[i];
	f->fetch.more_headers = header_list_lines(&f->headers);
}

/*
 * Ends a request for which there is no attempt. The status reflects whether it
 * may have run.
 */
void forward_finish_unsent(struct forward *f, const char *reason,
			   int retry_after_ms, apr_time_t now)
{
	f->no_attempt = reason;
	forward_release_place(f, now);
	if (f->has_answer && !f->is_answer_started)
		forward_finish_complete(f, now);
	else if (f->is_answer_started)
		forward_finish_truncated(f, "cut", now);
	else if (f->may_have_run)
		forward_refuse(f, 502, AGAIN_CHECK, 0, reason);
	else
		forward_refuse(f, 503, AGAIN_SAME, retry_after_ms, reason);
}

static void fill_fetch(struct forward *f, int is_probe, apr_time_t now)
{
	struct fetch *x = &f->fetch;
	size_t body_size;

	memset(x, 0, sizeof(*x));
	x->ops = &forward_answer_ops;
	x->arg = f;
	x->method = f->method;
	x->url = f->url;
	x->target = f->target;
	x->verbatim = 1;
	x->body = http_call_body(f->call, &body_size);
	x->body_size = body_size;
	if (!body_size && !strcmp(f->method, "GET"))
		x->body = NULL;
	x->connect_timeout_ms = CONNECT_TIMEOUT_MS;
	x->timeout_ms = (long)((f->expires_at - now) / 1000) + 1;
	x->send_by = now + SEND_TIMEOUT_US;
	if (x->send_by > f->expires_at)
		x->send_by = f->expires_at;
	x->sends_once = 1;
	/*
	 * A suspect is sent again only after its items were checked again, and
	 * each request to a limited upstream is counted.
	 */
	x->once = is_probe || !is_route_repeatable(f->route) ||
		  forward_is_suspect(f) || f->is_limited;
}

/*
 * Takes the retry that the next attempt is from the budget, unless its place
 * has one. Returns 0 when none is left. Called with the mutex held.
 */
static int take_retry(struct forward *f, apr_time_t now)
{
	return !f->needs_retry || f->place.has_retry ||
	       retry_budget_try_consume(&f->w->retry_budget, f->service_name,
					now);
}

/* The attempt that take_retry allowed is not made. */
static void return_retry(struct forward *f, apr_time_t now)
{
	if (f->needs_retry && !f->place.has_retry)
		retry_budget_return(&f->w->retry_budget, f->service_name, now);
}

/*
 * Chooses an upstream and submits the attempt, in one go, so that
 * forward_check_active finds only submitted requests that have not finished.
 * Returns NULL, or the reason why no upstream can serve it. Called with the
 * mutex held.
 */
const char *forward_submit(struct forward *f, apr_time_t now)
{
	struct target_query q;
	const char *reason;
	int is_probe = 0;

	if (f->expires_at - now < TIME_LEFT_MIN_US)
		return "deadline";
	if (f->attempts >= attempt_find_maximum(f->is_answer_started))
		return "tries-used";
	if (!take_retry(f, now))
		return "retry-budget";
	reason = reserve_target(f, &q, &is_probe, now);
	if (reason) {
		return_retry(f, now);
		return reason;
	}
	if (f->needs_retry)
		reservation_use_retry(&f->place);
	reservation_release(&f->place, &f->w->targets, &f->w->retry_budget,
			    f->service_name, now);
	snprintf(f->attempted_upstreams[f->attempts++], SETTINGS_NAME_SIZE,
		 "%s", f->upstream);
	forward_answer_clear(f);
	f->sent_at = now;
	f->waiting_since = 0;
	__atomic_store_n(&f->last_contact, 0, __ATOMIC_RELAXED);
	__atomic_store_n(&f->cancel_reason, CANCEL_NONE, __ATOMIC_RELEASE);
	f->ended_by = f->no_attempt = f->no_place = NULL;
	f->is_silence_recorded = 0;
	fill_fetch(f, is_probe, now);
	fill_headers(f, now);
	fetch_submit(f->w->node->fetcher, &f->fetch);
	return NULL;
}

/*
 * Sends the request to the best upstream. Without one, a request whose answer
 * has begun waits for it, and any other is ended. f must not be used
 * afterwards.
 */
void forward_send(struct forward *f, apr_time_t now)
{
	const char *reason;

	pthread_mutex_lock(&f->w->mutex);
	reason = forward_submit(f, now);
	if (reason && forward_wait_for_place(f, reason, now))
		reason = NULL;
	pthread_mutex_unlock(&f->w->mutex);
	if (reason)
		forward_finish_unsent(f, reason, forward_retry_after_ms(f, now),
				      now);
}
