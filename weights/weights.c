#include "weights/weights.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/metric.h"
#include "weights/internal.h"

#define STEP_US (10 * 1000)
#define STEP_IDLE_US (50 * 1000) /* nothing to fetch, send or order */
#define CONTROLLER "weights"
#define PUBLISH_US (100 * 1000)
#define STAGING_RETRY_US (500 * 1000)
#define STAGING_RETRY_UNLISTED_US (100 * 1000) /* not listed yet */
#define STATE_PERIOD_US APR_USEC_PER_SEC
#define STATE_PERIOD_STORE_US (50 * 1000) /* entries route by this state */
#define RECEIVE_BURST_S 0.25
#define SEND_BURST_S 0.05
#define CACHE_MEMORY_DIVISOR 8 /* cache size: memory limit divided by this */
#define REQUEST_BODY_MAX_BYTES 0
#define STATE_VALID_US (1000 * 1000) /* age limit of the engine state */

static struct weights component;

/*
 * Returns the row of a wanted version, or NULL. The caller holds the lock of
 * the models.
 */
struct model_row *model_find_by_digest(struct weights *w,
				       const struct digest *d)
{
	struct handle h = HANDLE_NONE;
	struct model_row *m;

	while ((m = table_next(&w->models, &h)))
		if (m->is_wanted && digest_equal(&m->version, d))
			return m;
	return NULL;
}

/* Fills in the terms by which the engine and the origin address a chunk. */
void weights_locate_chunk(const struct model_row *m, uint32_t chunk,
			  struct chunk_location *out)
{
	const struct swarm *s = m->swarm;

	memset(out, 0, sizeof(*out));
	out->model = m->name;
	out->release = m->release;
	out->digest = &s->chunks[chunk].digest;
	out->source = s->manifest->source;
	while (s->chunk_by_position[out->position] != chunk)
		out->position++;
}

/*
 * Returns the length of a chunk that is verified and staged, or 0, and its
 * path at the engine. Sets *is_unsent when the chunk was not sent before.
 */
int weights_find_held_chunk(struct weights *w, const struct digest *d,
			    char path[ENGINE_PATH_SIZE], int *is_unsent)
{
	struct handle h = HANDLE_NONE;
	struct chunk_location place;
	struct swarm_chunk *c;
	struct model_row *m;
	int at, length = 0;

	table_lock(&w->models);
	while (!length && (m = table_next(&w->models, &h))) {
		at = m->swarm ? swarm_find_chunk(m->swarm, d) : -1;
		if (at < 0 || m->swarm->chunks[at].status != CHUNK_HELD)
			continue;
		c = &m->swarm->chunks[at];
		length = (int)c->length;
		weights_locate_chunk(m, (uint32_t)at, &place);
		w->ops->make_read_path(&place, path);
		*is_unsent = !c->is_sent;
		c->is_sent = 1;
	}
	table_unlock(&w->models);
	return length;
}

/* Returns 1 while a chunk whose upload was requested may be sent. */
int weights_is_chunk_sendable(struct weights *w, const struct digest *d)
{
	struct handle h = HANDLE_NONE;
	struct model_row *m;
	int at, is_held = w->ops->has_digest_staging;

	table_lock(&w->models);
	while (!is_held && (m = table_next(&w->models, &h))) {
		at = m->swarm ? swarm_find_chunk(m->swarm, d) : -1;
		is_held = at >= 0 && m->swarm->chunks[at].status == CHUNK_HELD;
	}
	table_unlock(&w->models);
	return is_held;
}

/* Marks a staged chunk that no longer matches its digest as missing. */
void weights_mark_corrupt(struct weights *w, const struct digest *d)
{
	struct handle h = HANDLE_NONE;
	struct model_row *m;

	metric_count("weights_corrupt_chunks", "engine", 1);
	log_warning("chunk-verify", w->node->settings.upstream_url,
		    "a staged chunk does not match its digest; "
		    "fetching it again");
	table_lock(&w->models);
	while ((m = table_next(&w->models, &h)))
		if (m->swarm)
			swarm_mark_lost(m->swarm, d);
	table_unlock(&w->models);
}

static struct model_row *model_find_by_name(struct weights *w, const char *name)
{
	struct handle h = HANDLE_NONE;
	struct model_row *m;

	while ((m = table_next(&w->models, &h)))
		if (!strcmp(m->name, name))
			return m;
	return NULL;
}

/*
 * Returns 1 when the engine's staging need not be listed for a version that
 * becomes wanted: it stages by position and is known to hold nothing but
 * chunks of other versions.
 */
static int is_staging_foreign(const struct weights *w,
			      const struct model_row *m,
			      const struct digest *version, uint64_t release)
{
	const struct swarm *s = m->swarm ? m->swarm : m->previous_swarm;

	if (w->ops->has_digest_staging)
		return 0;
	if (m->is_staging_listed && release > m->release_max)
		return 1;
	return s && swarm_is_complete(s) &&
	       !digest_equal(&s->manifest->id, version);
}

static void log_superseded_version(const struct model_row *m,
				   const char *version)
{
	if (*m->version_hex && m->state != ACTIVATION_SERVING)
		log_info("weights", m->name,
			 "document names version %.12s; dropping %.12s, of "
			 "which %u chunks are here",
			 version, m->version_hex,
			 m->swarm ? m->swarm->held_count : 0);
}

/*
 * Switches to another version at once, whatever is under way for the one
 * before; the old swarm stays for its chunks. An order that the engine may
 * still accept and chunk writes in flight cannot be taken back.
 */
static void model_set_version(struct weights *w, struct model_row *m,
			      const char *version, uint64_t release,
			      apr_time_t declared_at)
{
	struct digest digest;

	if (!strcmp(m->version_hex, version) || digest_parse(version, &digest))
		return;
	log_superseded_version(m, version);
	m->is_staging_listed = is_staging_foreign(w, m, &digest, release);
	m->version = digest;
	m->release = release;
	if (release > m->release_max)
		m->release_max = release;
	m->superseded_writes += m->writes;
	m->writes = 0;
	snprintf(m->version_hex, sizeof(m->version_hex), "%s", version);
	m->swarm_id = ++w->next_swarm_id;
	if (m->swarm) {
		swarm_free(m->previous_swarm);
		m->previous_swarm = m->swarm;
		m->swarm = NULL;
	}
	m->is_manifest_requested = 0;
	m->manifest_attempts = 0;
	m->manifest_not_before = 0;
	m->manifest_started_at = 0;
	free(m->manifest_unconfirmed);
	m->manifest_unconfirmed = NULL;
	m->is_exchange_urgent = 0;
	m->completed_at = 0;
	m->view_signature = 0;
	memset(&m->verify, 0, sizeof(m->verify));
	w->has_unplaced_version = 1;
	activation_set_version(&m->activation, version, declared_at);
	transfers_end_superseded(w);
}

/*
 * The default intervals suit a distribution of 20 s. Where a release has a
 * time limit, 0.4 of it is for the chunks and the rest for loading the
 * upstreams in turn.
 */
static double policy_scale(const struct settings *s)
{
	return s->platform == PLATFORM_STORE ? 0.4 * s->release_ms / 20000 : 1;
}

static void model_apply_spec(struct weights *w, const struct model_spec *spec,
			     uint64_t revision, apr_time_t now)
{
	struct model_row *m = model_find_by_name(w, spec->name);
	struct model_row fresh;

	if (!m) {
		memset(&fresh, 0, sizeof(fresh));
		snprintf(fresh.name, sizeof(fresh.name), "%s", spec->name);
		fresh.view.self = -1;
		fresh.activation.loader_bit = ACTIVATE_NOT_LOADER;
		if (handle_is_none(table_add(&w->models, &fresh))) {
			log_error("models", spec->name,
				  "more than %d models on one upstream; "
				  "ignoring this model",
				  WEIGHTS_MODELS_MAX);
			return;
		}
		m = model_find_by_name(w, spec->name);
	}
	m->is_wanted = 1;
	m->priority = spec->priority;
	m->first_loaders = spec->first_loader_count;
	m->policy.time_weight = spec->time_weight;
	m->policy.permits_max = (int)spec->max_origin_copies;
	m->policy.scale = policy_scale(&w->node->settings);
	m->revision = revision;
	snprintf(m->origin, sizeof(m->origin), "%s",
		 spec->origin ? spec->origin : w->node->settings.store_url);
	m->activation.fence = revision;
	model_set_version(w, m, spec->version, spec->release,
			  spec->declared_at ? spec->declared_at : now);
}

/* Frees the models that no document names and that have no order running. */
static void remove_unwanted_models(struct weights *w)
{
	struct handle h = HANDLE_NONE;
	struct model_row *m;

	while ((m = table_next(&w->models, &h))) {
		if (m->is_wanted || m->activation.is_ordering || m->writes ||
		    m->superseded_writes)
			continue;
		swarm_free(m->swarm);
		swarm_free(m->previous_swarm);
		free(m->manifest_unconfirmed);
		place_view_clear(&m->view);
		table_remove(&w->models, h);
		w->is_cleanup_due = 1;
	}
}

/* Applies the current document if its revision is newer. */
static void apply_document(struct weights *w, apr_time_t now)
{
	const struct settings *s = &w->node->settings;
	struct document *d = board_document(&w->node->board);
	struct handle h = HANDLE_NONE;
	struct model_row *m;
	int i;

	if (!d)
		return;
	table_lock(&w->models);
	if (d->revision > w->revision) {
		w->revision = d->revision;
		while ((m = table_next(&w->models, &h)))
			m->is_wanted = 0;
		for (i = 0; i < d->model_count; i++)
			if (is_model_assigned(&d->models[i], s->upstream_name,
					      s->data_center))
				model_apply_spec(w, &d->models[i], d->revision,
						 now);
	}
	remove_unwanted_models(w);
	table_unlock(&w->models);
	document_unref(d);
}

/* Marks the verified chunks of the previous version as held. */
static void reuse_previous_chunks(struct model_row *m, apr_time_t now)
{
	struct swarm *s = m->swarm, *f = m->previous_swarm;
	uint32_t i;
	int at;

	for (i = 0; i < f->chunk_count; i++) {
		if (f->chunks[i].status != CHUNK_HELD)
			continue;
		at = swarm_find_chunk(s, &f->chunks[i].digest);
		if (at >= 0 && s->chunks[at].status == CHUNK_MISSING)
			swarm_mark_held(s, (uint32_t)at, now);
	}
	swarm_free(f);
	m->previous_swarm = NULL;
}

static void model_step_activation(struct weights *w, struct handle h,
				  struct model_row *m, apr_time_t now)
{
	struct activation *a = &m->activation;
	uint32_t loaded = a->loaded_mask, crashed = a->crashed_mask;
	enum activation_state before, state;

	a->pause_end = w->node->pause_end;
	a->load_time_limit = w->node->settings.platform == PLATFORM_STORE
				     ? w->node->settings.release_ms * 1000LL
				     : 0;
	a->is_complete = swarm_is_complete(m->swarm) && m->is_staging_listed;
	if (a->is_complete && !m->completed_at) {
		m->completed_at = now;
		log_info("weights", m->name, "version %.12s is complete",
			 m->version_hex);
	}
	a->completed_at = m->completed_at;
	a->loaded_mask |= m->swarm->loaded_mask;
	a->crashed_mask |= m->swarm->crashed_mask;
	before = m->state;
	state = activation_step(a, now);
	if (state == ACTIVATION_READY &&
	    (!m->open_order || m->open_order == m->swarm_id) &&
	    (w->ops->has_digest_staging ||
	     (!m->superseded_writes &&
	      weights_is_staging_verified(w, h, m, now))))
		engine_load(w, h, m, now);
	m->state = state;
	if (state != before && state == ACTIVATION_SERVING) {
		w->is_cleanup_due = 1;
		log_info("engine-order", m->name,
			 "version %.12s runs, %lld ms after the order, %lld ms "
			 "after it was declared",
			 m->version_hex,
			 a->ordered_at ? (long long)(now - a->ordered_at) / 1000
				       : 0LL,
			 (long long)(now - a->declared_at) / 1000);
	}
	if (state != before && state == ACTIVATION_HALTED)
		log_error("activate", m->name,
			  "version %.12s crashed the engine of a first loader; "
			  "not loading it on other upstreams",
			  m->version_hex);
	m->is_exchange_urgent |=
		a->loaded_mask != loaded || a->crashed_mask != crashed;
	m->swarm->loaded_mask = a->loaded_mask;
	m->swarm->crashed_mask = a->crashed_mask;
}

static void model_step(struct weights *w, struct handle h, struct model_row *m,
		       apr_time_t now)
{
	if (!m->is_wanted)
		return;
	manifest_fetch_step(w, h, m, now);
	if (!m->swarm)
		return;
	if (m->previous_swarm && w->ops->has_digest_staging)
		reuse_previous_chunks(m, now);
	model_step_activation(w, h, m, now);
}

static void set_cross_rate(struct weights *w, const struct model_row *m,
			   apr_time_t now)
{
	const struct place_view *v = &m->view;
	const struct settings *s = &w->node->settings;
	int i, carriers = 0;

	if (v->self < 0)
		return;
	for (i = 0; i < PLACE_CARRIERS_MAX; i++)
		carriers +=
			v->carriers[v->members[v->self].data_center][i] >= 0;
	pace_set_rate(&w->cross,
		      (double)s->cross_rate * s->transfer_share /
			      (carriers ? carriers : 1),
		      now);
}

/* Transfers may use the full link while the engine has no requests. */
static void update_paces(struct weights *w, apr_time_t now)
{
	const struct settings *s = &w->node->settings;
	int has_requests = !w->ops->reports_load || w->engine.running_count ||
			   w->engine.waiting_count;
	double share = has_requests ? s->transfer_share * w->throttle.share : 1;

	w->send_rate_bytes_s = share * (double)s->link_rate;
	pace_set_rate(&w->receive, w->send_rate_bytes_s, now);
}

static int is_idle(struct weights *w)
{
	struct handle h = HANDLE_NONE;
	const struct model_row *m;
	int idle = !upload_count_active(w);

	table_lock(&w->models);
	while ((m = table_next(&w->models, &h)))
		idle &= !m->is_wanted || m->state == ACTIVATION_SERVING;
	table_unlock(&w->models);
	return idle;
}

static void weights_step(void *arg, apr_time_t now)
{
	struct weights *w = arg;
	struct handle h = HANDLE_NONE;
	struct model_row *m;
	int has_unlisted = 0;

	apply_document(w, now);
	update_paces(w, now);
	view_refresh(w, now);
	table_lock(&w->models);
	while ((m = table_next(&w->models, &h))) {
		model_step(w, h, m, now);
		set_cross_rate(w, m, now);
		has_unlisted |= m->swarm && !m->is_staging_listed;
	}
	if ((has_unlisted || w->is_cleanup_due ||
	     __atomic_load_n(&w->is_staging_full, __ATOMIC_RELAXED)) &&
	    now - w->staging_listed_at > (has_unlisted
						  ? STAGING_RETRY_UNLISTED_US
						  : STAGING_RETRY_US)) {
		w->staging_listed_at = now;
		engine_list_staging(w);
	}
	transfers_unpark(w, now);
	transfers_start(w, now);
	exchange_step(w, now);
	if (w->models.count || w->engine_query_period < STATE_PERIOD_US)
		engine_step(w, now);
	if (now - w->published_at >= PUBLISH_US) {
		w->published_at = now;
		weights_publish(w);
	}
	table_unlock(&w->models);
	upload_step(w, now);
	node_set_period(w->node, CONTROLLER,
			is_idle(w) ? STEP_IDLE_US : STEP_US);
}

/* See weights.h. */
int weights_can_serve(struct node *n, const char *model,
		      char version[DIGEST_HEX_SIZE])
{
	struct weights *w = &component;
	struct model_row *m;
	int can_serve = 0;

	if (w->node != n)
		return 0;
	table_lock(&w->models);
	m = model_find_by_name(w, model);
	if (m && m->is_wanted && activation_can_serve(&m->activation)) {
		snprintf(version, DIGEST_HEX_SIZE, "%s",
			 m->activation.running_version);
		can_serve = 1;
	}
	table_unlock(&w->models);
	return can_serve;
}

/* See weights.h. */
int weights_get_engine_state(struct node *n, struct engine_state *out,
			     apr_time_t now)
{
	struct weights *w = &component;
	int is_known;

	table_lock(&w->models);
	is_known = w->node == n && w->engine_answered_at &&
		   now - w->engine_answered_at < STATE_VALID_US;
	*out = w->engine;
	table_unlock(&w->models);
	return is_known ? 0 : -1;
}

static void init_paces(struct weights *w, apr_time_t now)
{
	const struct settings *s = &w->node->settings;
	double burst = RECEIVE_BURST_S * policy_scale(s);

	w->send_rate_bytes_s = (double)s->link_rate * s->transfer_share;
	pace_init(&w->receive, w->send_rate_bytes_s,
		  w->send_rate_bytes_s * burst, now);
	pace_init(&w->send, w->send_rate_bytes_s,
		  w->send_rate_bytes_s * SEND_BURST_S, now);
	pace_init(&w->cross, (double)s->cross_rate,
		  (double)s->cross_rate * burst, now);
	throttle_init(&w->throttle);
	transfer_window_init(&w->window, SWARM_PULLS_MAX + SWARM_CARRIES_MAX +
						 SWARM_ORIGIN_FETCHES_MAX);
}

/* See weights.h. */
int weights_start(struct node *n, const struct engine_ops *ops,
		  struct error *err)
{
	struct weights *w = &component;

	if (n->settings.upstream_kind == UPSTREAM_PLAIN)
		return 0;
	w->node = n;
	w->ops = ops;
	w->engine_query_period = n->settings.platform == PLATFORM_STORE
					 ? STATE_PERIOD_STORE_US
					 : STATE_PERIOD_US;
	table_init(&w->models, "models", RANK_MODEL, sizeof(struct model_row),
		   WEIGHTS_MODELS_MAX);
	pthread_mutex_init(&w->upload_mutex, NULL);
	blob_cache_init(&w->cache, (size_t)n->settings.memory_limit /
					   CACHE_MEMORY_DIVISOR);
	init_paces(w, clock_now());
	if (exchange_start(w))
		return error_set(err, ERROR_INTERNAL, "weights-start", NULL,
				 "too many kinds of messages");
	node_add_route(n, "GET", "/chunks/", REQUEST_BODY_MAX_BYTES,
		       upload_serve, w);
	node_add_route(n, "GET", "/manifests/", REQUEST_BODY_MAX_BYTES,
		       manifest_serve, w);
	node_add_controller(n, CONTROLLER, STEP_US, weights_step, w);
	node_add_status(n, "weights", weights_status, w);
	node_add_drain(n, "weights-uploads", upload_count_active, w);
	node_add_stop(n, transfers_stop, w);
	return 0;
}
