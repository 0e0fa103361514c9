#ifndef FORWARD_REPEATS_H
#define FORWARD_REPEATS_H

#include <apr_time.h>

/*
 * Retry budget of each service. The bound holds for all entries together, so
 * each entry counts its own requests and uses an equal share of the slack.
 */

#define RETRY_SERVICES_MAX 64
/* Buckets of one second each. */
#define RETRY_BUCKETS 32

struct retry_bucket {
	long second;
	int requests;
	int retries;
};

struct retry_service {
	char name[64];
	struct retry_bucket buckets[RETRY_BUCKETS];
};

struct service_retry_budget {
	double ratio;	 /* of retries to requests */
	int window_s;	 /* length of the window in which the ratio holds */
	double slack;	 /* retries allowed beyond the ratio, all entries */
	int entry_count; /* entries that share the budget, at least 1 */
	struct retry_service services[RETRY_SERVICES_MAX];
	int service_count;
};

void retry_budget_count_request(struct service_retry_budget *b,
				const char *service, apr_time_t now);
int retry_budget_try_consume(struct service_retry_budget *b,
			     const char *service, apr_time_t now);
void retry_budget_return(struct service_retry_budget *b, const char *service,
			 apr_time_t counted_at);
int retry_budget_assume_entries(int known, int has_seeds, apr_time_t started_at,
				apr_time_t now);
int retry_budget_remaining(const struct service_retry_budget *b,
			   const char *service, apr_time_t now);

#endif
