/*
 * The history file of a load, one JSON object a line for each call, and its
 * summary.
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
	long skipped; /* not sent, because too many were open */
	long events;
	long attempts;
	int64_t started_us;
	struct samples complete;
	struct samples first_token;
};

void samples_add(struct samples *samples, double ms);
void history_write_call(struct history *history, json_t *line);
json_t *history_summarize(struct history *history, int64_t end_us);

#endif
