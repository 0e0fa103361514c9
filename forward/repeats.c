#include "forward/repeats.h"

#include <stdio.h>
#include <string.h>

/* What is kept back, as entries come, go and count in steps of a second. */
#define SAFETY 0.75

static struct retry_service *service_get(struct service_retry_budget *b,
					 const char *name)
{
	struct retry_service *s;
	int i;

	for (i = 0; i < b->service_count; i++)
		if (!strcmp(b->services[i].name, name))
			return &b->services[i];
	/* Names that come later share the last place. */
	if (b->service_count == RETRY_SERVICES_MAX)
		return &b->services[RETRY_SERVICES_MAX - 1];
	s = &b->services[b->service_count++];
	memset(s, 0, sizeof(*s));
	snprintf(s->name, sizeof(s->name), "%s", name);
	return s;
}

static struct retry_bucket *bucket_get(struct retry_service *s, apr_time_t now)
{
	long second = (long)(now / APR_USEC_PER_SEC);
	struct retry_bucket *b = &s->buckets[second % RETRY_BUCKETS];

	if (b->second != second) {
		memset(b, 0, sizeof(*b));
		b->second = second;
	}
	return b;
}

/* Counts a request of a caller. */
void retry_budget_count_request(struct service_retry_budget *b,
				const char *service, apr_time_t now)
{
	bucket_get(service_get(b, service), now)->requests++;
}

/* Returns how many repeats may still be made in the present window. */
int retry_budget_remaining(const struct service_retry_budget *b,
			   const char *service, apr_time_t now)
{
	long second = (long)(now / APR_USEC_PER_SEC);
	const struct retry_service *s =
		service_get((struct service_retry_budget *)b, service);
	double requests = 0, repeats = 0, bound;
	int i;

	for (i = 0; i < RETRY_BUCKETS; i++) {
		long age = second - s->buckets[i].second;

		/* One second more than the window: buckets are coarse. */
		if (age < 0 || age > b->window_s)
			continue;
		repeats += s->buckets[i].retries;
		if (age < b->window_s)
			requests += s->buckets[i].requests;
	}
	bound = SAFETY * (b->ratio * requests +
			  b->slack / (b->entry_count > 0 ? b->entry_count : 1));
	return (int)(bound - repeats);
}

/* Takes one repeat out of the budget; 0 when it is used up. */
int retry_budget_try_consume(struct service_retry_budget *b,
			     const char *service, apr_time_t now)
{
	if (retry_budget_remaining(b, service, now) < 1)
		return 0;
	bucket_get(service_get(b, service), now)->retries++;
	return 1;
}
