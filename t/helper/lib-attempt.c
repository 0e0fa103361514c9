#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "t/helper/lib-attempt.h"

#define ACCOUNT_MAX 64
#define US_PER_MS 1000.0
#define TICKET_BODY "{\"service\":\"%s\"}"

/* Adds a header to the attempt's request. */
__attribute__((format(printf, 2, 3))) static void
header_add(struct load_call *call, const char *fmt, ...)
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

static void headers_entry(struct load_call *call)
{
	const struct plan_settings *set = call->set;
	char account[ACCOUNT_MAX];
	const char *token;

	plan_account(set, &call->plan, account, sizeof(account), &token);
	if (*token)
		header_add(call, "Authorization: Bearer %s", token);
	if (call->in_ticket)
		return;
	if (*call->plan.key)
		header_add(call, "Idempotency-Key: %s", call->plan.key);
	if (*call->plan.ticket)
		header_add(call, "X-Ticket: %s", call->plan.ticket);
	if (set->deadline_ms)
		header_add(call, "X-Deadline-Ms: %d", set->deadline_ms);
	if (set->priority >= 0)
		header_add(call, "X-Priority: %d", set->priority);
	if (*call->plan.session)
		header_add(call, "X-Session: %s", call->plan.session);
}

static void headers_set(struct load_call *call)
{
	memset(call->fetch.headers, 0, sizeof(call->fetch.headers));
	header_add(call, "Content-Type: application/json");
	header_add(call, "X-Request-Id: %s", call->plan.id);
	if (!call->set->direct)
		headers_entry(call);
	else if (*call->plan.key)
		header_add(call, "X-Idempotency-Key: %s", call->plan.key);
}

static void url_set(struct load_call *call)
{
	const struct plan_settings *set = call->set;
	const char *entry = set->entries[call->entry];
	size_t size = sizeof(call->url);

	if (call->in_ticket)
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

static void want_set(struct load_call *call)
{
	struct answer_expectation *want = &call->want;

	memset(want, 0, sizeof(*want));
	want->id = call->plan.id;
	want->prompt = call->plan.prompt;
	want->echo = call->plan.echo;
	want->key = *call->plan.key ? call->plan.key : NULL;
	want->contents = call->set->contents;
	want->tokens = call->set->tokens;
	want->stream = call->plan.stream && !call->in_ticket;
}

static void on_header(struct fetch *f, const char *name, const char *value)
{
	struct load_call *call = f->arg;

	call->answer.status = f->status;
	answer_header(&call->answer, &call->want, name, value);
}

static int on_data(struct fetch *f, const void *data, size_t size)
{
	struct load_call *call = f->arg;

	call->answer.status = f->status;
	return answer_data(&call->answer, &call->want, data, size, clock_now());
}

/* Takes the ticket from the answer to the request for one. */
static int ticket_take(struct load_call *call)
{
	const struct answer *ans = &call->answer;
	json_t *obj =
		json_loadb(ans->text ? ans->text : "", ans->text_len, 0, NULL);
	const char *ticket = json_string_value(json_object_get(obj, "ticket"));

	if (ticket)
		snprintf(call->plan.ticket, sizeof(call->plan.ticket), "%s",
			 ticket);
	json_decref(obj);
	return ticket ? 0 : -1;
}

/* Starts the copy of a call with the ticket that both carry. */
static void twin_start(struct load_call *call)
{
	struct load_call *twin = call->twin;

	call->twin = NULL;
	if (!twin)
		return;
	snprintf(twin->plan.ticket, sizeof(twin->plan.ticket), "%s",
		 call->plan.ticket);
	twin->plan.wants_ticket = false;
	attempt_start(twin);
}

/* Ends a call that was never sent, as it got no ticket. */
static void ticket_missing(struct load_call *call, int status)
{
	call->answer.outcome = OUTCOME_ERROR;
	snprintf(call->answer.problem, sizeof(call->answer.problem),
		 "no ticket, status %d", status);
}

/* Ends an attempt; a call that has got its ticket goes on with itself. */
static void on_done(struct fetch *f)
{
	struct load_call *call = f->arg;
	struct load_call *twin;
	bool clean = f->error.code == ERROR_NONE;

	call->answer.status = f->status;
	call->end_us = clock_now();
	if (call->in_ticket) {
		call->in_ticket = false;
		if (clean && !ticket_take(call)) {
			call->plan.wants_ticket = false;
			twin_start(call);
			attempt_start(call);
			return;
		}
		ticket_missing(call, f->status);
		if (call->twin) {
			twin = call->twin;
			call->twin = NULL;
			twin->begin_us = call->begin_us;
			twin->begin_unix_us = call->begin_unix_us;
			twin->end_us = call->end_us;
			ticket_missing(twin, f->status);
			twin->over(twin);
		}
	} else {
		answer_finish(&call->answer, &call->want, clean,
			      !f->never_sent);
		if (!clean && !*call->answer.problem)
			snprintf(call->answer.problem,
				 sizeof(call->answer.problem), "%.90s",
				 f->error.text);
	}
	call->over(call);
}

static const struct fetch_ops attempt_ops = { on_header, on_data, on_done };

/* Sends a call, or the request for its ticket; over() is called at the end. */
void attempt_start(struct load_call *call)
{
	struct fetch *f = &call->fetch;

	call->in_ticket = call->plan.wants_ticket && !call->set->direct;
	if (!call->begin_us) {
		call->begin_us = clock_now();
		call->begin_unix_us = apr_time_now();
	}
	call->sent_us = clock_now();
	if (!call->in_ticket)
		call->attempts++;
	answer_release(&call->answer);
	memset(f, 0, sizeof(*f));
	url_set(call);
	headers_set(call);
	want_set(call);
	f->ops = &attempt_ops;
	f->arg = call;
	f->method = "POST";
	f->url = call->url;
	f->body = call->plan.body;
	if (call->in_ticket) {
		snprintf(call->headers[ATTEMPT_HEADERS - 1], ATTEMPT_HEADER_MAX,
			 TICKET_BODY, call->set->service);
		f->body = call->headers[ATTEMPT_HEADERS - 1];
	}
	f->body_size = strlen(f->body);
	f->timeout_ms = call->timeout_ms;
	f->once = call->fresh;
	fetch_submit(call->fetcher, f);
}

/* Keeps the outcome of an attempt that is going to be repeated. */
void attempt_note_earlier(struct load_call *call)
{
	const struct answer *ans = &call->answer;

	if (!call->earlier)
		call->earlier = json_array();
	json_array_append_new(
		call->earlier,
		json_pack("{s:s,s:s,s:i,s:s}", "entry",
			  call->set->entries[call->entry], "outcome",
			  answer_outcome_names[ans->outcome], "status",
			  ans->status, "problem", ans->problem));
}

static void set_flag(json_t *line, const char *name, bool value)
{
	if (value)
		json_object_set_new(line, name, json_true());
}

/* The line of a call's history. */
json_t *attempt_line(const struct load_call *call)
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
		"tokens", ans->token_count, "whole", ans->whole, "attempts",
		call->attempts);
	if (*call->plan.key)
		json_object_set_new(line, "key", json_string(call->plan.key));
	if (ans->first_us)
		json_object_set_new(
			line, "first_token_ms",
			json_real((double)(ans->first_us - call->sent_us) /
				  US_PER_MS));
	if (ans->run)
		json_object_set_new(line, "run", json_integer(ans->run));
	if (*ans->problem)
		json_object_set_new(line, "problem", json_string(ans->problem));
	if (call->earlier)
		json_object_set(line, "earlier", call->earlier);
	set_flag(line, "crossed", ans->crossed);
	set_flag(line, "mixed", ans->mixed);
	set_flag(line, "ticket", *call->plan.ticket != '\0');
	set_flag(line, "double", call->is_double);
	return line;
}
