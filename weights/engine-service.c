#include "weights/engine-ops.h"

#include <stdio.h>
#include <string.h>

#include "base/schema.h"

#define HTTP_OK 200
#define HTTP_UNPROCESSABLE 422

static int parse_state(const json_t *o, struct engine_state *out)
{
	const json_t *m;
	size_t i;

	memset(out, 0, sizeof(*out));
	if (!json_is_array(json_object_get(o, "models")))
		return -1;
	snprintf(out->boot, sizeof(out->boot), "%s",
		 schema_string(o, "boot", ""));
	out->order_count = -1;
	json_array_foreach(json_object_get(o, "models"), i, m)
	{
		struct engine_model *to = &out->models[out->model_count];

		if (out->model_count == ENGINE_MODELS_MAX)
			break;
		snprintf(to->name, sizeof(to->name), "%s",
			 schema_string(m, "model", ""));
		snprintf(to->version, sizeof(to->version), "%s",
			 schema_string(m, "version", ""));
		to->is_ready = !strcmp(schema_string(m, "state", ""), "ready");
		to->fence = (uint64_t)schema_integer(m, "fence", 0);
		out->model_count++;
	}
	return 0;
}

static void make_list_path(const char *model, char *out)
{
	(void)model;
	snprintf(out, ENGINE_PATH_SIZE, "/staging");
}

static const json_t *get_staged_chunks(const json_t *o)
{
	return json_object_get(o, "chunks");
}

static void make_chunk_path(const struct chunk_location *c, char *out)
{
	char hex[DIGEST_HEX_SIZE];

	digest_hex(c->digest, hex);
	snprintf(out, ENGINE_PATH_SIZE, "/staging/chunks/%s", hex);
}

static char *make_order_body(const struct load_order *order)
{
	const struct manifest *m = order->manifest;
	json_t *chunks = json_array();
	char hex[DIGEST_HEX_SIZE];
	char *text;
	uint32_t i;
	json_t *o;

	for (i = 0; i < m->chunk_count; i++) {
		digest_hex(&m->chunks[i], hex);
		json_array_append_new(chunks, json_string(hex));
	}
	o = json_pack("{s:s,s:s,s:s,s:I,s:o}", "order", "load", "model",
		      order->model, "version", order->version, "fence",
		      (json_int_t)order->fence, "chunks", chunks);
	text = json_dumps(o, JSON_COMPACT);
	json_decref(o);
	return text;
}

static enum order_result classify_order_status(int status)
{
	if (status == HTTP_UNPROCESSABLE)
		return ORDER_CHUNK_MISSING;
	return status == HTTP_OK ? ORDER_ACCEPTED : ORDER_FAILED;
}

static void make_manifest_path(const char *model, uint64_t release,
			       const char *version, char *out)
{
	(void)model;
	(void)release;
	snprintf(out, ENGINE_PATH_SIZE, "/manifests/%s", version);
}

static void make_origin_path(const struct chunk_location *c, char *out)
{
	snprintf(out, ENGINE_PATH_SIZE, "/weights/%s", c->source);
}

const struct engine_ops engine_service_ops = {
	.state_path = "/running",
	.parse_state = parse_state,
	.has_digest_staging = 1,
	.make_list_path = make_list_path,
	.get_staged_chunks = get_staged_chunks,
	.make_read_path = make_chunk_path,
	.make_write_path = make_chunk_path,
	.order_path = "/orders",
	.order_timeout_ms = 120000,
	.make_order_body = make_order_body,
	.classify_order_status = classify_order_status,
	.has_origin_ranges = 1,
	.make_manifest_path = make_manifest_path,
	.make_origin_path = make_origin_path,
};
