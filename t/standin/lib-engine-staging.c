#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "t/standin/lib-engine.h"

#define CHUNK_PATH "/staging/chunks/"

/* Returns the chunk staged under a digest, or NULL. */
static struct staged_chunk *chunk_find(struct engine *engine,
				       const char *digest)
{
	return apr_hash_get(engine->staged, digest, APR_HASH_KEY_STRING);
}

/* Removes a staged chunk and drops its reference to the blob. */
static void chunk_remove(struct engine *engine, struct staged_chunk *chunk)
{
	apr_hash_set(engine->staged, chunk->digest, APR_HASH_KEY_STRING, NULL);
	engine->used -= chunk->blob->len;
	blob_put(chunk->blob);
	free(chunk);
}

void staging_clear(struct engine *engine)
{
	apr_hash_index_t *it;

	while ((it = apr_hash_first(NULL, engine->staged)))
		chunk_remove(engine, apr_hash_this_val(it));
}

/*
 * Stages a blob under the digest given by the client, which is not verified:
 * tests stage wrong bytes on purpose.  Returns -1 if there is no space.
 */
static int chunk_stage(struct engine *engine, const char *digest,
		       struct blob *blob)
{
	struct staged_chunk *old = chunk_find(engine, digest);
	size_t after = engine->used + blob->len;
	struct staged_chunk *chunk;

	if (old)
		after -= old->blob->len;
	if (engine->restart_ms)
		return -1;
	if (engine_settings.staging_bytes &&
	    after > (size_t)engine_settings.staging_bytes)
		return -1;
	chunk = calloc(1, sizeof(*chunk));
	if (!chunk)
		return -1;
	if (old)
		chunk_remove(engine, old);
	snprintf(chunk->digest, sizeof(chunk->digest), "%s", digest);
	chunk->blob = blob;
	apr_hash_set(engine->staged, chunk->digest, APR_HASH_KEY_STRING, chunk);
	engine->used += blob->len;
	return 0;
}

/* Serves PUT /staging/chunks/<digest>. */
static enum web_result chunk_put(struct engine *engine, struct web_request *req,
				 const char *digest)
{
	char *data = req->body ? req->body : calloc(1, 1);
	size_t len = req->body_len;
	struct blob *blob;
	int ret;

	req->body = NULL;
	req->body_len = 0;
	if (!data)
		return WEB_CLOSE;
	blob = blob_get(data, len);
	if (!blob)
		return WEB_CLOSE;
	engine_count(staged_bytes, (long)len);
	pthread_mutex_lock(&engine->lock);
	ret = chunk_stage(engine, digest, blob);
	pthread_mutex_unlock(&engine->lock);
	if (!ret)
		return web_reply(req, MHD_HTTP_CREATED, "", 0);
	blob_put(blob);
	return web_reply_error(req, 507, "staging memory is full");
}

/* Called by libmicrohttpd once a chunk has been sent. */
static void on_chunk_sent(void *blob)
{
	blob_put(blob);
}

/* Serves GET /staging/chunks/<digest>. */
static enum web_result chunk_get(struct engine *engine, struct web_request *req,
				 const char *digest)
{
	struct staged_chunk *chunk;
	struct blob *blob = NULL;
	struct MHD_Response *res;

	pthread_mutex_lock(&engine->lock);
	chunk = chunk_find(engine, digest);
	if (chunk)
		blob = blob_ref(chunk->blob);
	pthread_mutex_unlock(&engine->lock);
	if (!blob)
		return web_reply_error(req, MHD_HTTP_NOT_FOUND, "not staged");
	engine_count(read_bytes, (long)blob->len);
	res = MHD_create_response_from_buffer_with_free_callback_cls(
		blob->len, blob->data, on_chunk_sent, blob);
	if (!res)
		blob_put(blob);
	return web_send(req, MHD_HTTP_OK, res);
}

/* Serves DELETE /staging/chunks/<digest>. */
static enum web_result chunk_delete(struct engine *engine,
				    struct web_request *req, const char *digest)
{
	struct staged_chunk *chunk;

	pthread_mutex_lock(&engine->lock);
	chunk = chunk_find(engine, digest);
	if (chunk)
		chunk_remove(engine, chunk);
	pthread_mutex_unlock(&engine->lock);
	return web_reply(req, MHD_HTTP_NO_CONTENT, "", 0);
}

/* Serves GET /staging. */
static enum web_result staging_list(struct engine *engine,
				    struct web_request *req)
{
	json_t *chunks = json_array();
	struct staged_chunk *chunk;
	apr_hash_index_t *it;
	size_t used;

	pthread_mutex_lock(&engine->lock);
	for (it = apr_hash_first(NULL, engine->staged); it;
	     it = apr_hash_next(it)) {
		chunk = apr_hash_this_val(it);
		json_array_append_new(chunks, json_string(chunk->digest));
	}
	used = engine->used;
	pthread_mutex_unlock(&engine->lock);
	return web_reply_json(
		req, MHD_HTTP_OK,
		json_pack("{s:o,s:I,s:I}", "chunks", chunks, "used",
			  (json_int_t)used, "limit",
			  (json_int_t)engine_settings.staging_bytes));
}

/* Serves /staging and /staging/chunks/<digest>. */
enum web_result staging_handle(struct engine *engine, struct web_request *req)
{
	const char *digest = req->path + strlen(CHUNK_PATH);

	if (!strcmp(req->path, "/staging"))
		return staging_list(engine, req);
	if (strncmp(req->path, CHUNK_PATH, strlen(CHUNK_PATH)) != 0 ||
	    strlen(digest) != BLOB_HEX_LEN)
		return web_reply_error(req, MHD_HTTP_NOT_FOUND, "no such path");
	if (!strcmp(req->method, "PUT"))
		return chunk_put(engine, req, digest);
	if (!strcmp(req->method, "GET"))
		return chunk_get(engine, req, digest);
	if (!strcmp(req->method, "DELETE"))
		return chunk_delete(engine, req, digest);
	return web_reply_error(req, MHD_HTTP_METHOD_NOT_ALLOWED, "method");
}
