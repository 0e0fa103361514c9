#include "weights/internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/metric.h"

/*
 * Fetches the manifest of a wanted version. The holders of its permits request
 * it from the origin, one after the other; all other instances request it from
 * peers until one has it.
 */

#define MANIFEST_RETRY_US (60 * 1000)
#define MANIFEST_RETRY_SPREAD_US (60 * 1000)
#define MANIFEST_RETRY_MAX_US (2 * APR_USEC_PER_SEC)
/* Time that each permit holder has before the next one asks the origin. */
#define MANIFEST_PERMIT_INTERVAL_US APR_USEC_PER_SEC
/* Time after which an instance without a permit asks the origin. */
#define MANIFEST_NO_PERMIT_WAIT_US (10 * APR_USEC_PER_SEC)
/* Time after the start in which other instances are still to be heard of. */
#define VIEW_UNKNOWN_US (3 * APR_USEC_PER_SEC)
#define MANIFEST_TIMEOUT_MS 5000
/* Timeout under a short time limit; a manifest is a few KB. */
#define MANIFEST_TIMEOUT_SHORT_MS 1500

#define HTTP_OK 200
#define HTTP_NOT_FOUND 404

struct manifest_fetch {
	struct fetch fetch;
	struct weights *w;
	struct handle model;
	uint64_t swarm_id;
	struct digest want;
	int from_origin;
	char url[WEIGHTS_URL_SIZE];
};

static void create_swarm(struct weights *w, struct model_row *m,
			 struct manifest *manifest, apr_time_t now)
{
	uint64_t seed = place_hash_string(w->node->settings.instance,
					  w->node->self.boot);

	m->swarm = swarm_new(manifest, &m->policy, seed, now);
	m->view_signature = 0; /* forces a new view at the next step */
	w->has_unplaced_version = 1;
	if (w->ops->has_digest_staging)
		m->is_staging_listed = 0;
	log_info("manifest", m->name,
		 "fetched manifest of version %.12s: %llu bytes, %u chunks",
		 m->version_hex, (unsigned long long)manifest->size,
		 m->swarm->chunk_count);
}

/* Returns 1 when the release has to reach all instances within seconds. */
static int has_short_time_limit(const struct model_row *m)
{
	return m->policy.scale < 1;
}

static void schedule_retry(struct model_row *m, uint64_t hash, apr_time_t now)
{
	int shift = m->manifest_attempts / 8 > 4 ? 4 : m->manifest_attempts / 8;
	apr_interval_time_t wait = MANIFEST_RETRY_US;

	/*
	 * No exponential backoff under a short time limit: all instances wait
	 * for the first one that obtains the manifest.
	 */
	if (!has_short_time_limit(m))
		wait <<= shift;
	if (wait > MANIFEST_RETRY_MAX_US)
		wait = MANIFEST_RETRY_MAX_US;
	m->manifest_attempts++;
	m->manifest_not_before =
		now + wait +
		(apr_interval_time_t)(hash % MANIFEST_RETRY_SPREAD_US);
}

/*
 * Parses a manifest whose version name is not a digest of it. It must be of
 * the wanted model and release. Returns NULL with *err set on any error.
 */
static struct manifest *
parse_named_manifest(const char *text, const char *model, uint64_t release,
		     const struct digest *want, struct error *err)
{
	struct manifest *m = manifest_parse(text, strlen(text), NULL, err);

	if (!m)
		return NULL;
	if (strcmp(m->model, model) ||
	    strtoull(m->version, NULL, 10) != release) {
		error_set(err, ERROR_STALE, "manifest-parse", NULL,
			  "manifest is of model %s, release %s, which was not "
			  "requested; rejected",
			  m->model, m->version);
		manifest_free(m);
		return NULL;
	}
	m->id = *want;
	return m;
}

/*
 * Returns 1 when the last two answers of the origin were the same. The
 * origin's bytes may be corrupt and carry no digest that would reveal it, so
 * an answer counts only when it is repeated. Takes ownership of text.
 */
static int is_confirmed(struct model_row *m, char *text)
{
	int same = m->manifest_unconfirmed &&
		   !strcmp(m->manifest_unconfirmed, text);

	free(m->manifest_unconfirmed);
	m->manifest_unconfirmed = text;
	return same;
}

/*
 * Parses an answer. Returns NULL, with *err set on an error, while there is no
 * valid and confirmed manifest. The caller holds the lock of the models.
 */
static struct manifest *parse_answer(struct weights *w, struct model_row *m,
				     const struct manifest_fetch *x,
				     const struct fetch *f, struct error *err)
{
	const char *answer = f->text ? f->text : "";
	char *text;

	if (!w->ops->make_manifest_text)
		return manifest_parse(answer, f->text_size, &x->want, err);
	if (!x->from_origin)
		return parse_named_manifest(answer, m->name, m->release,
					    &x->want, err);
	text = w->ops->make_manifest_text(answer, f->text_size, err);
	if (!text)
		return NULL;
	m->manifest_not_before = 0; /* request again at once */
	if (!is_confirmed(m, text))
		return NULL;
	return parse_named_manifest(text, m->name, m->release, &x->want, err);
}

static void log_origin_failure(const struct model_row *m, const struct fetch *f)
{
	if (!f->error.code && f->status == HTTP_OK)
		return;
	metric_count("weights_origin_failures", "manifest", 1);
	log_warning("manifest", m->name,
		    "the origin gave no manifest of version %.12s: status %d, "
		    "error: %s",
		    m->version_hex, f->status, f->error.text);
}

static void finish_fetch(struct fetch *f)
{
	struct manifest_fetch *x = f->arg;
	struct weights *w = x->w;
	struct error err = ERROR_INIT;
	struct manifest *got = NULL;
	apr_time_t now = clock_now();
	struct model_row *m;

	table_lock(&w->models);
	m = table_get(&w->models, x->model);
	if (m && m->swarm_id == x->swarm_id) {
		m->is_manifest_requested = 0;
		schedule_retry(m, place_hash_string(x->url, (uint64_t)now),
			       now);
		if (x->from_origin)
			log_origin_failure(m, f);
		if (!f->error.code && f->status == HTTP_OK)
			got = parse_answer(w, m, x, f, &err);
		if (got && !m->swarm) {
			create_swarm(w, m, got, now);
			got = NULL;
		}
	}
	table_unlock(&w->models);
	if (err.code) {
		snprintf(err.peer, sizeof(err.peer), "%s",
			 x->from_origin ? "origin" : "peer");
		log_error_value(LOG_SEV_WARNING, &err);
		metric_count("weights_corrupt_manifests", NULL, 1);
	}
	manifest_free(got);
	free(f->text);
	free(x);
}

static const struct fetch_ops fetch_manifest_ops = { NULL, NULL, finish_fetch };

static void format_origin_url(struct weights *w, const struct model_row *m,
			      char *out, size_t size)
{
	char path[ENGINE_PATH_SIZE];

	w->ops->make_manifest_path(m->name, m->release, m->version_hex, path);
	snprintf(out, size, "%s%s", m->origin, path);
}

/*
 * Chooses the carrier to request the manifest from, a different one at each
 * attempt. Returns its index in the view, or -1 when there is none.
 */
static int choose_carrier(const struct model_row *m)
{
	const struct place_view *v = &m->view;
	int own = v->members[v->self].data_center;
	int found[PLACE_CARRIERS_MAX + PLACE_DATA_CENTERS_MAX];
	int i, at, n = 0;

	for (i = 0; i < PLACE_CARRIERS_MAX; i++) {
		at = v->carriers[own][i];
		if (at >= 0 && at != v->self && v->members[at].is_live)
			found[n++] = at;
	}
	for (i = 0; place_is_carrier(v, v->self) && i < v->data_center_count;
	     i++) {
		at = place_member_at_rank(v, i, &m->version, 0);
		if (i != own && at >= 0 && v->members[at].is_live)
			found[n++] = at;
	}
	if (!n)
		return -1;
	return found[(v->members[v->self].hash +
		      (uint64_t)m->manifest_attempts) %
		     (uint64_t)n];
}

/*
 * Returns 1 while this process has heard of no other instance although it was
 * given some to ask: it would take itself for the holder of all permits.
 */
static int is_view_unknown(const struct weights *w, const struct model_row *m,
			   apr_time_t now)
{
	return m->view.member_count == 1 &&
	       settings_has_seeds(&w->node->settings) &&
	       now - w->node->started < VIEW_UNKNOWN_US;
}

/*
 * Returns 1 when it is this instance's turn to request the manifest from the
 * origin.
 */
static int is_origin_due(const struct model_row *m, apr_time_t now)
{
	int permit = place_member_permit(&m->view, m->view.self, &m->version,
					 PLACE_PERMITS_MAX);
	apr_interval_time_t waited = now - m->manifest_started_at;

	if (permit == PLACE_NO_PERMIT)
		return waited > MANIFEST_NO_PERMIT_WAIT_US;
	return waited >= permit * MANIFEST_PERMIT_INTERVAL_US;
}

/*
 * Requests the manifest when the next attempt is due. The caller holds the
 * lock of the models.
 */
void manifest_fetch_step(struct weights *w, struct handle h,
			 struct model_row *m, apr_time_t now)
{
	const struct settings *s = &w->node->settings;
	struct manifest_fetch *x;
	int peer = -1, origin;

	if (m->swarm || m->is_manifest_requested || m->view.self < 0 ||
	    !m->view.member_count || now < m->manifest_not_before ||
	    is_view_unknown(w, m, now))
		return;
	if (!m->manifest_started_at)
		m->manifest_started_at = now;
	/*
	 * An instance whose turn it is to ask the origin asks a peer at every
	 * other attempt.
	 */
	origin = is_origin_due(m, now) &&
		 (m->manifest_attempts % 2 == 0 || m->manifest_unconfirmed);
	if (!origin)
		peer = choose_carrier(m);
	if (!origin && peer < 0) {
		schedule_retry(m, 0, now);
		return;
	}
	x = calloc(1, sizeof(*x));
	if (!x)
		abort();
	x->w = w;
	x->model = h;
	x->swarm_id = m->swarm_id;
	x->want = m->version;
	x->from_origin = origin;
	if (origin)
		format_origin_url(w, m, x->url, sizeof(x->url));
	else
		snprintf(x->url, sizeof(x->url), "http://%s:%d/manifests/%s",
			 m->view.members[peer].address, s->http_port,
			 m->version_hex);
	m->is_manifest_requested = 1;
	x->fetch.ops = &fetch_manifest_ops;
	x->fetch.arg = x;
	x->fetch.url = x->url;
	x->fetch.closes_connection = origin;
	x->fetch.timeout_ms = has_short_time_limit(m)
				      ? MANIFEST_TIMEOUT_SHORT_MS
				      : MANIFEST_TIMEOUT_MS;
	fetch_submit(w->node->fetcher, &x->fetch);
}

/*
 * Answers GET /manifests/<digest> for a version that is wanted on this
 * instance; other versions get status 404.
 */
void manifest_serve(struct http_call *c, void *arg)
{
	struct weights *w = arg;
	const char *hex = http_call_path(c) + strlen("/manifests/");
	struct model_row *m = NULL;
	char *text = NULL;
	size_t size = 0;
	struct digest d;

	table_lock(&w->models);
	if (!digest_parse(hex, &d))
		m = model_find_by_digest(w, &d);
	if (m && m->swarm) {
		size = m->swarm->manifest->text_size;
		text = malloc(size + 1);
		if (!text)
			abort();
		memcpy(text, m->swarm->manifest->text, size + 1);
	}
	table_unlock(&w->models);
	http_call_reply(c, text ? HTTP_OK : HTTP_NOT_FOUND, "application/json",
			text ? text : "", size);
	free(text);
}
