#include "calls/crash-table.h"

/* Which rows of items go when the table, or an account's share, is full. */

/*
 * Returns 1 if a should go rather than b: those without deaths, then those with
 * one, then the oldest.
 */
static int is_better_to_drop(const struct crash_row *a,
			     const struct crash_row *b)
{
	int x = a->death_count, y = b->death_count;

	x = x < CRASH_SUSPECT_MIN ? x : CRASH_SUSPECT_MIN;
	y = y < CRASH_SUSPECT_MIN ? y : CRASH_SUSPECT_MIN;
	if (x != y)
		return x < y;
	return crash_last_death(a) < crash_last_death(b);
}

/* Returns the row to drop among those of the account, or of any if 0. */
static struct handle choose_drop(struct crash_list *c, const uint64_t *account,
				 int count_blamed, int *count)
{
	struct handle h = HANDLE_NONE, drop = HANDLE_NONE;
	struct crash_row *r, *best = NULL;

	*count = 0;
	while ((r = table_next(&c->rows, &h))) {
		if (account && r->account != *account)
			continue;
		(*count)++;
		if (crash_is_blamed(r) && !count_blamed)
			continue;
		if (best && !is_better_to_drop(r, best))
			continue;
		best = r;
		drop = h;
	}
	return drop;
}

/*
 * Makes room for a row of an account.  Returns 0 if there is none: an account
 * that fills its share loses its own rows, a full table any rows.
 * Blamed items go last, and only for those of other accounts.
 */
int crash_make_item_room(struct crash_list *c, uint64_t account, apr_time_t now)
{
	struct handle drop;
	int count;

	(void)now;
	if (c->rows.count < CRASH_ACCOUNT_ROWS_MAX)
		return 1;
	drop = choose_drop(c, &account, 0, &count);
	if (count >= CRASH_ACCOUNT_ROWS_MAX) {
		crash_remove(c, drop);
		return !handle_is_none(drop);
	}
	if (c->rows.count < CRASH_SUSPECTS_MAX)
		return 1;
	drop = choose_drop(c, NULL, 0, &count);
	if (handle_is_none(drop))
		drop = choose_drop(c, NULL, 1, &count);
	crash_remove(c, drop);
	return 1;
}
