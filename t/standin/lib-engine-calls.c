#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "t/standin/lib-engine.h"

#define TOKEN_LEN 8
#define DEFAULT_TOKENS 16
#define TOKENS_MAX 100000
#define DEFAULT_PRIORITY 5
#define ID_MAX 256
#define EVENT_SIZE_MAX (6 * ID_MAX + ENGINE_VERSION_MAX + 256)
#define INDEX_SIZE_MAX 16

/*
 * Computes token i of a call: the first characters of a hash of the content
 * digest of the weights, the prompt and the index, so that a test can tell
 * which weights generated it.
 */
static void token_compute(const struct engine_call *call, int i, char *out)
{
	char hex[BLOB_HEX_LEN + 1];
	size_t size = BLOB_HEX_LEN + strlen(call->prompt) + INDEX_SIZE_MAX;
	char *text = malloc(size);
	int len;

	if (!text)
		abort();
	len = snprintf(text, size, "%s|%s|%d", call->content, call->prompt, i);
	blob_sha256_hex(text, (size_t)len, hex);
	free(text);
	memcpy(out, hex, TOKEN_LEN);
	out[TOKEN_LEN] = '\0';
}

/* Formats the next stream event into call->out.  Returns 0 if there is none. */
static int stream_next_event(struct engine_call *call, int generated,
			     enum call_state state)
{
	char token[TOKEN_LEN + 1];
	int len = 0;

	if (call->sent_tokens < generated) {
		token_compute(call, call->sent_tokens, token);
		len = snprintf(call->out, EVENT_SIZE_MAX,
			       "data: {\"id\":%s,\"index\":%d,\"token\":"
			       "\"%s\"}\n\n",
			       call->id_json, call->sent_tokens++, token);
	} else if (state == CALL_DONE && !call->has_sent_end) {
		call->has_sent_end = true;
		len = snprintf(call->out, EVENT_SIZE_MAX,
			       "data: {\"id\":%s,\"done\":true,\"tokens\":%d,"
			       "\"version\":\"%s\",\"content\":\"%s\"}\n\n",
			       call->id_json, call->end, call->version,
			       call->content);
	}
	call->out_len = (size_t)len;
	call->out_sent = 0;
	return len;
}

/* Copies the events of newly generated tokens to the stream. */
static ssize_t stream_read(void *arg, char *buf, size_t max)
{
	struct engine_call *call = arg;
	enum call_state state;
	size_t used = 0;
	size_t n;
	int generated;

	pthread_mutex_lock(&call->engine->lock);
	state = call->state;
	generated = call->generated;
	pthread_mutex_unlock(&call->engine->lock);
	while (used < max) {
		if (call->out_sent == call->out_len &&
		    !stream_next_event(call, generated, state))
			break;
		n = call->out_len - call->out_sent;
		if (n > max - used)
			n = max - used;
		memcpy(buf + used, call->out + call->out_sent, n);
		call->out_sent += n;
		used += n;
	}
	if (used)
		return (ssize_t)used;
	if (state == CALL_CANCELLED)
		return WEB_STREAM_ERROR;
	return call->has_sent_end ? WEB_STREAM_END : WEB_STREAM_WAIT;
}

static const struct web_stream_ops stream_ops = { stream_read, NULL };

/* Frees a call that is in no list. */
static void call_free(struct engine_call *call)
{
	free(call->id);
	free(call->id_json);
	free(call->model);
	free(call->prompt);
	free(call->session);
	free(call->out);
	free(call);
}

/* Frees the call of a completed request, cancelling it if unfinished. */
void call_close(struct web_request *req)
{
	struct engine_call *call = req->call;

	if (!call)
		return;
	pthread_mutex_lock(&call->engine->lock);
	if (call->state == CALL_WAITING || call->state == CALL_RUNNING)
		batch_remove(call, CALL_CANCELLED);
	pthread_mutex_unlock(&call->engine->lock);
	call_free(call);
	req->call = NULL;
}

static char *strdup_or_null(const char *text)
{
	return text ? strdup(text) : NULL;
}

/* Formats text as a JSON string literal. */
static char *json_quote(const char *text)
{
	json_t *obj = json_string(text);
	char *quoted = obj ? json_dumps(obj, JSON_ENCODE_ANY) : NULL;

	json_decref(obj);
	return quoted;
}

/* Generates an ID for a request that has none. */
static const char *make_request_id(char *out, size_t size)
{
	static long last;

	snprintf(out, size, "engine-%ld",
		 __atomic_add_fetch(&last, 1, __ATOMIC_RELAXED));
	return out;
}

/* Parses the parameters of a call.  Returns NULL if they are invalid. */
static struct engine_call *call_parse(struct engine *engine,
				      struct web_request *req, json_t *obj)
{
	struct engine_call *call = calloc(1, sizeof(*call));
	const char *id = web_header(req, "X-Request-Id");
	const char *model = NULL;
	const char *prompt = NULL;
	const char *session = NULL;
	char id_buf[32];
	int stream = 0;

	if (!call)
		return NULL;
	call->engine = engine;
	call->req = req;
	call->end = DEFAULT_TOKENS;
	call->priority = DEFAULT_PRIORITY;
	if (json_unpack(obj, "{s:s,s:s,s?i,s?b,s?i,s?s,s?i}", "model", &model,
			"prompt", &prompt, "max_tokens", &call->end, "stream",
			&stream, "priority", &call->priority, "session",
			&session, "resume_from", &call->first))
		goto fail;
	if (call->end < 1 || call->end > TOKENS_MAX || call->first < 0 ||
	    call->first > call->end || call->priority < 0 ||
	    call->priority >= ENGINE_PRIORITIES || (id && strlen(id) > ID_MAX))
		goto fail;
	call->is_streamed = stream;
	call->generated = call->first;
	call->sent_tokens = call->first;
	call->id = strdup(id ? id : make_request_id(id_buf, sizeof(id_buf)));
	call->id_json = json_quote(call->id);
	call->model = strdup_or_null(model);
	call->prompt = strdup_or_null(prompt);
	call->session = strdup_or_null(session);
	call->out = malloc(EVENT_SIZE_MAX);
	if (call->id_json && call->prompt && call->out)
		return call;
fail:
	call_free(call);
	return NULL;
}

/* Adds the request ID, version and type headers and sends the response. */
static enum web_result call_send(struct engine_call *call,
				 struct web_request *req,
				 struct MHD_Response *res, const char *type)
{
	if (!res)
		return WEB_CLOSE;
	MHD_add_response_header(res, "X-Request-Id", call->id);
	MHD_add_response_header(res, "X-Model-Version", call->version);
	MHD_add_response_header(res, "Content-Type", type);
	return web_send(req, MHD_HTTP_OK, res);
}

/* Replies to a completed call that isn't streamed. */
static enum web_result call_reply(struct engine_call *call,
				  struct web_request *req)
{
	size_t size = EVENT_SIZE_MAX +
		      (size_t)(call->end - call->first) * (TOKEN_LEN + 3);
	char *text = malloc(size);
	struct MHD_Response *res;
	char token[TOKEN_LEN + 1];
	size_t len;
	int i;

	if (!text)
		return WEB_CLOSE;
	len = (size_t)snprintf(text, size, "{\"id\":%s,\"tokens\":[",
			       call->id_json);
	for (i = call->first; i < call->end; i++) {
		token_compute(call, i, token);
		len += (size_t)snprintf(text + len, size - len, "%s\"%s\"",
					i > call->first ? "," : "", token);
	}
	len += (size_t)snprintf(text + len, size - len,
				"],\"done\":true,\"version\":\"%s\","
				"\"content\":\"%s\"}",
				call->version, call->content);
	res = MHD_create_response_from_buffer(len, text, MHD_RESPMEM_MUST_FREE);
	return call_send(call, req, res, "application/json");
}

/* Queues a new call.  Returns the HTTP status, or 0 if the engine is down. */
static unsigned call_enqueue(struct engine *engine, struct engine_call *call,
			     int64_t now_ms)
{
	const struct engine_model *model;

	if (engine->restart_ms)
		return 0;
	model = models_find_ready(engine, call->model, now_ms);
	if (!model)
		return MHD_HTTP_NOT_FOUND;
	memcpy(call->version, model->version, sizeof(call->version));
	memcpy(call->content, model->content, sizeof(call->content));
	call->req->call = call;
	engine_count(calls, 1);
	batch_add(call);
	if (!engine_settings.token_ms)
		batch_step(engine, now_ms);
	return MHD_HTTP_OK;
}

/* Parses a new request and queues its call. */
static enum web_result generate_start(struct engine *engine,
				      struct web_request *req)
{
	json_t *obj = web_body(req);
	struct engine_call *call = call_parse(engine, req, obj);
	unsigned status;

	json_decref(obj);
	if (!call)
		return web_reply_error(req, MHD_HTTP_BAD_REQUEST, "bad call");
	pthread_mutex_lock(&engine->lock);
	status = call_enqueue(engine, call, web_now_ms());
	pthread_mutex_unlock(&engine->lock);
	if (status == MHD_HTTP_OK)
		return WEB_REPLIED;
	call_free(call);
	if (!status)
		return WEB_CLOSE;
	return web_reply_error(req, status, "model is not loaded");
}

/* Serves POST /v1/generate; called again after web_resume(). */
enum web_result generate_handle(struct engine *engine, struct web_request *req)
{
	struct engine_call *call;
	enum call_state state;
	enum web_result result;

	if (!req->call) {
		result = generate_start(engine, req);
		if (!req->call)
			return result;
	}
	call = req->call;
	if (call->is_streamed)
		return call_send(
			call, req,
			web_stream(req, MHD_SIZE_UNKNOWN, &stream_ops, call),
			"text/event-stream");
	pthread_mutex_lock(&engine->lock);
	state = call->state;
	pthread_mutex_unlock(&engine->lock);
	if (state == CALL_CANCELLED)
		return web_reply_error(req, 499, "cancelled");
	return state == CALL_DONE ? call_reply(call, req) : WEB_SUSPEND;
}

/* Serves POST /v1/cancel. */
enum web_result cancel_handle(struct engine *engine, struct web_request *req)
{
	json_t *obj = web_body(req);
	const char *id = json_string_value(json_object_get(obj, "id"));
	struct engine_call *call = NULL;

	pthread_mutex_lock(&engine->lock);
	if (id)
		call = batch_find(engine, id);
	if (call) {
		batch_remove(call, CALL_CANCELLED);
		engine_count(cancelled, 1);
		web_resume(call->req);
	}
	pthread_mutex_unlock(&engine->lock);
	json_decref(obj);
	return web_reply_json(req, MHD_HTTP_OK,
			      json_pack("{s:b}", "cancelled", call != NULL));
}
