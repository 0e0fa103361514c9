#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "t/helper/lib-attempt.h"

#define ACCOUNT_MAX 64
#define US_PER_MS 1000.0
#define HTTP_OK 200
#define TICKET_BODY "{\"service\":\"%s\"}"

/* Adds a header to the attempt's request. */
__attribute__((format(printf, 2, 3))) static void
add_header(struct load_call *call, const char *fmt, ...)
{
	va_list ap;
	int i = 0;

	while (call->fetch.headers[i])
		i++;
	if (i == ATTEMPT_HEADERS)
		abort();
	va_start(ap, fmt);
	vsnprintf(call->headers[i], ATTEMPT_HEADER_MAX, fmt, ap);
	va_end(ap);
	call->fetch.headers[i] = call->headers[i];
}

/* Adds the headers that an entry reads. */
static void add_entry_headers(struct load_call *call)
{
	const struct plan_settings *set = call->set;
	char account[ACCOUNT_MAX];
	const char *token;

	plan_account(set, &call->plan, account, sizeof(account), &token);
	if (*token)
		add_header(call, "Authorization: Bearer %s", token);
	if (call->is_requesting_ticket)
		return;
	if (*call->plan.key)
		add_header(call, "Idempotency-Key: %s", call->plan.key);
	if (*call->plan.ticket)
		add_header(call, "X-Ticket: %s", call->plan.ticket);
	if (set->deadline_ms)
		add_header(call, "X-Deadline-Ms: %d", set->deadline_ms);
	if (set->priority >= 0)
		add_header(call, "X-Priority: %d", set->priority);
	if (*call->plan.session)
		add_header(call, "X-Session: %s", call->plan.session);
}

/* Sets the headers of the attempt's request. */
static void set_headers(struct load_call *call)
{
	memset(call->fetch.headers, 0, sizeof(call->fetch.headers));
	add_header(call, "Content-Type: application/json");
	add_header(call, "X-Request-Id: %s", call->plan.id);
	if (!call->set->direct)
		add_entry_headers(call);
	else if (*call->plan.key)
		add_header(call, "X-Idempotency-Key: %s", call->plan.key);
}

/* Sets the URL of the attempt's request. */
static void set_url(struct load_call *call)
{
	const struct plan_settings *set = call->set;
	const char *entry = set->entries[call->entry];
	size_t size = sizeof(call->url);

	if (call->is_requesting_ticket)
		snprintf(call->url, size, "http://%s/v1/tickets", entry);
	else if (set->direct && call->plan.is_plain)
		snprintf(call->url, size, "http://%s/%s", entry,
			 set->operation);
	else if (set->direct)
		snprintf(call->url, size, "http://%s/v1/generate", entry);
	else if (call->plan.is_plain)
		snprintf(call->url, size, "http://%s/v1/services/%s/%s", entry,
			 set->service, set->operation);
	else
		snprintf(call->url, size, "http://%s/v1/models/%s/generate",
			 entry, set->model);
}

/* Sets the expectations for a complete answer to the attempt. */
static void set_expectation(struct load_call *call)
{
	struct answer_expectation *want = &call->want;

	memset(want, 0, sizeof(*want));
	want->id = call->plan.id;
	want->prompt = call->plan.prompt;
	want->echo = call->plan.echo;
	/* Entries send the service a key that they create themselves. */
	if (call->set->direct && *call->plan.key)
		want->key = call->plan.key;
	want->contents = call->set->contents;
	want->tokens = call->set->tokens;
	want->stream = call->plan.is_stream && !call->is_requesting_ticket;
}

/* Parses a header of the answer, on the client's thread. */
static void on_header(struct fetch *f, const char *name, const char *value)
{
	struct load_call *call = f->arg;

	call->answer.status = f->status;
	answer_record_header(&call->answer, &call->want, name, value);
}

/* Parses a piece of the answer, on the client's thread. */
static int on_data(struct fetch *f, const void *data, size_t size)
{
	struct load_call *call = f->arg;

	call->answer.status = f->status;
	return answer_append_body(&call->answer, &call->want, data, size,
				  clock_now());
}

/*
 * Stores the ticket of an answer or a refusal. Returns -1 when there is none.
 */
static int store_ticket(struct load_call *call)
{
	if (!*call->answer.ticket)
		return -1;
	memcpy(call->plan.ticket, call->answer.ticket,
	       sizeof(call->plan.ticket));
	return 0;
}

/* Ends the request for a ticket.  Returns -1 when there is none. */
static int finish_ticket_request(struct load_call *call, bool clean)
{
	struct answer *ans = &call->answer;

	call->is_requesting_ticket = false;
	if (clean && ans->status == HTTP_OK) {
		answer_read_ticket(ans);
		if (!store_ticket(call)) {
			call->plan.wants_ticket = false;
			return 0;
		}
	}
	/* Without a ticket the call itself was not sent. */
	call->attempts++;
	ans->outcome = OUTCOME_ERROR;
	snprintf(ans->problem_text, sizeof(ans->problem_text),
		 "no ticket, status %d", ans->status);
	return -1;
}

/* Ends an attempt. A call that has received its ticket is sent then. */
static void on_done(struct fetch *f)
{
	struct load_call *call = f->arg;
	struct answer *ans = &call->answer;
	bool clean = f->error.code == ERROR_NONE;

	ans->status = f->status;
	call->end_us = clock_now();
	if (call->is_requesting_ticket) {
		if (!finish_ticket_request(call, clean)) {
			attempt_start(call);
			return;
		}
	} else {
		answer_finish(ans, &call->want, clean, !f->never_sent);
		if (!clean && !*ans->problem_text)
			snprintf(ans->problem_text, sizeof(ans->problem_text),
				 "%.90s", f->error.text);
	}
	call->on_finished(call);
}

static const struct fetch_ops attempt_ops = { on_header, on_data, on_done };

/* Detaches the duplicate of a call that has received its ticket, if any. */
static struct load_call *detach_duplicate(struct load_call *call)
{
	struct load_call *second = call->duplicate;

	if (!second || call->is_requesting_ticket)
		return NULL;
	call->duplicate = NULL;
	memcpy(second->plan.ticket, call->plan.ticket,
	       sizeof(second->plan.ticket));
	second->plan.wants_ticket = false;
	return second;
}

/*
 * Sends a call, or the request for its ticket. on_finished() is called at the
 * end.
 */
void attempt_start(struct load_call *call)
{
	struct fetch *f = &call->fetch;
	struct load_call *second;

	call->is_requesting_ticket =
		call->plan.wants_ticket && !call->set->direct;
	if (!call->begin_us) {
		call->begin_us = clock_now();
		call->begin_unix_us = apr_time_now();
	}
	call->sent_us = clock_now();
	if (!call->is_requesting_ticket)
		call->attempts++;
	answer_release(&call->answer);
	memset(f, 0, sizeof(*f));
	set_url(call);
	set_headers(call);
	set_expectation(call);
	f->ops = &attempt_ops;
	f->arg = call;
	f->method = "POST";
	f->url = call->url;
	f->body = call->plan.body;
	if (call->is_requesting_ticket) {
		snprintf(call->headers[ATTEMPT_HEADERS - 1], ATTEMPT_HEADER_MAX,
			 TICKET_BODY, call->set->service);
		f->body = call->headers[ATTEMPT_HEADERS - 1];
	}
	f->body_size = strlen(f->body);
	f->timeout_ms = call->timeout_ms;
	f->once = call->uses_new_connection;
	second = detach_duplicate(call);
	/* From here on the call is owned by the fetcher's thread. */
	fetch_submit(call->fetcher, f);
	if (second)
		attempt_start(second);
}

/* Sets a member unless its text is empty. */
static void set_text(json_t *line, const char *name, const char *text)
{
	if (*text)
		json_object_set_new(line, name, json_string(text));
}

/* Sets a member to true, or omits it. */
static void set_flag(json_t *line, const char *name, bool value)
{
	if (value)
		json_object_set_new(line, name, json_true());
}

/* Returns true when a retry by the caller cannot run the call twice. */
bool attempt_can_retry(const struct load_call *call)
{
	const struct answer *ans = &call->answer;

	if (!strcmp(ans->again, "no"))
		return false;
	if (!call->plan.is_plain || call->set->repeatable)
		return true;
	return *call->plan.key || *call->plan.ticket || *ans->ticket ||
	       ans->outcome == OUTCOME_NOT_RUN ||
	       (ans->outcome == OUTCOME_ERROR && !ans->status);
}

/* Records the outcome of an attempt, and stores what the next one requires. */
void attempt_prepare_retry(struct load_call *call)
{
	const struct answer *ans = &call->answer;
	json_t *line = json_pack("{s:s,s:s,s:i}", "entry",
				 call->set->entries[call->entry], "outcome",
				 answer_outcome_names[ans->outcome], "status",
				 ans->status);

	set_text(line, "scope", ans->scope);
	set_text(line, "reason", ans->reason);
	set_text(line, "problem", ans->problem_text);
	set_flag(line, "crossed", ans->is_mismatched);
	set_flag(line, "mixed", ans->is_version_mixed);
	if (!call->earlier_outcomes)
		call->earlier_outcomes = json_array();
	json_array_append_new(call->earlier_outcomes, line);
	if (!store_ticket(call) || strcmp(ans->again, "ticket") != 0)
		return;
	/*
	 * The previous ticket is not valid any more and its call did not run.
	 */
	if (*call->plan.ticket)
		call->plan.wants_ticket = true;
	*call->plan.ticket = '\0';
}

/* Returns the line of the history for a call. */
json_t *attempt_history_line(const struct load_call *call)
{
	const struct answer *ans = &call->answer;
	double took_ms = (double)(call->end_us - call->begin_us) / US_PER_MS;
	double begin_ms = (double)call->begin_unix_us / US_PER_MS;
	char account[ACCOUNT_MAX];
	const char *token;
	json_t *line;

	plan_account(call->set, &call->plan, account, sizeof(account), &token);
	line = json_pack(
		"{s:f,s:f,s:s,s:s,s:s,s:s,s:s,s:i,s:s,s:s,s:i,s:b,s:i}",
		"start_ms", begin_ms, "end_ms", begin_ms + took_ms, "entry",
		call->set->entries[call->entry], "id", call->plan.id, "kind",
		call->plan.is_plain ? "plain" : "model", "account", account,
		"outcome", answer_outcome_names[ans->outcome], "status",
		ans->status, "version", ans->version, "content", ans->content,
		"tokens", ans->token_count, "whole", ans->is_complete,
		"attempts", call->attempts);
	set_text(line, "key", call->plan.key);
	if (ans->first_us)
		json_object_set_new(
			line, "first_token_ms",
			json_real((double)(ans->first_us - call->sent_us) /
				  US_PER_MS));
	if (ans->run_number)
		json_object_set_new(line, "run", json_integer(ans->run_number));
	set_text(line, "run_key", ans->run_key);
	set_text(line, "scope", ans->scope);
	set_text(line, "reason", ans->reason);
	set_text(line, "problem", ans->problem_text);
	if (call->earlier_outcomes)
		json_object_set(line, "earlier", call->earlier_outcomes);
	set_flag(line, "crossed", ans->is_mismatched);
	set_flag(line, "mixed", ans->is_version_mixed);
	set_flag(line, "ticket", *call->plan.ticket != '\0');
	set_flag(line, "double", call->is_double);
	set_flag(line, "repeatable",
		 !call->plan.is_plain || call->set->repeatable);
	return line;
}
