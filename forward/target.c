#include "forward/target.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "calls/crash.h"

/*
 * Maximum age of a report for its load to count as current. Agents send reports
 * every 0.05 s to 0.5 s.
 */
#define REPORT_FRESH_US (700 * 1000)

/*
 * Added wait for an upstream in another data centre: its answer takes two more
 * one-way delays between the data centres, and every byte uses a narrow link.
 */
#define REMOTE_PENALTY_US (60 * 1000.0)

/*
 * Added wait for each request already at an upstream: it breaks the frequent
 * ties between upstreams with free slots.
 */
#define REQUEST_PENALTY_US (4 * 1000.0)

/*
 * Age of the last report from which the upstream is used only after others:
 * missing reports may mean that its machine is hardly reachable.
 */
#define REPORT_LATE_US (900 * 1000)
/* Wait added for each unit of time without a report. */
#define REPORT_LATE_PENALTY_RATIO 0.2

/*
 * Reports delayed by more than DELAY_MIN_US indicate a network queue, in which
 * requests and answers wait as well. A smaller delay may be a pause of this
 * process.
 */
#define DELAY_MIN_US (120 * 1000)
#define DELAY_ROUND_TRIP_FACTOR 2

/* Time that requests get to finish after an order before they are moved. */
#define ORDER_BLOCKED_US (700 * 1000)
/* Requests are moved when at most this share of the slots is in use. */
#define ORDER_BLOCKED_SLOT_SHARE_MAX 0.5

/* Maximum upstreams compared for one request, in each of the three samples. */
#define SAMPLE_ROWS_MAX 3

/* Estimated service time of a request to a plain service. */
#define PLAIN_REQUEST_US (20 * 1000.0)
/* Average passes of the batch until the first event. */
#define FIRST_EVENT_PASSES 1.5

/* Prepares an empty table. */
void target_table_init(struct target_table *t)
{
	t->count = 0;
	t->rows = calloc(TARGETS_MAX, sizeof(*t->rows));
	if (!t->rows)
		abort();
	notice_table_init(&t->notices);
	t->entries = NULL;
	t->present_count = 0;
	t->known_count = 0;
	t->entries_assumed = 0;
	memset(&t->evacuations, 0, sizeof(t->evacuations));
	t->regions = NULL;
	t->region_count = 0;
}

/* Frees the rows. */
void target_table_destroy(struct target_table *t)
{
	free(t->rows);
	t->rows = NULL;
	free(t->entries);
	t->entries = NULL;
	notice_table_destroy(&t->notices);
}

/* Returns the row of an upstream, or NULL. */
struct target *target_find(struct target_table *t, const char *id)
{
	int i;

	for (i = 0; i < t->count; i++)
		if (t->rows[i].is_used && !strcmp(t->rows[i].id, id))
			return &t->rows[i];
	return NULL;
}

/* Records that a request was sent to the upstream. */
void target_record_start(struct target *u, apr_time_t now)
{
	recent_record_start(&u->recent, now);
	limit_record_start(&u->limit, now);
	u->sent_at = now;
	u->in_flight++;
}

/* Records that a request to the upstream has finished. */
void target_record_finish(struct target *u, apr_time_t now)
{
	recent_record_finish(&u->recent, now);
	u->in_flight--;
}

static int has_valid_report(const struct target *u, apr_time_t now)
{
	return u->reported_at && now - u->reported_at < TARGET_REPORT_VALID_US;
}

/*
 * Estimates the number of requests at the upstream: those of the last report
 * plus what this entry sent since, and the same number for every other entry,
 * as these have no later report either. Without the latter all entries would
 * fill the same free slots.
 */
int target_estimate_load(const struct target_table *t, const struct target *u,
			 apr_time_t now)
{
	int load = u->in_flight;

	if (has_valid_report(u, now)) {
		load = u->running + u->waiting +
		       recent_in_flight_change(&u->recent, u->reported_at, now);
		if (t->entry_count > 1)
			load += (t->entry_count - 1) *
				recent_count_started(&u->recent, u->reported_at,
						     now);
	}
	return load > u->in_flight ? load : u->in_flight;
}

/* Estimates the time of one pass of a batch while prompts are being read. */
static double estimate_pass_us(const struct engine_spec *e, int running)
{
	double context =
		(e->typical_prompt_tokens + e->typical_answer_tokens / 2) /
		1000;
	double step =
		e->base_step_us +
		running * (e->request_step_us + context * e->context_step_us);

	return step * e->steps_per_pass;
}

/* Estimated wait of a request at one upstream. */
struct wait_estimate {
	double backlog_us;
	double first_event_us;
};

static double estimate_prefill_us(const struct engine_spec *e, double tokens)
{
	return e->prefill_tokens_per_s > 0
		       ? tokens * 1e6 / e->prefill_tokens_per_s
		       : 0;
}

/* Estimates the time until the first event when a slot is free. */
static double estimate_first_event_us(const struct engine_spec *e, int batch,
				      double prompt)
{
	return FIRST_EVENT_PASSES * estimate_pass_us(e, batch) +
	       estimate_prefill_us(e, prompt);
}

/* Estimates the time from one slot becoming free to the next. */
static double estimate_slot_interval_us(const struct engine_spec *e, int slots)
{
	double answer =
		e->typical_answer_tokens / e->steps_per_pass *
			estimate_pass_us(e, slots) +
		slots * estimate_prefill_us(e, e->typical_prompt_tokens);

	return answer / slots;
}

/*
 * Estimates the time until the first event of an engine's answer: the wait for
 * a slot, the time to read the earlier prompts and its own, and a pass or two.
 */
static void estimate_engine_wait(const struct target *u,
				 const struct engine_spec *e, int load,
				 int prompt, struct wait_estimate *out)
{
	int ahead = load - u->slots + 1;
	int batch = load < u->slots ? load + 1 : u->slots;
	double slowdown = u->slowdown > 1 ? u->slowdown : 1;

	out->first_event_us =
		slowdown *
		estimate_first_event_us(
			e, batch, prompt ? prompt : e->typical_prompt_tokens);
	out->backlog_us = slowdown * REQUEST_PENALTY_US * load;
	if (ahead > 0)
		out->backlog_us += slowdown *
				   estimate_slot_interval_us(e, u->slots) *
				   ahead;
}

static void estimate_plain_wait(const struct target *u, int load,
				struct wait_estimate *out)
{
	double slowdown = u->slowdown > 1 ? u->slowdown : 1;

	out->first_event_us = PLAIN_REQUEST_US * slowdown;
	out->backlog_us = REQUEST_PENALTY_US * load;
	if (load >= u->slots)
		out->backlog_us += PLAIN_REQUEST_US * slowdown *
				   (load - u->slots + 1) / u->slots;
}

static int is_excluded(const struct target *u, const struct target_query *q)
{
	int i;

	for (i = 0; i < q->excluded_count; i++)
		if (!strcmp(q->excluded[i], u->id))
			return 1;
	return 0;
}

/*
 * Returns 1 when, according to a current report, a request sent now starts
 * immediately: no network queue delays it and a slot is free. Reports do not
 * include requests that are still on the way, so a request of this entry must
 * have started before the next one is sent.
 */
static int can_start_immediately(const struct target_table *t,
				 const struct target *u, apr_time_t now)
{
	return u->reported_at && now - u->reported_at < REPORT_FRESH_US &&
	       !u->unanswered && !target_is_congested(u) &&
	       target_estimate_load(t, u, now) < u->slots;
}

/*
 * Returns the latest release of the model that the upstream runs, 0 when it
 * runs none. "" or NULL stands for any model.
 */
uint64_t target_find_release(const struct target *u, const char *model)
{
	uint64_t release = 0;
	int i;

	for (i = 0; i < u->model_count; i++) {
		if (model && *model && strcmp(u->models[i].name, model))
			continue;
		if (u->models[i].release > release)
			release = u->models[i].release;
	}
	return release;
}

/* Returns 1 when the upstream runs the model in this or a later release. */
static int runs_model(const struct target *u, const struct target_query *q,
		      uint64_t release)
{
	int i;

	if (!q->engine)
		return 1;
	for (i = 0; i < u->model_count; i++) {
		if (q->model && *q->model &&
		    strcmp(u->models[i].name, q->model) != 0)
			continue;
		if (u->models[i].release >= release)
			return 1;
	}
	return 0;
}

/* Why a row cannot be chosen, ordered by how close it is to being chosen. */
enum exclusion {
	EXCLUSION_NONE,
	EXCLUSION_SERVICE,
	EXCLUSION_REGION,
	EXCLUSION_EVACUATED,
	EXCLUSION_DRAINING,
	EXCLUSION_TRIED,
	EXCLUSION_MODEL,
	EXCLUSION_EJECTED,
	EXCLUSION_PAUSED,
	EXCLUSION_COLD,
	EXCLUSION_LIMITED,
	EXCLUSION_FULL,
	EXCLUSION_COUNT
};

static const char *const exclusion_reasons[EXCLUSION_COUNT] = {
	"",
	"no-upstream",
	"no-upstream-in-region",
	"upstreams-evacuated",
	"upstreams-leaving",
	"upstreams-tried",
	"version-nowhere",
	"upstreams-failing",
	"upstreams-paused",
	"upstreams-cold",
	"upstreams-limited",
	"upstreams-full"
};

/*
 * Returns 1 for an engine that can't answer more requests than it bears while it
 * is cold. The bound costs it nothing, and so it holds at any time: entries
 * learn late that an upstream has become cold.
 */
static int is_always_paced(const struct target_query *q)
{
	return q->engine && q->cold.per_s > 0 &&
	       q->engine->slots * 1e6 <
		       q->cold.per_s * target_typical_answer_us(q->engine);
}

/* Returns the time from which this entry may send to an upstream. */
static apr_time_t cold_next_at(const struct target *u,
			       const struct target_query *q, apr_time_t now)
{
	int is_cold = target_is_cold(u, &q->cold, now);
	apr_interval_time_t spacing;

	if (!is_cold && !is_always_paced(q))
		return 0;
	spacing = cold_spacing(&q->cold, &u->cold_entries, is_cold);
	if (spacing < 0)
		return now + APR_USEC_PER_SEC;
	return u->sent_at ? u->sent_at + spacing : 0;
}

static enum exclusion find_exclusion(const struct target_table *t,
				     const struct target *u,
				     const struct target_query *q,
				     apr_time_t now)
{
	if (!u->is_used || !target_is_usable(u, now) ||
	    strcmp(u->service, q->service) != 0)
		return EXCLUSION_SERVICE;
	if (region_is_excluded(q->regions_excluded, u->region))
		return EXCLUSION_REGION;
	if (u->is_evacuated)
		return EXCLUSION_EVACUATED;
	if (u->is_draining || u->has_announced_end || u->is_replaced)
		return EXCLUSION_DRAINING;
	/* Also one that turned this request away to ask for the pause. */
	if (u->paused_until > now && runs_model(u, q, q->release_min))
		return EXCLUSION_PAUSED;
	if (cold_next_at(u, q, now) > now && runs_model(u, q, q->release_min))
		return EXCLUSION_COLD;
	if (!limit_allows(&u->limit, now) && runs_model(u, q, q->release_min))
		return EXCLUSION_LIMITED;
	if (is_excluded(u, q))
		return EXCLUSION_TRIED;
	if (!runs_model(u, q, q->release_min))
		return EXCLUSION_MODEL;
	if (u->full_until > now || (has_valid_report(u, now) && u->is_busy))
		return EXCLUSION_FULL;
	/* The release may be retired before a queued request starts. */
	if (!runs_model(u, q, q->queued_release_min) &&
	    !can_start_immediately(t, u, now))
		return EXCLUSION_FULL;
	/* Last, as an ejected upstream may be chosen when there is no other. */
	if (!health_can_send(&u->health, now) ||
	    (q->needs_sound && u->health.is_probing))
		return EXCLUSION_EJECTED;
	return EXCLUSION_NONE;
}

/*
 * Returns 1 when the upstream can still take a request for which a slot is
 * kept. Its load doesn't count: the slot is part of it.
 */
int target_can_use_slot(const struct target *u, const struct target_query *q,
			apr_time_t now)
{
	return u->is_used && target_is_usable(u, now) &&
	       !region_is_excluded(q->regions_excluded, u->region) &&
	       !u->is_evacuated && !u->is_draining && !u->has_announced_end &&
	       !u->is_replaced && u->paused_until <= now &&
	       u->full_until <= now && !target_is_cold(u, &q->cold, now) &&
	       !(has_valid_report(u, now) && u->is_busy) &&
	       runs_model(u, q, q->release_min);
}

static int is_allowed(const struct target_query *q, int row)
{
	int i;

	for (i = 0; i < q->allowed_count; i++)
		if (q->allowed[i] == row)
			return 1;
	return !q->allowed_count;
}

/*
 * Allows only two upstreams, which all entries with the same list derive from
 * the key in the same way. Allows all where none can be chosen now.
 */
void target_restrict(const struct target_table *t, struct target_query *q,
		     const struct digest *key, apr_time_t now)
{
	const char *ids[TARGETS_MAX];
	int rows[TARGETS_MAX];
	int pair[TARGET_ALLOWED_MAX];
	int i, count = 0;

	for (i = 0; i < t->count; i++) {
		if (find_exclusion(t, &t->rows[i], q, now) != EXCLUSION_NONE)
			continue;
		ids[count] = t->rows[i].id;
		rows[count++] = i;
	}
	crash_choose_pair(key, ids, count, pair);
	q->allowed_count = 0;
	for (i = 0; i < TARGET_ALLOWED_MAX; i++)
		if (pair[i] >= 0)
			q->allowed[q->allowed_count++] = rows[pair[i]];
}

/* Returns 1 when requests and answers wait in a network queue on the way. */
int target_is_congested(const struct target *u)
{
	return u->reported_at && u->report_delay > DELAY_MIN_US;
}

/* This penalty counts in the choice, but not in the admission. */
static double congestion_penalty_us(const struct target *u)
{
	return target_is_congested(u)
		       ? DELAY_ROUND_TRIP_FACTOR * (double)u->report_delay
		       : 0;
}

static double estimate_wait_us(const struct target_table *t,
			       const struct target *u,
			       const struct target_query *q, apr_time_t now,
			       struct wait_estimate *w)
{
	int load = target_estimate_load(t, u, now);

	if (q->engine)
		estimate_engine_wait(u, q->engine, load, q->prompt_tokens, w);
	else
		estimate_plain_wait(u, load, w);
	if (u->reported_at && now - u->reported_at > REPORT_LATE_US)
		w->backlog_us += REPORT_LATE_PENALTY_RATIO *
				 (double)(now - u->reported_at);
	if (!u->is_local)
		w->first_event_us += REMOTE_PENALTY_US;
	return w->backlog_us + w->first_event_us + congestion_penalty_us(u);
}

/* Uniform random sample of the rows seen (reservoir sampling). */
struct sample {
	int rows[SAMPLE_ROWS_MAX];
	int count;
	int seen;
};

static void sample_add(struct sample *s, int row, struct random *r)
{
	int at;

	s->seen++;
	if (s->count < SAMPLE_ROWS_MAX) {
		s->rows[s->count++] = row;
		return;
	}
	at = (int)random_below(r, (uint32_t)s->seen);
	if (at < SAMPLE_ROWS_MAX)
		s->rows[at] = row;
}

static void choose_min_wait(const struct target_table *t,
			    const struct sample *s,
			    const struct target_query *q, apr_time_t now,
			    struct random *r, struct target_choice *out)
{
	int i, first = s->count ? (int)random_below(r, (uint32_t)s->count) : 0;

	/* A random first row avoids that one row wins every tie. */
	for (i = 0; i < s->count; i++) {
		int row = s->rows[(first + i) % s->count];
		const struct target *u = &t->rows[row];
		struct wait_estimate w;
		double wait = estimate_wait_us(t, u, q, now, &w);

		if (out->index >= 0 && wait >= out->wait_us)
			continue;
		out->index = row;
		out->wait_us = wait;
		out->backlog_us = w.backlog_us;
		out->first_event_us = w.first_event_us;
		out->load = target_estimate_load(t, u, now);
	}
}

/* Records when an upstream that may not be used now may be used again. */
static void record_return(struct target_choice *out, apr_time_t at)
{
	if (!out->paused_until || at < out->paused_until)
		out->paused_until = at;
}

/*
 * Compares a few randomly sampled upstreams and chooses the one whose answer is
 * expected to start first. Entries that all chose the best row of the same
 * reports would overload it together.
 */
void target_choose(struct target_table *t, const struct target_query *q,
		   apr_time_t now, struct random *r, struct target_choice *out)
{
	struct sample local_rows = { { 0 } }, remote_rows = { { 0 } },
		      ejected_rows = { { 0 } };
	enum exclusion m, nearest = EXCLUSION_SERVICE;
	int i;

	memset(out, 0, sizeof(*out));
	out->index = -1;
	for (i = 0; i < t->count; i++) {
		const struct target *u = &t->rows[i];

		if (!is_allowed(q, i))
			continue;
		m = find_exclusion(t, u, q, now);
		if (m > nearest)
			nearest = m;
		if (m == EXCLUSION_EJECTED)
			sample_add(&ejected_rows, i, r);
		if (m == EXCLUSION_PAUSED)
			record_return(out, u->paused_until);
		if (m == EXCLUSION_COLD)
			record_return(out, cold_next_at(u, q, now));
		if (m == EXCLUSION_LIMITED)
			record_return(out, limit_next_at(&u->limit, now));
		if (m != EXCLUSION_NONE)
			continue;
		out->eligible++;
		sample_add(u->is_local ? &local_rows : &remote_rows, i, r);
	}
	choose_min_wait(t, &local_rows, q, now, r, out);
	choose_min_wait(t, &remote_rows, q, now, r, out);
	/*
	 * When all are ejected, the health data is more likely wrong than every
	 * upstream down.
	 */
	if (out->index < 0 && ejected_rows.count && !q->needs_sound) {
		choose_min_wait(t, &ejected_rows, q, now, r, out);
		out->is_ejected = 1;
	}
	if (out->index >= 0 ||
	    (nearest != EXCLUSION_PAUSED && nearest != EXCLUSION_COLD &&
	     nearest != EXCLUSION_LIMITED))
		out->paused_until = 0;
	if (out->index < 0) {
		out->reason = exclusion_reasons[nearest];
		/*
		 * An upstream that was tried is available, and may have room
		 * again.
		 */
		out->is_unservable = nearest < EXCLUSION_EJECTED &&
				     nearest != EXCLUSION_TRIED;
	}
}

/* Estimates the time to the first event of a typical request in a free slot. */
double target_typical_first_event_us(const struct engine_spec *e)
{
	return estimate_first_event_us(e, e->slots, e->typical_prompt_tokens);
}

/* Estimates the time of a typical answer at an engine whose slots are taken. */
double target_typical_answer_us(const struct engine_spec *e)
{
	return e->slots * estimate_slot_interval_us(e, e->slots);
}

/*
 * Returns 1 when a few long requests keep an engine from carrying out an order,
 * and so from serving, delay_us later than it is noticed at the earliest.
 */
int target_has_blocked_order(const struct target *u,
			     apr_interval_time_t delay_us, apr_time_t now)
{
	return has_valid_report(u, now) && u->busy_since &&
	       now - u->busy_since > ORDER_BLOCKED_US + delay_us &&
	       u->running > 0 &&
	       u->running <= ORDER_BLOCKED_SLOT_SHARE_MAX * u->slots;
}
