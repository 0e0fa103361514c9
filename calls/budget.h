#ifndef CALLS_BUDGET_H
#define CALLS_BUDGET_H

#include <pthread.h>

#include "base/table.h"

/*
 * Retry budgets: each first attempt of an account earns a tenth of a retry
 * and each retry spends one, so that attempts / calls stays at or below 1.1
 * plus a fixed reserve that lets an account of few calls retry at all.
 */

#define RETRY_EARNED_PER_CALL 0.1
#define RETRY_INITIAL_CREDIT 2.0 /* retries an account starts with */
#define RETRY_CREDIT_MAX 50	 /* retries kept for later */
#define RETRY_ACCOUNTS_MAX 1024

struct retry_budget {
	struct table accounts; /* rank RANK_ACCOUNT */
};

void retry_budget_init(struct retry_budget *b);
void retry_budget_destroy(struct retry_budget *b);
void retry_budget_earn(struct retry_budget *b, const char *account);
int retry_budget_consume(struct retry_budget *b, const char *account);

#endif
