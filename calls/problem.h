#ifndef CALLS_PROBLEM_H
#define CALLS_PROBLEM_H

#include "net/httpd.h"

/*
 * Refusals, sent to a caller or from a gate to an entry in place of an answer.
 * The body is an RFC 9457 problem.
 */

enum outcome {
	OUTCOME_ANSWER = 1,
	OUTCOME_NOT_RUN, /* certainly not run */
	OUTCOME_UNKNOWN	 /* may have run */
};

/* Whether, and with which ticket, the caller may retry the request. */
enum again {
	AGAIN_NO = 1, /* a retry will be refused as well */
	AGAIN_SAME,   /* with the same ticket or key, if any */
	AGAIN_TICKET, /* with the ticket in the refusal */
	AGAIN_CHECK   /* same ticket: joins the run or returns its outcome */
};

/* Which requests the outcome of a refusal applies to. */
enum scope {
	SCOPE_ATTEMPT = 1, /* this request */
	SCOPE_KEY	   /* all requests sent so far with the key */
};

struct refusal {
	int status;
	enum outcome outcome;
	enum scope scope;
	enum again again;
	int retry_after_ms;	       /* 0 for none */
	int is_retry_after_fractional; /* Retry-After has decimals */
	char reason[48];	       /* one of a fixed set: "deadline" ... */
	char step[32];
	char detail[160];
};

const char *outcome_name(enum outcome o);
enum outcome outcome_parse(const char *name);

void refusal_set(struct refusal *r, int status, enum outcome outcome,
		 enum again again, const char *reason, const char *step,
		 const char *fmt, ...) __attribute__((format(printf, 7, 8)));
void refusal_send(struct http_call *c, const struct refusal *r, const char *id,
		  const char *ticket);
int refusal_parse(const char *body, size_t size, struct refusal *r);

#endif
