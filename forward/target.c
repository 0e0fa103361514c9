#include "forward/target.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* A report older than this says nothing of the load any more. */
#define REPORT_VALID_US (1500 * 1000)

/* One that is younger tells the state now; they come every 0.05 s to 0.5 s. */
#define REPORT_FRESH_US (700 * 1000)

/*
 * Answering in another data centre takes two more trips between them, and
 * every byte goes over a narrow link.
 */
#define FAR_WAIT_US (60 * 1000.0)

/* What one call more is worth in the choice: calls under way tie often. */
#define TIE_US (4 * 1000.0)

/*
 * Reports that stay out may mean that the machine can hardly be reached: the
 * upstream is still used, but not before others.
 */
#define REPORT_LATE_US (900 * 1000)
#define LATE_WAIT 0.2 /* added to the wait, of the time without a report */

/*
 * A report that comes this much later than usual tells of a queue on the way,
 * in which requests and answers wait as well.
 */
#define DELAY_LEAST_US (120 * 1000) /* below, this process may have paused */
#define DELAY_TRIPS 2
#define DELAY_DRIFT 512 /* reports; clocks of two machines drift slowly */

/*
 * More than half of a service's entries gone at once have run out while the
 * store was away; servers that live are back in it within two seconds.
 */
#define LAPSE_LEAST 2
#define LAPSE_US (2 * APR_USEC_PER_SEC)

/* An order waits so long for requests to end before they are moved. */
#define HELD_US (700 * 1000)
#define HELD_PART 0.5 /* and until so many of the slots are in use at most */

/* Upstreams compared for one request, in each of the three samples. */
#define CHOICES_MAX 3

#define PLAIN_CALL_US (20 * 1000.0) /* of a call of a plain service */
#define ENGINE_WARM_PASS 1.5 /* passes until the first event, on average */

/* Prepares an empty table. */
void target_table_init(struct target_table *t)
{
	t->count = 0;
	t->rows = calloc(TARGETS_MAX, sizeof(*t->rows));
	if (!t->rows)
		abort();
}

/* Frees the rows. */
void target_table_destroy(struct target_table *t)
{
	free(t->rows);
	t->rows = NULL;
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

/* Returns a free row; those of calls under way stay. */
static struct target *row_new(struct target_table *t)
{
	int i;

	for (i = 0; i < t->count; i++)
		if (!t->rows[i].is_used)
			break;
	if (i == TARGETS_MAX)
		return NULL;
	if (i == t->count)
		t->count++;
	memset(&t->rows[i], 0, sizeof(t->rows[i]));
	t->rows[i].is_used = 1;
	return &t->rows[i];
}

static void row_take(struct target *u, const struct listed_upstream *x,
		     const char *data_center, apr_time_t now)
{
	/* A restart under the same id holds and knows nothing of before. */
	if (*u->id && (u->started_ms != x->started_ms ||
		       strcmp(u->address, x->address))) {
		u->reported_at = 0;
		u->full_until = 0;
		u->busy_since = 0;
		u->is_replaced = 0;
		memset(&u->health, 0, sizeof(u->health));
		memset(&u->recent, 0, sizeof(u->recent));
	}
	memcpy(u->id, x->id, sizeof(u->id));
	memcpy(u->service, x->service, sizeof(u->service));
	memcpy(u->address, x->address, sizeof(u->address));
	memcpy(u->data_center, x->data_center, sizeof(u->data_center));
	u->is_listed = 1;
	u->grace_until = 0;
	u->is_draining = x->is_draining;
	u->is_local = !strcmp(x->data_center, data_center);
	u->slots = x->slots > 0 ? x->slots : 1;
	u->started_ms = x->started_ms;
	/* What its agent reported is fresher. */
	if (u->reported_at && now - u->reported_at < REPORT_VALID_US)
		return;
	memcpy(u->models, x->models, sizeof(u->models));
	u->model_count = x->model_count;
}

/* Returns 1 for a row that was in the list before and is not any more. */
static int has_vanished(const struct target *u, int was_listed)
{
	return u->is_used && was_listed && !u->is_listed && !u->is_draining;
}

/*
 * Entries of servers that live lapse together while the platform's store is
 * away.  They are back soon after; until then the servers are still used.
 */
static void lapses_find(struct target_table *t, const char *was_listed,
			apr_time_t now)
{
	int i, j;

	for (i = 0; i < t->count; i++) {
		int vanished = 0, all = 0;

		if (!has_vanished(&t->rows[i], was_listed[i]))
			continue;
		for (j = 0; j < t->count; j++) {
			const struct target *u = &t->rows[j];

			if (!u->is_used ||
			    strcmp(u->service, t->rows[i].service))
				continue;
			vanished += has_vanished(u, was_listed[j]);
			all += was_listed[j];
		}
		if (vanished >= LAPSE_LEAST && vanished > all / 2)
			t->rows[i].grace_until = now + LAPSE_US;
	}
}

static int is_there(const struct target *u, apr_time_t now)
{
	return u->is_listed || now < u->grace_until;
}

/* Takes over the list in force; rows out of it stay while calls use them. */
void target_apply_listing(struct target_table *t, const struct listing *l,
			  const char *data_center, apr_time_t now)
{
	char was_listed[TARGETS_MAX] = { 0 };
	struct target *u;
	int i;

	for (i = 0; i < t->count; i++) {
		was_listed[i] = (char)t->rows[i].is_listed;
		t->rows[i].is_listed = 0;
	}
	for (i = 0; i < l->count; i++) {
		u = target_find(t, l->items[i].id);
		if (!u)
			u = row_new(t);
		if (u)
			row_take(u, &l->items[i], data_center, now);
	}
	lapses_find(t, was_listed, now);
	for (i = 0; i < t->count; i++)
		if (!is_there(&t->rows[i], now) && !t->rows[i].in_flight)
			t->rows[i].is_used = 0;
}

static int models_differ(const struct target *u, const struct target_report *r)
{
	int i;

	if (u->model_count != r->model_count)
		return 1;
	for (i = 0; i < u->model_count; i++)
		if (strcmp(u->models[i].name, r->models[i].name) ||
		    u->models[i].release != r->models[i].release)
			return 1;
	return 0;
}

/* Learns from a report how much longer than usual the way is. */
static void delay_take(struct target *u, const struct target_report *r,
		       apr_time_t now)
{
	apr_interval_time_t gap = now - r->sent_at;

	if (!u->reported_at || u->agent_boot != r->agent_boot ||
	    gap < u->clock_offset)
		u->clock_offset = gap;
	u->report_delay = gap - u->clock_offset;
	u->clock_offset += u->report_delay / DELAY_DRIFT;
}

/*
 * Takes in an agent's report.  Returns 1 when it changed which models the
 * upstream runs, 0 when not, -1 when it is of no upstream known or old.
 */
int target_merge_report(struct target_table *t, const struct target_report *r,
			apr_time_t now)
{
	struct target *u = NULL;
	int i, changed;

	for (i = 0; i < t->count && !u; i++)
		if (t->rows[i].is_used && is_there(&t->rows[i], now) &&
		    !strcmp(t->rows[i].address, r->address))
			u = &t->rows[i];
	if (!u)
		return -1;
	if (r->started_ms && u->started_ms && r->started_ms != u->started_ms) {
		/* The list still names the process before. */
		if (r->started_ms > u->started_ms)
			u->is_replaced = 1;
		return -1;
	}
	if (u->agent_boot == r->agent_boot && u->sequence >= r->sequence)
		return -1;
	delay_take(u, r, now);
	u->agent_boot = r->agent_boot;
	u->sequence = r->sequence;
	u->reported_at = now;
	if (r->is_busy && !u->busy_since)
		u->busy_since = now;
	if (!r->is_busy)
		u->busy_since = 0;
	u->is_busy = r->is_busy;
	u->running = r->running;
	u->waiting = r->waiting;
	u->slowdown = r->slowdown;
	changed = models_differ(u, r);
	memcpy(u->models, r->models, sizeof(u->models));
	u->model_count = r->model_count;
	return changed;
}

/* Notes that a request was handed over. */
void target_record_start(struct target *u, apr_time_t now)
{
	recent_record_start(&u->recent, now);
	u->in_flight++;
}

/* Notes that a request is over. */
void target_record_finish(struct target *u, apr_time_t now)
{
	recent_record_finish(&u->recent, now);
	u->in_flight--;
}

static int report_valid(const struct target *u, apr_time_t now)
{
	return u->reported_at && now - u->reported_at < REPORT_VALID_US;
}

/*
 * Requests at the upstream: as reported, what this entry did since, and the
 * same of every other entry, which has the same report and no more.  Without
 * them all entries fill the same free slots.
 */
int target_estimate_load(const struct target_table *t, const struct target *u,
			 apr_time_t now)
{
	int load = u->in_flight;

	if (report_valid(u, now)) {
		load = u->running + u->waiting +
		       recent_in_flight_change(&u->recent, u->reported_at, now);
		if (t->entry_count > 1)
			load += (t->entry_count - 1) *
				recent_count_started(&u->recent, u->reported_at,
						     now);
	}
	return load > u->in_flight ? load : u->in_flight;
}

/* Time of one pass of a batch, with reading going on beside it. */
static double pass_us(const struct engine_spec *e, int running)
{
	double context = (e->usual_prompt + e->usual_answer / 2) / 1000;
	double step = e->step_us +
		      running * (e->running_us + context * e->context_us);

	return step * e->stride;
}

/* What a request waits for at one upstream. */
struct wait_parts {
	double backlog_us;
	double own_us;
};

static double read_us(const struct engine_spec *e, double tokens)
{
	return e->read_per_s > 0 ? tokens * 1e6 / e->read_per_s : 0;
}

/* Estimates the time until the first event when a slot is free. */
static double begin_us(const struct engine_spec *e, int batch, double prompt)
{
	return ENGINE_WARM_PASS * pass_us(e, batch) + read_us(e, prompt);
}

/* Estimates the time from one slot to be free to the next. */
static double slot_us(const struct engine_spec *e, int slots)
{
	double answer = e->usual_answer / e->stride * pass_us(e, slots) +
			slots * read_us(e, e->usual_prompt);

	return answer / slots;
}

/*
 * Estimates the time until the first event of an engine's answer: the wait
 * for a slot, the prompts to be read before and its own, and a pass or two.
 */
static void engine_wait(const struct target *u, const struct engine_spec *e,
			int load, int prompt, struct wait_parts *out)
{
	int ahead = load - u->slots + 1;
	int batch = load < u->slots ? load + 1 : u->slots;
	double pace = u->slowdown > 1 ? u->slowdown : 1;

	out->own_us =
		pace * begin_us(e, batch, prompt ? prompt : e->usual_prompt);
	out->backlog_us = pace * TIE_US * load;
	if (ahead > 0)
		out->backlog_us += pace * slot_us(e, u->slots) * ahead;
}

static void plain_wait(const struct target *u, int load, struct wait_parts *out)
{
	double pace = u->slowdown > 1 ? u->slowdown : 1;

	out->own_us = PLAIN_CALL_US * pace;
	out->backlog_us = TIE_US * load;
	if (load >= u->slots)
		out->backlog_us +=
			PLAIN_CALL_US * pace * (load - u->slots + 1) / u->slots;
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
 * Returns 1 when a request sent now begins at once, as far as a fresh report
 * tells: nothing holds it up on the way, and a slot is free.  What is still on
 * the way is in no report, so one request of each entry has to begin before
 * the next is sent.
 */
static int begins_at_once(const struct target_table *t, const struct target *u,
			  apr_time_t now)
{
	return u->reported_at && now - u->reported_at < REPORT_FRESH_US &&
	       !u->unanswered && !target_is_congested(u) &&
	       target_estimate_load(t, u, now) < u->slots;
}

/* Returns 1 when the upstream runs the model in a release from this one on. */
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

/* What keeps a row from being chosen, the nearest to being chosen last. */
enum miss {
	MISS_NONE,
	MISS_SERVICE,
	MISS_LEAVING,
	MISS_TRIED,
	MISS_MODEL,
	MISS_DOWN,
	MISS_FULL,
	MISS_COUNT
};

static const char *const miss_reasons[MISS_COUNT] = { "",
						      "no-upstream",
						      "upstreams-leaving",
						      "upstreams-tried",
						      "version-nowhere",
						      "upstreams-failing",
						      "upstreams-full" };

static enum miss row_check(const struct target_table *t, const struct target *u,
			   const struct target_query *q, apr_time_t now)
{
	if (!u->is_used || !is_there(u, now) ||
	    strcmp(u->service, q->service) != 0)
		return MISS_SERVICE;
	if (u->is_draining || u->is_replaced)
		return MISS_LEAVING;
	if (is_excluded(u, q))
		return MISS_TRIED;
	if (!runs_model(u, q, q->release_min))
		return MISS_MODEL;
	if (!health_can_send(&u->health, now))
		return MISS_DOWN;
	if (u->full_until > now || (report_valid(u, now) && u->is_busy))
		return MISS_FULL;
	/* The release may be retired before a request that waits begins. */
	if (!runs_model(u, q, q->queued_release_min) &&
	    !begins_at_once(t, u, now))
		return MISS_FULL;
	return MISS_NONE;
}

/* Returns 1 when what is sent to the upstream waits in a queue on the way. */
int target_is_congested(const struct target *u)
{
	return u->reported_at && u->report_delay > DELAY_LEAST_US;
}

/* Counts in the choice, not in what is admitted. */
static double delay_us(const struct target *u)
{
	return target_is_congested(u) ? DELAY_TRIPS * (double)u->report_delay
				      : 0;
}

static double row_wait(const struct target_table *t, const struct target *u,
		       const struct target_query *q, apr_time_t now,
		       struct wait_parts *w)
{
	int load = target_estimate_load(t, u, now);

	if (q->engine)
		engine_wait(u, q->engine, load, q->prompt_tokens, w);
	else
		plain_wait(u, load, w);
	if (u->reported_at && now - u->reported_at > REPORT_LATE_US)
		w->backlog_us += LATE_WAIT * (double)(now - u->reported_at);
	if (!u->is_local)
		w->own_us += FAR_WAIT_US;
	return w->backlog_us + w->own_us + delay_us(u);
}

/* Rows drawn by chance from those seen, each with the same chance. */
struct sample {
	int rows[CHOICES_MAX];
	int count;
	int seen;
};

static void sample_add(struct sample *s, int row, struct random *r)
{
	int at;

	s->seen++;
	if (s->count < CHOICES_MAX) {
		s->rows[s->count++] = row;
		return;
	}
	at = (int)random_below(r, (uint32_t)s->seen);
	if (at < CHOICES_MAX)
		s->rows[at] = row;
}

static void sample_choose(const struct target_table *t, const struct sample *s,
			  const struct target_query *q, apr_time_t now,
			  struct random *r, struct target_choice *out)
{
	int i, first = s->count ? (int)random_below(r, (uint32_t)s->count) : 0;

	/* From a place drawn by chance, so that no row wins every tie. */
	for (i = 0; i < s->count; i++) {
		int row = s->rows[(first + i) % s->count];
		const struct target *u = &t->rows[row];
		struct wait_parts w;
		double wait = row_wait(t, u, q, now, &w);

		if (out->index >= 0 && wait >= out->wait_us)
			continue;
		out->index = row;
		out->wait_us = wait;
		out->backlog_us = w.backlog_us;
		out->first_event_us = w.own_us;
		out->load = target_estimate_load(t, u, now);
	}
}

/*
 * Chooses among a few upstreams drawn by chance the one at which the answer
 * is expected to begin first: entries that all went for the best of the same
 * reports would run together.
 */
void target_choose(struct target_table *t, const struct target_query *q,
		   apr_time_t now, struct random *r, struct target_choice *out)
{
	struct sample near = { { 0 } }, far = { { 0 } }, down = { { 0 } };
	enum miss m, worst = MISS_SERVICE;
	int i;

	memset(out, 0, sizeof(*out));
	out->index = -1;
	for (i = 0; i < t->count; i++) {
		const struct target *u = &t->rows[i];

		m = row_check(t, u, q, now);
		if (m > worst)
			worst = m;
		if (m == MISS_DOWN)
			sample_add(&down, i, r);
		if (m != MISS_NONE)
			continue;
		out->eligible++;
		sample_add(u->is_local ? &near : &far, i, r);
	}
	sample_choose(t, &near, q, now, r, out);
	sample_choose(t, &far, q, now, r, out);
	/* When all are ejected, the judgement is rather wrong than all down. */
	if (out->index < 0 && down.count) {
		sample_choose(t, &down, q, now, r, out);
		out->is_ejected = 1;
	}
	if (out->index < 0) {
		out->reason = miss_reasons[worst];
		/* One that was tried was there, and may have room again. */
		out->is_unservable = worst < MISS_DOWN && worst != MISS_TRIED;
	}
}

/* Estimates the time until the first event of a usual request, when free. */
double target_typical_first_event_us(const struct engine_spec *e)
{
	return begin_us(e, e->slots, e->usual_prompt);
}

/*
 * Returns 1 when a few long requests keep an engine from carrying out an
 * order, and with it from serving.
 */
int target_has_blocked_order(const struct target *u, apr_time_t now)
{
	return report_valid(u, now) && u->busy_since &&
	       now - u->busy_since > HELD_US && u->running > 0 &&
	       u->running <= HELD_PART * u->slots;
}
