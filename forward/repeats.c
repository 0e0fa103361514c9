#include "forward/repeats.h"

#include <stdio.h>
#include <string.h>

/*
 * Share of the budget that is used. The rest covers entries that join or leave,
 * and counts that have a resolution of one second.
 */
#define BUDGET_SHARE 0.75

/*
 * Time from the start of a process in which it may not know the other entries,
 * and the number of them that is assumed then, the most of a fleet. All entries
 * may start at once. With a slack below this number, each has only the retries
 * that its own requests give it.
 */
#define ENTRIES_UNKNOWN_US (5 * APR_USEC_PER_SEC)
#define ENTRIES_ASSUMED 512

static struct retry_service *find_or_add_service(struct service_retry_budget *b,
						 const char *name)
{
	struct retry_service *s;
	int i;

	for (i = 0; i < b->service_count; i++)
		if (!strcmp(b->services[i].name, name))
			return &b->services[i];
	/* Services beyond the maximum share the last place. */
	if (b->service_count == RETRY_SERVICES_MAX)
		return &b->services[RETRY_SERVICES_MAX - 1];
	s = &b->services[b->service_count++];
	memset(s, 0, sizeof(*s));
	snprintf(s->name, sizeof(s->name), "%s", name);
	return s;
}

static struct retry_bucket *find_bucket(struct retry_service *s, apr_time_t now)
{
	long second = (long)(now / APR_USEC_PER_SEC);
	struct retry_bucket *b = &s->buckets[second % RETRY_BUCKETS];

	if (b->second != second) {
		memset(b, 0, sizeof(*b));
		b->second = second;
	}
	return b;
}

/* Counts a caller's request. */
void retry_budget_count_request(struct service_retry_budget *b,
				const char *service, apr_time_t now)
{
	find_bucket(find_or_add_service(b, service), now)->requests++;
}

/*
 * Returns the number of entries among which the slack is divided; has_seeds is 0
 * for a process that was given no other one to learn members from.
 */
int retry_budget_assume_entries(int known, int has_seeds, apr_time_t started_at,
				apr_time_t now)
{
	if (has_seeds && now - started_at < ENTRIES_UNKNOWN_US &&
	    known < ENTRIES_ASSUMED)
		return ENTRIES_ASSUMED;
	return known;
}

/* Returns how many retries are left in the current window. */
int retry_budget_remaining(const struct service_retry_budget *b,
			   const char *service, apr_time_t now)
{
	long second = (long)(now / APR_USEC_PER_SEC);
	const struct retry_service *s =
		find_or_add_service((struct service_retry_budget *)b, service);
	double requests = 0, retries = 0, bound;
	int i;

	for (i = 0; i < RETRY_BUCKETS; i++) {
		long age = second - s->buckets[i].second;

		/*
		 * One second more than the window, as a bucket covers a whole
		 * second.
		 */
		if (age < 0 || age > b->window_s)
			continue;
		retries += s->buckets[i].retries;
		if (age < b->window_s)
			requests += s->buckets[i].requests;
	}
	bound = BUDGET_SHARE *
		(b->ratio * requests +
		 b->slack / (b->entry_count > 0 ? b->entry_count : 1));
	return (int)(bound - retries);
}

/* Consumes one retry of the budget. Returns 0 when none is left. */
int retry_budget_try_consume(struct service_retry_budget *b,
			     const char *service, apr_time_t now)
{
	if (retry_budget_remaining(b, service, now) < 1)
		return 0;
	find_bucket(find_or_add_service(b, service), now)->retries++;
	return 1;
}

/* Returns a retry to the budget that was consumed at counted_at and not made. */
void retry_budget_return(struct service_retry_budget *b, const char *service,
			 apr_time_t counted_at)
{
	long second = (long)(counted_at / APR_USEC_PER_SEC);
	struct retry_service *s = find_or_add_service(b, service);
	struct retry_bucket *bucket = &s->buckets[second % RETRY_BUCKETS];

	if (bucket->second == second && bucket->retries > 0)
		bucket->retries--;
}
