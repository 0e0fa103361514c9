#include <stdio.h>
#include <string.h>

#include "base/digest.h"
#include "calls/route.h"

/* Means over the candidates, that an old report is drawn towards. */
struct route_means {
	double load;
	double in_flight;
};

/*
 * The load of a candidate.  A report says less the older it is beside the
 * time that a call takes: its difference from the mean fades, and what this
 * entry itself has under way there takes its place.  Without that all
 * entries run after the same old report.
 */
static double load_estimate(const struct route_upstream *u, apr_time_t now,
			    const struct route_means *m)
{
	double age = (double)(now - u->measured_at) / route_typical_call_us(u);
	double trust = 1 / (1 + age * age);
	double load = m->load + trust * (u->choice_load - m->load) +
		      (1 - trust) * (u->in_flight - m->in_flight);

	return load > u->in_flight ? load : u->in_flight;
}

static const char *version_served(const struct route_upstream *u,
				  uint64_t class)
{
	int i = route_find_class(u, class);

	return i >= 0 && u->classes[i].is_current ? u->classes[i].version
						  : NULL;
}

static int is_excluded(const struct route_upstream *u,
		       const struct route_query *q)
{
	int i;

	for (i = 0; i < q->excluded_count; i++)
		if (!strcmp(q->excluded[i], u->instance))
			return 1;
	return 0;
}

static int is_allowed(const struct route_upstream *u,
		      const struct route_query *q)
{
	int i;

	for (i = 0; i < q->allowed_count; i++)
		if (!strcmp(q->allowed[i], u->upstream))
			return 1;
	return !q->allowed_count;
}

/* What keeps a row from being chosen, in the order of being reported. */
enum miss {
	MISS_NONE,
	MISS_SERVES,
	MISS_LEAVING,
	MISS_TRIED,
	MISS_DOWN,
	MISS_VERSION,
	MISS_COUNT
};

static const char *const miss_reasons[MISS_COUNT] = { "",
						      "no-upstream",
						      "upstreams-leaving",
						      "upstreams-tried",
						      "upstreams-down",
						      "version-nowhere" };

static enum miss row_check(const struct route_upstream *u,
			   const struct route_query *q, apr_time_t now)
{
	const char *version = version_served(u, q->class);

	if (!u->is_present || !version ||
	    (q->data_center && strcmp(u->data_center, q->data_center) != 0))
		return MISS_SERVES;
	if (u->is_draining)
		return MISS_LEAVING;
	if (is_excluded(u, q))
		return MISS_TRIED;
	if (!u->is_reachable || breaker_is_open(&u->breaker, now))
		return MISS_DOWN;
	if (q->is_version_required && q->version &&
	    strcmp(version, q->version) != 0)
		return MISS_VERSION;
	return MISS_NONE;
}

struct eligible {
	int rows[ROUTE_UPSTREAMS_MAX];
	int count;
};

/*
 * Lists the rows that may be chosen: those of the own data center, or all
 * when it has none.  Returns the reason when there are none.
 */
static const char *eligible_list(const struct route_table *t,
				 const struct route_query *q, apr_time_t now,
				 struct eligible *e)
{
	enum miss m, worst = MISS_SERVES;
	int i, local = 0, kept = 0;

	e->count = 0;
	for (i = 0; i < t->count; i++) {
		m = row_check(&t->rows[i], q, now);
		if (m > worst)
			worst = m;
		if (m != MISS_NONE)
			continue;
		e->rows[e->count++] = i;
		local += t->rows[i].is_local;
	}
	for (i = 0; local && i < e->count; i++)
		if (t->rows[e->rows[i]].is_local)
			e->rows[kept++] = e->rows[i];
	if (local)
		e->count = kept;
	return e->count ? NULL : miss_reasons[worst];
}

/*
 * While a version is being rolled out both the old and the new one serve;
 * once a large enough part has the declared one, only that does.
 */
static void version_prefer(const struct route_table *t,
			   const struct route_query *q, struct eligible *e)
{
	int i, have = 0, kept = 0;

	if (!q->version)
		return;
	for (i = 0; i < e->count; i++)
		have += !strcmp(version_served(&t->rows[e->rows[i]], q->class),
				q->version);
	if (!have || have < q->min_version_share * e->count)
		return;
	for (i = 0; i < e->count; i++)
		if (!strcmp(version_served(&t->rows[e->rows[i]], q->class),
			    q->version))
			e->rows[kept++] = e->rows[i];
	e->count = kept;
}

/* Also notes each candidate's load, which costs a little to add up. */
static void means_take(struct route_table *t, apr_time_t now,
		       const struct eligible *e, struct route_means *m)
{
	struct route_upstream *u;
	int i;

	m->load = m->in_flight = 0;
	for (i = 0; i < e->count; i++) {
		u = &t->rows[e->rows[i]];
		u->choice_load = route_compute_load(u, now);
		m->load += u->choice_load;
		m->in_flight += u->in_flight;
	}
	m->load /= e->count;
	m->in_flight /= e->count;
}

/*
 * The upstream of a session or prefix: the highest in rank among those
 * whose load is within a bound of the mean.  Returns a row or -1.
 */
static int affine_pick(const struct route_table *t, const struct route_query *q,
		       apr_time_t now, const struct eligible *e,
		       const struct route_means *m)
{
	uint64_t rank, best_rank = 0;
	double bound;
	int i, best = -1;

	if (!q->affinity)
		return -1;
	bound = ROUTE_AFFINITY_LOAD_RATIO_MAX * (m->load + 1.0 / e->count);
	if (bound < 1)
		bound = 1;
	for (i = 0; i < e->count; i++) {
		const struct route_upstream *u = &t->rows[e->rows[i]];

		rank = route_affinity_rank(q->affinity, u->name_hash);
		if (load_estimate(u, now, m) <= bound &&
		    (best < 0 || rank > best_rank)) {
			best = e->rows[i];
			best_rank = rank;
		}
	}
	return best;
}

/* Keeps what the query allows; returns the affine row if it is one. */
static int allowed_keep(const struct route_table *t,
			const struct route_query *q, struct eligible *e,
			int affine)
{
	int i, kept = 0, has_affine = 0;

	for (i = 0; i < e->count; i++) {
		if (!is_allowed(&t->rows[e->rows[i]], q))
			continue;
		has_affine |= e->rows[i] == affine;
		e->rows[kept++] = e->rows[i];
	}
	e->count = kept;
	return has_affine ? affine : -1;
}

/* Two random candidates and the affine one: the least wait is taken. */
static int candidate_pick(const struct route_table *t, apr_time_t now,
			  struct random *r, const struct eligible *e,
			  const struct route_means *m, int affine)
{
	int pick[3], n = 0, i, best = -1;
	double cost, best_cost = 0;

	if (e->count <= 2) {
		/* From a place drawn by chance, so that no row wins each tie. */
		int first = (int)random_below(r, (uint32_t)e->count);

		for (; n < e->count; n++)
			pick[n] = e->rows[(first + n) % e->count];
	} else {
		pick[n++] = e->rows[random_below(r, (uint32_t)e->count)];
		pick[n++] = e->rows[random_below(r, (uint32_t)e->count)];
	}
	if (affine >= 0)
		pick[n++] = affine;
	for (i = 0; i < n; i++) {
		cost = route_wait_at_load(
			&t->rows[pick[i]],
			load_estimate(&t->rows[pick[i]], now, m));
		if (pick[i] == affine)
			cost -= ROUTE_AFFINITY_BONUS_US *
				t->rows[affine].cache_hit_rate;
		if (best < 0 || cost < best_cost) {
			best = pick[i];
			best_cost = cost;
		}
	}
	return best;
}

/* Chooses the upstream for a call; out->index is -1 when there is none. */
void route_choose(struct route_table *t, const struct route_query *q,
		  apr_time_t now, struct random *r, struct route_choice *out)
{
	struct eligible e;
	struct route_means m;
	struct route_upstream *u;
	enum breaker_permission leave;
	int affine;

	memset(out, 0, sizeof(*out));
	out->index = -1;
	out->reason = eligible_list(t, q, now, &e);
	if (out->reason)
		return;
	version_prefer(t, q, &e);
	means_take(t, now, &e, &m);
	affine = affine_pick(t, q, now, &e, &m);
	affine = allowed_keep(t, q, &e, affine);
	out->eligible_count = e.count;
	if (!e.count) {
		out->reason = "pair-unavailable";
		return;
	}
	out->index = candidate_pick(t, now, r, &e, &m, affine);
	u = &t->rows[out->index];
	leave = breaker_allow(&u->breaker, now);
	out->needs_new_connection = leave != BREAKER_ALLOW;
	out->is_affine = out->index == affine;
	out->estimated_wait_us = route_estimate_wait(u, now);
	snprintf(out->version, sizeof(out->version), "%s",
		 version_served(u, q->class));
}
