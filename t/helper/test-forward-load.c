#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "forward/admit.h"
#include "forward/target.h"

/*
 * Scripted runs of the choice and the admission under load, without network:
 * entries with reports of a stated age, engines with slots and a queue, and
 * callers that return once after a refusal.  The same run with a random
 * choice and no admission is the naive version.
 *
 *	test-forward-load SCRIPT
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
#define REPORT_US 100000 /* between reports, and their age at the most */
#define GIVE_UP_US 2400000

struct request {
	apr_time_t first_asked;
	long deadline_ms; /* that its caller is ready to wait in all */
	apr_time_t asked; /* now: when this attempt is made */
	int attempts;
	int engine; /* -1: not handed over */
	int entry;
	int priority;
	apr_time_t slot_at; /* 0: waits */
	apr_time_t ends;
	int in_time, late, refused;
	int over;
};

struct run {
	int entries, engines, slots;
	double load, seconds;
	double patience; /* part by which callers' deadlines differ */
	int away, away_from_s, away_for_s; /* engines that carry out an order */
	unsigned seed;
	int naive;
	struct random random;
	struct target_table tables[ENTRIES_MAX];
	struct deadline_table deadline_table[ENTRIES_MAX];
	struct request *requests;
	int count;
	int running[ENGINES_MAX];
	apr_time_t reported, far_reported;
	long far_report_us; /* between reports to other data centres */
	uint64_t sequence;
};

static const struct engine_spec spec = { .slots = 16,
					 .step_us = 7400,
					 .running_us = 38,
					 .read_per_s = 31900,
					 .stride = 6,
					 .usual_prompt = 970,
					 .usual_answer = 106 };

static void tables_make(struct run *r)
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

static int is_away(const struct run *r, int engine, apr_time_t now)
{
	apr_time_t from = r->away_from_s * APR_USEC_PER_SEC;

	return engine < r->away && now >= from &&
	       now < from + r->away_for_s * APR_USEC_PER_SEC;
}

static int waiting_at(const struct run *r, int engine)
{
	int i, n = 0;

	for (i = 0; i < r->count; i++)
		n += !r->requests[i].over && r->requests[i].engine == engine &&
		     !r->requests[i].slot_at;
	return n;
}

static void reports_send(struct run *r, apr_time_t now)
{
	int e, i, far;

	if (now - r->reported < REPORT_US)
		return;
	r->reported = now;
	far = now - r->far_reported >= r->far_report_us;
	if (far)
		r->far_reported = now;
	for (e = 0; e < r->engines; e++) {
		struct target_report x = { .agent_boot = 1,
					   .sequence = ++r->sequence,
					   .slowdown = 1,
					   .running = r->running[e],
					   .waiting = waiting_at(r, e),
					   .is_busy = is_away(r, e, now),
					   .model_count = 1 };

		x.models[0].release = 1;
		snprintf(x.address, sizeof(x.address), "%d:1", e);
		x.sent_at = now;
		for (i = 0; i < r->entries; i++)
			if (far || i % 3 == e % 3)
				target_merge_report(&r->tables[i], &x, now);
	}
}

static void refuse(struct run *r, struct request *q, apr_time_t now)
{
	apr_interval_time_t left =
		q->first_asked + q->deadline_ms * 1000LL - now;

	if (q->attempts > 1) {
		q->refused = q->over = 1;
		return;
	}
	r->deadline_table[q->entry].refused_at = now;
	q->asked = now + 1000LL * admit_retry_after_ms(0, left, &r->random);
}

static int engine_choose(struct run *r, struct request *q, apr_time_t now)
{
	struct target_query query = { .service = "s", .engine = &spec };
	struct target_table *t = &r->tables[q->entry];
	struct admit_input in = { .service_objective_ms = OBJECTIVE_MS,
				  .route_objective_ms = OBJECTIVE_MS,
				  .typical_first_event_us =
					  target_typical_first_event_us(&spec),
				  .slots = r->slots };
	struct target_choice c;
	enum admit_class class;
	long left_ms = (long)((q->first_asked - now) / 1000) + q->deadline_ms;

	if (r->naive)
		return (int)random_below(&r->random, (uint32_t)r->engines);
	target_choose(t, &query, now, &r->random, &c);
	if (c.index < 0)
		return -1;
	in.elapsed_ms = deadline_table_elapsed_ms(&r->deadline_table[q->entry],
						  "r", left_ms, now);
	in.backlog_us = c.backlog_us;
	in.first_event_us = c.first_event_us;
	in.load = c.load;
	class = admit_decide(&in);
	if (class == ADMIT_REFUSED)
		return -1;
	q->priority = class == ADMIT_LATE ? ADMIT_PRIORITY_LATE
					  : ADMIT_PRIORITY_IN_TIME;
	target_record_start(&t->rows[c.index], now);
	return atoi(t->rows[c.index].id + 1);
}

static void ask(struct run *r, struct request *q, apr_time_t now)
{
	q->attempts++;
	q->engine = engine_choose(r, q, now);
	q->asked = 0;
	if (q->engine < 0 || is_away(r, q->engine, now)) {
		q->engine = -1;
		refuse(r, q, now);
		return;
	}
	q->slot_at = 0;
}

static void end(struct run *r, struct request *q, apr_time_t now)
{
	char id[16];

	q->over = 1;
	if (r->naive)
		return;
	snprintf(id, sizeof(id), "u%02d", q->engine);
	target_record_finish(target_find(&r->tables[q->entry], id), now);
}

/* Gives free slots to those that wait, the most urgent and oldest first. */
static void slots_give(struct run *r, int engine, apr_time_t now)
{
	struct request *best;
	int i;

	while (r->running[engine] < r->slots && !is_away(r, engine, now)) {
		best = NULL;
		for (i = 0; i < r->count; i++) {
			struct request *q = &r->requests[i];

			if (q->over || q->engine != engine || q->slot_at)
				continue;
			if (!best || q->priority < best->priority)
				best = q;
		}
		if (!best)
			return;
		r->running[engine]++;
		best->slot_at = now;
		best->ends =
			now + ANSWER_MIN_US +
			(apr_time_t)random_below(&r->random, ANSWER_SPREAD_US);
		if (now + FIRST_EVENT_US - best->first_asked <=
		    OBJECTIVE_MS * 1000LL)
			best->in_time = 1;
		else
			best->late = 1;
	}
}

static void requests_step(struct run *r, apr_time_t now)
{
	int i;

	for (i = 0; i < r->count; i++) {
		struct request *q = &r->requests[i];

		if (q->over)
			continue;
		if (q->engine < 0 && q->asked <= now) {
			ask(r, q, now);
		} else if (q->engine >= 0 && q->slot_at && q->ends <= now) {
			r->running[q->engine]--;
			end(r, q, now);
		} else if (q->engine >= 0 && !q->slot_at &&
			   now - q->first_asked > GIVE_UP_US) {
			end(r, q, now);
		}
	}
}

static void arrivals(struct run *r, apr_time_t now)
{
	double mean = ANSWER_MIN_US + ANSWER_SPREAD_US / 2.0;
	double per_step = r->load * r->engines * r->slots / mean * STEP_US;

	while (per_step > 0 && r->count < REQUESTS_MAX) {
		if (random_unit(&r->random) < per_step) {
			struct request *q = &r->requests[r->count++];

			memset(q, 0, sizeof(*q));
			q->first_asked = q->asked = now;
			q->deadline_ms = DEADLINE_MS;
			if (r->patience > 0)
				q->deadline_ms -=
					(long)(DEADLINE_MS * r->patience *
					       random_unit(&r->random));
			q->engine = -1;
			q->entry = (int)random_below(&r->random,
						     (uint32_t)r->entries);
		}
		per_step -= 1;
	}
}

/* Returns the share of requests answered in time. */
static double play(struct run *r, int naive)
{
	apr_time_t now, until = (apr_time_t)(r->seconds * 1e6);
	int i, in_time = 0, seen = 0;

	r->naive = naive;
	r->count = 0;
	r->reported = -REPORT_US;
	r->far_reported = -r->far_report_us;
	memset(r->running, 0, sizeof(r->running));
	memset(r->deadline_table, 0, sizeof(r->deadline_table));
	random_seed(&r->random, r->seed);
	tables_make(r);
	for (now = APR_USEC_PER_SEC; now < until; now += STEP_US) {
		arrivals(r, now);
		reports_send(r, now);
		requests_step(r, now);
		for (i = 0; i < r->engines; i++)
			slots_give(r, i, now);
	}
	for (i = 0; i < r->count; i++) {
		if (r->requests[i].first_asked < 3 * APR_USEC_PER_SEC ||
		    r->requests[i].first_asked > until - 3 * APR_USEC_PER_SEC)
			continue;
		seen++;
		in_time += r->requests[i].in_time;
	}
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
		sscanf(line, "patience %lf", &r.patience);
		sscanf(line, "far-reports %ld", &r.far_report_us);
		sscanf(line, "away %d %d %d", &r.away, &r.away_from_s,
		       &r.away_for_s);
		if (sscanf(line, "run %lf", &r.seconds) == 1) {
			ours = play(&r, 0);
			naive = play(&r, 1);
		}
		if (sscanf(line, "expect in-time %lf", &bound) == 1) {
			/* Of what the slots allow. */
			double most = r.load > 1 ? 1 / r.load : 1;

			if (ours >= bound * most)
				printf("in time at least %.2f of the slots: "
				       "yes\n",
				       bound);
			else
				printf("in time at least %.2f of the slots: "
				       "no, %.3f\n",
				       bound, ours / most);
		}
		if (sscanf(line, "expect above-naive %lf", &bound) == 1)
			printf("above naive by %.2f: %s\n", bound,
			       ours - naive >= bound ? "yes" : "no");
		if (!strncmp(line, "figures", 7))
			printf("# ours %.3f naive %.3f\n", ours, naive);
	}
	fclose(fp);
	free(r.requests);
	return 0;
}
