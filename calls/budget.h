#ifndef CALLS_BUDGET_H
#define CALLS_BUDGET_H

#include <pthread.h>

#include "base/table.h"

/*
 * Retry budgets: each first attempt of an account adds a tenth of a retry to
 * its credit and each retry consumes one.  Attempts per call thus stay at or
 * below 1.1, apart from a fixed initial credit, without which an account with
 * few calls could not retry at all.
 */

#define RETRY_EARNED_PER_CALL 0.1
#define RETRY_INITIAL_CREDIT 2.0 /* retries of a new account */
#define RETRY_CREDIT_MAX 50	 /* maximum of accumulated retries */
#define RETRY_ACCOUNTS_MAX 1024

struct retry_budget {
	struct table accounts; /* rank RANK_ACCOUNT */
};

void retry_budget_init(struct retry_budget *b);
void retry_budget_destroy(struct retry_budget *b);
void retry_budget_earn(struct retry_budget *b, const char *account);
int retry_budget_consume(struct retry_budget *b, const char *account);

#endif
