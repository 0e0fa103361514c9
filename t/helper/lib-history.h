/*
 * History file of a generated load, with one line of JSON for each call, and
 * the summary of the load.
 */
#ifndef HELPER_LIB_HISTORY_H
#define HELPER_LIB_HISTORY_H

#include <jansson.h>
#include <stdint.h>
#include <stdio.h>

#include "t/helper/lib-answer.h"

struct samples {
	float *ms;
	long count;
	long capacity;
};

struct history {
	FILE *file; /* may be NULL */
	long calls;
	long outcomes[OUTCOME_COUNT];
	long violations;
	long skipped; /* not sent: too many calls were in flight */
	long events;
	long attempts;
	int64_t started_us;
	struct samples complete;    /* time to the end of an answer */
	struct samples first_token; /* time to the first token */
};

void samples_add(struct samples *samples, double ms);
void history_write_call(struct history *history, json_t *line);
json_t *history_summarize(struct history *history, int64_t end_us);

#endif
