#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "base/digest.h"
#include "t/helper/lib-answer.h"

#define TEXT_MAX (8 * 1024 * 1024)
#define EVENT_START "data: "
#define EVENT_END "\n\n"
#define INDEX_ROOM 16
#define HTTP_OK 200

const char *const answer_outcome_names[OUTCOME_COUNT] = { "answer", "not-run",
							  "unknown", "error" };

/* Starts with nothing received. */
void answer_init(struct answer *ans)
{
	memset(ans, 0, sizeof(*ans));
	ans->stated_token_count = -1;
}

/* Frees what was received and starts anew. */
void answer_release(struct answer *ans)
{
	free(ans->text);
	free(ans->tokens);
	answer_init(ans);
}

/* Keeps the first reason why the answer is not whole. */
static void answer_problem(struct answer *ans, const char *problem)
{
	if (!*ans->problem_text)
		snprintf(ans->problem_text, sizeof(ans->problem_text), "%s",
			 problem);
}

/* Copies a string that may be missing, cut to size. */
static void copy_string(char *out, size_t size, const char *text)
{
	if (text)
		snprintf(out, size, "%s", text);
}

/* Takes a header of the answer; the status is known. */
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

/* Appends a token of the model. */
static int token_add(struct answer *ans, const char *token)
{
	char *tokens;
	int room;

	if (!token || strlen(token) != ANSWER_TOKEN_LEN)
		return -1;
	if (ans->token_count == ans->token_capacity) {
		room = 2 * ans->token_capacity + 16;
		tokens = realloc(ans->tokens, (size_t)room * ANSWER_TOKEN_LEN);
		if (!tokens)
			return -1;
		ans->tokens = tokens;
		ans->token_capacity = room;
	}
	memcpy(ans->tokens + (ptrdiff_t)ans->token_count * ANSWER_TOKEN_LEN,
	       token, ANSWER_TOKEN_LEN);
	ans->token_count++;
	return 0;
}

/* Takes the version and the content from the end of a model's answer. */
static void read_version(struct answer *ans, json_t *obj)
{
	const char *version =
		json_string_value(json_object_get(obj, "version"));

	if (version && *ans->version && strcmp(version, ans->version) != 0) {
		ans->is_version_mixed = true;
		answer_problem(ans, "two versions");
	}
	copy_string(ans->version, sizeof(ans->version), version);
	copy_string(ans->content, sizeof(ans->content),
		    json_string_value(json_object_get(obj, "content")));
}

/* Whether an object carries another identity than the call. */
static bool id_differs(const struct answer_expectation *want, json_t *obj)
{
	const char *id = json_string_value(json_object_get(obj, "id"));

	return !id || strcmp(id, want->id) != 0;
}

/* Takes one event of a stream. */
static void read_event(struct answer *ans,
		       const struct answer_expectation *want, json_t *obj)
{
	json_t *index = json_object_get(obj, "index");

	if (id_differs(want, obj))
		ans->is_event_id_different = true;
	if (index) {
		if (json_integer_value(index) != ans->token_count ||
		    ans->stated_token_count >= 0 ||
		    token_add(ans,
			      json_string_value(json_object_get(obj, "token"))))
			ans->has_token_gap = true;
	} else if (json_is_true(json_object_get(obj, "done"))) {
		ans->stated_token_count =
			(int)json_integer_value(json_object_get(obj, "tokens"));
		read_version(ans, obj);
	}
}

/* Takes the whole events out of the text that came so far. */
static void read_events(struct answer *ans,
			const struct answer_expectation *want, int64_t now_us)
{
	char *at = ans->text;
	char *end;
	json_t *obj;

	while ((end = strstr(at, EVENT_END))) {
		if (!strncmp(at, EVENT_START, strlen(EVENT_START))) {
			at += strlen(EVENT_START);
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

/* Takes a piece of the body.  Returns -1 when there is too much of it. */
int answer_append_body(struct answer *ans,
		       const struct answer_expectation *want, const char *data,
		       size_t len, int64_t now_us)
{
	size_t room = 2 * (ans->text_len + len) + 1;
	char *text;

	if (ans->text_len + len > TEXT_MAX)
		return -1;
	if (ans->text_len + len + 1 > ans->text_capacity) {
		text = realloc(ans->text, room);
		if (!text)
			return -1;
		ans->text = text;
		ans->text_capacity = room;
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

/* Whether token i comes from a content and the prompt. */
static bool token_matches(const struct answer *ans, const char *content,
			  const char *prompt, int i)
{
	size_t size = ANSWER_CONTENT_LEN + strlen(prompt) + INDEX_ROOM;
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

/* Checks that every token that came is made by one known version. */
static void check_tokens(struct answer *ans,
			 const struct answer_expectation *want)
{
	const char *known = json_string_value(
		json_object_get(want->contents, ans->version));
	const char *content = *ans->content ? ans->content : known;
	int i;

	if (known && content != known && strcmp(known, content) != 0) {
		ans->is_version_mixed = true;
		answer_problem(ans, "content is not the version's");
	}
	if (json_object_size(want->contents) && *ans->version && !known) {
		ans->is_version_mixed = true;
		answer_problem(ans, "version is not known");
	}
	for (i = 0; content && i < ans->token_count; i++) {
		if (token_matches(ans, content, want->prompt, i))
			continue;
		ans->is_version_mixed = true;
		answer_problem(ans, "token is not the content's");
		return;
	}
}

/* Reads a model's answer that isn't streamed. */
static void read_object(struct answer *ans,
			const struct answer_expectation *want)
{
	json_t *obj =
		json_loadb(ans->text ? ans->text : "", ans->text_len, 0, NULL);
	json_t *tokens = json_object_get(obj, "tokens");
	size_t i;

	if (!obj) {
		answer_problem(ans, "not JSON");
		return;
	}
	ans->is_event_id_different = id_differs(want, obj);
	for (i = 0; i < json_array_size(tokens); i++)
		if (token_add(ans,
			      json_string_value(json_array_get(tokens, i))))
			ans->has_token_gap = true;
	if (json_is_true(json_object_get(obj, "done")))
		ans->stated_token_count = ans->token_count;
	read_version(ans, obj);
	json_decref(obj);
}

/* Judges a model's answer that ended cleanly. */
static void check_model(struct answer *ans,
			const struct answer_expectation *want)
{
	if (!want->stream)
		read_object(ans, want);
	if (ans->stated_token_count < 0)
		answer_problem(ans, "no end");
	if (ans->has_token_gap)
		answer_problem(ans, "token missing or out of order");
	if (ans->token_count != want->tokens ||
	    ans->stated_token_count != want->tokens)
		answer_problem(ans, "wrong number of tokens");
	if (!*ans->content || !*ans->version)
		answer_problem(ans, "no version");
	check_tokens(ans, want);
}

/* Judges a plain service's answer that ended cleanly. */
static void check_plain(struct answer *ans,
			const struct answer_expectation *want)
{
	json_t *obj =
		json_loadb(ans->text ? ans->text : "", ans->text_len, 0, NULL);
	const char *key = json_string_value(json_object_get(obj, "key"));

	ans->is_event_id_different = id_differs(want, obj);
	ans->run_number = json_integer_value(json_object_get(obj, "run"));
	copy_string(ans->run_key, sizeof(ans->run_key), key);
	if (!obj)
		answer_problem(ans, "not JSON");
	else if (!json_equal(json_object_get(obj, "echo"), want->echo))
		answer_problem(ans, "echo differs");
	else if (want->key && (!key || strcmp(key, want->key) != 0))
		answer_problem(ans, "key differs");
	json_decref(obj);
}

/* Copies a string member of a refusal, if it is there. */
static void read_member(json_t *obj, const char *name, char *out, size_t size)
{
	copy_string(out, size, json_string_value(json_object_get(obj, name)));
}

/* Reads the ticket of an answer that is nothing else. */
void answer_read_ticket(struct answer *ans)
{
	json_t *obj =
		json_loadb(ans->text ? ans->text : "", ans->text_len, 0, NULL);

	read_member(obj, "ticket", ans->ticket, sizeof(ans->ticket));
	json_decref(obj);
}

/* Reads a refusal and returns the outcome that it states. */
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
 * Judges an attempt that is over.  clean tells whether the answer ended as
 * HTTP wants it, sent whether a byte of the request left.
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
		answer_problem(ans, "identity of another request");
	ans->is_complete = !*ans->problem_text;
}
