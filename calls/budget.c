#include "calls/budget.h"

#include <stdio.h>
#include <string.h>

struct retry_account {
	char name[64];
	double credit;
};

void retry_budget_init(struct retry_budget *b)
{
	table_init(&b->accounts, "retry budgets", RANK_ACCOUNT,
		   sizeof(struct retry_account), RETRY_ACCOUNTS_MAX);
}

void retry_budget_destroy(struct retry_budget *b)
{
	table_destroy(&b->accounts);
}

/*
 * Returns the row of an account and adds it if needed; NULL when the table is
 * full.  The caller holds the table's lock.
 */
static struct retry_account *find_or_add_account(struct retry_budget *b,
						 const char *account)
{
	struct retry_account row = { .credit = RETRY_INITIAL_CREDIT }, *a;
	struct handle h = HANDLE_NONE;

	while ((a = table_next(&b->accounts, &h)))
		if (!strcmp(a->name, account))
			return a;
	snprintf(row.name, sizeof(row.name), "%s", account);
	h = table_add(&b->accounts, &row);
	return table_get(&b->accounts, h);
}

/*
 * Adds RETRY_EARNED_PER_CALL to an account's credit, for the first attempt of
 * a call.
 */
void retry_budget_earn(struct retry_budget *b, const char *account)
{
	struct retry_account *a;

	table_lock(&b->accounts);
	a = find_or_add_account(b, account);
	if (a && a->credit < RETRY_CREDIT_MAX)
		a->credit += RETRY_EARNED_PER_CALL;
	table_unlock(&b->accounts);
}

/*
 * Consumes one retry of an account.  Returns 1, or 0 when the credit is below
 * one retry.
 */
int retry_budget_consume(struct retry_budget *b, const char *account)
{
	struct retry_account *a;
	int taken = 0;

	table_lock(&b->accounts);
	a = find_or_add_account(b, account);
	if (a && a->credit >= 1) {
		a->credit -= 1;
		taken = 1;
	}
	table_unlock(&b->accounts);
	return taken;
}
