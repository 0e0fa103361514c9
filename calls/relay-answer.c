#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "calls/entry-internal.h"

/* Resets the state of the answer for a new attempt; keeps received tokens. */
void relay_reset_answer(struct relay *r)
{
	r->echoed_id[0] = '\0';
	r->content_type[0] = '\0';
	r->reported_outcome = 0;
	r->has_gate_reply = 0;
	r->is_mismatched = 0;
	r->buffer_size = 0;
	sse_restart(&r->sse);
	__atomic_store_n(&r->is_paused, 0, __ATOMIC_RELAXED);
	__atomic_store_n(&r->probe_failures, 0, __ATOMIC_RELAXED);
}

static int append_to_buffer(struct relay *r, const char *data, size_t n)
{
	size_t to = r->buffer_capacity ? r->buffer_capacity : 1024;
	char *p;

	if (r->buffer_size + n > RELAY_ANSWER_MAX_BYTES)
		return -1;
	while (to < r->buffer_size + n)
		to *= 2;
	if (to != r->buffer_capacity) {
		p = realloc(r->buffer, to);
		if (!p)
			return -1;
		r->buffer = p;
		r->buffer_capacity = to;
	}
	memcpy(r->buffer + r->buffer_size, data, n);
	r->buffer_size += n;
	return 0;
}

static void on_response_header(struct fetch *f, const char *name,
			       const char *value)
{
	struct relay *r = f->arg;

	__atomic_store_n(&r->last_byte_at, clock_now(), __ATOMIC_RELAXED);
	if (!strcasecmp(name, "X-Limpet-Request")) {
		snprintf(r->echoed_id, sizeof(r->echoed_id), "%s", value);
		r->is_mismatched = strcmp(r->echoed_id, r->id) != 0;
	} else if (!strcasecmp(name, "X-Limpet-Outcome")) {
		r->reported_outcome = outcome_parse(value);
		r->has_gate_reply = 1;
	} else if (!strcasecmp(name, "X-Limpet-Version")) {
		r->is_mismatched |= strcmp(value, r->version) != 0;
	} else if (!strcasecmp(name, "X-Limpet-Generation")) {
		r->gate_generation = (uint32_t)strtoul(value, NULL, 10);
	} else if (!strcasecmp(name, "X-Limpet-Cache")) {
		r->cache_result = !strcmp(value, "hit");
	} else if (!strcasecmp(name, "Content-Type")) {
		content_type_copy(r->content_type, value);
	}
}

static void set_caller_headers(struct relay *r)
{
	http_call_set(r->call, "X-Request-Id", r->id);
	http_call_set(r->call, "X-Outcome", outcome_name(OUTCOME_ANSWER));
	if (r->kind == UPSTREAM_MODEL)
		http_call_set(r->call, "X-Model-Version", r->version);
	if (!r->is_repeatable && *r->ticket_text)
		http_call_set(r->call, "X-Ticket", r->ticket_text);
}

static int collect_event(struct relay *r, const char *text, size_t size)
{
	const size_t skip = sizeof("data: ") - 1;
	json_t *o = json_loadb(text + skip, size - skip, 0, NULL);

	if (!r->collected_tokens)
		r->collected_tokens = json_array();
	if (r->sse.has_ended) {
		r->last_event = o;
		return 0;
	}
	json_array_append(r->collected_tokens, json_object_get(o, "token"));
	json_decref(o);
	return 0;
}

/* Forwards or collects one event, which sse has checked. */
static int forward_event(void *arg, const char *text, size_t size)
{
	struct relay *r = arg;

	if (r->sse.has_ended && strcmp(r->sse.version, r->version) != 0) {
		r->sse.has_ended = 0;
		r->is_mismatched = 1;
		return -1;
	}
	if (!r->is_streaming)
		return collect_event(r, text, size);
	if (!r->has_started_stream) {
		r->has_started_stream = 1;
		set_caller_headers(r);
		http_call_stream_begin(r->call, 200, "text/event-stream",
				       FRAMING_CHUNKED, 0);
	}
	return http_call_stream_write(r->call, text, size);
}

static int on_response_data(struct fetch *f, const void *data, size_t size)
{
	struct relay *r = f->arg;
	int ret;

	__atomic_store_n(&r->last_byte_at, clock_now(), __ATOMIC_RELAXED);
	if (!*r->echoed_id)
		r->is_mismatched = 1;
	if (r->is_mismatched)
		return -1;
	if (r->reported_outcome != OUTCOME_ANSWER || r->kind != UPSTREAM_MODEL)
		return append_to_buffer(r, data, size);
	__atomic_store_n(&r->is_paused, 1, __ATOMIC_SEQ_CST);
	if (r->has_started_stream && http_call_stream_is_full(r->call))
		return FETCH_PAUSE;
	__atomic_store_n(&r->is_paused, 0, __ATOMIC_SEQ_CST);
	r->sse.on_event = forward_event;
	ret = sse_feed(&r->sse, data, size);
	if (r->sse.fault)
		r->is_mismatched = 1;
	return ret;
}

const struct fetch_ops relay_fetch_ops = { on_response_header, on_response_data,
					   relay_on_attempt_done };

/* Returns 1 if the attempt received a complete answer to this request. */
int relay_answer_is_complete(struct relay *r)
{
	if (r->fetch.error.code || r->is_mismatched || !*r->echoed_id ||
	    r->reported_outcome != OUTCOME_ANSWER)
		return 0;
	return r->kind == UPSTREAM_PLAIN || r->sse.has_ended;
}

static void send_model_answer(struct relay *r)
{
	json_t *o =
		json_pack("{s:s,s:o,s:b,s:s}", "id", r->id, "tokens",
			  r->collected_tokens ? json_incref(r->collected_tokens)
					      : json_array(),
			  "done", 1, "version", r->version);
	json_t *content = json_object_get(r->last_event, "content");

	if (content)
		json_object_set(o, "content", content);
	set_caller_headers(r);
	http_call_reply_json(r->call, 200, o);
}

/* Sends the answer or ends its stream, then ends the call. */
void relay_send_answer(struct relay *r)
{
	if (r->has_started_stream) {
		http_call_stream_end(r->call, 1);
	} else if (r->kind == UPSTREAM_MODEL) {
		send_model_answer(r);
	} else {
		set_caller_headers(r);
		http_call_reply(r->call, r->fetch.status,
				*r->content_type ? r->content_type
						 : "application/json",
				r->buffer ? r->buffer : "", r->buffer_size);
	}
	relay_finish(r, "answer", "");
}

/* Resumes the fetch once all written bytes were sent to the caller. */
void relay_on_caller_drained(void *arg)
{
	struct relay *r = arg;

	if (__atomic_exchange_n(&r->is_paused, 0, __ATOMIC_SEQ_CST))
		fetch_resume(&r->fetch);
}

/* Cancels the attempt after the caller closed its connection. */
void relay_on_caller_disconnected(void *arg)
{
	struct relay *r = arg;

	__atomic_store_n(&r->cancel_reason, RELAY_CALLER_DISCONNECTED,
			 __ATOMIC_RELEASE);
	fetch_cancel(&r->fetch);
}
