#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "config/document.h"
#include "forward/admit.h"
#include "forward/release.h"
#include "forward/target.h"

/*
 * Simulates the choice of upstreams and the admission under load, without a
 * network: entries with reports of a given age, engines with slots and a queue,
 * and callers that retry once after a refusal. Each run is compared with a
 * naive one that chooses at random and admits every request. A second release
 * may be declared, which engines change to one after the other.
 *
 * Usage: test-forward-load SCRIPT
 */

#define STEP_US 5000
#define ENTRIES_MAX 16
#define ENGINES_MAX 64
#define REQUESTS_MAX 60000
#define DEADLINE_MS 6000
#define OBJECTIVE_MS 400
#define FIRST_EVENT_US 100000
#define ANSWER_MIN_US 300000
#define ANSWER_SPREAD_US 2000000
/* Interval between reports, which is also their maximum age. */
#define REPORT_PERIOD_US 100000
#define QUEUE_TIMEOUT_US 2400000

struct request {
	apr_time_t first_attempt_at;
	long deadline_ms; /* timeout of the caller, from first_attempt_at */
	apr_time_t attempt_at; /* time of this attempt */
	int attempts;
	int engine; /* -1: not sent */
	int entry;
	int priority;
	int rank;	    /* by urgency */
	apr_time_t slot_at; /* 0: queued */
	apr_time_t ends_at;
	int in_time, late, refused;
	apr_time_t arrives_at; /* at the engine */
	/* when its withdrawal reaches the engine, 0: not withdrawn */
	apr_time_t withdrawn_at;
	int is_finished;
};

struct run {
	int entries, engines, slots;
	double load, seconds;
	double timeout_spread; /* spread of callers' timeouts, relative */
	int away, away_from_s, away_for_s; /* engines carrying out an order */
	/* Release 2 is declared then; 0: never. */
	double release_at_s;
	int release_ms;		  /* limit of release 1 */
	double change_from_s;	  /* the first engine runs release 2 */
	double change_interval_s; /* from one engine to the next */
	long transit_max_us;	  /* of a request to the engine */
	long cancel_us;		  /* time of a withdrawal to the engine */
	struct releases releases[ENTRIES_MAX];
	int withdrawn, begun_late;
	int ranks; /* of requests, in equal shares; 0: one */
	double rank_in_time[ADMIT_RANKS_MAX]; /* share in time of each */
	unsigned seed;
	int naive;
	struct random random;
	struct target_table tables[ENTRIES_MAX];
	struct deadline_table deadline_tables[ENTRIES_MAX];
	struct request *requests;
	int count;
	int running[ENGINES_MAX];
	apr_time_t reported_at, remote_reported_at;
	long remote_report_us; /* interval of reports to other data centres */
	uint64_t sequence;
};

static const struct engine_spec spec = { .slots = 16,
					 .base_step_us = 7400,
					 .request_step_us = 38,
					 .prefill_tokens_per_s = 31900,
					 .steps_per_pass = 6,
					 .typical_prompt_tokens = 970,
					 .typical_answer_tokens = 106 };

static void create_tables(struct run *r)
{
	struct listed_upstream items[ENGINES_MAX];
	struct listing l = { .version = 1,
			     .items = items,
			     .count = r->engines };
	int i;

	memset(items, 0, sizeof(items));
	for (i = 0; i < r->engines; i++) {
		snprintf(items[i].id, sizeof(items[i].id), "u%02d", i);
		snprintf(items[i].service, sizeof(items[i].service), "s");
		snprintf(items[i].address, sizeof(items[i].address), "%d:1", i);
		snprintf(items[i].data_center, sizeof(items[i].data_center),
			 "d%d", i % 3);
		items[i].slots = r->slots;
		items[i].model_count = 1;
		snprintf(items[i].models[0].name,
			 sizeof(items[i].models[0].name), "m");
		items[i].models[0].release = 1;
	}
	for (i = 0; i < r->entries; i++) {
		char dc[8];

		snprintf(dc, sizeof(dc), "d%d", i % 3);
		target_table_init(&r->tables[i]);
		r->tables[i].entry_count = r->entries;
		target_apply_listing(&r->tables[i], &l, dc, 0);
	}
}

static int is_carrying_out_order(const struct run *r, int engine,
				 apr_time_t now)
{
	apr_time_t from = r->away_from_s * APR_USEC_PER_SEC;

	return engine < r->away && now >= from &&
	       now < from + r->away_for_s * APR_USEC_PER_SEC;
}

static void declare_release(struct run *r, uint64_t release, apr_time_t now)
{
	struct model_spec model = { .name = "m",
				    .release = release,
				    .declared_at = now };
	struct document d = { .models = &model, .model_count = 1 };
	int i;

	for (i = 0; i < r->entries; i++)
		releases_apply_document(&r->releases[i], &d, r->release_ms,
					now);
}

static uint64_t engine_release(const struct run *r, int engine, apr_time_t now)
{
	double at_s = r->change_from_s + engine * r->change_interval_s;

	return r->release_at_s && now >= (apr_time_t)(at_s * 1e6) ? 2 : 1;
}

static int count_waiting(const struct run *r, int engine, apr_time_t now)
{
	int i, n = 0;

	for (i = 0; i < r->count; i++)
		n += !r->requests[i].is_finished &&
		     r->requests[i].engine == engine &&
		     !r->requests[i].slot_at &&
		     now >= r->requests[i].arrives_at;
	return n;
}

static void send_reports(struct run *r, apr_time_t now)
{
	int e, i, is_remote_due;

	if (now - r->reported_at < REPORT_PERIOD_US)
		return;
	r->reported_at = now;
	is_remote_due = now - r->remote_reported_at >= r->remote_report_us;
	if (is_remote_due)
		r->remote_reported_at = now;
	for (e = 0; e < r->engines; e++) {
		struct target_report x = { .agent_boot = 1,
					   .sequence = ++r->sequence,
					   .slowdown = 1,
					   .running = r->running[e],
					   .waiting = count_waiting(r, e, now),
					   .is_busy = is_carrying_out_order(
						   r, e, now),
					   .model_count = 1 };

		snprintf(x.models[0].name, sizeof(x.models[0].name), "m");
		x.models[0].release = engine_release(r, e, now);
		snprintf(x.address, sizeof(x.address), "%d:1", e);
		x.sent_at = now;
		for (i = 0; i < r->entries; i++)
			if (is_remote_due || i % 3 == e % 3)
				target_merge_report(&r->tables[i], &x, now);
	}
}

static void refuse(struct run *r, struct request *q, apr_time_t now)
{
	apr_interval_time_t left =
		q->first_attempt_at + q->deadline_ms * 1000LL - now;

	if (q->attempts > 1) {
		q->refused = q->is_finished = 1;
		return;
	}
	r->deadline_tables[q->entry].refused_at = now;
	q->attempt_at =
		now + 1000LL * admit_retry_after_ms(0, left, &r->random);
}

static int choose_engine(struct run *r, struct request *q, apr_time_t now)
{
	const struct releases *releases = &r->releases[q->entry];
	struct target_query query = {
		.service = "s",
		.engine = &spec,
		.model = "m",
		.release_min = release_find_send_min(releases, "m", now),
		.queued_release_min = release_find_send_min(
			releases, "m", now + TARGET_QUEUE_MAX_US),
	};
	struct target_table *t = &r->tables[q->entry];
	struct admit_input in = { .service_objective_ms = OBJECTIVE_MS,
				  .route_objective_ms = OBJECTIVE_MS,
				  .typical_first_event_us =
					  target_typical_first_event_us(&spec),
				  .slots = r->slots };
	struct target_choice c;
	enum admit_class class;
	long left_ms =
		(long)((q->first_attempt_at - now) / 1000) + q->deadline_ms;

	if (r->naive)
		return (int)random_below(&r->random, (uint32_t)r->engines);
	target_choose(t, &query, now, &r->random, &c);
	if (c.index < 0)
		return -1;
	in.elapsed_ms = deadline_table_elapsed_ms(&r->deadline_tables[q->entry],
						  "r", left_ms, now);
	in.backlog_us = c.backlog_us;
	in.first_event_us = c.first_event_us;
	in.load = c.load;
	in.rank = q->rank;
	class = admit_decide(&in);
	if (class == ADMIT_REFUSED)
		return -1;
	q->priority =
		admit_priority(class, q->rank, r->ranks ? r->ranks - 1 : 0);
	target_record_start(&t->rows[c.index], now);
	return atoi(t->rows[c.index].id + 1);
}

static void start_attempt(struct run *r, struct request *q, apr_time_t now)
{
	q->attempts++;
	q->engine = choose_engine(r, q, now);
	q->attempt_at = 0;
	if (q->engine < 0 || is_carrying_out_order(r, q->engine, now)) {
		q->engine = -1;
		refuse(r, q, now);
		return;
	}
	q->slot_at = 0;
	q->arrives_at = now;
	if (r->transit_max_us)
		q->arrives_at += (apr_time_t)random_below(
			&r->random, (uint32_t)r->transit_max_us);
}

static void finish_request(struct run *r, struct request *q, apr_time_t now)
{
	char id[16];

	q->is_finished = 1;
	if (r->naive)
		return;
	snprintf(id, sizeof(id), "u%02d", q->engine);
	target_record_finish(target_find(&r->tables[q->entry], id), now);
}

static int is_release_expired(const struct run *r, int engine, apr_time_t now)
{
	apr_time_t limit =
		(apr_time_t)(r->release_at_s * 1e6) + r->release_ms * 1000LL;

	return r->release_at_s && now >= limit &&
	       engine_release(r, engine, now) < 2;
}

/*
 * Withdraws a request that waits at an engine whose release expires, and
 * removes it from the queue when the withdrawal arrives there.
 */
static void step_withdrawal(struct run *r, struct request *q, apr_time_t now)
{
	const struct releases *releases = &r->releases[q->entry];
	uint64_t runs_now = engine_release(r, q->engine, now);

	if (!q->withdrawn_at &&
	    release_must_withdraw(releases, "m", runs_now, runs_now, now))
		q->withdrawn_at = now + r->cancel_us;
	if (!q->withdrawn_at || now < q->withdrawn_at)
		return;
	r->withdrawn++;
	finish_request(r, q, now);
}

/* Assigns free slots to queued requests by priority, then by age. */
static void assign_slots(struct run *r, int engine, apr_time_t now)
{
	struct request *best;
	int i;

	while (r->running[engine] < r->slots &&
	       !is_carrying_out_order(r, engine, now)) {
		best = NULL;
		for (i = 0; i < r->count; i++) {
			struct request *q = &r->requests[i];

			if (q->is_finished || q->engine != engine ||
			    q->slot_at || now < q->arrives_at)
				continue;
			if (!best || q->priority < best->priority)
				best = q;
		}
		if (!best)
			return;
		r->running[engine]++;
		best->slot_at = now;
		if (is_release_expired(r, engine, now))
			r->begun_late++;
		best->ends_at =
			now + ANSWER_MIN_US +
			(apr_time_t)random_below(&r->random, ANSWER_SPREAD_US);
		if (now + FIRST_EVENT_US - best->first_attempt_at <=
		    OBJECTIVE_MS * 1000LL)
			best->in_time = 1;
		else
			best->late = 1;
	}
}

static void step_requests(struct run *r, apr_time_t now)
{
	int i;

	for (i = 0; i < r->count; i++) {
		struct request *q = &r->requests[i];

		if (q->is_finished)
			continue;
		if (q->engine < 0 && q->attempt_at <= now) {
			start_attempt(r, q, now);
		} else if (q->engine >= 0 && q->slot_at && q->ends_at <= now) {
			r->running[q->engine]--;
			finish_request(r, q, now);
		} else if (q->engine >= 0 && !q->slot_at &&
			   now - q->first_attempt_at > QUEUE_TIMEOUT_US) {
			finish_request(r, q, now);
		} else if (q->engine >= 0 && !q->slot_at && !r->naive) {
			step_withdrawal(r, q, now);
		}
	}
}

static void add_arrivals(struct run *r, apr_time_t now)
{
	double mean = ANSWER_MIN_US + ANSWER_SPREAD_US / 2.0;
	double per_step = r->load * r->engines * r->slots / mean * STEP_US;

	while (per_step > 0 && r->count < REQUESTS_MAX) {
		if (random_unit(&r->random) < per_step) {
			struct request *q = &r->requests[r->count++];

			memset(q, 0, sizeof(*q));
			q->first_attempt_at = q->attempt_at = now;
			q->deadline_ms = DEADLINE_MS;
			if (r->timeout_spread > 0)
				q->deadline_ms -=
					(long)(DEADLINE_MS * r->timeout_spread *
					       random_unit(&r->random));
			q->engine = -1;
			if (r->ranks)
				q->rank = r->count % r->ranks;
			q->entry = (int)random_below(&r->random,
						     (uint32_t)r->entries);
		}
		per_step -= 1;
	}
}

static void record_ranks(struct run *r, apr_time_t from, apr_time_t until)
{
	int seen[ADMIT_RANKS_MAX] = { 0 }, in_time[ADMIT_RANKS_MAX] = { 0 };
	int i;

	for (i = 0; i < r->count; i++) {
		const struct request *q = &r->requests[i];

		if (q->first_attempt_at < from || q->first_attempt_at > until)
			continue;
		seen[q->rank]++;
		in_time[q->rank] += q->in_time;
	}
	for (i = 0; i < ADMIT_RANKS_MAX; i++)
		r->rank_in_time[i] = seen[i] ? (double)in_time[i] / seen[i] : 0;
}

/* Returns 1 when each rank is in time at least as often as the next. */
static int are_ranks_in_order(const struct run *r)
{
	int i;

	for (i = 0; i + 1 < r->ranks; i++)
		if (r->rank_in_time[i] < r->rank_in_time[i + 1])
			return 0;
	return 1;
}

/* Returns the share of requests answered in time. */
static double simulate(struct run *r, int naive)
{
	apr_time_t now, until = (apr_time_t)(r->seconds * 1e6);
	int i, in_time = 0, seen = 0;

	r->naive = naive;
	r->count = 0;
	r->reported_at = -REPORT_PERIOD_US;
	r->remote_reported_at = -r->remote_report_us;
	memset(r->running, 0, sizeof(r->running));
	memset(r->deadline_tables, 0, sizeof(r->deadline_tables));
	memset(r->releases, 0, sizeof(r->releases));
	r->withdrawn = r->begun_late = 0;
	random_seed(&r->random, r->seed);
	create_tables(r);
	declare_release(r, 1, 0);
	for (now = APR_USEC_PER_SEC; now < until; now += STEP_US) {
		if (r->release_at_s &&
		    now >= (apr_time_t)(r->release_at_s * 1e6))
			declare_release(r, 2, now);
		add_arrivals(r, now);
		send_reports(r, now);
		step_requests(r, now);
		for (i = 0; i < r->engines; i++)
			assign_slots(r, i, now);
	}
	for (i = 0; i < r->count; i++) {
		if (r->requests[i].first_attempt_at < 3 * APR_USEC_PER_SEC ||
		    r->requests[i].first_attempt_at >
			    until - 3 * APR_USEC_PER_SEC)
			continue;
		seen++;
		in_time += r->requests[i].in_time;
	}
	if (!naive)
		record_ranks(r, 3 * APR_USEC_PER_SEC,
			     until - 3 * APR_USEC_PER_SEC);
	for (i = 0; i < r->entries; i++)
		target_table_destroy(&r->tables[i]);
	return seen ? (double)in_time / seen : 0;
}

/* Runs the commands of a script; every "expect" prints a line. */
int main(int argc, char **argv)
{
	static struct run r = { .slots = 16, .seed = 1 };
	FILE *fp = argc == 2 ? fopen(argv[1], "r") : NULL;
	double ours = 0, naive = 0, bound;
	int withdrawn = 0, begun_late = 0, begun_late_max;
	char line[256];

	if (!fp) {
		fprintf(stderr, "usage: test-forward-load SCRIPT\n");
		return 2;
	}
	r.requests = calloc(REQUESTS_MAX, sizeof(*r.requests));
	while (fgets(line, sizeof(line), fp)) {
		sscanf(line, "fleet %d %d", &r.entries, &r.engines);
		sscanf(line, "load %lf", &r.load);
		sscanf(line, "seed %u", &r.seed);
		sscanf(line, "patience %lf", &r.timeout_spread);
		sscanf(line, "far-reports %ld", &r.remote_report_us);
		sscanf(line, "away %d %d %d", &r.away, &r.away_from_s,
		       &r.away_for_s);
		sscanf(line, "release %lf %d", &r.release_at_s, &r.release_ms);
		sscanf(line, "change %lf %lf", &r.change_from_s,
		       &r.change_interval_s);
		sscanf(line, "transit %ld", &r.transit_max_us);
		sscanf(line, "cancel %ld", &r.cancel_us);
		sscanf(line, "ranks %d", &r.ranks);
		if (sscanf(line, "run %lf", &r.seconds) == 1) {
			ours = simulate(&r, 0);
			withdrawn = r.withdrawn;
			begun_late = r.begun_late;
			naive = simulate(&r, 1);
		}
		if (sscanf(line, "expect in-time %lf", &bound) == 1) {
			/* Relative to the share that the slots can serve. */
			double max_share = r.load > 1 ? 1 / r.load : 1;

			if (ours >= bound * max_share)
				printf("in time at least %.2f of the slots: "
				       "yes\n",
				       bound);
			else
				printf("in time at least %.2f of the slots: "
				       "no, %.3f\n",
				       bound, ours / max_share);
		}
		if (sscanf(line, "expect above-naive %lf", &bound) == 1)
			printf("above naive by %.2f: %s\n", bound,
			       ours - naive >= bound ? "yes" : "no");
		if (sscanf(line, "expect begun-late %d", &begun_late_max) == 1)
			printf("begun on an expired release at most %d: %s\n",
			       begun_late_max,
			       begun_late <= begun_late_max ? "yes" : "no");
		if (!strncmp(line, "expect withdrawn", 16))
			printf("some requests are withdrawn: %s\n",
			       withdrawn ? "yes" : "no");
		if (!strncmp(line, "expect urgent-first", 19))
			printf("the more urgent is in time more often: %s\n",
			       are_ranks_in_order(&r) ? "yes" : "no");
		if (sscanf(line, "expect least-urgent %lf", &bound) == 1)
			printf("the least urgent keeps %.2f of the mean: %s\n",
			       bound,
			       r.rank_in_time[r.ranks - 1] >= bound * ours
				       ? "yes"
				       : "no");
		if (!strncmp(line, "figures", 7) && r.ranks)
			printf("# by rank %.3f %.3f %.3f\n", r.rank_in_time[0],
			       r.rank_in_time[1], r.rank_in_time[2]);
		if (!strncmp(line, "figures", 7))
			printf("# ours %.3f naive %.3f withdrawn %d "
			       "begun late %d\n",
			       ours, naive, withdrawn, begun_late);
	}
	fclose(fp);
	free(r.requests);
	return 0;
}
