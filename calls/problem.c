#include "calls/problem.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static const char *const outcome_names[] = { "", "answer", "not-run",
					     "unknown" };
static const char *const again_names[] = { "", "no", "same", "ticket",
					   "check" };
static const char *const scope_names[] = { "", "attempt", "key" };

#define ARRAY_SIZE(a) ((int)(sizeof(a) / sizeof(*(a))))

static int find_name(const char *const *names, int count, const char *name)
{
	int i;

	for (i = 1; name && i < count; i++)
		if (!strcmp(names[i], name))
			return i;
	return 0;
}

/* Returns the name of an outcome, as used in headers and JSON. */
const char *outcome_name(enum outcome o)
{
	return outcome_names[o];
}

/* Returns the outcome with that name, 0 for an unknown name. */
enum outcome outcome_parse(const char *name)
{
	return find_name(outcome_names, ARRAY_SIZE(outcome_names), name);
}

/* Fills in a refusal whose outcome applies to this attempt only. */
void refusal_set(struct refusal *r, int status, enum outcome outcome,
		 enum again again, const char *reason, const char *step,
		 const char *fmt, ...)
{
	va_list ap;

	memset(r, 0, sizeof(*r));
	r->status = status;
	r->outcome = outcome;
	r->scope = SCOPE_ATTEMPT;
	r->again = again;
	snprintf(r->reason, sizeof(r->reason), "%s", reason);
	snprintf(r->step, sizeof(r->step), "%s", step);
	va_start(ap, fmt);
	vsnprintf(r->detail, sizeof(r->detail), fmt, ap);
	va_end(ap);
}

static json_t *refusal_to_json(const struct refusal *r, const char *id,
			       const char *ticket)
{
	json_t *o = json_pack("{s:s,s:s,s:i,s:s,s:s,s:s,s:s,s:s,s:s}", "type",
			      "about:blank", "title", r->reason, "status",
			      r->status, "detail", r->detail, "outcome",
			      outcome_name(r->outcome), "reason", r->reason,
			      "step", r->step, "scope", scope_names[r->scope],
			      "again", again_names[r->again]);

	if (id)
		json_object_set_new(o, "request", json_string(id));
	if (ticket)
		json_object_set_new(o, "ticket", json_string(ticket));
	if (r->retry_after_ms)
		json_object_set_new(o, "retry_after_ms",
				    json_integer(r->retry_after_ms));
	return o;
}

/* Answers a call with a refusal.  id and ticket may be NULL. */
void refusal_send(struct http_call *c, const struct refusal *r, const char *id,
		  const char *ticket)
{
	char seconds[16];
	json_t *o = refusal_to_json(r, id, ticket);
	char *text = json_dumps(o, JSON_COMPACT);

	if (r->retry_after_ms) {
		if (r->is_retry_after_fractional)
			snprintf(seconds, sizeof(seconds), "%.2f",
				 r->retry_after_ms / 1000.0);
		else
			snprintf(seconds, sizeof(seconds), "%d",
				 (r->retry_after_ms + 999) / 1000);
		http_call_set(c, "Retry-After", seconds);
	}
	http_call_reply(c, r->status, "application/problem+json", text,
			strlen(text));
	free(text);
	json_decref(o);
}

/* Parses a refusal from another process.  Returns -1 if it is invalid. */
int refusal_parse(const char *body, size_t size, struct refusal *r)
{
	json_t *o = json_loadb(body, size, 0, NULL);
	const char *outcome = NULL, *again = NULL, *scope = NULL;
	const char *reason = "", *step = "", *detail = "";
	int ret;

	memset(r, 0, sizeof(*r));
	ret = json_unpack(o, "{s:i,s:s,s:s,s:s,s:s,s:s,s:s,s?i}", "status",
			  &r->status, "outcome", &outcome, "again", &again,
			  "scope", &scope, "reason", &reason, "step", &step,
			  "detail", &detail, "retry_after_ms",
			  &r->retry_after_ms);
	r->outcome = outcome_parse(outcome);
	r->again = find_name(again_names, ARRAY_SIZE(again_names), again);
	r->scope = find_name(scope_names, ARRAY_SIZE(scope_names), scope);
	snprintf(r->reason, sizeof(r->reason), "%s", reason);
	snprintf(r->step, sizeof(r->step), "%s", step);
	snprintf(r->detail, sizeof(r->detail), "%s", detail);
	json_decref(o);
	return ret || !r->outcome || !r->again || !r->scope ? -1 : 0;
}
