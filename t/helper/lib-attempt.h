/*
 * One call of a load and its attempts: a request for a ticket where one is
 * wanted, then the call itself, which is retried through another entry as its
 * outcome requires.
 */
#ifndef HELPER_LIB_ATTEMPT_H
#define HELPER_LIB_ATTEMPT_H

#include <apr_time.h>
#include <jansson.h>

#include "net/fetch.h"
#include "t/helper/lib-answer.h"
#include "t/helper/lib-plan.h"

#define ATTEMPT_URL_MAX 256
#define ATTEMPT_HEADER_MAX 640
#define ATTEMPT_HEADERS 12

struct load_call {
	struct load_call *next;	     /* in the queue for its next attempt */
	struct load_call *duplicate; /* its duplicate, until both are sent */
	struct fetch fetch;
	struct fetcher *fetcher;
	struct plan plan;
	struct answer answer;
	struct answer_expectation want;
	const struct plan_settings *set;
	void (*on_finished)(struct load_call *call);
	void *load;
	int entry;
	int attempts;
	int timeout_ms;
	bool uses_new_connection;
	bool is_requesting_ticket;
	bool is_double;
	json_t *earlier_outcomes;
	apr_time_t begin_us;
	apr_time_t sent_us;
	apr_time_t end_us;
	apr_time_t begin_unix_us;
	apr_time_t retry_at_us;
	char url[ATTEMPT_URL_MAX];
	char headers[ATTEMPT_HEADERS][ATTEMPT_HEADER_MAX];
};

void attempt_start(struct load_call *call);
bool attempt_can_retry(const struct load_call *call);
void attempt_prepare_retry(struct load_call *call);
json_t *attempt_history_line(const struct load_call *call);

#endif
