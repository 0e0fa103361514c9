#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "t/standin/lib-engine.h"

#define BLOCK_BYTES 64
#define BLOCKS_MAX 64
#define EVENTS_MAX 1000
#define SESSIONS_MAX 256
#define US_PER_MS 1000
#define KV_PATH "/kv/"

/* Initializes an empty cache. */
void cache_init(struct engine *engine)
{
	engine->lru.next = &engine->lru;
	engine->lru.prev = &engine->lru;
}

/* Appends a store or evict event for readers of /cache-events. */
static void cache_event_append(struct engine *engine, uint64_t hash, bool store,
			       int64_t now_ms)
{
	struct cache_event *event;

	event = &engine->events[engine->event_count++ % ENGINE_EVENTS];
	event->at_ms = now_ms;
	event->hash = hash;
	event->is_store = store;
}

/* Unlinks a block from the LRU list. */
static void lru_unlink(struct cache_block *block)
{
	block->next->prev = block->prev;
	block->prev->next = block->next;
}

/* Inserts a block as the most recently used one. */
static void lru_insert(struct engine *engine, struct cache_block *block)
{
	block->next = engine->lru.next;
	block->prev = &engine->lru;
	block->next->prev = block;
	engine->lru.next = block;
}

/* Evicts the least recently used block. */
static void block_evict(struct engine *engine, int64_t now_ms)
{
	struct cache_block *block = engine->lru.prev;

	engine->lru.prev = block->prev;
	block->prev->next = &engine->lru;
	apr_hash_set(engine->blocks, &block->hash, sizeof(block->hash), NULL);
	engine->block_count--;
	cache_event_append(engine, block->hash, false, now_ms);
	free(block);
}

/* Looks up one block and stores it if absent.  Returns 1 on a hit. */
static int cache_touch_block(struct engine *engine, uint64_t hash,
			     int64_t now_ms)
{
	struct cache_block *block;

	block = apr_hash_get(engine->blocks, &hash, sizeof(hash));
	if (block) {
		lru_unlink(block);
		lru_insert(engine, block);
		return 1;
	}
	if (engine_settings.cache_blocks < 1)
		return 0;
	if (engine->block_count >= engine_settings.cache_blocks)
		block_evict(engine, now_ms);
	block = calloc(1, sizeof(*block));
	if (!block)
		return 0;
	block->hash = hash;
	lru_insert(engine, block);
	apr_hash_set(engine->blocks, &block->hash, sizeof(block->hash), block);
	engine->block_count++;
	cache_event_append(engine, hash, true, now_ms);
	return 0;
}

/*
 * Hashes each prefix of a prompt that is a whole number of blocks.  Returns
 * the number of hashes.
 */
static int block_hashes(const char *model, const char *prompt, uint64_t *out)
{
	uint64_t seed = XXH3_64bits(model, strlen(model));
	size_t blocks = strlen(prompt) / BLOCK_BYTES;
	size_t i;

	if (blocks > BLOCKS_MAX)
		blocks = BLOCKS_MAX;
	for (i = 0; i < blocks; i++)
		out[i] = XXH3_64bits_withSeed(prompt, (i + 1) * BLOCK_BYTES,
					      seed);
	return (int)blocks;
}

/* Discards the KV cache of a session. */
static void session_remove(struct engine *engine, struct kv_session *session)
{
	apr_hash_set(engine->sessions, session->name, APR_HASH_KEY_STRING,
		     NULL);
	free(session->name);
	free(session);
}

/*
 * Stores the KV cache of a session, replacing an older one.  When the table
 * is full, an arbitrary session is discarded.
 */
static void session_store(struct engine *engine, const char *name,
			  const char *content, const uint64_t *hashes, int n)
{
	struct kv_session *session;

	session = apr_hash_get(engine->sessions, name, APR_HASH_KEY_STRING);
	if (session)
		session_remove(engine, session);
	else if (apr_hash_count(engine->sessions) >= SESSIONS_MAX)
		session_remove(engine, apr_hash_this_val(apr_hash_first(
					       NULL, engine->sessions)));
	session = calloc(1, sizeof(*session) + (size_t)n * sizeof(*hashes));
	if (!session)
		return;
	session->name = strdup(name);
	snprintf(session->content, sizeof(session->content), "%s", content);
	session->blocks = n;
	memcpy(session->hashes, hashes, (size_t)n * sizeof(*hashes));
	apr_hash_set(engine->sessions, session->name, APR_HASH_KEY_STRING,
		     session);
}

/*
 * Looks up a call's prompt in the prefix cache and stores the missing blocks.
 * Returns their prefill time in milliseconds.
 */
int cache_lookup(struct engine *engine, const struct engine_call *call,
		 int64_t now_ms)
{
	uint64_t hashes[BLOCKS_MAX];
	int n = block_hashes(call->model, call->prompt, hashes);
	int missing = 0;
	int i;

	for (i = 0; i < n; i++)
		missing += !cache_touch_block(engine, hashes[i], now_ms);
	if (call->session)
		session_store(engine, call->session, call->content, hashes, n);
	return missing * engine_settings.prefill_us / US_PER_MS;
}

/* Discards all blocks and sessions. */
void cache_clear(struct engine *engine)
{
	apr_hash_index_t *it;

	while (engine->block_count)
		block_evict(engine, 0);
	while ((it = apr_hash_first(NULL, engine->sessions)))
		session_remove(engine, apr_hash_this_val(it));
}

static json_t *event_json(const struct cache_event *event, long seq)
{
	char hash[17];

	snprintf(hash, sizeof(hash), "%016llx",
		 (unsigned long long)event->hash);
	return json_pack("{s:I,s:s,s:s}", "seq", (json_int_t)seq, "op",
			 event->is_store ? "store" : "evict", "prefix", hash);
}

/* Serves GET /cache-events, with the configured delay and lost events. */
enum web_result events_handle(struct engine *engine, struct web_request *req)
{
	int64_t limit_ms = web_now_ms() - engine_settings.event_lag_ms;
	long seq = web_query_long(req, "after", 0) + 1;
	json_t *array = json_array();
	const struct cache_event *event;
	long next = seq - 1;

	pthread_mutex_lock(&engine->lock);
	if (seq <= engine->event_count - ENGINE_EVENTS)
		seq = engine->event_count - ENGINE_EVENTS + 1;
	if (seq < 1)
		seq = 1;
	for (; seq <= engine->event_count; seq++) {
		event = &engine->events[(seq - 1) % ENGINE_EVENTS];
		if (event->at_ms > limit_ms ||
		    json_array_size(array) == EVENTS_MAX)
			break;
		next = seq;
		if (engine_settings.event_gap &&
		    seq % engine_settings.event_gap == 0)
			continue;
		json_array_append_new(array, event_json(event, seq));
	}
	pthread_mutex_unlock(&engine->lock);
	return web_reply_json(req, MHD_HTTP_OK,
			      json_pack("{s:I,s:o}", "next", (json_int_t)next,
					"events", array));
}

static json_t *session_json(const struct kv_session *session)
{
	json_t *blocks = json_array();
	char hash[17];
	int i;

	for (i = 0; i < session->blocks; i++) {
		snprintf(hash, sizeof(hash), "%016llx",
			 (unsigned long long)session->hashes[i]);
		json_array_append_new(blocks, json_string(hash));
	}
	return json_pack("{s:s,s:s,s:o}", "session", session->name, "content",
			 session->content, "blocks", blocks);
}

/* Serves GET /kv/<session>. */
static enum web_result kv_export(struct engine *engine, struct web_request *req,
				 const char *name)
{
	struct kv_session *session;
	json_t *obj = NULL;

	pthread_mutex_lock(&engine->lock);
	session = apr_hash_get(engine->sessions, name, APR_HASH_KEY_STRING);
	if (session)
		obj = session_json(session);
	pthread_mutex_unlock(&engine->lock);
	if (!obj)
		return web_reply_error(req, MHD_HTTP_NOT_FOUND, "no session");
	return web_reply_json(req, MHD_HTTP_OK, obj);
}

/* Returns whether the weights that a KV cache was computed with are loaded. */
static bool is_content_loaded(struct engine *engine, const char *content)
{
	struct engine_model *model;
	apr_hash_index_t *it;

	for (it = apr_hash_first(NULL, engine->models); it;
	     it = apr_hash_next(it)) {
		model = apr_hash_this_val(it);
		if (!strcmp(model->content, content))
			return true;
	}
	return false;
}

/* Serves PUT /kv/<session>. */
static enum web_result kv_import(struct engine *engine, struct web_request *req,
				 const char *name)
{
	json_t *obj = web_body(req);
	json_t *blocks = json_object_get(obj, "blocks");
	const char *content =
		json_string_value(json_object_get(obj, "content"));
	uint64_t hashes[BLOCKS_MAX];
	int64_t now_ms = web_now_ms();
	const char *text;
	unsigned status;
	int n = 0;

	while (n < BLOCKS_MAX &&
	       (text = json_string_value(json_array_get(blocks, (size_t)n))))
		hashes[n++] = strtoull(text, NULL, 16);
	status = content ? MHD_HTTP_CREATED : MHD_HTTP_BAD_REQUEST;
	pthread_mutex_lock(&engine->lock);
	if (content && !is_content_loaded(engine, content)) {
		status = MHD_HTTP_CONFLICT;
	} else if (content) {
		session_store(engine, name, content, hashes, n);
		while (n--)
			cache_touch_block(engine, hashes[n], now_ms);
	}
	pthread_mutex_unlock(&engine->lock);
	json_decref(obj);
	if (status == MHD_HTTP_CREATED)
		return web_reply(req, status, "", 0);
	return web_reply_error(req, status, "import refused");
}

/* Serves export (GET) and import (PUT) of a session's KV cache. */
enum web_result kv_handle(struct engine *engine, struct web_request *req)
{
	const char *name = req->path + strlen(KV_PATH);

	if (!strcmp(req->method, "GET"))
		return kv_export(engine, req, name);
	if (!strcmp(req->method, "PUT"))
		return kv_import(engine, req, name);
	return web_reply_error(req, MHD_HTTP_METHOD_NOT_ALLOWED, "method");
}
