#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "t/standin/lib-engine.h"

#define UNPROCESSABLE 422

/* An order as parsed from the request body, which obj keeps alive. */
struct order {
	json_t *obj;
	const char *kind;
	const char *model;
	const char *version;
	const char *role;
	json_int_t fence;
};

/* Returns a model by name, whether ready or still loading, or NULL. */
static struct engine_model *model_find(struct engine *engine, const char *name)
{
	return apr_hash_get(engine->models, name, APR_HASH_KEY_STRING);
}

/* Frees a model that is not in the hash table. */
static void model_free(struct engine_model *model)
{
	free(model->name);
	free(model);
}

static void model_remove(struct engine *engine, const char *name)
{
	struct engine_model *model = model_find(engine, name);

	if (!model)
		return;
	apr_hash_set(engine->models, model->name, APR_HASH_KEY_STRING, NULL);
	model_free(model);
}

/* Returns a model by name if it is ready for calls, else NULL. */
const struct engine_model *models_find_ready(struct engine *engine,
					     const char *name, int64_t now_ms)
{
	const struct engine_model *model = model_find(engine, name);

	return model && model->ready_ms <= now_ms ? model : NULL;
}

void models_clear(struct engine *engine)
{
	struct engine_model *model;
	apr_hash_index_t *it;

	while ((it = apr_hash_first(NULL, engine->models))) {
		model = apr_hash_this_val(it);
		model_remove(engine, model->name);
	}
}

/*
 * Computes the content digest of the staged chunks that an order lists.
 * Returns the HTTP status.
 */
static unsigned hash_chunks(struct engine *engine, json_t *chunks,
			    char *content)
{
	size_t n = json_array_size(chunks);
	struct blob **list = calloc(n + 1, sizeof(struct blob *));
	struct staged_chunk *chunk;
	unsigned status = MHD_HTTP_OK;
	const char *digest;
	size_t i;

	if (!list)
		return MHD_HTTP_INTERNAL_SERVER_ERROR;
	for (i = 0; i < n; i++) {
		digest = json_string_value(json_array_get(chunks, i));
		chunk = digest ? apr_hash_get(engine->staged, digest,
					      APR_HASH_KEY_STRING)
			       : NULL;
		if (!chunk) {
			status = UNPROCESSABLE;
			goto out;
		}
		list[i] = chunk->blob;
	}
	if (!n || blob_list_digest(list, n, content))
		status = UNPROCESSABLE;
out:
	free(list);
	return status;
}

/* Loads a version of a model from staging, replacing any other version. */
static unsigned order_load(struct engine *engine, const struct order *order,
			   int64_t now_ms)
{
	struct engine_model *model;
	unsigned status;

	if (!order->model || !order->version)
		return MHD_HTTP_BAD_REQUEST;
	model = calloc(1, sizeof(*model));
	if (!model)
		return MHD_HTTP_INTERNAL_SERVER_ERROR;
	status = hash_chunks(engine, json_object_get(order->obj, "chunks"),
			     model->content);
	model->name = strdup(order->model);
	if (status != MHD_HTTP_OK || !model->name) {
		model_free(model);
		return status;
	}
	snprintf(model->version, sizeof(model->version), "%s", order->version);
	model->fence = order->fence;
	model->ready_ms = now_ms + engine_settings.load_ms;
	model_remove(engine, order->model);
	apr_hash_set(engine->models, model->name, APR_HASH_KEY_STRING, model);
	return MHD_HTTP_OK;
}

static unsigned order_unload(struct engine *engine, const struct order *order,
			     int64_t now_ms)
{
	if (!order->model)
		return MHD_HTTP_BAD_REQUEST;
	model_remove(engine, order->model);
	return MHD_HTTP_OK;
}

static unsigned order_role(struct engine *engine, const struct order *order,
			   int64_t now_ms)
{
	if (!order->role)
		return MHD_HTTP_BAD_REQUEST;
	free(engine->role);
	engine->role = strdup(order->role);
	return MHD_HTTP_OK;
}

static const struct {
	const char *kind;
	unsigned (*run)(struct engine *engine, const struct order *order,
			int64_t now_ms);
} order_kinds[] = {
	{ "load", order_load },
	{ "unload", order_unload },
	{ "role", order_role },
};

/* Returns whether an order must be refused because its fence is too low. */
static bool is_order_fenced(struct engine *engine, const struct order *order)
{
	return engine_settings.fencing &&
	       engine->fault != ENGINE_IGNORE_FENCE &&
	       order->fence < engine->fence;
}

/* Executes an order.  Returns the HTTP status, or 0 if the engine crashed. */
static unsigned order_run(struct engine *engine, const struct order *order,
			  int64_t now_ms)
{
	unsigned status = MHD_HTTP_BAD_REQUEST;
	size_t i;

	if (engine->fault == ENGINE_REFUSE_ORDERS)
		return MHD_HTTP_INTERNAL_SERVER_ERROR;
	if (is_order_fenced(engine, order))
		return MHD_HTTP_CONFLICT;
	if (engine->fault == ENGINE_CRASH_ON_LOAD &&
	    !strcmp(order->kind, "load")) {
		engine_crash(engine, now_ms);
		return 0;
	}
	for (i = 0; i < sizeof(order_kinds) / sizeof(order_kinds[0]); i++)
		if (!strcmp(order->kind, order_kinds[i].kind))
			status = order_kinds[i].run(engine, order, now_ms);
	if (status == MHD_HTTP_OK && order->fence > engine->fence)
		engine->fence = order->fence;
	return status;
}

/* Serves POST /orders. */
enum web_result orders_handle(struct engine *engine, struct web_request *req)
{
	struct order order = { 0 };
	json_int_t highest;
	unsigned status;

	order.obj = web_body(req);
	if (json_unpack(order.obj, "{s:s,s?s,s?s,s?s,s?I}", "order",
			&order.kind, "model", &order.model, "version",
			&order.version, "role", &order.role, "fence",
			&order.fence)) {
		json_decref(order.obj);
		return web_reply_error(req, MHD_HTTP_BAD_REQUEST, "bad order");
	}
	engine_count(orders, 1);
	pthread_mutex_lock(&engine->lock);
	status = order_run(engine, &order, web_now_ms());
	highest = engine->fence;
	pthread_mutex_unlock(&engine->lock);
	json_decref(order.obj);
	if (!status)
		return WEB_CLOSE;
	if (status == MHD_HTTP_CONFLICT)
		return web_reply_json(req, status,
				      json_pack("{s:s,s:I}", "error",
						"lower fence", "fence",
						highest));
	if (status != MHD_HTTP_OK)
		return web_reply_error(req, status,
				       status == UNPROCESSABLE ? "chunk missing"
							       : "refused");
	return web_reply_json(req, status, json_pack("{s:b}", "done", 1));
}

/* Serves GET /running. */
enum web_result running_handle(struct engine *engine, struct web_request *req)
{
	json_t *models = json_array();
	int64_t now_ms = web_now_ms();
	struct engine_model *model;
	apr_hash_index_t *it;
	json_t *obj;

	pthread_mutex_lock(&engine->lock);
	for (it = apr_hash_first(NULL, engine->models); it;
	     it = apr_hash_next(it)) {
		model = apr_hash_this_val(it);
		json_array_append_new(
			models,
			json_pack("{s:s,s:s,s:s,s:I,s:s}", "model", model->name,
				  "version", model->version, "content",
				  model->content, "fence", model->fence,
				  "state",
				  model->ready_ms <= now_ms ? "ready"
							    : "loading"));
	}
	obj = json_pack("{s:s,s:s?,s:I,s:o}", "boot", engine->boot, "role",
			engine->role, "fence", engine->fence, "models", models);
	pthread_mutex_unlock(&engine->lock);
	return web_reply_json(req, MHD_HTTP_OK, obj);
}
