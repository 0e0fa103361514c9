#include "weights/engine.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/metric.h"

/*
 * The engine's staging memory: chunks left by an earlier agent process are
 * verified and reused, chunks that no model needs are deleted.
 */

#define STAGING_TIMEOUT_MS 2000
#define VERIFY_READ_TIMEOUT_MS 5000
#define VERIFY_READS_MAX 4 /* reads in flight */

#define HTTP_OK 200

static void delete_done(struct fetch *f)
{
	engine_call_free(f->arg);
}

/* Deletes a chunk from the engine's staging memory. */
void engine_delete_chunk(struct weights *w, const struct digest *d)
{
	char path[sizeof("/staging/chunks/") + DIGEST_HEX_SIZE];
	char hex[DIGEST_HEX_SIZE];
	struct engine_call *x;

	digest_hex(d, hex);
	snprintf(path, sizeof(path), "/staging/chunks/%s", hex);
	x = engine_call_new(w, path, delete_done);
	x->fetch.method = "DELETE";
	x->fetch.timeout_ms = STAGING_TIMEOUT_MS;
	blob_cache_remove(&w->cache, d);
	metric_count("weights_staging_dropped", NULL, 1);
	fetch_submit(w->node->fetcher, &x->fetch);
}

static int receive_chunk_data(struct fetch *f, const void *data, size_t size)
{
	struct engine_call *x = f->arg;

	if (f->status != HTTP_OK || x->received_bytes + size > x->blob->size)
		return -1;
	memcpy(x->blob->data + x->received_bytes, data, size);
	x->received_bytes += size;
	return 0;
}

/* Prepares the read of a staged chunk; done compares it with its digest. */
struct engine_call *engine_read_new(struct weights *w, struct handle h,
				    const struct model_row *m, uint32_t chunk,
				    void (*done)(struct fetch *f))
{
	char path[ENGINE_PATH_SIZE];
	struct chunk_location place;
	struct engine_call *x;

	weights_locate_chunk(m, chunk, &place);
	w->ops->make_read_path(&place, path);
	x = engine_call_new(w, path, done);
	x->model = h;
	x->swarm_id = m->swarm_id;
	x->digest = m->swarm->chunks[chunk].digest;
	x->blob = blob_new(m->swarm->chunks[chunk].length);
	x->ops.data = receive_chunk_data;
	x->fetch.timeout_ms = VERIFY_READ_TIMEOUT_MS;
	return x;
}

/* Returns 1 if the bytes read match the digest of the chunk. */
int engine_read_is_valid(const struct engine_call *x)
{
	struct digest d;

	digest_of(x->blob->data, x->received_bytes, &d);
	return !x->fetch.error.code && digest_equal(&d, &x->digest);
}

static void verify_read_done(struct fetch *f)
{
	struct engine_call *x = f->arg;
	struct weights *w = x->w;
	struct model_row *m;
	int is_valid = engine_read_is_valid(x), at;

	metric_count(is_valid ? "weights_reused_chunks"
			      : "weights_corrupt_chunks",
		     "engine", 1);
	table_lock(&w->models);
	w->verify_reads_in_flight--;
	w->buffer_bytes -= x->blob->size;
	m = table_get(&w->models, x->model);
	if (m && m->swarm && m->swarm_id == x->swarm_id) {
		at = swarm_find_chunk(m->swarm, &x->digest);
		m->swarm->chunks[at].status = CHUNK_MISSING;
		if (is_valid)
			swarm_mark_held(m->swarm, (uint32_t)at, clock_now());
	}
	table_unlock(&w->models);
	engine_call_free(x);
}

/* Reads and verifies a chunk that an earlier agent process staged. */
static void start_verify_read(struct weights *w, struct handle h,
			      struct model_row *m, uint32_t chunk)
{
	struct engine_call *x =
		engine_read_new(w, h, m, chunk, verify_read_done);

	m->swarm->chunks[chunk].status = CHUNK_REQUESTED;
	w->verify_reads_in_flight++;
	w->buffer_bytes += x->blob->size;
	fetch_submit(w->node->fetcher, &x->fetch);
}

/*
 * Verifies the chunks found in staging, VERIFY_READS_MAX at a time. The caller
 * holds the lock of the models.
 */
void staging_start_verification(struct weights *w, struct handle h,
				struct model_row *m)
{
	struct swarm *s = m->swarm;

	while (s->has_unverified &&
	       w->verify_reads_in_flight < VERIFY_READS_MAX) {
		while (s->unverified_cursor < s->chunk_count &&
		       s->chunks[s->unverified_cursor].status !=
			       CHUNK_UNVERIFIED)
			s->unverified_cursor++;
		if (s->unverified_cursor == s->chunk_count) {
			s->has_unverified = 0;
			s->unverified_cursor = 0;
			return;
		}
		start_verify_read(w, h, m, s->unverified_cursor);
	}
}

static int is_chunk_wanted(struct weights *w, const struct digest *d)
{
	struct handle h = HANDLE_NONE;
	struct model_row *m;

	while ((m = table_next(&w->models, &h))) {
		if (!m->is_wanted)
			continue;
		/* Without the manifest any chunk may be needed. */
		if (!m->swarm || swarm_find_chunk(m->swarm, d) >= 0)
			return 1;
	}
	return 0;
}

static void mark_chunk_unverified(struct model_row *m, int at)
{
	if (at < 0 || m->swarm->chunks[at].status != CHUNK_MISSING)
		return;
	m->swarm->chunks[at].status = CHUNK_UNVERIFIED;
	m->swarm->has_unverified = 1;
}

static void mark_digest_unverified(struct weights *w, const struct digest *d)
{
	struct handle h = HANDLE_NONE;
	struct model_row *m;

	while ((m = table_next(&w->models, &h)))
		if (m->swarm && !m->is_staging_listed)
			mark_chunk_unverified(m, swarm_find_chunk(m->swarm, d));
}

/* Marks staged chunks for verification; deletes those no model needs. */
static void merge_staged_digests(struct weights *w, const json_t *chunks,
				 int can_delete)
{
	struct handle h = HANDLE_NONE;
	struct model_row *m;
	struct digest d;
	const json_t *o;
	size_t i;

	json_array_foreach(chunks, i, o)
	{
		if (digest_parse(json_string_value(o), &d))
			continue;
		if (can_delete && !is_chunk_wanted(w, &d))
			engine_delete_chunk(w, &d);
		else
			mark_digest_unverified(w, &d);
	}
	while ((m = table_next(&w->models, &h)))
		if (m->swarm)
			m->is_staging_listed = 1;
}

/*
 * Marks staged chunks for verification where the engine lists positions. Their
 * version is unknown until their bytes are verified.
 */
static void merge_staged_positions(struct model_row *m, const json_t *chunks)
{
	const json_t *o;
	size_t i;

	json_array_foreach(chunks, i, o)
	{
		json_int_t at = json_integer_value(o);

		if (json_is_integer(o) && at >= 0 &&
		    at < m->swarm->manifest->chunk_count)
			mark_chunk_unverified(
				m, (int)m->swarm->chunk_by_position[at]);
	}
	m->is_staging_listed = 1;
}

static void staging_list_done(struct fetch *f)
{
	struct engine_call *x = f->arg;
	struct weights *w = x->w;
	int was_full =
		__atomic_exchange_n(&w->is_staging_full, 0, __ATOMIC_RELAXED);
	const json_t *chunks;
	struct model_row *m;
	json_t *o = NULL;

	if (!f->error.code && f->status == HTTP_OK && f->text)
		o = json_loadb(f->text, f->text_size, 0, NULL);
	table_lock(&w->models);
	w->is_staging_query_in_flight = 0;
	chunks = w->ops->get_staged_chunks(o);
	if (json_is_array(chunks) && w->ops->has_digest_staging)
		merge_staged_digests(w, chunks, w->is_cleanup_due || was_full);
	else if (json_is_array(chunks) &&
		 (m = table_get(&w->models, x->model)) &&
		 m->swarm_id == x->swarm_id && m->swarm &&
		 !m->is_staging_listed)
		merge_staged_positions(m, chunks);
	if (json_is_array(chunks))
		w->is_cleanup_due = 0;
	table_unlock(&w->models);
	json_decref(o);
	engine_call_free(x);
}

static void request_staging_list(struct weights *w, struct handle h,
				 const struct model_row *m)
{
	char path[ENGINE_PATH_SIZE];
	struct engine_call *x;

	w->is_staging_query_in_flight = 1;
	w->ops->make_list_path(m->name, path);
	x = engine_call_new(w, path, staging_list_done);
	x->model = h;
	x->swarm_id = m->swarm_id;
	x->fetch.text_max = FETCH_TEXT_MAX;
	x->fetch.timeout_ms = STAGING_TIMEOUT_MS;
	fetch_submit(w->node->fetcher, &x->fetch);
}

/* Requests the list of staged chunks. The caller holds the models' lock. */
void engine_list_staging(struct weights *w)
{
	struct handle h = HANDLE_NONE;
	struct model_row *m;

	while (!w->is_staging_query_in_flight &&
	       (m = table_next(&w->models, &h)))
		if (w->ops->has_digest_staging ||
		    (m->swarm && !m->is_staging_listed &&
		     !m->superseded_writes))
			request_staging_list(w, h, m);
}
