#include "weights/internal.h"

#include <openssl/evp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/metric.h"

/*
 * Runs the transfers that the swarm chooses: receives a chunk from a peer or
 * the origin, verifies it as it arrives, puts it into the engine's staging
 * memory and records the result. Callbacks run on the fetcher's event thread.
 */

#define ACTIONS_MAX 16
#define TRANSFER_TIMEOUT_BASE_MS 5000
#define TRANSFER_TIMEOUT_FACTOR 8 /* times the duration at link rate */
#define TRANSFER_IDLE_TIMEOUT_S 3
#define ORIGIN_TIMEOUT_MS 4000 /* for a complete chunk */
/* For a range of the origin's file, whose link the whole fleet shares. */
#define ORIGIN_RANGE_TIMEOUT_MS 60000
#define STAGE_TEXT_MAX (64 * 1024) /* of the engine's answer to a chunk */
#define ORIGIN_ATTEMPTS_MAX 3	   /* requests per chunk */
#define STAGE_TIMEOUT_MS 5000
#define STAGE_FULL_ATTEMPTS_MAX 20 /* engine has no room */
#define STAGE_FULL_WAIT_US (500 * 1000)
#define STAGE_DOWN_ATTEMPTS_MAX 80 /* engine is unreachable */
#define STAGE_DOWN_WAIT_US (100 * 1000)
#define STAGE_BLOCKED_WAIT_US (10 * 1000) /* until the next step */
#define STAGE_UNPARK_MAX 4 /* writes in flight when a parked one starts */
#define BUSY_WAIT_US (100 * 1000)
#define MISSING_WAIT_US (500 * 1000)
#define IN_FLIGHT_MEMORY_DIVISOR 8 /* buffers: memory limit divided by this */

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
	apr_time_t first_byte_at; /* arrival of the first bytes, or 0 */
	uint64_t origin_offset; /* position of the chunk in the origin's file */
	char stage_path[ENGINE_PATH_SIZE];
	int origin_attempts;
	int stage_attempts;	     /* attempts that ended in parking */
	int is_parked;		     /* not counted as in flight */
	apr_time_t stage_not_before; /* next attempt of a parked chunk */
	struct transfer *next;
	/* in the list of receiving transfers */
	struct transfer *next_receiving, **link;
	apr_interval_time_t
		requested_wait; /* delay that the sender asked for */
	EVP_MD_CTX *sha;
	char peer[SETTINGS_NAME_SIZE];
	char url[WEIGHTS_URL_SIZE];
	char range_header[64];
	char held_header[32];
	char sender_header[sizeof(HINT_SENDER_HEADER) + SETTINGS_NAME_SIZE + 4];
	char hint_header[sizeof(HINT_HEADER) + HINT_SIZE + 4];
};

static const char *const kind_names[TRANSFER_KIND_COUNT] = { "peer", "cross",
							     "origin" };

/* Adds a transfer whose request was submitted to the receiving ones. */
static void list_receiving(struct transfer *t)
{
	struct weights *w = t->w;

	t->next_receiving = w->receiving;
	t->link = &w->receiving;
	if (w->receiving)
		w->receiving->link = &t->next_receiving;
	w->receiving = t;
}

static void unlist_receiving(struct transfer *t)
{
	*t->link = t->next_receiving;
	if (t->next_receiving)
		t->next_receiving->link = t->link;
}

/*
 * Returns 1 when another version is wanted now. A chunk for an engine that
 * stages by digest may be one of that version as well.
 */
static int is_superseded(const struct transfer *t, const struct model_row *m)
{
	return !t->w->ops->has_digest_staging &&
	       (!m || m->swarm_id != t->swarm_id);
}

/*
 * Ends the transfers of versions that are not wanted any more. Chunk writes
 * end by themselves. The caller holds the lock of the models.
 */
void transfers_end_superseded(struct weights *w)
{
	struct transfer *t;

	for (t = w->receiving; t; t = t->next_receiving)
		if (is_superseded(t, table_get(&w->models, t->model)))
			fetch_cancel(&t->fetch);
}

static void transfer_free(struct transfer *t)
{
	EVP_MD_CTX_free(t->sha);
	blob_release(t->blob);
	free(t);
}

/* Refunds the link's credit for bytes that were not received. */
static void refund_unreceived_bytes(struct weights *w, const struct transfer *t,
				    apr_time_t now)
{
	double unused = (double)(t->blob->size - t->received_bytes);

	if (unused <= 0)
		return;
	pace_charge(&w->receive, -unused, now);
	if (t->action.kind == TRANSFER_CARRY)
		pace_charge(&w->cross, -unused, now);
}

static void transfer_end(struct transfer *t, enum transfer_result result)
{
	struct weights *w = t->w;
	apr_time_t now = clock_now();
	struct model_row *m;

	metric_count("weights_received_bytes", kind_names[t->action.kind],
		     t->received_bytes);
	if (result == RESULT_CORRUPT) {
		metric_count("weights_corrupt_chunks",
			     kind_names[t->action.kind], 1);
		log_warning(
			"chunk-verify", t->peer,
			"a received chunk did not match its digest; dropping it");
	}
	table_lock(&w->models);
	w->buffer_bytes -= t->blob->size;
	refund_unreceived_bytes(w, t, now);
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
 * Parks a verified chunk. Returns -1 at shutdown. The caller holds the lock of
 * the models.
 */
static int park(struct transfer *t, apr_interval_time_t wait, apr_time_t now)
{
	struct weights *w = t->w;
	struct model_row *m = table_get(&w->models, t->model);

	if (w->is_stopping)
		return -1;
	if (!t->is_parked && m && m->swarm && m->swarm_id == t->swarm_id) {
		/* Other chunks may be transferred meanwhile. */
		swarm_record_result(m->swarm, &t->action, RESULT_PARKED, 0,
				    now);
		t->is_parked = 1;
	}
	t->stage_not_before = now + wait;
	t->next = w->parked;
	w->parked = t;
	return 0;
}

/*
 * Parks a verified chunk until the engine has room for it or is reachable. The
 * chunk must not be lost, since its fetch may have used an origin permit.
 * Returns -1 at shutdown or after attempts_max attempts.
 */
static int transfer_park(struct transfer *t, apr_interval_time_t wait,
			 int attempts_max)
{
	int ret;

	if (t->stage_attempts++ >= attempts_max)
		return -1;
	table_lock(&t->w->models);
	ret = park(t, wait, clock_now());
	table_unlock(&t->w->models);
	return ret;
}

static int transfer_park_for_engine(struct transfer *t, const struct fetch *f)
{
	if (f->status == HTTP_FULL) {
		__atomic_store_n(&t->w->is_staging_full, 1, __ATOMIC_RELAXED);
		return transfer_park(t, STAGE_FULL_WAIT_US,
				     STAGE_FULL_ATTEMPTS_MAX);
	}
	if (f->error.code == ERROR_UNREACHABLE)
		return transfer_park(t, STAGE_DOWN_WAIT_US,
				     STAGE_DOWN_ATTEMPTS_MAX);
	return -1;
}

static void record_write_end(struct transfer *t)
{
	struct model_row *m;

	table_lock(&t->w->models);
	m = table_get(&t->w->models, t->model);
	if (m && m->swarm_id == t->swarm_id)
		m->writes--;
	else if (m)
		m->superseded_writes--;
	table_unlock(&t->w->models);
}

static void stage_done(struct fetch *f)
{
	struct transfer *t = f->arg;
	int ok = !f->error.code &&
		 (f->status == HTTP_CREATED || f->status == HTTP_OK ||
		  f->status == HTTP_NO_CONTENT);

	free(f->text);
	record_write_end(t);
	if (ok) {
		blob_cache_add(&t->w->cache, t->blob);
	} else {
		metric_count("weights_staging_refused", NULL, 1);
		if (!transfer_park_for_engine(t, f))
			return;
	}
	transfer_end(t, ok ? RESULT_DONE : RESULT_ENGINE_REFUSED);
}

static const struct fetch_ops stage_ops = { NULL, NULL, stage_done };

/*
 * Returns 1 while a chunk must not be written to staging by position: one of
 * an earlier version may still arrive there after it, or the engine may still
 * load the staged chunks as that version. Many that waited for this are
 * written a few at a time.
 */
static int is_staging_blocked(const struct transfer *t,
			      const struct model_row *m)
{
	if (t->w->ops->has_digest_staging)
		return 0;
	return m->superseded_writes ||
	       (m->open_order && m->open_order != m->swarm_id) ||
	       (t->is_parked && m->writes >= STAGE_UNPARK_MAX);
}

/*
 * Puts a verified chunk into the engine's staging memory, or parks it. Returns
 * -1 when the chunk is to be dropped. The caller holds the lock of the models.
 */
static int transfer_stage(struct transfer *t)
{
	struct model_row *m = table_get(&t->w->models, t->model);
	struct fetch *f = &t->fetch;

	if (is_superseded(t, m))
		return -1;
	if (m && is_staging_blocked(t, m))
		return park(t, STAGE_BLOCKED_WAIT_US, clock_now());
	if (m && m->swarm_id == t->swarm_id)
		m->writes++;
	else if (m)
		m->superseded_writes++;
	snprintf(t->url, sizeof(t->url), "%s%s",
		 t->w->node->settings.upstream_url, t->stage_path);
	memset(f, 0, sizeof(*f));
	f->ops = &stage_ops;
	f->arg = t;
	f->method = "PUT";
	f->url = t->url;
	f->body = t->blob->data;
	f->body_size = t->blob->size;
	f->timeout_ms = STAGE_TIMEOUT_MS;
	f->text_max = STAGE_TEXT_MAX;
	f->headers[0] = "Content-Type: application/octet-stream";
	fetch_submit(t->w->node->fetcher, f);
	return 0;
}

/* Retries the parked chunks that are due. The caller holds the lock. */
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
		if (transfer_stage(t)) {
			w->buffer_bytes -= t->blob->size;
			transfer_free(t);
		}
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

static void receive_header(struct fetch *f, const char *name, const char *value)
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

static int receive_data(struct fetch *f, const void *data, size_t size)
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

static enum transfer_result classify_refusal(struct transfer *t, int status)
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
		t->requested_wait = status == HTTP_NOT_FOUND ? MISSING_WAIT_US
							     : BUSY_WAIT_US;
	return status == HTTP_UNAVAILABLE || status == HTTP_NOT_FOUND ||
			       status == HTTP_TOO_MANY
		       ? RESULT_BUSY
		       : RESULT_FAILED;
}

static int has_matching_digest(struct transfer *t)
{
	unsigned int n = DIGEST_SIZE;

	if (t->received_bytes != t->blob->size)
		return 0;
	EVP_DigestFinal_ex(t->sha, t->blob->digest.bytes, &n);
	return digest_equal(&t->blob->digest, &t->digest);
}

static void transfer_request(struct transfer *t);

/*
 * Requests the rest of a partly received chunk from the origin. The bytes
 * received before a failure count against the permit, so that they are not
 * fetched again. Returns 1 if a request was sent.
 */
static int transfer_resume_origin_fetch(struct transfer *t)
{
	if (t->action.kind != TRANSFER_ORIGIN_FETCH ||
	    !t->w->ops->has_origin_ranges || !t->received_bytes ||
	    t->received_bytes >= t->blob->size ||
	    t->origin_attempts >= ORIGIN_ATTEMPTS_MAX)
		return 0;
	table_lock(&t->w->models);
	transfer_request(t);
	table_unlock(&t->w->models);
	return 1;
}

/* Excludes origin fetches, since many instances share the origin's link. */
static void record_arrival(struct transfer *t, apr_time_t now)
{
	struct transfer_window *window = &t->w->window;
	int previous_size;

	if (t->action.kind == TRANSFER_ORIGIN_FETCH)
		return;
	table_lock(&t->w->models);
	previous_size = window->size;
	transfer_window_record(window, now - t->first_byte_at, now);
	table_unlock(&t->w->models);
	if (window->size < previous_size)
		log_info("transfer-window", t->peer,
			 "a chunk took %lld ms to arrive; limiting transfers "
			 "in flight to %d",
			 (long long)(now - t->first_byte_at) / 1000,
			 window->size);
}

/* Logs each origin fetch, since origin bytes are limited. */
static void log_origin_fetch(const struct transfer *t, apr_time_t now)
{
	if (t->action.kind == TRANSFER_ORIGIN_FETCH)
		log_info("chunk-draw", t->peer,
			 "fetched chunk %u in %lld ms, attempts %d",
			 t->action.chunk,
			 (long long)(now - t->action.started_at) / 1000,
			 t->origin_attempts);
}

/* Returns 1 when the transfer is to end as its version is not wanted. */
static int record_receive_end(struct transfer *t)
{
	struct weights *w = t->w;
	int ret;

	table_lock(&w->models);
	unlist_receiving(t);
	ret = is_superseded(t, table_get(&w->models, t->model));
	table_unlock(&w->models);
	return ret;
}

static void stage_received(struct transfer *t)
{
	int ret;

	table_lock(&t->w->models);
	ret = transfer_stage(t);
	table_unlock(&t->w->models);
	if (ret)
		transfer_end(t, RESULT_FAILED);
}

static void receive_done(struct fetch *f)
{
	struct transfer *t = f->arg;
	int status = f->status;

	free(f->text);
	if (record_receive_end(t)) {
		transfer_end(t, RESULT_FAILED);
		return;
	}
	if (status == HTTP_OK || status == HTTP_PARTIAL) {
		if (!f->error.code && has_matching_digest(t)) {
			record_arrival(t, clock_now());
			log_origin_fetch(t, clock_now());
			stage_received(t);
			return;
		}
		if (f->is_aborted_by_data ||
		    t->received_bytes == t->blob->size) {
			transfer_end(t, RESULT_CORRUPT);
			return;
		}
	} else if (status && !f->error.code && !t->received_bytes) {
		transfer_end(t, classify_refusal(t, status));
		return;
	}
	if (transfer_resume_origin_fetch(t))
		return;
	/* A failed origin fetch that received bytes has used its permit. */
	transfer_end(t, t->action.kind == TRANSFER_ORIGIN_FETCH &&
					t->received_bytes
				? RESULT_CORRUPT
				: RESULT_FAILED);
}

static const struct fetch_ops receive_ops = { receive_header, receive_data,
					      receive_done };

static long transfer_timeout_ms(const struct transfer *t)
{
	double rate = (double)t->w->node->settings.link_rate;

	return TRANSFER_TIMEOUT_BASE_MS +
	       (long)(TRANSFER_TIMEOUT_FACTOR * 1000.0 * (double)t->blob->size /
		      rate);
}

/* Sends the request for a chunk. The caller holds the lock of the models. */
static void transfer_request(struct transfer *t)
{
	struct fetch *f = &t->fetch;
	unsigned long long first = t->origin_offset + t->received_bytes;
	unsigned long long last = t->origin_offset + t->blob->size - 1;

	t->origin_attempts++;
	memset(f, 0, sizeof(*f));
	f->ops = &receive_ops;
	f->arg = t;
	f->url = t->url;
	f->idle_seconds = TRANSFER_IDLE_TIMEOUT_S;
	f->closes_connection = t->action.kind == TRANSFER_ORIGIN_FETCH;
	if (t->action.kind == TRANSFER_ORIGIN_FETCH &&
	    !t->w->ops->has_origin_ranges) {
		f->timeout_ms = ORIGIN_TIMEOUT_MS;
	} else if (t->action.kind == TRANSFER_ORIGIN_FETCH) {
		snprintf(t->range_header, sizeof(t->range_header),
			 "Range: bytes=%llu-%llu", first, last);
		f->headers[0] = t->range_header;
		f->timeout_ms = ORIGIN_RANGE_TIMEOUT_MS;
	} else {
		f->timeout_ms = transfer_timeout_ms(t);
		f->headers[0] = t->held_header;
		f->headers[1] = t->sender_header;
		f->headers[2] = t->hint_header;
		if (t->action.kind == TRANSFER_CARRY)
			f->headers[3] = "X-Limpet-Purpose: carry";
	}
	fetch_submit(t->w->node->fetcher, f);
	list_receiving(t);
}

static void transfer_set_url(struct transfer *t, struct model_row *m)
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

static void transfer_start(struct weights *w, struct handle h,
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
	transfer_set_url(t, m);
	w->buffer_bytes += c->length;
	pace_charge(&w->receive, c->length, now);
	if (a->kind == TRANSFER_CARRY)
		pace_charge(&w->cross, c->length, now);
	transfer_request(t);
}

/* Lists the wanted models by priority and returns their number. */
static int list_models_by_priority(struct weights *w, struct handle *out)
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

static int has_memory_left(const struct weights *w)
{
	return (long long)w->buffer_bytes <
	       w->node->settings.memory_limit / IN_FLIGHT_MEMORY_DIVISOR;
}

/* Returns 1 for an engine that never answered; it has no staging to list. */
static int is_engine_down(const struct weights *w)
{
	return !w->ops->has_digest_staging && !w->engine_answered_at;
}

/*
 * Starts the transfers that the swarms choose, in the order of the models'
 * priority. The caller holds the lock of the models.
 */
void transfers_start(struct weights *w, apr_time_t now)
{
	struct handle order[WEIGHTS_MODELS_MAX];
	struct swarm_action actions[ACTIONS_MAX];
	struct swarm_credit credit;
	int i, j, n, count = list_models_by_priority(w, order);

	for (i = 0; i < count; i++) {
		struct model_row *m = table_get(&w->models, order[i]);

		if ((!m->is_staging_listed && !is_engine_down(w)) ||
		    !has_memory_left(w))
			continue;
		credit.is_origin_excluded = !m->is_staging_listed;
		credit.link_bytes = pace_level(&w->receive, now);
		credit.cross_bytes = pace_level(&w->cross, now);
		credit.transfers_max = w->window.size;
		n = swarm_choose_transfers(m->swarm, &credit, now, actions,
					   ACTIONS_MAX);
		for (j = 0; j < n; j++)
			transfer_start(w, order[i], m, &actions[j], now);
	}
}
