#include "calls/route.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/digest.h"
#include "calls/crash.h"

/* Names a model or a service by one number. */
uint64_t route_class(enum upstream_kind kind, const char *name)
{
	return place_hash_string(name, (uint64_t)kind);
}

/* Prepares an empty table. */
void route_table_init(struct route_table *t)
{
	t->count = 0;
	t->rows = calloc(ROUTE_UPSTREAMS_MAX, sizeof(*t->rows));
	if (!t->rows)
		abort();
}

/* Frees the rows. */
void route_table_destroy(struct route_table *t)
{
	free(t->rows);
	t->rows = NULL;
}

/* Returns the row of an agent's instance, or NULL. */
struct route_upstream *route_find(struct route_table *t, const char *instance)
{
	uint64_t hash = place_hash_string(instance, 0);
	int i;

	for (i = 0; i < t->count; i++)
		if (t->rows[i].id_hash == hash &&
		    !strcmp(t->rows[i].instance, instance))
			return &t->rows[i];
	return NULL;
}

static int serve_find(const struct route_upstream *u, uint64_t class)
{
	int i;

	for (i = 0; i < u->serve_count; i++)
		if (u->serves[i].class == class)
			return i;
	return -1;
}

static void serve_set(struct route_upstream *u, uint64_t class,
		      const char *version, apr_time_t now)
{
	int i = serve_find(u, class);

	if (i < 0) {
		if (u->serve_count == ROUTE_SERVES_MAX)
			return;
		i = u->serve_count++;
		u->serves[i].class = class;
	}
	u->serves[i].current = 1;
	u->serves[i].seen = now;
	snprintf(u->serves[i].version, DIGEST_HEX_SIZE, "%s", version);
}

/* Forgets what the upstream has not served for a while. */
static void serves_expire(struct route_upstream *u, apr_time_t now)
{
	int i, kept = 0;

	for (i = 0; i < u->serve_count; i++) {
		u->serves[i].current = 0;
		if (now - u->serves[i].seen < ROUTE_KEPT_US)
			u->serves[kept++] = u->serves[i];
	}
	u->serve_count = kept;
}

static void serves_set(struct route_upstream *u,
		       const struct upstream_report *r,
		       const struct document *d, apr_time_t now)
{
	const struct service_spec *s;
	int i;

	if (r->kind == UPSTREAM_MODEL) {
		for (i = 0; i < r->model_count; i++)
			serve_set(
				u,
				route_class(UPSTREAM_MODEL, r->models[i].name),
				r->models[i].version, now);
		return;
	}
	for (i = 0; d && i < d->service_count; i++) {
		s = &d->services[i];
		if (spec_covers(s->upstreams, s->upstream_count, r->upstream))
			serve_set(u, route_class(UPSTREAM_PLAIN, s->name), "",
				  now);
	}
}

/* Returns the row for an instance; takes one that is out of use if needed. */
static struct route_upstream *row_for(struct route_table *t,
				      const char *instance)
{
	struct route_upstream *u = route_find(t, instance);
	int i;

	if (u)
		return u;
	for (i = 0; i < t->count; i++)
		if (!t->rows[i].present && !t->rows[i].in_flight &&
		    !t->rows[i].serve_count)
			break;
	if (i == ROUTE_UPSTREAMS_MAX)
		return NULL;
	if (i == t->count)
		t->count++;
	u = &t->rows[i];
	memset(u, 0, sizeof(*u));
	snprintf(u->instance, sizeof(u->instance), "%s", instance);
	u->id_hash = place_hash_string(instance, 0);
	u->affinity_trust = 0.5;
	return u;
}

static void row_take(struct route_upstream *u, const struct upstream_report *r,
		     const struct document *d, const char *data_center,
		     apr_time_t now)
{
	if (u->boot != r->boot) {
		memset(u->slices, 0, sizeof(u->slices));
		memset(&u->breaker, 0, sizeof(u->breaker));
	}
	u->present = 1;
	u->boot = r->boot;
	snprintf(u->upstream, sizeof(u->upstream), "%s", r->upstream);
	u->name_hash = place_hash_string(r->upstream, 0);
	snprintf(u->address, sizeof(u->address), "%s", r->address);
	snprintf(u->data_center, sizeof(u->data_center), "%s", r->data_center);
	u->local = !strcmp(r->data_center, data_center);
	u->draining = r->draining;
	u->reachable = r->reachable;
	u->running = r->running;
	u->waiting = r->waiting;
	u->slots = r->slots;
	u->token_us = r->token_us;
	u->measured_at = r->heard - apr_time_from_msec(r->measured_ms);
	serves_set(u, r, d, now);
}

/*
 * Takes over what the board holds now.  Rows of agents that are no longer
 * reported stay while calls of this entry run there.
 */
void route_sync(struct route_table *t, const struct upstream_report *reports,
		int count, const struct document *d, const char *data_center,
		apr_time_t now)
{
	struct route_upstream *u;
	int i;

	for (i = 0; i < t->count; i++) {
		t->rows[i].present = 0;
		serves_expire(&t->rows[i], now);
	}
	for (i = 0; i < count; i++) {
		u = row_for(t, reports[i].instance);
		if (u)
			row_take(u, &reports[i], d, data_center, now);
	}
}

static struct route_slice *slice_of(struct route_upstream *u, apr_time_t now)
{
	int64_t number = now / ROUTE_SLICE_US;
	struct route_slice *s = &u->slices[number % ROUTE_SLICES];

	if (s->number != number) {
		s->number = number;
		s->begun = 0;
		s->ended = 0;
	}
	return s;
}

/* Notes that a call of this entry was handed over. */
void route_begun(struct route_upstream *u, apr_time_t now)
{
	slice_of(u, now)->begun++;
	u->in_flight++;
}

/* Notes that a call of this entry is over. */
void route_ended(struct route_upstream *u, apr_time_t now)
{
	slice_of(u, now)->ended++;
	u->in_flight--;
}

/* Learns from an answer whether the upstream's cache had the prefix. */
void route_cache_note(struct route_upstream *u, int hit)
{
	u->affinity_trust += ROUTE_TRUST_STEP * (hit - u->affinity_trust);
}

/* Calls at the upstream: as reported, and what this entry did since. */
static int load_now(const struct route_upstream *u, apr_time_t now)
{
	int64_t newest = now / ROUTE_SLICE_US;
	int64_t oldest = u->measured_at / ROUTE_SLICE_US;
	int i, load = u->running + u->waiting;

	for (i = 0; i < ROUTE_SLICES; i++) {
		if (u->slices[i].number >= oldest &&
		    u->slices[i].number <= newest)
			load += u->slices[i].begun - u->slices[i].ended;
	}
	return load > u->in_flight ? load : u->in_flight;
}

static double call_time(const struct route_upstream *u)
{
	if (u->token_us > 0)
		return (double)u->token_us * ROUTE_CALL_TOKENS;
	return ROUTE_PLAIN_US;
}

static double wait_at(const struct route_upstream *u, double load)
{
	int slots = u->slots > 0 ? u->slots : ROUTE_PLAIN_SLOTS;
	double token = u->token_us > 0 ? u->token_us : ROUTE_PLAIN_US;

	if (load < slots)
		return token * load / slots;
	return token + call_time(u) * (load - slots + 1) / slots;
}

/*
 * Estimates how long a call would wait for its first token, by what is known
 * of this upstream alone.  While slots are free the wait grows a little with
 * the load, so that calls spread.
 */
double route_wait(const struct route_upstream *u, apr_time_t now)
{
	return wait_at(u, load_now(u, now));
}

/* Means over the candidates, that an old report is drawn towards. */
struct route_means {
	double load;
	double own;
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
	double age = (double)(now - u->measured_at) / call_time(u);
	double trust = 1 / (1 + age * age);
	double load = m->load + trust * (load_now(u, now) - m->load) +
		      (1 - trust) * (u->in_flight - m->own);

	return load > u->in_flight ? load : u->in_flight;
}

static const char *version_served(const struct route_upstream *u,
				  uint64_t class)
{
	int i = serve_find(u, class);

	return i >= 0 && u->serves[i].current ? u->serves[i].version : NULL;
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

	if (!u->present || !version ||
	    (q->data_center && strcmp(u->data_center, q->data_center) != 0))
		return MISS_SERVES;
	if (u->draining)
		return MISS_LEAVING;
	if (is_excluded(u, q))
		return MISS_TRIED;
	if (!u->reachable || breaker_open(&u->breaker, now))
		return MISS_DOWN;
	if (q->version_strict && q->version && strcmp(version, q->version) != 0)
		return MISS_VERSION;
	return MISS_NONE;
}

/* Rank of an upstream for a session or prefix; the highest is preferred. */
static uint64_t affinity_rank(uint64_t affinity, uint64_t name_hash)
{
	return place_hash(&affinity, sizeof(affinity), name_hash);
}

/* Returns the index of the name that is first for an affinity, -1 for none. */
static int affinity_first(const char *const *names, int count,
			  uint64_t affinity)
{
	uint64_t rank, best_rank = 0;
	int i, best = -1;

	for (i = 0; affinity && i < count; i++) {
		rank = affinity_rank(affinity, place_hash_string(names[i], 0));
		if (best < 0 || rank > best_rank) {
			best = i;
			best_rank = rank;
		}
	}
	return best;
}

/*
 * The two upstreams of a data center at which a request that was never seen
 * to end well may run: the first for its affinity, if it has one, and the
 * first for its fingerprint.  Upstreams that died a moment ago count, so
 * that their death does not widen the choice.  Returns how many there are.
 */
int route_pair(const struct route_table *t, uint64_t class,
	       const struct digest *fp, uint64_t affinity,
	       const char *data_center, const char *names[2])
{
	const char *all[ROUTE_UPSTREAMS_MAX] = { NULL };
	int pair[2], i, n = 0, first, count = 0;

	for (i = 0; i < t->count; i++) {
		const struct route_upstream *u = &t->rows[i];

		if (serve_find(u, class) >= 0 && !u->draining &&
		    !strcmp(u->data_center, data_center))
			all[n++] = u->upstream;
	}
	crash_pair(fp, all, n, pair);
	first = affinity_first(all, n, affinity);
	if (first >= 0)
		names[count++] = all[first];
	for (i = 0; i < 2 && count < 2; i++)
		if (pair[i] >= 0 && pair[i] != first)
			names[count++] = all[pair[i]];
	return count;
}

/* Notes that an agent is leaving although it reports nothing any more. */
void route_leaving(struct route_table *t, const char *instance)
{
	struct route_upstream *u = route_find(t, instance);

	if (u)
		u->draining = 1;
}

/* Returns the nth data center that has rows, other than own, or NULL. */
const char *route_other_data_center(const struct route_table *t,
				    const char *own, int n)
{
	int i, k;

	for (i = 0; i < t->count; i++) {
		const char *name = t->rows[i].data_center;

		for (k = 0; k < i; k++)
			if (!strcmp(t->rows[k].data_center, name))
				break;
		if (k == i && strcmp(name, own) != 0 && n-- == 0)
			return name;
	}
	return NULL;
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
		local += t->rows[i].local;
	}
	for (i = 0; local && i < e->count; i++)
		if (t->rows[e->rows[i]].local)
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
	if (!have || have < q->min_serving * e->count)
		return;
	for (i = 0; i < e->count; i++)
		if (!strcmp(version_served(&t->rows[e->rows[i]], q->class),
			    q->version))
			e->rows[kept++] = e->rows[i];
	e->count = kept;
}

static void means_take(const struct route_table *t, apr_time_t now,
		       const struct eligible *e, struct route_means *m)
{
	int i;

	m->load = m->own = 0;
	for (i = 0; i < e->count; i++) {
		m->load += load_now(&t->rows[e->rows[i]], now);
		m->own += t->rows[e->rows[i]].in_flight;
	}
	m->load /= e->count;
	m->own /= e->count;
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
	bound = ROUTE_BOUNDED_LOAD * (m->load + 1.0 / e->count);
	if (bound < 1)
		bound = 1;
	for (i = 0; i < e->count; i++) {
		const struct route_upstream *u = &t->rows[e->rows[i]];

		rank = affinity_rank(q->affinity, u->name_hash);
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
		while (n < e->count) {
			pick[n] = e->rows[n];
			n++;
		}
	} else {
		pick[n++] = e->rows[random_below(r, (uint32_t)e->count)];
		pick[n++] = e->rows[random_below(r, (uint32_t)e->count)];
	}
	if (affine >= 0)
		pick[n++] = affine;
	for (i = 0; i < n; i++) {
		cost = wait_at(&t->rows[pick[i]],
			       load_estimate(&t->rows[pick[i]], now, m));
		if (pick[i] == affine)
			cost -= ROUTE_AFFINITY_BONUS_US *
				t->rows[affine].affinity_trust;
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
	enum breaker_leave leave;
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
	out->eligible = e.count;
	if (!e.count) {
		out->reason = "pair-unavailable";
		return;
	}
	out->index = candidate_pick(t, now, r, &e, &m, affine);
	u = &t->rows[out->index];
	leave = breaker_allow(&u->breaker, now);
	out->fresh = leave != BREAKER_YES;
	out->affine = out->index == affine;
	out->wait_us = route_wait(u, now);
	snprintf(out->version, sizeof(out->version), "%s",
		 version_served(u, q->class));
}
