#ifndef CALLS_PROBLEM_H
#define CALLS_PROBLEM_H

#include "net/httpd.h"

/*
 * Refusals: what a caller, or the entry at the other end of a hand-over, is
 * told when there is no answer.  The body is an RFC 9457 problem.
 */

enum outcome {
	OUTCOME_ANSWER = 1,
	OUTCOME_NOT_RUN, /* proved */
	OUTCOME_UNKNOWN	 /* may have run */
};

/* Whether, and with what, the caller may send the request again. */
enum again {
	AGAIN_NO = 1, /* the same request will be refused again */
	AGAIN_SAME,   /* same ticket or key, if there was one */
	AGAIN_TICKET, /* with the ticket that came with the refusal */
	AGAIN_CHECK   /* same ticket: joins the run or tells its outcome */
};

/* What a refusal speaks of. */
enum scope {
	SCOPE_ATTEMPT = 1, /* this request only */
	SCOPE_KEY	   /* every request sent so far with this key */
};

struct refusal {
	int status;
	enum outcome outcome;
	enum scope scope;
	enum again again;
	int retry_after_ms;	       /* 0 for none */
	int is_retry_after_fractional; /* callers read fractions of a second */
	char reason[48];	       /* a fixed word, such as "deadline" */
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
