#include <stdlib.h>

#include "t/helper/lib-history.h"

#define US_PER_S 1e6
#define SAMPLES_START 1024

/* Adds a time to the samples. */
void samples_add(struct samples *samples, double ms)
{
	long room;
	float *grown;

	if (samples->count == samples->capacity) {
		room = samples->capacity ? 2 * samples->capacity
					 : SAMPLES_START;
		grown = realloc(samples->ms, (size_t)room * sizeof(*grown));
		if (!grown)
			abort();
		samples->ms = grown;
		samples->capacity = room;
	}
	samples->ms[samples->count++] = (float)ms;
}

/* Orders two samples for qsort(). */
static int compare_floats(const void *a, const void *b)
{
	float x = *(const float *)a;
	float y = *(const float *)b;

	return (x > y) - (x < y);
}

/* Adds the percentiles of sorted samples to an object, under a prefix. */
static void add_percentiles(json_t *obj, const char *prefix,
			    struct samples *samples)
{
	static const int percents[] = { 50, 90, 99 };
	char name[64];
	double sum = 0;
	long at;
	size_t i;

	if (samples->count)
		qsort(samples->ms, (size_t)samples->count, sizeof(*samples->ms),
		      compare_floats);
	for (i = 0; i < sizeof(percents) / sizeof(percents[0]); i++) {
		snprintf(name, sizeof(name), "%sp%d_ms", prefix, percents[i]);
		at = (samples->count - 1) * percents[i] / 100;
		json_object_set_new(
			obj, name,
			json_real(samples->count ? samples->ms[at] : 0));
	}
	for (at = 0; at < samples->count; at++)
		sum += samples->ms[at];
	snprintf(name, sizeof(name), "%smean_ms", prefix);
	json_object_set_new(
		obj, name,
		json_real(samples->count ? sum / (double)samples->count : 0));
}

/* Writes one call to the file and drops the caller's reference to it. */
void history_write_call(struct history *history, json_t *line)
{
	if (history->file) {
		json_dumpf(line, history->file,
			   JSON_COMPACT | JSON_REAL_PRECISION(17));
		fputc('\n', history->file);
	}
	json_decref(line);
}

/* Sums the load up; the samples get sorted. */
json_t *history_summarize(struct history *history, int64_t end_us)
{
	double seconds = (double)(end_us - history->started_us) / US_PER_S;
	json_t *obj = json_pack(
		"{s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I}", "calls",
		(json_int_t)history->calls, "answers",
		(json_int_t)history->outcomes[OUTCOME_ANSWER], "not_run",
		(json_int_t)history->outcomes[OUTCOME_NOT_RUN], "unknown",
		(json_int_t)history->outcomes[OUTCOME_UNKNOWN], "errors",
		(json_int_t)history->outcomes[OUTCOME_ERROR], "violations",
		(json_int_t)history->violations, "skipped",
		(json_int_t)history->skipped, "attempts",
		(json_int_t)history->attempts);

	add_percentiles(obj, "", &history->complete);
	add_percentiles(obj, "first_token_", &history->first_token);
	json_object_set_new(obj, "seconds", json_real(seconds));
	json_object_set_new(obj, "calls_per_second",
			    json_real((double)history->calls / seconds));
	json_object_set_new(obj, "events_per_second",
			    json_real((double)history->events / seconds));
	return obj;
}
