#ifndef CALLS_LIMITS_H
#define CALLS_LIMITS_H

#include <apr_time.h>

#include "net/node.h"

/*
 * Admission of calls at an entry: one budget per account over all entries, a
 * fair queue in front of the upstreams, and early refusals.
 *
 * The caller embeds a struct admission in its call, fills in the first part and
 * calls limits_request().  decided is called exactly once, perhaps before
 * limits_request() returns, on the thread that caused the decision, and never
 * while a lock of this module is held.  A granted call must be released.
 */

struct limits;

enum admit_outcome {
	ADMIT_GRANTED = 1,
	ADMIT_LIMIT,	      /* the account has used up its budget: 429 */
	ADMIT_OVERLOAD,	      /* the upstreams can't run it in time: 503 */
	ADMIT_UNKNOWN_ACCOUNT /* the configuration has no such account: 403 */
};

enum admit_state { ADMIT_WAITING = 1, ADMIT_RUNNING, ADMIT_FINISHED };

struct admission {
	char account[64];
	int priority;	     /* 0 (highest) to 9 */
	int tokens;	     /* estimated cost; 0 for plain calls */
	apr_time_t deadline; /* monotonic clock; 0: none */
	int is_plain;	     /* for a plain service, not a model engine */
	char target[64];     /* name of the model or service */
	void (*decided)(struct admission *a, enum admit_outcome outcome,
			int retry_after_ms, const char *reason);
	void *arg;

	/* private to this module */
	enum admit_state state;
	enum admit_outcome outcome;
	int retry_after_ms;
	const char *reason;
	struct handle account_row;
	int pool;
	apr_time_t arrived_at;
	apr_time_t granted_at;
	struct admission *prev;
	struct admission *next;
};

int limits_start(struct node *n, struct limits **out, struct error *err);
void limits_request(struct limits *l, struct admission *a, apr_time_t now);
void limits_release(struct limits *l, struct admission *a, int tokens_used,
		    apr_time_t now);
int limits_withdraw(struct limits *l, struct admission *a, apr_time_t now);

#endif
