#include "weights/transfer.h"

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
#define ORIGIN_ATTEMPTS_MAX 3 /* requests per chunk */
#define BUSY_WAIT_US (100 * 1000)
#define MISSING_WAIT_US (500 * 1000)
#define IN_FLIGHT_MEMORY_DIVISOR 8 /* buffers: memory limit divided by this */

#define HTTP_OK 200
#define HTTP_PARTIAL 206
#define HTTP_NOT_FOUND 404
#define HTTP_TOO_MANY 429
#define HTTP_UNAVAILABLE 503

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
int transfer_is_superseded(const struct transfer *t, const struct model_row *m)
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
		if (transfer_is_superseded(t, table_get(&w->models, t->model)))
			fetch_cancel(&t->fetch);
}

/* Frees a transfer and its reference to the chunk. */
void transfer_free(struct transfer *t)
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

/* Ends a transfer: records its result, starts others and frees it. */
void transfer_end(struct transfer *t, enum transfer_result result)
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
	ret = transfer_is_superseded(t, table_get(&w->models, t->model));
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
