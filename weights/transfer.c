#include "weights/internal.h"

#include <openssl/evp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/metric.h"

/*
 * Carries out the swarm's actions: receives a chunk from a peer or the
 * origin, verifies it as it arrives, puts it into the engine's staging memory
 * and tells the swarm how it ended.  All of it on the fetcher's event thread.
 */

#define ACTIONS_MAX 16
#define TRANSFER_BASE_MS 5000
#define TRANSFER_SLACK 8 /* times the time at the link's rate */
#define TRANSFER_IDLE_S 3
#define ORIGIN_TIMEOUT_MS 4000 /* of a whole chunk */
#define ORIGIN_TRIES 3	       /* requests for the rest of a chunk */
#define STAGE_TIMEOUT_MS 5000
#define STAGE_FULL_TRIES 20 /* while the engine has no room */
#define STAGE_FULL_WAIT_US (500 * 1000)
#define STAGE_DOWN_TRIES 80 /* while the engine is not up */
#define STAGE_DOWN_WAIT_US (100 * 1000)
#define BUSY_DEFAULT_US (100 * 1000)
#define BUSY_MISSING_US (500 * 1000)
#define IN_FLIGHT_PART 8 /* of the memory limit */

#define HTTP_OK 200
#define HTTP_CREATED 201
#define HTTP_NO_CONTENT 204
#define HTTP_PARTIAL 206
#define HTTP_NOT_FOUND 404
#define HTTP_TOO_MANY 429
#define HTTP_UNAVAILABLE 503
#define HTTP_FULL 507

struct transfer {
	struct fetch fetch;
	struct weights *w;
	struct handle model;
	uint64_t swarm_id;
	struct swarm_action action;
	struct digest digest;
	struct blob *blob;
	size_t received_bytes;
	apr_time_t first_byte_at; /* when its first bytes came, 0: not yet */
	uint64_t origin_offset;	  /* of the chunk in the origin's file */
	char stage_path[ENGINE_PATH_SIZE];
	int origin_attempts;
	int stage_attempts;	     /* times that it was kept for later */
	int is_parked;		     /* no longer counted as under way */
	apr_time_t stage_not_before; /* next try, while parked */
	struct transfer *next;
	apr_interval_time_t requested_wait; /* what the other end asked for */
	EVP_MD_CTX *sha;
	char peer[SETTINGS_NAME_SIZE];
	char url[WEIGHTS_URL_SIZE];
	char range_header[64];
	char held_header[32];
	char sender_header[sizeof(HINT_SENDER_HEADER) + SETTINGS_NAME_SIZE + 4];
	char hint_header[sizeof(HINT_HEADER) + HINT_SIZE + 4];
};

static const char *const way_names[TRANSFER_KIND_COUNT] = { "peer", "cross",
							    "origin" };

static void transfer_free(struct transfer *t)
{
	EVP_MD_CTX_free(t->sha);
	blob_release(t->blob);
	free(t);
}

/* Gives back what the link was charged for bytes that never came. */
static void credit_return(struct weights *w, const struct transfer *t,
			  apr_time_t now)
{
	double unused = (double)(t->blob->size - t->received_bytes);

	if (unused <= 0)
		return;
	pace_charge(&w->receive, -unused, now);
	if (t->action.kind == TRANSFER_CARRY)
		pace_charge(&w->cross, -unused, now);
}

static void transfer_end(struct transfer *t, enum swarm_record_result result)
{
	struct weights *w = t->w;
	apr_time_t now = clock_now();
	struct model_row *m;

	metric_count("weights_received_bytes", way_names[t->action.kind],
		     t->received_bytes);
	if (result == RESULT_CORRUPT) {
		metric_count("weights_corrupt_chunks",
			     way_names[t->action.kind], 1);
		log_warning("chunk-verify", t->peer,
			    "a chunk did not match its digest");
	}
	table_lock(&w->models);
	w->buffer_bytes -= t->blob->size;
	credit_return(w, t, now);
	m = table_get(&w->models, t->model);
	if (m && m->swarm && m->swarm_id == t->swarm_id && t->is_parked)
		swarm_finish_parked(m->swarm, t->action.chunk,
				    result == RESULT_DONE, now);
	else if (m && m->swarm && m->swarm_id == t->swarm_id)
		swarm_record_result(m->swarm, &t->action, result,
				    t->requested_wait, now);
	transfers_start(w, now);
	table_unlock(&w->models);
	transfer_free(t);
}

/*
 * Keeps a verified chunk until the engine has room for it, or is up at all.
 * Its bytes are drawn and a draw's permit is used, so it must not be lost.
 * Returns -1 when it was kept for long enough.
 */
static int transfer_park(struct transfer *t, apr_interval_time_t wait, int most)
{
	struct weights *w = t->w;
	apr_time_t now = clock_now();
	struct model_row *m;
	int stopping;

	if (t->stage_attempts++ >= most)
		return -1;
	table_lock(&w->models);
	stopping = w->is_stopping;
	m = table_get(&w->models, t->model);
	if (!stopping && !t->is_parked && m && m->swarm &&
	    m->swarm_id == t->swarm_id) {
		/* Others may be transferred meanwhile. */
		swarm_record_result(m->swarm, &t->action, RESULT_PARKED, 0,
				    now);
		t->is_parked = 1;
	}
	if (!stopping) {
		t->stage_not_before = now + wait;
		t->next = w->parked;
		w->parked = t;
	}
	table_unlock(&w->models);
	return stopping ? -1 : 0;
}

static int transfer_wait(struct transfer *t, const struct fetch *f)
{
	if (f->status == HTTP_FULL) {
		__atomic_store_n(&t->w->is_staging_full, 1, __ATOMIC_RELAXED);
		return transfer_park(t, STAGE_FULL_WAIT_US, STAGE_FULL_TRIES);
	}
	if (f->error.code == ERROR_UNREACHABLE)
		return transfer_park(t, STAGE_DOWN_WAIT_US, STAGE_DOWN_TRIES);
	return -1;
}

static void staged_done(struct fetch *f)
{
	struct transfer *t = f->arg;
	int ok = !f->error.code &&
		 (f->status == HTTP_CREATED || f->status == HTTP_OK ||
		  f->status == HTTP_NO_CONTENT);

	free(f->text);
	if (ok) {
		blob_cache_add(&t->w->cache, t->blob);
	} else {
		metric_count("weights_staging_refused", NULL, 1);
		if (!transfer_wait(t, f))
			return;
	}
	transfer_end(t, ok ? RESULT_DONE : RESULT_ENGINE_REFUSED);
}

static const struct fetch_ops staged_ops = { NULL, NULL, staged_done };

/* Puts a verified chunk into the engine's staging memory. */
static void transfer_stage(struct transfer *t)
{
	struct fetch *f = &t->fetch;

	snprintf(t->url, sizeof(t->url), "%s%s",
		 t->w->node->settings.upstream_url, t->stage_path);
	memset(f, 0, sizeof(*f));
	f->ops = &staged_ops;
	f->arg = t;
	f->method = "PUT";
	f->url = t->url;
	f->body = t->blob->data;
	f->body_size = t->blob->size;
	f->timeout_ms = STAGE_TIMEOUT_MS;
	f->headers[0] = "Content-Type: application/octet-stream";
	fetch_submit(t->w->node->fetcher, f);
}

/* Offers parked chunks to the engine again when their time has come.  Locked. */
void transfers_unpark(struct weights *w, apr_time_t now)
{
	struct transfer **link = &w->parked;
	struct transfer *t;

	while ((t = *link)) {
		if (t->stage_not_before > now) {
			link = &t->next;
			continue;
		}
		*link = t->next;
		transfer_stage(t);
	}
}

/* Frees the parked chunks at the end of the process. */
void transfers_stop(void *arg)
{
	struct weights *w = arg;
	struct transfer *t;

	table_lock(&w->models);
	w->is_stopping = 1;
	while ((t = w->parked)) {
		w->parked = t->next;
		transfer_free(t);
	}
	table_unlock(&w->models);
}

static void received_header(struct fetch *f, const char *name,
			    const char *value)
{
	struct transfer *t = f->arg;

	if (!strcasecmp(name, "X-Limpet-Retry-Ms"))
		t->requested_wait = atol(value) * 1000LL;
	else if (!strcasecmp(name, "Retry-After"))
		t->requested_wait = atol(value) * APR_USEC_PER_SEC;
	else if (t->action.kind != TRANSFER_ORIGIN_FETCH &&
		 !strcasecmp(name, HINT_HEADER))
		hint_merge_and_reply(t->w, t->peer, value, NULL);
}

static int received_data(struct fetch *f, const void *data, size_t size)
{
	struct transfer *t = f->arg;

	/* Bodies of refusals aren't the chunk's bytes. */
	if (f->status != HTTP_OK && f->status != HTTP_PARTIAL)
		return 0;
	if (t->action.kind == TRANSFER_ORIGIN_FETCH &&
	    t->w->ops->has_origin_ranges && f->status != HTTP_PARTIAL)
		return -1;
	if (t->received_bytes + size > t->blob->size)
		return -1;
	if (!t->first_byte_at)
		t->first_byte_at = clock_now();
	memcpy(t->blob->data + t->received_bytes, data, size);
	EVP_DigestUpdate(t->sha, data, size);
	t->received_bytes += size;
	return 0;
}

static enum swarm_record_result refusal(struct transfer *t, int status)
{
	if (t->action.kind == TRANSFER_ORIGIN_FETCH) {
		if (status == HTTP_TOO_MANY || status == HTTP_UNAVAILABLE) {
			if (!t->requested_wait)
				t->requested_wait = APR_USEC_PER_SEC;
			return RESULT_WAIT;
		}
		return RESULT_FAILED;
	}
	if (!t->requested_wait)
		t->requested_wait = status == HTTP_NOT_FOUND ? BUSY_MISSING_US
							     : BUSY_DEFAULT_US;
	return status == HTTP_UNAVAILABLE || status == HTTP_NOT_FOUND ||
			       status == HTTP_TOO_MANY
		       ? RESULT_BUSY
		       : RESULT_FAILED;
}

static int digest_matches(struct transfer *t)
{
	unsigned int n = DIGEST_SIZE;

	if (t->received_bytes != t->blob->size)
		return 0;
	EVP_DigestFinal_ex(t->sha, t->blob->digest.bytes, &n);
	return digest_equal(&t->blob->digest, &t->digest);
}

static void transfer_request(struct transfer *t);

/*
 * What was drawn of a chunk before a failure counts against the permit, so
 * the rest is asked for, never the whole again.
 */
static int draw_goes_on(struct transfer *t)
{
	if (t->action.kind != TRANSFER_ORIGIN_FETCH ||
	    !t->w->ops->has_origin_ranges || !t->received_bytes ||
	    t->received_bytes >= t->blob->size ||
	    t->origin_attempts >= ORIGIN_TRIES)
		return 0;
	transfer_request(t);
	return 1;
}

/* Draws are left out: the origin's link is shared by many. */
static void arrival_note(struct transfer *t, apr_time_t now)
{
	struct transfer_window *window = &t->w->window;
	int open;

	if (t->action.kind == TRANSFER_ORIGIN_FETCH)
		return;
	table_lock(&t->w->models);
	open = window->size;
	transfer_window_record(window, now - t->first_byte_at, now);
	table_unlock(&t->w->models);
	if (window->size < open)
		log_info("transfer-window", t->peer,
			 "a chunk took %lld ms to arrive; at most %d at once",
			 (long long)(now - t->first_byte_at) / 1000,
			 window->size);
}

/* The origin's bytes are few and dear: each chunk of them gets a line. */
static void draw_log(const struct transfer *t, apr_time_t now)
{
	if (t->action.kind == TRANSFER_ORIGIN_FETCH)
		log_info("chunk-draw", t->peer, "chunk %u, %lld ms, tries %d",
			 t->action.chunk,
			 (long long)(now - t->action.started_at) / 1000,
			 t->origin_attempts);
}

static void received_done(struct fetch *f)
{
	struct transfer *t = f->arg;
	int status = f->status;

	free(f->text);
	if (status == HTTP_OK || status == HTTP_PARTIAL) {
		if (!f->error.code && digest_matches(t)) {
			arrival_note(t, clock_now());
			draw_log(t, clock_now());
			transfer_stage(t);
			return;
		}
		if (f->is_aborted_by_data ||
		    t->received_bytes == t->blob->size) {
			transfer_end(t, RESULT_CORRUPT);
			return;
		}
	} else if (status && !f->error.code && !t->received_bytes) {
		transfer_end(t, refusal(t, status));
		return;
	}
	if (draw_goes_on(t))
		return;
	/* A draw that used bytes up without success has used its permit. */
	transfer_end(t, t->action.kind == TRANSFER_ORIGIN_FETCH &&
					t->received_bytes
				? RESULT_CORRUPT
				: RESULT_FAILED);
}

static const struct fetch_ops received_ops = { received_header, received_data,
					       received_done };

static long transfer_timeout_ms(const struct transfer *t)
{
	double rate = (double)t->w->node->settings.link_rate;

	return TRANSFER_BASE_MS +
	       (long)(TRANSFER_SLACK * 1000.0 * (double)t->blob->size / rate);
}

static void transfer_request(struct transfer *t)
{
	struct fetch *f = &t->fetch;
	unsigned long long first = t->origin_offset + t->received_bytes;
	unsigned long long last = t->origin_offset + t->blob->size - 1;

	t->origin_attempts++;
	memset(f, 0, sizeof(*f));
	f->ops = &received_ops;
	f->arg = t;
	f->url = t->url;
	f->idle_seconds = TRANSFER_IDLE_S;
	if (t->action.kind == TRANSFER_ORIGIN_FETCH &&
	    !t->w->ops->has_origin_ranges) {
		f->timeout_ms = ORIGIN_TIMEOUT_MS;
	} else if (t->action.kind == TRANSFER_ORIGIN_FETCH) {
		snprintf(t->range_header, sizeof(t->range_header),
			 "Range: bytes=%llu-%llu", first, last);
		f->headers[0] = t->range_header;
	} else {
		f->timeout_ms = transfer_timeout_ms(t);
		f->headers[0] = t->held_header;
		f->headers[1] = t->sender_header;
		f->headers[2] = t->hint_header;
		if (t->action.kind == TRANSFER_CARRY)
			f->headers[3] = "X-Limpet-Purpose: carry";
	}
	fetch_submit(t->w->node->fetcher, f);
}

static void url_set(struct transfer *t, struct model_row *m)
{
	const struct settings *s = &t->w->node->settings;
	const struct swarm_peer *p;
	char hex[DIGEST_HEX_SIZE];
	char hint[HINT_SIZE], path[ENGINE_PATH_SIZE];
	struct chunk_location place;

	weights_locate_chunk(m, t->action.chunk, &place);
	t->w->ops->make_write_path(&place, t->stage_path);
	if (t->action.kind == TRANSFER_ORIGIN_FETCH) {
		t->origin_offset = (uint64_t)place.position *
				   m->swarm->manifest->chunk_size;
		t->w->ops->make_origin_path(&place, path);
		snprintf(t->peer, sizeof(t->peer), "origin");
		snprintf(t->url, sizeof(t->url), "%s%s", m->origin, path);
		return;
	}
	p = &m->swarm->peers[t->action.peer];
	snprintf(t->held_header, sizeof(t->held_header), "X-Limpet-Held: %u",
		 m->swarm->held_count * 1000 / m->swarm->chunk_count);
	snprintf(t->sender_header, sizeof(t->sender_header), "%s: %s",
		 HINT_SENDER_HEADER, s->instance);
	hint_format_for_peer(m, p->id, hint, clock_now());
	snprintf(t->hint_header, sizeof(t->hint_header), "%s: %s", HINT_HEADER,
		 hint);
	digest_hex(&t->digest, hex);
	snprintf(t->peer, sizeof(t->peer), "%s", p->id);
	snprintf(t->url, sizeof(t->url), "http://%s:%d/chunks/%s", p->address,
		 s->http_port, hex);
}

static void transfer_begin(struct weights *w, struct handle h,
			   struct model_row *m, const struct swarm_action *a,
			   apr_time_t now)
{
	const struct swarm_chunk *c = &m->swarm->chunks[a->chunk];
	struct transfer *t = calloc(1, sizeof(*t));

	if (!t)
		abort();
	t->w = w;
	t->model = h;
	t->swarm_id = m->swarm_id;
	t->action = *a;
	t->digest = c->digest;
	t->blob = blob_new(c->length);
	t->sha = EVP_MD_CTX_new();
	EVP_DigestInit_ex(t->sha, EVP_sha256(), NULL);
	url_set(t, m);
	w->buffer_bytes += c->length;
	pace_charge(&w->receive, c->length, now);
	if (a->kind == TRANSFER_CARRY)
		pace_charge(&w->cross, c->length, now);
	transfer_request(t);
}

/* Lists the wanted models, the most urgent first.  Returns how many. */
static int models_by_priority(struct weights *w, struct handle *out)
{
	struct handle h = HANDLE_NONE;
	struct model_row *m;
	int n = 0, i;

	while ((m = table_next(&w->models, &h))) {
		if (!m->is_wanted || !m->swarm || n == WEIGHTS_MODELS_MAX)
			continue;
		for (i = n++; i; i--) {
			struct model_row *o = table_get(&w->models, out[i - 1]);

			if (o->priority <= m->priority)
				break;
			out[i] = out[i - 1];
		}
		out[i] = h;
	}
	return n;
}

static int memory_left(const struct weights *w)
{
	return (long long)w->buffer_bytes <
	       w->node->settings.memory_limit / IN_FLIGHT_PART;
}

/* An engine that never answered holds nothing that could be listed. */
static int engine_is_down(const struct weights *w)
{
	return !w->ops->has_digest_staging && !w->engine_answered_at;
}

/* Begins what the swarms choose, most urgent model first.  Locked. */
void transfers_start(struct weights *w, apr_time_t now)
{
	struct handle order[WEIGHTS_MODELS_MAX];
	struct swarm_action actions[ACTIONS_MAX];
	struct swarm_credit credit;
	int i, j, n, count = models_by_priority(w, order);

	for (i = 0; i < count; i++) {
		struct model_row *m = table_get(&w->models, order[i]);

		if ((!m->is_staging_listed && !engine_is_down(w)) ||
		    !memory_left(w))
			continue;
		credit.is_origin_excluded = !m->is_staging_listed;
		credit.link_bytes = pace_level(&w->receive, now);
		credit.cross_bytes = pace_level(&w->cross, now);
		credit.transfers_max = w->window.size;
		n = swarm_choose_transfers(m->swarm, &credit, now, actions,
					   ACTIONS_MAX);
		for (j = 0; j < n; j++)
			transfer_begin(w, order[i], m, &actions[j], now);
	}
}
