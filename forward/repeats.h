#ifndef FORWARD_REPEATS_H
#define FORWARD_REPEATS_H

#include <apr_time.h>

/*
 * Budget of repeated hand-overs, for each service.  The bound holds over all
 * entries together, so each one keeps to its own requests and an equal part
 * of the slack.
 */

#define RETRY_SERVICES_MAX 64
#define RETRY_BUCKETS 32 /* seconds remembered */

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
	double ratio;	 /* repeats to requests */
	int window_s;	 /* in any span of this length */
	double slack;	 /* of all entries */
	int entry_count; /* that share it, at least 1 */
	struct retry_service services[RETRY_SERVICES_MAX];
	int service_count;
};

void retry_budget_count_request(struct service_retry_budget *b,
				const char *service, apr_time_t now);
int retry_budget_try_consume(struct service_retry_budget *b,
			     const char *service, apr_time_t now);
int retry_budget_remaining(const struct service_retry_budget *b,
			   const char *service, apr_time_t now);

#endif
