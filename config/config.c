#include "config/config.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/metric.h"
#include "config/component.h"
#include "config/declared.h"
#include "config/document.h"
#include "config/heartbeat.h"
#include "config/repair.h"
#include "member/detect.h"
#include "member/instance.h"

#define CONFIG_QUEUE_LIMIT 512
#define CONTROLLER_PERIOD_US (50 * 1000)
#define MEMBERS_UPDATE_PERIOD_US (500 * 1000)

static struct config config;

/* Decides which actions are due and starts them.  Any thread. */
void config_run_decisions(struct config *c)
{
	struct spread_actions actions;

	pthread_mutex_lock(&c->mutex);
	actions.count = 0;
	if (!c->is_stopping)
		spread_decide(&c->spread, clock_now(), &c->random, &actions);
	pthread_mutex_unlock(&c->mutex);
	config_start_actions(c, &actions);
}

static void record_change(struct value_state *v, uint64_t version,
			  const char *source)
{
	struct value_change *ch = &v->changes[v->change_count++ % CHANGES_MAX];

	ch->version = version;
	ch->at = apr_time_now();
	snprintf(v->source, sizeof(v->source), "%s", source);
}

/*
 * Stores an applied text.  The caller holds the mutex.  Returns 0, without
 * storing it, if version is not above the current one.
 */
static int store_text(struct config *c, int value, uint64_t version,
		      const char *text, size_t size, const char *source)
{
	struct value_state *v = &c->values[value];
	struct digest digest;

	if (version <= c->spread.values[value].version)
		return 0;
	texts_add(&v->texts, version, text, size, &digest);
	v->needs_full_text = 0;
	record_change(v, version, source);
	spread_record_applied(&c->spread, value, version, &digest, clock_now());
	return 1;
}

/* Returns 1 if a text is the current one, which needs no check. */
static int is_current_text(struct config *c, int value, const char *text,
			   size_t size)
{
	struct digest digest;
	int is_current;

	digest_of(text, size, &digest);
	pthread_mutex_lock(&c->mutex);
	is_current = c->spread.values[value].version &&
		     digest_equal(&digest, &c->spread.values[value].digest);
	c->values[value].old_count += (unsigned)is_current;
	pthread_mutex_unlock(&c->mutex);
	return is_current;
}

/* Returns 1 if the text was valid and newer, and was applied. */
static int check_and_apply(struct config *c, int value, const char *text,
			   size_t size, const struct text_source *source)
{
	struct value_state *v = &c->values[value];
	enum value_verdict verdict;
	apr_time_t started_at;
	struct digest digest;
	uint64_t version = 0;
	char *repaired = NULL;
	int is_applied = 0;

	started_at = clock_thread_time();
	verdict = v->ops->apply(v->arg, text, size, source, &version);
	if (verdict == VALUE_INVALID && source->is_accepted && v->ops->repair)
		repaired = v->ops->repair(v->arg, text, size);
	if (repaired) {
		struct text_source again = *source;

		again.root = NULL;
		text = repaired;
		size = strlen(text);
		verdict = v->ops->apply(v->arg, text, size, &again, &version);
	}
	metric_record(metric_histogram("config_step_us", "check"),
		      (uint64_t)(clock_thread_time() - started_at));
	pthread_mutex_lock(&c->mutex);
	if (verdict == VALUE_APPLIED) {
		is_applied =
			store_text(c, value, version, text, size, source->name);
	} else if (verdict == VALUE_INVALID) {
		v->invalid_count++;
		digest_of(text, size, &digest);
		if (version)
			spread_record_rejected(&c->spread, value, version,
					       &digest);
	} else {
		v->old_count++;
	}
	pthread_mutex_unlock(&c->mutex);
	if (verdict == VALUE_INVALID)
		log_warning("config-take", source->name,
			    "rejected invalid %s, revision %llu; it was not "
			    "applied",
			    v->ops->name, (unsigned long long)version);
	if (is_applied)
		log_notice("config-take", source->name,
			   "applied %s revision %llu", v->ops->name,
			   (unsigned long long)version);
	free(repaired);
	return is_applied;
}

/*
 * Checks a text and applies it if it is valid and newer than the current
 * version.  Returns 1 if it was applied.  A text that arrives from several
 * sources at once is checked once.
 */
int config_apply_text(struct config *c, int value, const char *text,
		      size_t size, const struct text_source *source)
{
	struct value_state *v = &c->values[value];
	int is_applied = 0;

	if (!v->ops)
		return 0;
	pthread_mutex_lock(&v->apply_mutex);
	if (!is_current_text(c, value, text, size))
		is_applied = check_and_apply(c, value, text, size, source);
	pthread_mutex_unlock(&v->apply_mutex);
	return is_applied;
}

static void store_faults(struct config *c, struct fault_list *faults,
			 uint64_t revision)
{
	pthread_mutex_lock(&c->mutex);
	fault_list_clear(&c->faults);
	c->faults = *faults;
	c->rejected_revision = revision;
	pthread_mutex_unlock(&c->mutex);
}

/* Returns the revision in a rejected document, 0 if it has none. */
static uint64_t parse_revision(const char *text, size_t size)
{
	json_t *root = json_loadb(text, size, 0, NULL);
	long long n = schema_integer(root, "revision", 0);

	json_decref(root);
	return n > 0 ? (uint64_t)n : 0;
}

/*
 * Completes a document with what the current one has: releases that are later,
 * and when each was declared.  Returns -1 when the current one is newer.
 */
static int merge_with_current(struct config *c, struct document *d,
			      const struct text_source *source)
{
	struct document *old = board_document(&c->node->board);
	int ret = -1;

	if (old &&
	    (old->revision >= d->revision || old->generation > d->generation))
		goto out;
	ret = 0;
	document_keep_releases(d, old);
	if (document_copy_declared(d, old) && (source->peer || !old))
		config_fetch_ages(c, d, source->peer);
	document_set_unknown_declared(
		d, old,
		document_bound_unknown(source->earliest_change_at,
				       c->node->settings.release_ms,
				       clock_now()));
out:
	document_unref(old);
	return ret;
}

static enum value_verdict apply_document(void *arg, const char *text,
					 size_t size,
					 const struct text_source *source,
					 uint64_t *version)
{
	struct config *c = arg;
	struct fault_list faults = { 0 };
	struct document *d = source->root ? document_make(source->root, &faults)
					  : document_parse(text, size, &faults);

	if (!d) {
		*version = parse_revision(text, size);
		store_faults(c, &faults, *version);
		return VALUE_INVALID;
	}
	fault_list_clear(&faults);
	*version = d->revision;
	if (merge_with_current(c, d, source) ||
	    board_document_set(&c->node->board, d)) {
		document_unref(d);
		return VALUE_OLD;
	}
	metric_set(metric_gauge("config_revision", NULL), (int64_t)*version);
	return VALUE_APPLIED;
}

/*
 * Leaves out what has faults, with a line for each of the first parts and a
 * count of all.
 */
static char *repair_document(void *arg, const char *text, size_t size)
{
	struct config *c = arg;
	struct fault_list removed = { 0 };
	char *repaired = document_repair(text, size, &removed);
	size_t i;

	for (i = 0; i < removed.count && i < STATUS_FAULTS_MAX; i++)
		log_warning("config-repair", NULL, "%s", removed.lines[i]);
	metric_count("config_parts_left_out", NULL, removed.count);
	pthread_mutex_lock(&c->mutex);
	c->left_out_count += removed.count;
	pthread_mutex_unlock(&c->mutex);
	fault_list_clear(&removed);
	return repaired;
}

static const struct value_ops document_ops = { "document", apply_document,
					       repair_document };

/* See value.h. */
void config_set_platform(const struct platform_ops *ops)
{
	config.platform = ops;
}

/* See value.h. */
void config_set_value_ops(int value, const struct value_ops *ops, void *arg)
{
	config.values[value].ops = ops;
	config.values[value].arg = arg;
}

/* See value.h. */
void config_get_overlay(struct overlay *out)
{
	pthread_mutex_lock(&config.mutex);
	*out = config.spread.overlay;
	pthread_mutex_unlock(&config.mutex);
}

static void fill_member(struct overlay_member *m, const char *id,
			enum role role, const char *data_center,
			const char *address)
{
	m->is_entry = role == ROLE_ENTRY;
	snprintf(m->id, sizeof(m->id), "%s", id);
	snprintf(m->data_center, sizeof(m->data_center), "%s", data_center);
	snprintf(m->address, sizeof(m->address), "%s", address);
	overlay_compute_scores(m);
}

/*
 * Copies the instances that are present other than self into a new array, from
 * its second element on.  Returns the number of elements, including the first.
 */
static int collect_members(struct table *t, const char *self, apr_time_t now,
			   struct overlay_member **out)
{
	struct handle at = HANDLE_NONE;
	struct overlay_member *m;
	struct instance *row;
	int n = 1;

	table_lock(t);
	m = calloc(t->count + 1, sizeof(*m));
	if (!m)
		abort();
	while ((row = table_next(t, &at))) {
		if (instance_is_present(row, now) && strcmp(row->id, self))
			fill_member(&m[n++], row->id, row->role,
				    row->data_center, row->address);
	}
	table_unlock(t);
	*out = m;
	return n;
}

/* Recomputes the overlay from the instance table. */
void config_update_members(struct config *c, apr_time_t now)
{
	const struct settings *s = &c->node->settings;
	struct overlay_member *m, self;
	int n = collect_members(&c->node->board.instances, s->instance, now,
				&m);

	fill_member(&m[0], s->instance, c->node->role, s->data_center,
		    s->address);
	self = m[0];
	pthread_mutex_lock(&c->mutex);
	spread_set_members(&c->spread, m, n, &self, &c->random);
	c->next_members_update_at = now + MEMBERS_UPDATE_PERIOD_US;
	pthread_mutex_unlock(&c->mutex);
}

static void config_step(void *arg, apr_time_t now)
{
	struct config *c = arg;

	pthread_mutex_lock(&c->mutex);
	pause_record_step(&c->pauses, now);
	spread_record_pause(&c->spread, c->pauses.ended_at);
	pthread_mutex_unlock(&c->mutex);
	heartbeat_step(c, now);
	if (now >= c->next_members_update_at)
		config_update_members(c, now);
	config_run_decisions(c);
}

static int config_is_ready(void *arg)
{
	struct config *c = arg;
	int ready;

	pthread_mutex_lock(&c->mutex);
	if (!c->is_ready)
		c->is_ready = spread_is_ready(&c->spread, clock_now());
	ready = c->is_ready;
	pthread_mutex_unlock(&c->mutex);
	return ready;
}

static void config_stop(void *arg)
{
	struct config *c = arg;

	pthread_mutex_lock(&c->mutex);
	c->is_stopping = 1;
	pthread_mutex_unlock(&c->mutex);
	worker_pool_stop(c->notice_pool);
	worker_pool_stop(c->text_pool);
	c->notice_pool = NULL;
	c->text_pool = NULL;
}

static void value_state_init(struct value_state *v)
{
	texts_init(&v->texts);
	pthread_mutex_init(&v->apply_mutex, NULL);
}

/* See config.h. */
int config_start(struct node *n, struct error *err)
{
	struct config *c = &config;
	apr_time_t now = clock_now();
	int i;

	c->node = n;
	if (!c->platform)
		c->platform = &platform_service_ops;
	pthread_mutex_init(&c->mutex, NULL);
	random_seed(&c->random, random_next(&n->random));
	spread_init(&c->spread, n->settings.address, now);
	for (i = 0; i < SPREAD_VALUE_COUNT; i++)
		value_state_init(&c->values[i]);
	if (n->settings.platform == PLATFORM_STORE)
		c->spread.watch_hold_ms = SPREAD_WATCH_HOLD_SHORT_MS;
	if (n->settings.evacuate_ms)
		c->spread.value_count = SPREAD_VALUE_COUNT;
	for (i = 0; i < n->settings.seed_count; i++)
		spread_add_start_peer(&c->spread, n->settings.seeds[i]);
	config_set_value_ops(SPREAD_DOCUMENT, &document_ops, c);
	c->notice_pool =
		worker_pool_start(SPREAD_NOTICE_THREADS, CONFIG_QUEUE_LIMIT);
	c->text_pool =
		worker_pool_start(SPREAD_TEXT_THREADS, CONFIG_QUEUE_LIMIT);
	if (!c->notice_pool || !c->text_pool || rpc_server_add(config_kinds, c))
		return error_set(err, ERROR_INTERNAL, "config-start", NULL,
				 "cannot start worker threads or register the "
				 "message kinds");
	node_add_controller(n, "config", CONTROLLER_PERIOD_US, config_step, c);
	node_add_status(n, "config", config_status, c);
	node_add_operator_route(n, "GET", "/config/changes", 0,
				config_serve_changes, c);
	node_add_ready(n, "configuration", config_is_ready, c);
	node_add_stop(n, config_stop, c);
	return 0;
}
