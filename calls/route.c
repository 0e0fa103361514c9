#include "calls/route.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/digest.h"

/* Returns the hash that identifies a model or plain service in the table. */
uint64_t route_class_hash(enum upstream_kind kind, const char *name)
{
	return place_hash_string(name, (uint64_t)kind);
}

/* Initialises an empty table.  Aborts when out of memory. */
void route_table_init(struct route_table *t)
{
	t->count = 0;
	t->rows = calloc(ROUTE_UPSTREAMS_MAX, sizeof(*t->rows));
	if (!t->rows)
		abort();
}

void route_table_destroy(struct route_table *t)
{
	free(t->rows);
	t->rows = NULL;
}

/* Returns the row of an agent's instance, NULL if there is none. */
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

/* Returns the index of a class in u->classes, -1 if it is not listed. */
int route_find_class(const struct route_upstream *u, uint64_t class)
{
	int i;

	for (i = 0; i < u->class_count; i++)
		if (u->classes[i].class == class)
			return i;
	return -1;
}

static void set_class_version(struct route_upstream *u, uint64_t class,
			      const char *version, apr_time_t now)
{
	int i = route_find_class(u, class);

	if (i < 0) {
		if (u->class_count == ROUTE_CLASSES_MAX)
			return;
		i = u->class_count++;
		u->classes[i].class = class;
	}
	u->classes[i].is_current = 1;
	u->classes[i].reported_at = now;
	snprintf(u->classes[i].version, DIGEST_HEX_SIZE, "%s", version);
}

/*
 * Marks all classes as not current, and removes those last reported at least
 * ROUTE_CLASS_RETENTION_US ago.
 */
static void expire_classes(struct route_upstream *u, apr_time_t now)
{
	int i, kept = 0;

	for (i = 0; i < u->class_count; i++) {
		u->classes[i].is_current = 0;
		if (now - u->classes[i].reported_at < ROUTE_CLASS_RETENTION_US)
			u->classes[kept++] = u->classes[i];
	}
	u->class_count = kept;
}

static void set_classes(struct route_upstream *u,
			const struct upstream_report *r,
			const struct document *d, apr_time_t now)
{
	const struct service_spec *s;
	int i;

	if (r->kind == UPSTREAM_MODEL) {
		for (i = 0; i < r->model_count; i++)
			set_class_version(u,
					  route_class_hash(UPSTREAM_MODEL,
							   r->models[i].name),
					  r->models[i].version, now);
		return;
	}
	for (i = 0; d && i < d->service_count; i++) {
		s = &d->services[i];
		if (has_matching_pattern(s->upstreams, s->upstream_count,
					 r->upstream))
			set_class_version(
				u, route_class_hash(UPSTREAM_PLAIN, s->name),
				"", now);
	}
}

/*
 * Returns the row of an instance.  A new instance gets an unused row: one that
 * is not reported, has no request in flight and no class left.  Returns NULL
 * when the table is full.
 */
static struct route_upstream *find_or_add_row(struct route_table *t,
					      const char *instance)
{
	struct route_upstream *u = route_find(t, instance);
	int i;

	if (u)
		return u;
	for (i = 0; i < t->count; i++)
		if (!t->rows[i].is_present && !t->rows[i].in_flight &&
		    !t->rows[i].class_count)
			break;
	if (i == ROUTE_UPSTREAMS_MAX)
		return NULL;
	if (i == t->count)
		t->count++;
	u = &t->rows[i];
	memset(u, 0, sizeof(*u));
	snprintf(u->instance, sizeof(u->instance), "%s", instance);
	u->id_hash = place_hash_string(instance, 0);
	u->cache_hit_rate = 0.5;
	return u;
}

static void apply_report(struct route_upstream *u,
			 const struct upstream_report *r,
			 const struct document *d, const char *data_center,
			 apr_time_t now)
{
	if (u->boot != r->boot) {
		memset(&u->recent, 0, sizeof(u->recent));
		memset(&u->breaker, 0, sizeof(u->breaker));
	}
	u->is_present = 1;
	u->boot = r->boot;
	snprintf(u->upstream, sizeof(u->upstream), "%s", r->upstream);
	u->name_hash = place_hash_string(r->upstream, 0);
	snprintf(u->address, sizeof(u->address), "%s", r->address);
	snprintf(u->data_center, sizeof(u->data_center), "%s", r->data_center);
	u->is_local = !strcmp(r->data_center, data_center);
	u->is_draining = r->is_draining;
	u->is_reachable = r->is_reachable;
	u->running = r->running;
	u->waiting = r->waiting;
	u->slots = r->slots;
	u->token_us = r->token_us;
	u->measured_at = r->received_at - apr_time_from_msec(r->load_age_ms);
	set_classes(u, r, d, now);
}

/*
 * Applies the reports that the board holds now.  A row that is no longer
 * reported is reused only when this entry has no requests in flight there.
 */
void route_apply_reports(struct route_table *t,
			 const struct upstream_report *reports, int count,
			 const struct document *d, const char *data_center,
			 apr_time_t now)
{
	struct route_upstream *u;
	int i;

	for (i = 0; i < t->count; i++) {
		t->rows[i].is_present = 0;
		expire_classes(&t->rows[i], now);
	}
	for (i = 0; i < count; i++) {
		u = find_or_add_row(t, reports[i].instance);
		if (u)
			apply_report(u, &reports[i], d, data_center, now);
	}
}

/* Records that this entry sent a request to the upstream. */
void route_call_started(struct route_upstream *u, apr_time_t now)
{
	recent_record_start(&u->recent, now);
	u->in_flight++;
}

/* Records that a request of this entry has finished at the upstream. */
void route_call_finished(struct route_upstream *u, apr_time_t now)
{
	recent_record_finish(&u->recent, now);
	u->in_flight--;
}

/*
 * Updates the moving average of cache hits with one answer: hit is 1 if the
 * upstream's cache had the prefix, else 0.
 */
void route_record_cache_result(struct route_upstream *u, int hit)
{
	u->cache_hit_rate += ROUTE_CACHE_HIT_WEIGHT * (hit - u->cache_hit_rate);
}

/*
 * Returns the number of requests at the upstream: the last report plus the
 * change that this entry has caused since, and at least this entry's own
 * requests in flight.
 */
int route_compute_load(const struct route_upstream *u, apr_time_t now)
{
	int load = u->running + u->waiting +
		   recent_in_flight_change(&u->recent, u->measured_at, now);

	return load > u->in_flight ? load : u->in_flight;
}

/* Returns the duration of a typical request, in microseconds. */
double route_typical_call_us(const struct route_upstream *u)
{
	if (u->token_us > 0)
		return (double)u->token_us * ROUTE_TYPICAL_CALL_TOKENS;
	return ROUTE_PLAIN_DEFAULT_CALL_US;
}

/*
 * Estimates the wait for the first token, in microseconds, with load requests
 * at the upstream.
 */
double route_wait_at_load(const struct route_upstream *u, double load)
{
	int slots = u->slots > 0 ? u->slots : ROUTE_PLAIN_DEFAULT_SLOTS;
	double token =
		u->token_us > 0 ? u->token_us : ROUTE_PLAIN_DEFAULT_CALL_US;

	if (load < slots)
		return token * load / slots;
	return token + route_typical_call_us(u) * (load - slots + 1) / slots;
}

/*
 * Estimates how long a request waits for its first token, in microseconds,
 * from the data of this upstream alone.  While slots are free the wait grows
 * slightly with the load, so that requests spread over the upstreams.
 */
double route_estimate_wait(const struct route_upstream *u, apr_time_t now)
{
	return route_wait_at_load(u, route_compute_load(u, now));
}
