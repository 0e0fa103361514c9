#include <stdio.h>
#include <string.h>

#include "base/digest.h"
#include "calls/route.h"

/*
 * Means over the candidates: of their load, and of this entry's own requests
 * in flight.  The estimate for an upstream with an old report moves towards
 * the mean load.
 */
struct route_means {
	double load;
	double in_flight;
};

/*
 * Estimates the load of a candidate.  The weight of a report falls with its
 * age relative to the duration of a typical request: the estimate moves from
 * the reported load towards the mean, corrected by how far this entry's own
 * requests in flight differ from their mean.  Without this all entries send to
 * the same upstream that an old report shows as idle.
 */
static double estimate_load(const struct route_upstream *u, apr_time_t now,
			    const struct route_means *means)
{
	double age = (double)(now - u->measured_at) / route_typical_call_us(u);
	double weight = 1 / (1 + age * age);
	double load = means->load + weight * (u->choice_load - means->load) +
		      (1 - weight) * (u->in_flight - means->in_flight);

	return load > u->in_flight ? load : u->in_flight;
}

static const char *served_version(const struct route_upstream *u,
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

/*
 * Why a row can't be chosen.  When no row can be, the highest value found is
 * the reason given to the caller.
 */
enum reject {
	REJECT_NONE,
	REJECT_NOT_SERVING,
	REJECT_DRAINING,
	REJECT_EXCLUDED,
	REJECT_DOWN,
	REJECT_VERSION,
	REJECT_COUNT
};

static const char *const reject_reasons[REJECT_COUNT] = { "",
							  "no-upstream",
							  "upstreams-leaving",
							  "upstreams-tried",
							  "upstreams-down",
							  "version-nowhere" };

static enum reject check_row(const struct route_upstream *u,
			     const struct route_query *q, apr_time_t now)
{
	const char *version = served_version(u, q->class);

	if (!u->is_present || !version ||
	    (q->data_center && strcmp(u->data_center, q->data_center) != 0))
		return REJECT_NOT_SERVING;
	if (u->is_draining)
		return REJECT_DRAINING;
	if (is_excluded(u, q))
		return REJECT_EXCLUDED;
	if (!u->is_reachable || breaker_is_open(&u->breaker, now))
		return REJECT_DOWN;
	if (q->is_version_required && q->version &&
	    strcmp(version, q->version) != 0)
		return REJECT_VERSION;
	return REJECT_NONE;
}

struct eligible {
	int rows[ROUTE_UPSTREAMS_MAX];
	int count;
};

/*
 * Lists the rows that may be chosen: those of the local data center, or those
 * of all data centers when the local one has none.  Returns NULL, or the
 * reason when no row may be chosen.
 */
static const char *list_eligible(const struct route_table *t,
				 const struct route_query *q, apr_time_t now,
				 struct eligible *e)
{
	enum reject reason, worst = REJECT_NOT_SERVING;
	int i, local = 0, kept_count = 0;

	e->count = 0;
	for (i = 0; i < t->count; i++) {
		reason = check_row(&t->rows[i], q, now);
		if (reason > worst)
			worst = reason;
		if (reason != REJECT_NONE)
			continue;
		e->rows[e->count++] = i;
		local += t->rows[i].is_local;
	}
	for (i = 0; local && i < e->count; i++)
		if (t->rows[e->rows[i]].is_local)
			e->rows[kept_count++] = e->rows[i];
	if (local)
		e->count = kept_count;
	return e->count ? NULL : reject_reasons[worst];
}

/*
 * During a roll-out both the old and the new version serve.  Once at least
 * min_version_share of the candidates serve the declared version, the others
 * are removed.
 */
static void prefer_version(const struct route_table *t,
			   const struct route_query *q, struct eligible *e)
{
	int i, serving_count = 0, kept_count = 0;

	if (!q->version)
		return;
	for (i = 0; i < e->count; i++)
		serving_count +=
			!strcmp(served_version(&t->rows[e->rows[i]], q->class),
				q->version);
	if (!serving_count || serving_count < q->min_version_share * e->count)
		return;
	for (i = 0; i < e->count; i++)
		if (!strcmp(served_version(&t->rows[e->rows[i]], q->class),
			    q->version))
			e->rows[kept_count++] = e->rows[i];
	e->count = kept_count;
}

/*
 * Computes the means, and stores each candidate's load in choice_load, since
 * summing up its recent requests again would cost time.
 */
static void compute_means(struct route_table *t, apr_time_t now,
			  const struct eligible *e, struct route_means *means)
{
	struct route_upstream *u;
	int i;

	means->load = means->in_flight = 0;
	for (i = 0; i < e->count; i++) {
		u = &t->rows[e->rows[i]];
		u->choice_load = route_compute_load(u, now);
		means->load += u->choice_load;
		means->in_flight += u->in_flight;
	}
	means->load /= e->count;
	means->in_flight /= e->count;
}

/*
 * Returns the upstream for a session or prefix: the row of highest rank among
 * those whose load is at most ROUTE_AFFINITY_LOAD_RATIO_MAX times the mean,
 * with this request added to the mean, or at most 1.  Returns -1 if there is
 * none or the query has no affinity.
 */
static int pick_affine(const struct route_table *t, const struct route_query *q,
		       apr_time_t now, const struct eligible *e,
		       const struct route_means *means)
{
	uint64_t rank, best_rank = 0;
	double bound;
	int i, best = -1;

	if (!q->affinity)
		return -1;
	bound = ROUTE_AFFINITY_LOAD_RATIO_MAX * (means->load + 1.0 / e->count);
	if (bound < 1)
		bound = 1;
	for (i = 0; i < e->count; i++) {
		const struct route_upstream *u = &t->rows[e->rows[i]];

		rank = route_affinity_rank(q->affinity, u->name_hash);
		if (estimate_load(u, now, means) <= bound &&
		    (best < 0 || rank > best_rank)) {
			best = e->rows[i];
			best_rank = rank;
		}
	}
	return best;
}

/*
 * Removes the rows that the query does not allow.  Returns affine if that row
 * remains, else -1.
 */
static int keep_allowed(const struct route_table *t,
			const struct route_query *q, struct eligible *e,
			int affine)
{
	int i, kept_count = 0, has_affine = 0;

	for (i = 0; i < e->count; i++) {
		if (!is_allowed(&t->rows[e->rows[i]], q))
			continue;
		has_affine |= e->rows[i] == affine;
		e->rows[kept_count++] = e->rows[i];
	}
	e->count = kept_count;
	return has_affine ? affine : -1;
}

/*
 * Returns the row with the shortest estimated wait among two random candidates
 * and the affine one, whose wait is reduced by ROUTE_AFFINITY_BONUS_US times
 * its cache hit rate.
 */
static int pick_candidate(const struct route_table *t, apr_time_t now,
			  struct random *r, const struct eligible *e,
			  const struct route_means *means, int affine)
{
	int pick[3], n = 0, i, best = -1;
	double cost, best_cost = 0;

	if (e->count <= 2) {
		/* A random first row, so that no row wins every tie. */
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
			estimate_load(&t->rows[pick[i]], now, means));
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

/*
 * Chooses the upstream for a request.  When there is none, out->index is -1
 * and out->reason says why.
 */
void route_choose(struct route_table *t, const struct route_query *q,
		  apr_time_t now, struct random *r, struct route_choice *out)
{
	struct eligible e;
	struct route_means means;
	struct route_upstream *u;
	enum breaker_permission permission;
	int affine;

	memset(out, 0, sizeof(*out));
	out->index = -1;
	out->reason = list_eligible(t, q, now, &e);
	if (out->reason)
		return;
	prefer_version(t, q, &e);
	compute_means(t, now, &e, &means);
	affine = pick_affine(t, q, now, &e, &means);
	affine = keep_allowed(t, q, &e, affine);
	out->eligible_count = e.count;
	if (!e.count) {
		out->reason = "pair-unavailable";
		return;
	}
	out->index = pick_candidate(t, now, r, &e, &means, affine);
	u = &t->rows[out->index];
	permission = breaker_allow(&u->breaker, now);
	out->needs_new_connection = permission != BREAKER_ALLOW;
	out->is_affine = out->index == affine;
	out->estimated_wait_us = route_estimate_wait(u, now);
	snprintf(out->version, sizeof(out->version), "%s",
		 served_version(u, q->class));
}
