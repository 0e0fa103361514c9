#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "t/standin/lib-engine.h"

#define TOKEN_LEN 8
#define DEFAULT_TOKENS 16
#define TOKENS_MAX 100000
#define DEFAULT_PRIORITY 5
#define ID_MAX 256
#define EVENT_ROOM (6 * ID_MAX + ENGINE_VERSION_MAX + 256)
#define INDEX_ROOM 16

/* Writes token i of a call: it depends on the weights and the prompt. */
static void token_make(const struct engine_call *call, int i, char *out)
{
	char hex[BLOB_HEX_LEN + 1];
	size_t size = BLOB_HEX_LEN + strlen(call->prompt) + INDEX_ROOM;
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

/* Writes the next event of a stream to call->out.  Returns 0 when none. */
static int stream_event(struct engine_call *call, int made,
			enum call_state state)
{
	char token[TOKEN_LEN + 1];
	int len = 0;

	if (call->sent < made) {
		token_make(call, call->sent, token);
		len = snprintf(call->out, EVENT_ROOM,
			       "data: {\"id\":%s,\"index\":%d,\"token\":"
			       "\"%s\"}\n\n",
			       call->id_json, call->sent++, token);
	} else if (state == CALL_DONE && !call->closed) {
		call->closed = true;
		len = snprintf(call->out, EVENT_ROOM,
			       "data: {\"id\":%s,\"done\":true,\"tokens\":%d,"
			       "\"version\":\"%s\",\"content\":\"%s\"}\n\n",
			       call->id_json, call->end, call->version,
			       call->content);
	}
	call->out_len = (size_t)len;
	call->out_sent = 0;
	return len;
}

/* Sends the tokens that were made since the last time. */
static ssize_t stream_read(void *arg, char *buf, size_t max)
{
	struct engine_call *call = arg;
	enum call_state state;
	size_t used = 0;
	size_t n;
	int made;

	pthread_mutex_lock(&call->engine->lock);
	state = call->state;
	made = call->made;
	pthread_mutex_unlock(&call->engine->lock);
	while (used < max) {
		if (call->out_sent == call->out_len &&
		    !stream_event(call, made, state))
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
		return WEB_STREAM_FAIL;
	return call->closed ? WEB_STREAM_END : WEB_STREAM_WAIT;
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

/* Ends the call of a request that is over. */
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

/* Copies a string that may be NULL. */
static char *dup_string(const char *text)
{
	return text ? strdup(text) : NULL;
}

/* Quotes a request identity for JSON. */
static char *quote(const char *text)
{
	json_t *obj = json_string(text);
	char *quoted = obj ? json_dumps(obj, JSON_ENCODE_ANY) : NULL;

	json_decref(obj);
	return quoted;
}

/* Identity of a request that came without one. */
static const char *id_make(char *out, size_t size)
{
	static long last;

	snprintf(out, size, "engine-%ld",
		 __atomic_add_fetch(&last, 1, __ATOMIC_RELAXED));
	return out;
}

/* Reads the parameters of a call.  Returns NULL when they are wrong. */
static struct engine_call *call_read(struct engine *engine,
				     struct web_request *req, json_t *obj)
{
	struct engine_call *call = calloc(1, sizeof(*call));
	const char *id = web_header(req, "X-Request-Id");
	const char *model = NULL;
	const char *prompt = NULL;
	const char *session = NULL;
	char made_id[32];
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
	call->stream = stream;
	call->made = call->first;
	call->sent = call->first;
	call->id = strdup(id ? id : id_make(made_id, sizeof(made_id)));
	call->id_json = quote(call->id);
	call->model = dup_string(model);
	call->prompt = dup_string(prompt);
	call->session = dup_string(session);
	call->out = malloc(EVENT_ROOM);
	if (call->id_json && call->prompt && call->out)
		return call;
fail:
	call_free(call);
	return NULL;
}

/* Adds the headers that name the request and the version. */
static enum web_verdict call_send(struct engine_call *call,
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

/* Replies to a call that isn't streamed, when it is done. */
static enum web_verdict call_reply(struct engine_call *call,
				   struct web_request *req)
{
	size_t room = EVENT_ROOM +
		      (size_t)(call->end - call->first) * (TOKEN_LEN + 3);
	char *text = malloc(room);
	struct MHD_Response *res;
	char token[TOKEN_LEN + 1];
	size_t len;
	int i;

	if (!text)
		return WEB_CLOSE;
	len = (size_t)snprintf(text, room, "{\"id\":%s,\"tokens\":[",
			       call->id_json);
	for (i = call->first; i < call->end; i++) {
		token_make(call, i, token);
		len += (size_t)snprintf(text + len, room - len, "%s\"%s\"",
					i > call->first ? "," : "", token);
	}
	len += (size_t)snprintf(text + len, room - len,
				"],\"done\":true,\"version\":\"%s\","
				"\"content\":\"%s\"}",
				call->version, call->content);
	res = MHD_create_response_from_buffer(len, text, MHD_RESPMEM_MUST_FREE);
	return call_send(call, req, res, "application/json");
}

/* Queues a new call.  Returns the HTTP status, 0 when the engine is down. */
static unsigned call_enter(struct engine *engine, struct engine_call *call,
			   int64_t now_ms)
{
	const struct engine_model *model;

	if (engine->back_ms)
		return 0;
	model = models_find(engine, call->model, now_ms);
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

/* Reads and queues a request that is seen for the first time. */
static enum web_verdict generate_start(struct engine *engine,
				       struct web_request *req)
{
	json_t *obj = web_body(req);
	struct engine_call *call = call_read(engine, req, obj);
	unsigned status;

	json_decref(obj);
	if (!call)
		return web_reply_error(req, MHD_HTTP_BAD_REQUEST, "bad call");
	pthread_mutex_lock(&engine->lock);
	status = call_enter(engine, call, web_now_ms());
	pthread_mutex_unlock(&engine->lock);
	if (status == MHD_HTTP_OK)
		return WEB_DONE;
	call_free(call);
	if (!status)
		return WEB_CLOSE;
	return web_reply_error(req, status, "model is not loaded");
}

/* Serves POST /v1/generate; entered again when the call is released. */
enum web_verdict generate_handle(struct engine *engine, struct web_request *req)
{
	struct engine_call *call;
	enum call_state state;
	enum web_verdict verdict;

	if (!req->call) {
		verdict = generate_start(engine, req);
		if (!req->call)
			return verdict;
	}
	call = req->call;
	if (call->stream)
		return call_send(
			call, req,
			web_stream(req, MHD_SIZE_UNKNOWN, &stream_ops, call),
			"text/event-stream");
	pthread_mutex_lock(&engine->lock);
	state = call->state;
	pthread_mutex_unlock(&engine->lock);
	if (state == CALL_CANCELLED)
		return web_reply_error(req, 499, "cancelled");
	return state == CALL_DONE ? call_reply(call, req) : WEB_HOLD;
}

/* Serves POST /v1/cancel. */
enum web_verdict cancel_handle(struct engine *engine, struct web_request *req)
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
		web_release(call->req);
	}
	pthread_mutex_unlock(&engine->lock);
	json_decref(obj);
	return web_reply_json(req, MHD_HTTP_OK,
			      json_pack("{s:b}", "cancelled", call != NULL));
}
