#include "forward/target.h"

#include <stdio.h>
#include <string.h>

/* What the platform's list and the agents' reports tell about upstreams. */

/*
 * Number of reports over which clock_offset follows the drift between the
 * clocks of two machines.
 */
#define CLOCK_DRIFT_REPORTS 512

/*
 * When at least MASS_EXPIRY_MIN and more than half of a service's entries
 * disappear from the list at once, they have expired while the platform's store
 * was unavailable. Running servers are listed again within two seconds.
 */
#define MASS_EXPIRY_MIN 2
#define MASS_EXPIRY_GRACE_US (2 * APR_USEC_PER_SEC)

/* Returns a free row, or NULL. Rows of requests in flight are not free. */
static struct target *allocate_row(struct target_table *t)
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

/* Copies the notice that is in force for the row's process into the row. */
static void copy_notice(const struct notice_table *t, struct target *u)
{
	const struct notice *n = notice_find(t, u->id, u->started_ms);

	u->has_announced_end = n && n->is_leaving;
	u->paused_until = n ? n->paused_until : 0;
	if (n && n->is_limited)
		limit_start(&u->limit, n->limit_per_s, n->limited_since);
	else
		u->limit.is_limited = 0;
}

/* Computes what this entry may send to an upstream that named a limit. */
static void update_share(const struct target_table *t, struct target *u,
			 apr_time_t now)
{
	const char *self = t->present_count ? t->entries[0].id : "";

	if (!u->limit.is_limited)
		return;
	limit_set_share(
		&u->limit,
		t->present_count
			? limit_compute_share(t->entries, t->present_count,
					      self, u->id, u->data_center,
					      u->limit.limit_per_s)
			: u->limit.limit_per_s,
		limit_compute_trial_period(t->present_count, self, u->id), now);
}

/*
 * Counts the entries that may send to the upstream if it is cold. Entries that
 * are known but not seen count too: they may just be cut off from this one.
 */
static void update_cold_entries(const struct target_table *t, struct target *u)
{
	struct cold_entries *e = &u->cold_entries;
	const char *self = t->known_count ? t->entries[0].id : "";
	int i;

	memset(e, 0, sizeof(*e));
	for (i = 0; i < t->known_count; i++)
		e->local += !strcmp(t->entries[i].data_center, u->data_center);
	e->remote = t->known_count - e->local;
	e->local_rank = limit_rank_entry(t->entries, t->known_count, self,
					 u->id, u->data_center);
	e->remote_rank =
		limit_rank_entry(t->entries, t->known_count, self, u->id, NULL);
	e->assumed = t->entries_assumed;
}

/*
 * Sets the entries that share limits, this one first, then others that are
 * present, then others that are known; takes them over.
 */
void target_set_entries(struct target_table *t, struct limit_entry *entries,
			int present, int known, apr_time_t now)
{
	int i;

	free(t->entries);
	t->entries = entries;
	t->present_count = present;
	t->known_count = known;
	for (i = 0; i < t->count; i++) {
		if (!t->rows[i].is_used)
			continue;
		update_share(t, &t->rows[i], now);
		update_cold_entries(t, &t->rows[i]);
	}
}

/* Applies what a listed entry that is newer than the last says. */
static void apply_cold_time(struct target *u, const struct listed_upstream *x,
			    apr_time_t now)
{
	if (u->started_ms == x->started_ms &&
	    u->listed_sequence == x->sequence && u->listed_sequence)
		return;
	u->listed_sequence = x->sequence;
	u->cold_until = x->cold_ms > 0 ? now + x->cold_ms * 1000LL : 0;
}

static void apply_notice(struct target_table *t, const char *id)
{
	struct target *u = target_find(t, id);

	if (u)
		copy_notice(&t->notices, u);
}

/* Records that the process of an upstream announced its end in an answer. */
void target_record_leaving(struct target_table *t, const char *id,
			   int64_t started_ms, const struct notice_time *at)
{
	notice_record_leaving(&t->notices, id, started_ms, at);
	apply_notice(t, id);
}

/*
 * Records that the process of an upstream asked this entry to send nothing for
 * pause_s seconds.
 */
void target_record_pause(struct target_table *t, const char *id,
			 int64_t started_ms, double pause_s,
			 const struct notice_time *at)
{
	notice_record_pause(&t->notices, id, started_ms, pause_s, at);
	apply_notice(t, id);
}

/*
 * Records the limit that the process of an upstream names in an answer. Returns
 * 1 when it is a new one or lower than before.
 */
int target_record_limit(struct target_table *t, const char *id,
			int64_t started_ms, double limit_per_s,
			const struct notice_time *at)
{
	int is_stricter = notice_record_limit(&t->notices, id, started_ms,
					      limit_per_s, at);
	struct target *u = target_find(t, id);

	if (u && (is_stricter || u->limit.limit_per_s != limit_per_s)) {
		copy_notice(&t->notices, u);
		update_share(t, u, at->now);
	}
	return is_stricter;
}

/*
 * Records an answer without a limit to a request that was sent at asked_at.
 * Returns 1 when it ends one.
 */
int target_end_limit(struct target_table *t, const char *id, int64_t started_ms,
		     apr_time_t asked_at)
{
	if (!notice_end_limit(&t->notices, id, started_ms, asked_at))
		return 0;
	apply_notice(t, id);
	return 1;
}

static void update_evacuation(const struct target_table *t, struct target *u,
			      apr_time_t now)
{
	int was_evacuated = u->is_evacuated;

	u->is_evacuated = evacuations_contain(&t->evacuations, u->data_center);
	if (was_evacuated && !u->is_evacuated)
		u->evacuation_ended_at = now;
}

/*
 * Applies a later version of the evacuations. Returns the number of upstreams
 * that are evacuated, or -1 when the version is known.
 */
int target_set_evacuations(struct target_table *t, const struct evacuations *e,
			   apr_time_t now)
{
	int i, count = 0;

	if (e->version <= t->evacuations.version)
		return -1;
	t->evacuations = *e;
	for (i = 0; i < t->count; i++) {
		if (!t->rows[i].is_used)
			continue;
		update_evacuation(t, &t->rows[i], now);
		count += t->rows[i].is_evacuated;
	}
	return count;
}

/* Returns 1 if an upstream is cold, or may be for all that is known. */
int target_is_cold(const struct target *u, const struct cold_spec *c,
		   apr_time_t now)
{
	return c->per_s > 0 && (u->cold_until > now ||
				(u->evacuation_ended_at &&
				 now - u->evacuation_ended_at < c->lasts_us));
}

static void apply_listed_upstream(const struct target_table *t,
				  struct target *u,
				  const struct listed_upstream *x,
				  const char *data_center, apr_time_t now)
{
	/*
	 * A process restarted under the same id has no state of the earlier
	 * one.
	 */
	if (*u->id && (u->started_ms != x->started_ms ||
		       strcmp(u->address, x->address))) {
		u->reported_at = 0;
		u->full_until = 0;
		u->busy_since = 0;
		u->is_replaced = 0;
		memset(&u->health, 0, sizeof(u->health));
		memset(&u->recent, 0, sizeof(u->recent));
	}
	apply_cold_time(u, x, now);
	memcpy(u->id, x->id, sizeof(u->id));
	memcpy(u->service, x->service, sizeof(u->service));
	memcpy(u->address, x->address, sizeof(u->address));
	memcpy(u->data_center, x->data_center, sizeof(u->data_center));
	u->is_listed = 1;
	u->grace_until = 0;
	u->is_draining = x->is_draining;
	u->is_local = !strcmp(x->data_center, data_center);
	update_evacuation(t, u, now);
	u->region = region_of_data_center(t->regions, t->region_count,
					  x->data_center);
	u->slots = x->slots > 0 ? x->slots : 1;
	u->started_ms = x->started_ms;
	/* The agent's last report is more recent than the list. */
	if (u->reported_at && now - u->reported_at < TARGET_REPORT_VALID_US)
		return;
	memcpy(u->models, x->models, sizeof(u->models));
	u->model_count = x->model_count;
}

/* Returns 1 for a row that was listed before and is not listed any more. */
static int is_newly_unlisted(const struct target *u, int was_listed)
{
	return u->is_used && was_listed && !u->is_listed && !u->is_draining;
}

/*
 * Entries of running servers expire together while the platform's store is
 * unavailable, or are missing in the older copy that it returns from, and are
 * listed again soon after. Until then these servers are still used.
 */
static void grant_listing_grace(struct target_table *t, const char *was_listed,
				int is_new_epoch, apr_time_t now)
{
	int i, j;

	for (i = 0; i < t->count; i++) {
		int expired_count = 0, listed_count = 0;

		if (!is_newly_unlisted(&t->rows[i], was_listed[i]))
			continue;
		for (j = 0; j < t->count; j++) {
			const struct target *u = &t->rows[j];

			if (!u->is_used ||
			    strcmp(u->service, t->rows[i].service))
				continue;
			expired_count += is_newly_unlisted(u, was_listed[j]);
			listed_count += was_listed[j];
		}
		if (is_new_epoch || (expired_count >= MASS_EXPIRY_MIN &&
				     expired_count > listed_count / 2))
			t->rows[i].grace_until = now + MASS_EXPIRY_GRACE_US;
	}
}

/* Returns 1 for an upstream that is listed, or was until moments ago. */
int target_is_usable(const struct target *u, apr_time_t now)
{
	return u->is_listed || now < u->grace_until;
}

/*
 * Applies the platform's current list. Rows that are no longer listed stay
 * while requests to them are in flight.
 */
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
			u = allocate_row(t);
		if (!u)
			continue;
		apply_listed_upstream(t, u, &l->items[i], data_center, now);
		copy_notice(&t->notices, u);
		update_share(t, u, now);
		update_cold_entries(t, u);
	}
	grant_listing_grace(t, was_listed, l->epoch > t->listing_epoch, now);
	t->listing_epoch = l->epoch;
	for (i = 0; i < t->count; i++)
		if (!target_is_usable(&t->rows[i], now) &&
		    !t->rows[i].in_flight)
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

/* Updates from a report how much longer than normal the one-way delay is. */
static void update_report_delay(struct target *u, const struct target_report *r,
				apr_time_t now)
{
	apr_interval_time_t clock_difference = now - r->sent_at;

	if (!u->reported_at || u->agent_boot != r->agent_boot ||
	    clock_difference < u->clock_offset)
		u->clock_offset = clock_difference;
	u->report_delay = clock_difference - u->clock_offset;
	u->clock_offset += u->report_delay / CLOCK_DRIFT_REPORTS;
}

/*
 * Merges an agent's report into the table. Returns 1 when the models that the
 * upstream runs have changed, 0 when not, and -1 when the report is ignored:
 * unknown upstream, other process, or not newer than the last one.
 */
int target_merge_report(struct target_table *t, const struct target_report *r,
			apr_time_t now)
{
	struct target *u = NULL;
	int i, changed;

	for (i = 0; i < t->count && !u; i++)
		if (t->rows[i].is_used && target_is_usable(&t->rows[i], now) &&
		    !strcmp(t->rows[i].address, r->address))
			u = &t->rows[i];
	if (!u)
		return -1;
	if (r->started_ms && u->started_ms && r->started_ms != u->started_ms) {
		/* The list still names the previous process. */
		if (r->started_ms > u->started_ms)
			u->is_replaced = 1;
		return -1;
	}
	if (u->agent_boot == r->agent_boot && u->sequence >= r->sequence)
		return -1;
	update_report_delay(u, r, now);
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

/*
 * Returns 1 when another process, or a later start of the same, is at the
 * address than the upstream that started then.
 */
int target_is_replaced(const struct target_table *t, const char *id,
		       const char *address, int64_t started_ms)
{
	int is_listed = 0, is_other_listed = 0;
	int i;

	for (i = 0; i < t->count; i++) {
		const struct target *u = &t->rows[i];

		if (!u->is_used || strcmp(u->address, address))
			continue;
		if (!strcmp(u->id, id)) {
			if (u->is_replaced || u->started_ms > started_ms)
				return 1;
			is_listed = u->is_listed;
		} else if (u->is_listed) {
			if (u->started_ms > started_ms)
				return 1;
			is_other_listed = 1;
		}
	}
	return is_other_listed && !is_listed;
}
