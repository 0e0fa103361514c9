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

/* Starts with an empty cache. */
void cache_init(struct engine *engine)
{
	engine->recent.next = &engine->recent;
	engine->recent.prev = &engine->recent;
}

/* Records a change of the cache for those who follow its events. */
static void event_add(struct engine *engine, uint64_t hash, bool store,
		      int64_t now_ms)
{
	struct cache_event *event;

	event = &engine->events[engine->event_count++ % ENGINE_EVENTS];
	event->at_ms = now_ms;
	event->hash = hash;
	event->store = store;
}

/* Takes a block out of the order of use. */
static void block_unlink(struct cache_block *block)
{
	block->next->prev = block->prev;
	block->prev->next = block->next;
}

/* Makes a block the latest used. */
static void block_push(struct engine *engine, struct cache_block *block)
{
	block->next = engine->recent.next;
	block->prev = &engine->recent;
	block->next->prev = block;
	engine->recent.next = block;
}

/* Drops the block that was used longest ago. */
static void block_evict(struct engine *engine, int64_t now_ms)
{
	struct cache_block *block = engine->recent.prev;

	engine->recent.prev = block->prev;
	block->prev->next = &engine->recent;
	apr_hash_set(engine->blocks, &block->hash, sizeof(block->hash), NULL);
	engine->block_count--;
	event_add(engine, block->hash, false, now_ms);
	free(block);
}

/* Uses or stores one block.  Returns 1 when it was in the cache. */
static int block_use(struct engine *engine, uint64_t hash, int64_t now_ms)
{
	struct cache_block *block;

	block = apr_hash_get(engine->blocks, &hash, sizeof(hash));
	if (block) {
		block_unlink(block);
		block_push(engine, block);
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
	block_push(engine, block);
	apr_hash_set(engine->blocks, &block->hash, sizeof(block->hash), block);
	engine->block_count++;
	event_add(engine, hash, true, now_ms);
	return 0;
}

/* Hashes the first, the first two, ... blocks of a prompt. */
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

/* Forgets the KV cache of a session. */
static void session_remove(struct engine *engine, struct kv_session *session)
{
	apr_hash_set(engine->sessions, session->name, APR_HASH_KEY_STRING,
		     NULL);
	free(session->name);
	free(session);
}

/* Remembers the KV cache of a session, in place of an older one. */
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
 * Looks a call's prompt up in the prefix cache and stores what was missing.
 * Returns the milliseconds that the missing blocks take to compute.
 */
int cache_use(struct engine *engine, const struct engine_call *call,
	      int64_t now_ms)
{
	uint64_t hashes[BLOCKS_MAX];
	int n = block_hashes(call->model, call->prompt, hashes);
	int missing = 0;
	int i;

	for (i = 0; i < n; i++)
		missing += !block_use(engine, hashes[i], now_ms);
	if (call->session)
		session_store(engine, call->session, call->content, hashes, n);
	return missing * engine_settings.prefill_us / US_PER_MS;
}

/* Forgets every block and session. */
void cache_clear(struct engine *engine)
{
	apr_hash_index_t *it;

	while (engine->block_count)
		block_evict(engine, 0);
	while ((it = apr_hash_first(NULL, engine->sessions)))
		session_remove(engine, apr_hash_this_val(it));
}

/* One event as JSON. */
static json_t *event_json(const struct cache_event *event, long seq)
{
	char hash[17];

	snprintf(hash, sizeof(hash), "%016llx",
		 (unsigned long long)event->hash);
	return json_pack("{s:I,s:s,s:s}", "seq", (json_int_t)seq, "op",
			 event->store ? "store" : "evict", "prefix", hash);
}

/* Serves GET /cache-events: late, and with events missing. */
enum web_verdict events_handle(struct engine *engine, struct web_request *req)
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

/* The KV cache of a session as JSON. */
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
static enum web_verdict kv_export(struct engine *engine,
				  struct web_request *req, const char *name)
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

/* Whether some loaded model has the content that a KV cache belongs to. */
static bool content_is_loaded(struct engine *engine, const char *content)
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
static enum web_verdict kv_import(struct engine *engine,
				  struct web_request *req, const char *name)
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
	if (content && !content_is_loaded(engine, content)) {
		status = MHD_HTTP_CONFLICT;
	} else if (content) {
		session_store(engine, name, content, hashes, n);
		while (n--)
			block_use(engine, hashes[n], now_ms);
	}
	pthread_mutex_unlock(&engine->lock);
	json_decref(obj);
	if (status == MHD_HTTP_CREATED)
		return web_reply(req, status, "", 0);
	return web_reply_error(req, status, "import refused");
}

/* Serves the export and import of a session's KV cache. */
enum web_verdict kv_handle(struct engine *engine, struct web_request *req)
{
	const char *name = req->path + strlen(KV_PATH);

	if (!strcmp(req->method, "GET"))
		return kv_export(engine, req, name);
	if (!strcmp(req->method, "PUT"))
		return kv_import(engine, req, name);
	return web_reply_error(req, MHD_HTTP_METHOD_NOT_ALLOWED, "method");
}
