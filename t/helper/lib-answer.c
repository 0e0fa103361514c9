#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "base/digest.h"
#include "t/helper/lib-answer.h"

#define TEXT_MAX_BYTES (8 * 1024 * 1024)
#define EVENT_PREFIX "data: "
#define EVENT_END "\n\n"
#define INDEX_MAX_LEN 16
#define HTTP_OK 200

const char *const answer_outcome_names[OUTCOME_COUNT] = { "answer", "not-run",
							  "unknown", "error" };

void answer_init(struct answer *ans)
{
	memset(ans, 0, sizeof(*ans));
	ans->stated_token_count = -1;
}

/* Frees the received data and initializes the answer again. */
void answer_release(struct answer *ans)
{
	free(ans->text);
	free(ans->tokens);
	answer_init(ans);
}

/* Records the first fault of the answer. */
static void record_problem(struct answer *ans, const char *problem)
{
	if (!*ans->problem_text)
		snprintf(ans->problem_text, sizeof(ans->problem_text), "%s",
			 problem);
}

/* Copies a string, truncated to size; does nothing if text is NULL. */
static void copy_string(char *out, size_t size, const char *text)
{
	if (text)
		snprintf(out, size, "%s", text);
}

/* Records a header of the answer; ans->status has been set. */
void answer_record_header(struct answer *ans,
			  const struct answer_expectation *want,
			  const char *name, const char *value)
{
	if (!strcasecmp(name, "X-Outcome"))
		copy_string(ans->stated_outcome, sizeof(ans->stated_outcome),
			    value);
	else if (!strcasecmp(name, "X-Ticket"))
		copy_string(ans->ticket, sizeof(ans->ticket), value);
	else if (!strcasecmp(name, "X-Model-Version"))
		copy_string(ans->version, sizeof(ans->version), value);
	else if (!strcasecmp(name, "X-Request-Id"))
		ans->is_header_id_different = strcmp(value, want->id) != 0;
}

/* Appends a token.  Returns -1 if it is malformed. */
static int append_token(struct answer *ans, const char *token)
{
	char *tokens;
	int capacity;

	if (!token || strlen(token) != ANSWER_TOKEN_LEN)
		return -1;
	if (ans->token_count == ans->token_capacity) {
		capacity = 2 * ans->token_capacity + 16;
		tokens = realloc(ans->tokens,
				 (size_t)capacity * ANSWER_TOKEN_LEN);
		if (!tokens)
			return -1;
		ans->tokens = tokens;
		ans->token_capacity = capacity;
	}
	memcpy(ans->tokens + (ptrdiff_t)ans->token_count * ANSWER_TOKEN_LEN,
	       token, ANSWER_TOKEN_LEN);
	ans->token_count++;
	return 0;
}

/* Records version and content digest from the end of a model's answer. */
static void read_version(struct answer *ans, json_t *obj)
{
	const char *version =
		json_string_value(json_object_get(obj, "version"));

	if (version && *ans->version && strcmp(version, ans->version) != 0) {
		ans->is_version_mixed = true;
		record_problem(ans, "header and body state different versions");
	}
	copy_string(ans->version, sizeof(ans->version), version);
	copy_string(ans->content, sizeof(ans->content),
		    json_string_value(json_object_get(obj, "content")));
}

/* Returns whether an object's id is not that of the call. */
static bool is_id_different(const struct answer_expectation *want, json_t *obj)
{
	const char *id = json_string_value(json_object_get(obj, "id"));

	return !id || strcmp(id, want->id) != 0;
}

/* Records one event of a stream. */
static void read_event(struct answer *ans,
		       const struct answer_expectation *want, json_t *obj)
{
	json_t *index = json_object_get(obj, "index");

	if (is_id_different(want, obj))
		ans->is_event_id_different = true;
	if (index) {
		if (json_integer_value(index) != ans->token_count ||
		    ans->stated_token_count >= 0 ||
		    append_token(ans, json_string_value(
					      json_object_get(obj, "token"))))
			ans->has_token_gap = true;
	} else if (json_is_true(json_object_get(obj, "done"))) {
		ans->stated_token_count =
			(int)json_integer_value(json_object_get(obj, "tokens"));
		read_version(ans, obj);
	}
}

/* Parses the complete events and removes them from ans->text. */
static void read_events(struct answer *ans,
			const struct answer_expectation *want, int64_t now_us)
{
	char *at = ans->text;
	char *end;
	json_t *obj;

	while ((end = strstr(at, EVENT_END))) {
		if (!strncmp(at, EVENT_PREFIX, strlen(EVENT_PREFIX))) {
			at += strlen(EVENT_PREFIX);
			obj = json_loadb(at, (size_t)(end - at), 0, NULL);
			if (obj)
				read_event(ans, want, obj);
			else
				ans->has_token_gap = true;
			json_decref(obj);
			if (!ans->first_us)
				ans->first_us = now_us;
		}
		at = end + strlen(EVENT_END);
	}
	ans->text_len -= (size_t)(at - ans->text);
	memmove(ans->text, at, ans->text_len + 1);
}

/* Appends data to the body.  Returns -1 if the body becomes too large. */
int answer_append_body(struct answer *ans,
		       const struct answer_expectation *want, const char *data,
		       size_t len, int64_t now_us)
{
	size_t capacity = 2 * (ans->text_len + len) + 1;
	char *text;

	if (ans->text_len + len > TEXT_MAX_BYTES)
		return -1;
	if (ans->text_len + len + 1 > ans->text_capacity) {
		text = realloc(ans->text, capacity);
		if (!text)
			return -1;
		ans->text = text;
		ans->text_capacity = capacity;
	}
	memcpy(ans->text + ans->text_len, data, len);
	ans->text_len += len;
	ans->text[ans->text_len] = '\0';
	if (want->stream && ans->status == HTTP_OK)
		read_events(ans, want, now_us);
	else if (!ans->first_us)
		ans->first_us = now_us;
	return 0;
}

/* Returns whether token i was derived from the content and the prompt. */
static bool is_token_match(const struct answer *ans, const char *content,
			   const char *prompt, int i)
{
	size_t size = ANSWER_CONTENT_LEN + strlen(prompt) + INDEX_MAX_LEN;
	char hex[DIGEST_HEX_SIZE];
	struct digest digest;
	char *text = malloc(size);
	int len;

	if (!text)
		abort();
	len = snprintf(text, size, "%s|%s|%d", content, prompt, i);
	digest_of(text, (size_t)len, &digest);
	digest_hex(&digest, hex);
	free(text);
	return !memcmp(hex, ans->tokens + (ptrdiff_t)i * ANSWER_TOKEN_LEN,
		       ANSWER_TOKEN_LEN);
}

/* Checks that all received tokens were generated by one known version. */
static void check_tokens(struct answer *ans,
			 const struct answer_expectation *want)
{
	const char *known = json_string_value(
		json_object_get(want->contents, ans->version));
	const char *content = *ans->content ? ans->content : known;
	int i;

	if (known && content != known && strcmp(known, content) != 0) {
		ans->is_version_mixed = true;
		record_problem(ans,
			       "content digest does not match the version");
	}
	if (json_object_size(want->contents) && *ans->version && !known) {
		ans->is_version_mixed = true;
		record_problem(ans, "version is not one of --content");
	}
	for (i = 0; content && i < ans->token_count; i++) {
		if (is_token_match(ans, content, want->prompt, i))
			continue;
		ans->is_version_mixed = true;
		record_problem(ans, "token was not generated from the content");
		return;
	}
}

/* Parses a model's answer that is not streamed. */
static void read_object(struct answer *ans,
			const struct answer_expectation *want)
{
	json_t *obj =
		json_loadb(ans->text ? ans->text : "", ans->text_len, 0, NULL);
	json_t *tokens = json_object_get(obj, "tokens");
	size_t i;

	if (!obj) {
		record_problem(ans, "not JSON");
		return;
	}
	ans->is_event_id_different = is_id_different(want, obj);
	for (i = 0; i < json_array_size(tokens); i++)
		if (append_token(ans,
				 json_string_value(json_array_get(tokens, i))))
			ans->has_token_gap = true;
	if (json_is_true(json_object_get(obj, "done")))
		ans->stated_token_count = ans->token_count;
	read_version(ans, obj);
	json_decref(obj);
}

/* Checks a model's answer that ended cleanly. */
static void check_model(struct answer *ans,
			const struct answer_expectation *want)
{
	if (!want->stream)
		read_object(ans, want);
	if (ans->stated_token_count < 0)
		record_problem(ans, "no end");
	if (ans->has_token_gap)
		record_problem(ans, "token missing or out of order");
	if (ans->token_count != want->tokens ||
	    ans->stated_token_count != want->tokens)
		record_problem(ans, "wrong number of tokens");
	if (!*ans->content || !*ans->version)
		record_problem(ans, "no version");
	check_tokens(ans, want);
}

/* Checks a plain service's answer that ended cleanly. */
static void check_plain(struct answer *ans,
			const struct answer_expectation *want)
{
	json_t *obj =
		json_loadb(ans->text ? ans->text : "", ans->text_len, 0, NULL);
	const char *key = json_string_value(json_object_get(obj, "key"));

	ans->is_event_id_different = is_id_different(want, obj);
	ans->run_number = json_integer_value(json_object_get(obj, "run"));
	copy_string(ans->run_key, sizeof(ans->run_key), key);
	if (!obj)
		record_problem(ans, "not JSON");
	else if (!json_equal(json_object_get(obj, "echo"), want->echo))
		record_problem(ans, "echo differs");
	else if (want->key && (!key || strcmp(key, want->key) != 0))
		record_problem(ans, "key differs");
	json_decref(obj);
}

/* Copies a string member of a JSON object, if present. */
static void read_member(json_t *obj, const char *name, char *out, size_t size)
{
	copy_string(out, size, json_string_value(json_object_get(obj, name)));
}

/* Records the ticket in the answer to POST /v1/tickets. */
void answer_read_ticket(struct answer *ans)
{
	json_t *obj =
		json_loadb(ans->text ? ans->text : "", ans->text_len, 0, NULL);

	read_member(obj, "ticket", ans->ticket, sizeof(ans->ticket));
	json_decref(obj);
}

/* Parses a refusal and returns its outcome. */
static enum answer_outcome read_refusal(struct answer *ans)
{
	json_t *obj =
		json_loadb(ans->text ? ans->text : "", ans->text_len, 0, NULL);

	read_member(obj, "outcome", ans->stated_outcome,
		    sizeof(ans->stated_outcome));
	read_member(obj, "scope", ans->scope, sizeof(ans->scope));
	read_member(obj, "again", ans->again, sizeof(ans->again));
	read_member(obj, "reason", ans->reason, sizeof(ans->reason));
	read_member(obj, "ticket", ans->ticket, sizeof(ans->ticket));
	json_decref(obj);
	if (!strcmp(ans->stated_outcome, "not-run"))
		return OUTCOME_NOT_RUN;
	return !strcmp(ans->stated_outcome, "unknown") ? OUTCOME_UNKNOWN
						       : OUTCOME_ERROR;
}

/*
 * Evaluates a finished attempt.  clean: the answer ended as HTTP requires;
 * sent: at least one byte of the request was sent.
 */
void answer_finish(struct answer *ans, const struct answer_expectation *want,
		   bool clean, bool sent)
{
	if (!clean) {
		ans->outcome = sent ? OUTCOME_UNKNOWN : OUTCOME_ERROR;
		if (want->prompt && want->stream && ans->status == HTTP_OK)
			check_tokens(ans, want);
		ans->is_mismatched = ans->is_event_id_different ||
				     ans->is_header_id_different;
		return;
	}
	if (ans->status != HTTP_OK) {
		ans->outcome = read_refusal(ans);
		ans->is_mismatched = ans->is_header_id_different;
		return;
	}
	ans->outcome = OUTCOME_ANSWER;
	if (want->prompt)
		check_model(ans, want);
	else
		check_plain(ans, want);
	ans->is_mismatched =
		ans->is_event_id_different || ans->is_header_id_different;
	if (ans->is_mismatched)
		record_problem(ans, "identity of another request");
	ans->is_complete = !*ans->problem_text;
}
