#include "forward/forward.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/metric.h"
#include "forward/internal.h"
#include "forward/report.h"
#include "member/detect.h"
#include "member/instance.h"

#define STEP_US (40 * 1000)
/* Interval between counts of the entries. */
#define ENTRY_COUNT_PERIOD_US APR_USEC_PER_SEC
/*
 * Entries assumed in a data centre for a while after the start, until those that
 * are there have been heard of.
 */
#define ENTRIES_ASSUMED 32
#define ENTRIES_UNKNOWN_US (5 * APR_USEC_PER_SEC)
/* The moves of all entries are spread over this time. */
#define MOVE_DELAY_MAX_US (400 * 1000)
/* Maximum size of a body; the document may set a lower one. */
#define BODY_MAX_BYTES (8 * 1024 * 1024)

/*
 * Returns the delay in ms after which the caller of a refused request should
 * retry.
 */
int forward_retry_after_ms(struct forward *f, apr_time_t now)
{
	struct forwarder *w = f->w;
	int ms;

	pthread_mutex_lock(&w->mutex);
	ms = f->paused_until
		     ? admit_retry_after_pause_ms(f->paused_until - now,
						  &w->random)
		     : admit_retry_after_ms(f->wait_us, f->expires_at - now,
					    &w->random);
	pthread_mutex_unlock(&w->mutex);
	return ms;
}

/*
 * Returns the estimated wait in ms for log lines, -1 when no upstream can
 * serve.
 */
json_int_t forward_wait_ms(const struct forward *f)
{
	return f->wait_us == ADMIT_WAIT_UNKNOWN_US
		       ? -1
		       : (json_int_t)f->wait_us / 1000;
}

/*
 * Returns the time from which no request may begin on the chosen upstream's
 * release, 0 without a limit.
 */
apr_time_t forward_release_expiry(struct forward *f)
{
	struct forwarder *w = f->w;
	apr_time_t expiry;

	pthread_mutex_lock(&w->mutex);
	expiry = f->release ? release_find_expiry(&w->releases, f->head.model,
						  f->release)
			    : 0;
	pthread_mutex_unlock(&w->mutex);
	return expiry;
}

/*
 * Returns for log lines the time in ms from the last attempt to
 * forward_release_expiry, -1 without a limit.
 */
json_int_t forward_release_left_ms(struct forward *f)
{
	apr_time_t expiry = forward_release_expiry(f);

	return expiry ? (json_int_t)(expiry - f->sent_at) / 1000 : -1;
}

/*
 * Returns for log lines the deadline in ms that the upstream of the last attempt
 * received, 0 when there was none.
 */
json_int_t forward_deadline_ms(const struct forward *f)
{
	return f->attempts
		       ? (json_int_t)(f->attempt_expires_at - f->sent_at) / 1000
		       : 0;
}

static void log_new_release(const struct release_row *row,
			    const struct release_change *c, apr_time_t now)
{
	log_info("release", row->model,
		 "release %llu declared; requests may begin on older "
		 "ones for %lld ms",
		 (unsigned long long)c->release,
		 c->required_at > now ? (long long)(c->required_at - now) / 1000
				      : 0LL);
}

/* Logs the releases that the document applied at `now` made known. */
static void log_new_releases(const struct releases *r, apr_time_t now)
{
	int i, j;

	for (i = 0; i < r->count; i++) {
		const struct release_row *row = &r->rows[i];

		for (j = 0; j < row->count; j++)
			if (row->changes[j].learned_at == now)
				log_new_release(row, &row->changes[j], now);
	}
}

/*
 * Applies the releases of a document unless a later one was applied. Called with
 * the mutex held.
 */
void forward_apply_releases(struct forwarder *w, const struct document *d,
			    apr_time_t now)
{
	if (d->revision <= w->document_revision)
		return;
	w->document_revision = d->revision;
	releases_apply_document(&w->releases, d, w->node->settings.release_ms,
				now);
	log_new_releases(&w->releases, now);
}

/* Applies the current list of upstreams and the current document. */
static void apply_current_values(struct forwarder *w, apr_time_t now)
{
	struct listing *l = listing_get_current();
	struct document *d = board_document(&w->node->board);

	pthread_mutex_lock(&w->mutex);
	if (l && l->version > w->list_version) {
		w->list_version = l->version;
		target_apply_listing(&w->targets, l,
				     w->node->settings.data_center, now);
		w->has_targets = l->count > 0;
	}
	if (d)
		forward_apply_releases(w, d, now);
	pthread_mutex_unlock(&w->mutex);
	document_unref(d);
	listing_release(l);
}

/* Applies the current evacuations, if they are newer, and logs them. */
static void apply_evacuations(struct forwarder *w, apr_time_t now)
{
	struct evacuations e;
	int count;

	if (!w->node->settings.evacuate_ms)
		return;
	evacuations_get_current(&e);
	pthread_mutex_lock(&w->mutex);
	count = target_set_evacuations(&w->targets, &e, now);
	pthread_mutex_unlock(&w->mutex);
	if (count < 0)
		return;
	metric_set(metric_gauge("upstreams_evacuated", NULL), count);
	log_notice("evacuations", e.count ? e.data_centers[0] : NULL,
		   "%d data centres with %d upstreams are evacuated, version "
		   "%llu",
		   e.count, count, (unsigned long long)e.version);
}

static void fill_entry(struct limit_entry *e, const char *id,
		       const char *data_center)
{
	snprintf(e->id, sizeof(e->id), "%s", id);
	snprintf(e->data_center, sizeof(e->data_center), "%s", data_center);
}

/*
 * Appends the entries that are known but not present. Returns the number of all.
 * Called with the table locked.
 */
static int add_absent_entries(struct table *t, struct limit_entry *entries,
			      int count, apr_time_t now)
{
	struct handle at = HANDLE_NONE;
	const struct instance *row;

	while ((row = table_next(t, &at)))
		if (row->role == ROLE_ENTRY && !instance_is_present(row, now) &&
		    strcmp(row->id, entries[0].id))
			fill_entry(&entries[count++], row->id,
				   row->data_center);
	return count;
}

/* Finds the entries, which share the retry budget and limits of upstreams. */
static void count_entries(struct forwarder *w, apr_time_t now)
{
	struct table *t = &w->node->board.instances;
	struct handle at = HANDLE_NONE;
	struct limit_entry *entries;
	const struct instance *row;
	int n = 1, present = 1, known;

	if (now < w->next_entry_count_at)
		return;
	w->next_entry_count_at = now + ENTRY_COUNT_PERIOD_US;
	table_lock(t);
	entries = calloc(t->count + 1, sizeof(*entries));
	if (!entries)
		abort();
	fill_entry(&entries[0], w->node->settings.instance,
		   w->node->settings.data_center);
	while ((row = table_next(t, &at))) {
		if (row->role != ROLE_ENTRY)
			continue;
		n++;
		if (instance_is_present(row, now) &&
		    strcmp(row->id, entries[0].id))
			fill_entry(&entries[present++], row->id,
				   row->data_center);
	}
	known = add_absent_entries(t, entries, present, now);
	table_unlock(t);
	pthread_mutex_lock(&w->mutex);
	w->targets.entries_assumed =
		settings_has_seeds(&w->node->settings) &&
				now - w->node->started < ENTRIES_UNKNOWN_US
			? ENTRIES_ASSUMED
			: 0;
	target_set_entries(&w->targets, entries, present, known, now);
	w->retry_budget.entry_count = retry_budget_assume_entries(
		n, settings_has_seeds(&w->node->settings), w->node->started,
		now);
	w->targets.entry_count = n;
	pthread_mutex_unlock(&w->mutex);
}

static void forward_step(void *arg, apr_time_t now)
{
	struct forwarder *w = arg;

	count_entries(w, now);
	apply_current_values(w, now);
	apply_evacuations(w, now);
	forward_step_crashes(w, now);
	forward_check_active(w, now);
	/* The steps before may have taken a while. */
	forward_check_waiting(w, clock_now());
}

/* Controllers no longer step: nothing else would end what waits. */
static void forward_stop(void *arg)
{
	forward_stop_waiting(arg, clock_now());
}

/* Merges an agent's report about its upstream. */
static void merge_report(void *arg, const struct target_report *r)
{
	struct forwarder *w = arg;
	int changed;

	pthread_mutex_lock(&w->mutex);
	changed = target_merge_report(&w->targets, r, clock_now());
	pthread_mutex_unlock(&w->mutex);
	metric_count("reports_taken", changed < 0 ? "unused" : "used", 1);
	if (changed > 0)
		log_info("report", r->address,
			 "upstream runs %d models; the first has release %llu",
			 r->model_count,
			 (unsigned long long)r->models[0].release);
}

/*
 * Returns 0 while a request might be sent to an evacuated data centre as this
 * process has just started. Called with the mutex held.
 */
int forward_knows_evacuations(const struct forwarder *w)
{
	return !w->node->settings.evacuate_ms || w->targets.evacuations.version;
}

static int is_forward_ready(void *arg)
{
	struct forwarder *w = arg;
	int ready;

	pthread_mutex_lock(&w->mutex);
	ready = w->document_revision && w->has_targets &&
		forward_knows_evacuations(w);
	pthread_mutex_unlock(&w->mutex);
	return ready;
}

static int count_active_calls(void *arg)
{
	struct forwarder *w = arg;

	return w->node->http ? httpd_active(w->node->http) : 0;
}

static json_t *target_json(const struct target *u, apr_time_t now)
{
	apr_interval_time_t pause =
		u->paused_until > now ? u->paused_until - now : 0;
	json_t *o;

	o = json_pack("{s:s,s:s,s:s,s:b,s:b,s:b,s:I,s:b,s:i,s:i,s:i,s:i}",
		      "upstream", u->id, "service", u->service, "data_center",
		      u->data_center, "leaving", u->is_draining, "evacuated",
		      u->is_evacuated, "announced_end", u->has_announced_end,
		      "paused_ms", (json_int_t)(pause / 1000), "ejected",
		      !health_can_send(&u->health, now), "in_flight",
		      u->in_flight, "running", u->running, "waiting",
		      u->waiting, "slots", u->slots);
	if (u->limit.is_limited) {
		json_object_set_new(o, "limit_per_s",
				    json_real(u->limit.limit_per_s));
		json_object_set_new(o, "limit_share_per_s",
				    json_real(u->limit.share_per_s));
	}
	return o;
}

static json_t *forward_status(void *arg)
{
	struct forwarder *w = arg;
	json_t *rows = json_array();
	apr_time_t now = clock_now();
	json_t *o;
	int i;

	pthread_mutex_lock(&w->mutex);
	for (i = 0; i < w->targets.count; i++)
		if (w->targets.rows[i].is_used)
			json_array_append_new(
				rows, target_json(&w->targets.rows[i], now));
	o = json_pack("{s:i,s:I,s:o}", "in_flight", w->active_count,
		      "list_version", (json_int_t)w->list_version, "upstreams",
		      rows);
	pthread_mutex_unlock(&w->mutex);
	return o;
}

/* See forward.h. */
int forward_start(struct node *n, const struct wire_ops *wire,
		  struct error *err)
{
	struct forwarder *w = calloc(1, sizeof(*w));

	if (!w)
		abort();
	w->node = n;
	w->wire = wire;
	pthread_mutex_init(&w->mutex, NULL);
	pthread_mutex_init(&w->watch_mutex, NULL);
	crash_watch_init(&w->watch);
	random_seed(&w->random, random_next(&n->random));
	w->move_delay_us = random_below(&w->random, MOVE_DELAY_MAX_US);
	target_table_init(&w->targets);
	w->targets.regions = n->settings.regions;
	w->targets.region_count = n->settings.region_count;
	w->retry_budget.ratio = n->settings.retry_ratio;
	w->retry_budget.window_s = n->settings.retry_window_s;
	w->retry_budget.slack = n->settings.retry_slack;
	w->retry_budget.entry_count = retry_budget_assume_entries(
		1, settings_has_seeds(&n->settings), n->started, n->started);
	w->releases.started_at = clock_now();
	node_add_route(n, NULL, "/", BODY_MAX_BYTES, forward_serve, w);
	node_add_stop(n, forward_stop, w);
	node_add_controller(n, "forward", STEP_US, forward_step, w);
	node_add_status(n, "forward", forward_status, w);
	node_add_ready(n, "upstreams", is_forward_ready, w);
	node_add_drain(n, "forward", count_active_calls, w);
	if (crash_start_entries(n, &w->crashes, err))
		return -1;
	return report_receive_start(n, merge_report, w, err);
}
