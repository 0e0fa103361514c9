#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/digest.h"
#include "base/random.h"
#include "calls/route.h"

/*
 * Compares the routing choice with a simple reference implementation on random
 * sequences of events, and routing policies with each other in simulated time.
 * See t/t0505.
 */

#define UPSTREAMS 14
#define EVENTS_MAX 65536
#define CHOICES 20000
#define LOCAL_DATA_CENTER "ne"

/* An event of the full history that the reference implementation reads. */
struct event {
	int row;
	int change; /* +1 started, -1 finished */
	apr_time_t at;
};

#define TIE_CHOICES 200 /* choices; on average each row gets half */

static struct event events[EVENTS_MAX];
static int event_count;
static struct upstream_report reports[UPSTREAMS];
static int in_flight[UPSTREAMS];

static int reference_load(int i, apr_time_t now)
{
	int64_t from =
		(reports[i].received_at - reports[i].load_age_ms * 1000LL) /
		RECENT_SLICE_US;
	int k, load = reports[i].running + reports[i].waiting;

	for (k = 0; k < event_count; k++)
		if (events[k].row == i &&
		    events[k].at / RECENT_SLICE_US >= from &&
		    events[k].at <= now)
			load += events[k].change;
	return load > in_flight[i] ? load : in_flight[i];
}

static double reference_estimate_load(int i, apr_time_t now, const int *list,
				      int n)
{
	double mean_in_flight = 0, mean = 0, age, weight, load;
	int k;

	for (k = 0; k < n; k++) {
		mean += reference_load(list[k], now);
		mean_in_flight += in_flight[list[k]];
	}
	mean /= n;
	mean_in_flight /= n;
	age = (double)(now - reports[i].received_at +
		       reports[i].load_age_ms * 1000LL) /
	      ((double)reports[i].token_us * ROUTE_TYPICAL_CALL_TOKENS);
	weight = 1 / (1 + age * age);
	load = mean + weight * (reference_load(i, now) - mean) +
	       (1 - weight) * (in_flight[i] - mean_in_flight);
	return load > in_flight[i] ? load : in_flight[i];
}

static double reference_estimate_wait(int i, apr_time_t now, const int *list,
				      int n)
{
	double load = reference_estimate_load(i, now, list, n);
	double token = reports[i].token_us;
	int slots = reports[i].slots;

	if (load < slots)
		return token * load / slots;
	return token +
	       token * ROUTE_TYPICAL_CALL_TOKENS * (load - slots + 1) / slots;
}

static int reference_is_eligible(int i, const struct route_query *q,
				 int local_only)
{
	int k;

	if (reports[i].is_draining || !reports[i].is_reachable ||
	    !reports[i].model_count)
		return 0;
	for (k = 0; k < q->excluded_count; k++)
		if (!strcmp(q->excluded[k], reports[i].instance))
			return 0;
	if (q->is_version_required &&
	    strcmp(q->version, reports[i].models[0].version) != 0)
		return 0;
	return !local_only ||
	       !strcmp(reports[i].data_center, LOCAL_DATA_CENTER);
}

/* Applies the rules of docs/design/calls.md one after the other. */
static int reference_choose(const struct route_query *q, apr_time_t now,
			    struct random *r)
{
	int list[UPSTREAMS], n = 0, i, serving_count = 0, m = 0, affine = -1,
			     best = -1;
	int pick[3], picks = 0;
	double total = 0, cost, best_cost = 0;
	uint64_t rank, best_rank = 0;

	for (i = 0; i < UPSTREAMS; i++)
		if (reference_is_eligible(i, q, 1))
			list[n++] = i;
	for (i = 0; !serving_count && !n && i < UPSTREAMS; i++)
		if (reference_is_eligible(i, q, 0))
			list[m++] = i;
	if (!n)
		n = m;
	if (!n)
		return -1;
	for (i = 0; i < n; i++)
		serving_count +=
			!strcmp(reports[list[i]].models[0].version, q->version);
	if (serving_count && serving_count >= q->min_version_share * n) {
		for (i = m = 0; i < n; i++)
			if (!strcmp(reports[list[i]].models[0].version,
				    q->version))
				list[m++] = list[i];
		n = m;
	}
	for (i = 0; i < n; i++)
		total += reference_load(list[i], now);
	for (i = 0; q->affinity && i < n; i++) {
		double bound =
			ROUTE_AFFINITY_LOAD_RATIO_MAX * (total / n + 1.0 / n);

		rank = place_hash(
			&q->affinity, sizeof(q->affinity),
			place_hash_string(reports[list[i]].upstream, 0));
		if (reference_estimate_load(list[i], now, list, n) <=
			    (bound < 1 ? 1 : bound) &&
		    (affine < 0 || rank > best_rank)) {
			affine = list[i];
			best_rank = rank;
		}
	}
	if (n <= 2) {
		int first = (int)random_below(r, (uint32_t)n);

		for (i = 0; i < n; i++)
			pick[picks++] = list[(first + i) % n];
	} else {
		pick[picks++] = list[random_below(r, (uint32_t)n)];
		pick[picks++] = list[random_below(r, (uint32_t)n)];
	}
	if (affine >= 0)
		pick[picks++] = affine;
	for (i = 0; i < picks; i++) {
		cost = reference_estimate_wait(pick[i], now, list, n) -
		       (pick[i] == affine ? ROUTE_AFFINITY_BONUS_US * 0.5 : 0);
		if (best < 0 || cost < best_cost) {
			best = pick[i];
			best_cost = cost;
		}
	}
	return best;
}

static void draw_report(struct random *r, int i, apr_time_t now)
{
	struct upstream_report *u = &reports[i];

	snprintf(u->instance, sizeof(u->instance), "agent-%d", i);
	snprintf(u->upstream, sizeof(u->upstream), "up-%d", i);
	snprintf(u->data_center, sizeof(u->data_center), "%s",
		 i % 3 ? "se" : LOCAL_DATA_CENTER);
	u->kind = UPSTREAM_MODEL;
	u->boot = 1;
	u->is_draining = random_below(r, 10) == 0;
	u->is_reachable = random_below(r, 10) != 0;
	u->running = (int)random_below(r, 9);
	u->waiting = (int)random_below(r, 4);
	u->slots = 8;
	u->token_us = 10000;
	u->received_at = now;
	u->load_age_ms = (int)random_below(r, 1500);
	u->model_count = random_below(r, 12) != 0;
	snprintf(u->models[0].name, sizeof(u->models[0].name), "m");
	snprintf(u->models[0].version, sizeof(u->models[0].version), "v%d",
		 (int)random_below(r, 2));
}

static void draw_query(struct random *r, struct route_query *q)
{
	memset(q, 0, sizeof(*q));
	q->class = route_class_hash(UPSTREAM_MODEL, "m");
	q->version = random_below(r, 2) ? "v0" : "v1";
	q->is_version_required = random_below(r, 4) == 0;
	q->min_version_share = 0.5;
	q->affinity = random_below(r, 2) ? random_below(r, 20) + 1 : 0;
	if (random_below(r, 3) == 0)
		q->excluded[q->excluded_count++] =
			reports[random_below(r, UPSTREAMS)].instance;
}

static void record_event(struct route_table *t, int i, int change,
			 apr_time_t now)
{
	struct route_upstream *u = route_find(t, reports[i].instance);

	if (change > 0)
		route_call_started(u, now);
	else
		route_call_finished(u, now);
	in_flight[i] += change;
	events[event_count++] = (struct event){ i, change, now };
}

/* Returns 1 when the two implementations differ. */
static int compare_with_reference(uint64_t seed)
{
	struct route_table t;
	struct route_query q;
	struct route_choice c;
	struct random r, a, b;
	apr_time_t now = 100 * APR_USEC_PER_SEC;
	int step, i, reference, none = 0;

	random_seed(&r, seed);
	route_table_init(&t);
	for (i = 0; i < UPSTREAMS; i++)
		draw_report(&r, i, now);
	route_apply_reports(&t, reports, UPSTREAMS, NULL, LOCAL_DATA_CENTER,
			    now);
	for (step = 0; step < CHOICES; step++) {
		now += random_below(&r, 4000);
		i = (int)random_below(&r, UPSTREAMS);
		if (random_below(&r, 10) == 0) {
			draw_report(&r, i, now);
			route_apply_reports(&t, reports, UPSTREAMS, NULL,
					    LOCAL_DATA_CENTER, now);
		} else if (in_flight[i] && random_below(&r, 2)) {
			record_event(&t, i, -1, now);
		}
		draw_query(&r, &q);
		random_seed(&a, seed + (uint64_t)step);
		b = a;
		route_choose(&t, &q, now, &a, &c);
		reference = reference_choose(&q, now, &b);
		none += reference < 0;
		if ((c.index < 0) != (reference < 0) ||
		    (reference >= 0 &&
		     strcmp(t.rows[c.index].instance,
			    reports[reference].instance) != 0)) {
			printf("step %d: chose %s, the reference %d\n", step,
			       c.index < 0 ? c.reason
					   : t.rows[c.index].instance,
			       reference);
			return 1;
		}
		if (reference >= 0 && random_below(&r, 2))
			record_event(&t, reference, 1, now);
	}
	printf("%d equal choices, %d of them without an upstream\n", CHOICES,
	       none);
	route_table_destroy(&t);
	return 0;
}

/*
 * Pattern: few calls, and two idle upstreams with equal waits.  Returns 1 when
 * one of them gets less than a quarter of the calls.
 */
static int check_ties(void)
{
	struct route_query q = { .class = route_class_hash(UPSTREAM_MODEL, "m"),
				 .version = "v1" };
	apr_time_t now = 100 * APR_USEC_PER_SEC;
	struct route_choice c;
	struct route_table t;
	struct random r;
	int i, counts[2] = { 0 };

	random_seed(&r, 1);
	route_table_init(&t);
	for (i = 0; i < 2; i++) {
		draw_report(&r, 3 * i, now);
		reports[i] = reports[3 * i];
		reports[i].is_draining = 0;
		reports[i].is_reachable = 1;
		reports[i].running = reports[i].waiting = 0;
		reports[i].load_age_ms = 100;
		reports[i].model_count = 1;
		strcpy(reports[i].models[0].version, "v1");
	}
	route_apply_reports(&t, reports, 2, NULL, LOCAL_DATA_CENTER, now);
	for (i = 0; i < TIE_CHOICES; i++) {
		route_choose(&t, &q, now, &r, &c);
		counts[c.index]++;
	}
	route_table_destroy(&t);
	printf("calls per upstream: %d and %d\n", counts[0], counts[1]);
	return counts[0] < TIE_CHOICES / 4 || counts[1] < TIE_CHOICES / 4;
}

/* Simulated time: 8 entries, 14 engines, reports that lag by a second. */

#define ENTRIES 8
#define SLOTS 8
#define TOKEN_DURATION_US 10000
#define MEAN_TOKENS 32
#define REPORT_LAG_US APR_USEC_PER_SEC
#define REPORT_INTERVAL_US (250 * 1000)
#define SIM_CALLS 40000
#define SIM_P50_INDEX 20000 /* index of the median */
#define SIM_P99_INDEX 39600 /* index of the 99th percentile */
#define PREFIX_COUNT 300
#define CACHED_PREFIXES_MAX 40	/* prefixes that an engine caches */
#define PREFILL_US (200 * 1000) /* time to compute a prefix not cached */

enum policy { POLICY_ROUTE, POLICY_RANDOM, POLICY_ROUND_ROBIN };

struct sim_call {
	apr_time_t arrived;
	apr_time_t started_at;
	apr_time_t finished_at;
	int engine;
	int entry;
	int is_finished; /* the entry has received the answer */
};

struct engine {
	apr_time_t free_at[SLOTS];
	int cache[CACHED_PREFIXES_MAX];
	int cache_count;
	int first; /* calls that a report may still count */
};

static struct sim_call sim_calls[SIM_CALLS];
static struct engine engines[UPSTREAMS];
static struct route_table tables[ENTRIES];
static double hit_rate; /* of the last simulation */

static int use_cache(struct engine *e, int prefix)
{
	int i, hit = 0;

	for (i = 0; i < e->cache_count; i++)
		if (e->cache[i] == prefix)
			break;
	hit = i < e->cache_count;
	if (!hit && e->cache_count < CACHED_PREFIXES_MAX)
		e->cache_count++;
	if (!hit)
		i = e->cache_count - 1;
	memmove(e->cache + 1, e->cache, (size_t)i * sizeof(int));
	e->cache[0] = prefix;
	return hit;
}

/* Runs a call in the first free slot.  Returns 1 on a cache hit. */
static int run_call(struct sim_call *c, int tokens, int prefix)
{
	struct engine *e = &engines[c->engine];
	int i, slot = 0, hit = use_cache(e, prefix);

	for (i = 1; i < SLOTS; i++)
		if (e->free_at[i] < e->free_at[slot])
			slot = i;
	c->started_at =
		e->free_at[slot] > c->arrived ? e->free_at[slot] : c->arrived;
	c->finished_at = c->started_at +
			 (apr_time_t)tokens * TOKEN_DURATION_US +
			 (hit ? 0 : PREFILL_US);
	e->free_at[slot] = c->finished_at;
	return hit;
}

static void apply_sim_reports(int count, apr_time_t now)
{
	static struct upstream_report list[UPSTREAMS];
	apr_time_t at = now - REPORT_LAG_US;
	int i, k;

	memset(list, 0, sizeof(list));
	for (i = 0; i < UPSTREAMS; i++) {
		struct upstream_report *u = &list[i];

		snprintf(u->instance, sizeof(u->instance), "agent-%d", i);
		snprintf(u->upstream, sizeof(u->upstream), "up-%d", i);
		snprintf(u->data_center, sizeof(u->data_center),
			 LOCAL_DATA_CENTER);
		u->kind = UPSTREAM_MODEL;
		u->boot = 1;
		u->is_reachable = 1;
		u->slots = SLOTS;
		u->token_us = TOKEN_DURATION_US;
		u->received_at = now;
		u->load_age_ms = (int)(REPORT_LAG_US / 1000);
		u->model_count = 1;
		snprintf(u->models[0].name, sizeof(u->models[0].name), "m");
		snprintf(u->models[0].version, sizeof(u->models[0].version),
			 "v0");
	}
	for (k = 0; k < count; k++) {
		struct sim_call *c = &sim_calls[k];

		if (c->arrived <= at && c->finished_at > at)
			list[c->engine].running++;
	}
	for (i = 0; i < ENTRIES; i++)
		route_apply_reports(&tables[i], list, UPSTREAMS, NULL,
				    LOCAL_DATA_CENTER, now);
}

static void finish_sim_calls(int count, int *first, apr_time_t now)
{
	int k;

	for (k = *first; k < count; k++) {
		struct sim_call *c = &sim_calls[k];

		if (!c->is_finished && c->finished_at <= now) {
			c->is_finished = 1;
			route_call_finished(&tables[c->entry].rows[c->engine],
					    c->finished_at);
		}
		if (c->is_finished && k == *first)
			(*first)++;
	}
}

static int pick_engine(enum policy p, int entry, int prefix, int paired,
		       apr_time_t now, struct random *r)
{
	static int next_engine[ENTRIES];
	struct route_query q = { 0 };
	struct route_choice c;
	const char *pair[2];
	struct digest fp;

	if (p == POLICY_RANDOM)
		return (int)random_below(r, UPSTREAMS);
	if (p == POLICY_ROUND_ROBIN)
		return next_engine[entry]++ % UPSTREAMS;
	q.class = route_class_hash(UPSTREAM_MODEL, "m");
	q.version = "v0";
	q.affinity = prefix >= 0 ? (uint64_t)prefix + 1 : 0;
	if (paired) {
		random_next(r);
		digest_of(&r->state, sizeof(r->state), &fp);
		q.allowed_count =
			route_choose_pair(&tables[entry], q.class, &fp,
					  q.affinity, LOCAL_DATA_CENTER, pair);
		q.allowed = pair;
	}
	route_choose(&tables[entry], &q, now, r, &c);
	route_call_started(&tables[entry].rows[c.index], now);
	return c.index;
}

static int compare_times(const void *a, const void *b)
{
	const apr_time_t *x = a, *y = b;

	return (*x > *y) - (*x < *y);
}

/* Returns a random prefix; as in practice a few are frequent, most rare. */
static int draw_prefix(struct random *r)
{
	return (int)(PREFIX_COUNT * pow(random_unit(r), 2));
}

/*
 * Runs the simulation at a load (share of all slots).  Prints the quantiles of
 * the wait and the cache hit rate, and returns the 99th percentile in
 * microseconds.
 */
static double simulate(const char *name, enum policy p, int affinity,
		       int paired, double load)
{
	static apr_time_t waits[SIM_CALLS];
	double rate = load * UPSTREAMS * SLOTS * 1e6 /
		      (MEAN_TOKENS * TOKEN_DURATION_US);
	apr_time_t now = 100 * APR_USEC_PER_SEC, report_at = now;
	struct random r;
	int k, first = 0, hits = 0, tokens, prefix;

	random_seed(&r, 11);
	memset(engines, 0, sizeof(engines));
	for (k = 0; k < ENTRIES; k++)
		route_table_init(&tables[k]);
	for (k = 0; k < SIM_CALLS; k++) {
		struct sim_call *c = &sim_calls[k];

		now += (apr_time_t)(-log(1 - random_unit(&r)) * 1e6 / rate);
		finish_sim_calls(k, &first, now);
		if (now >= report_at) {
			apply_sim_reports(k, now);
			report_at = now + REPORT_INTERVAL_US;
		}
		memset(c, 0, sizeof(*c));
		c->arrived = now;
		c->entry = (int)random_below(&r, ENTRIES);
		tokens = 1 + (int)(-log(1 - random_unit(&r)) * MEAN_TOKENS);
		prefix = draw_prefix(&r);
		c->engine = pick_engine(p, c->entry, affinity ? prefix : -1,
					paired, now, &r);
		hits += run_call(c, tokens, prefix);
		waits[k] = c->started_at - c->arrived;
	}
	for (k = 0; k < ENTRIES; k++)
		route_table_destroy(&tables[k]);
	qsort(waits, SIM_CALLS, sizeof(*waits), compare_times);
	printf("%-26s wait p50 %7.1f ms, p99 %8.1f ms, hits %4.1f%%\n", name,
	       (double)waits[SIM_P50_INDEX] / 1000,
	       (double)waits[SIM_P99_INDEX] / 1000, 100.0 * hits / SIM_CALLS);
	hit_rate = (double)hits / SIM_CALLS;
	return (double)waits[SIM_P99_INDEX];
}

static int compare_policies(double load)
{
	double random, robin, plain, paired, hits;

	random = simulate("random", POLICY_RANDOM, 0, 0, load);
	robin = simulate("round robin", POLICY_ROUND_ROBIN, 0, 0, load);
	plain = simulate("route, no affinity", POLICY_ROUTE, 0, 0, load);
	hits = hit_rate;
	simulate("route, affinity", POLICY_ROUTE, 1, 0, load);
	simulate("route, pairs", POLICY_ROUTE, 0, 1, load);
	paired =
		simulate("route, pairs and affinity", POLICY_ROUTE, 1, 1, load);
	return !(plain < random && plain < robin && paired < random &&
		 paired < robin && hit_rate > 2 * hits);
}

int main(int argc, const char **argv)
{
	if (argc == 3 && !strcmp(argv[1], "differential"))
		return compare_with_reference(strtoull(argv[2], NULL, 10));
	if (argc == 3 && !strcmp(argv[1], "policies"))
		return compare_policies(atof(argv[2]));
	return check_ties();
}
