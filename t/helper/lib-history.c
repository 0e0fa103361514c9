#include <stdlib.h>

#include "t/helper/lib-history.h"

#define US_PER_S 1e6
#define SAMPLES_START 1024

/* Adds a time in milliseconds to the samples. */
void samples_add(struct samples *samples, double ms)
{
	long new_capacity;
	float *grown;

	if (samples->count == samples->capacity) {
		new_capacity = samples->capacity ? 2 * samples->capacity
						 : SAMPLES_START;
		grown = realloc(samples->ms,
				(size_t)new_capacity * sizeof(*grown));
		if (!grown)
			abort();
		samples->ms = grown;
		samples->capacity = new_capacity;
	}
	samples->ms[samples->count++] = (float)ms;
}

/* Comparison function for qsort(). */
static int compare_floats(const void *a, const void *b)
{
	float x = *(const float *)a;
	float y = *(const float *)b;

	return (x > y) - (x < y);
}

/*
 * Sorts the samples and adds their percentiles and mean to a JSON object, as
 * members whose names begin with prefix.
 */
static void add_percentiles(json_t *obj, const char *prefix,
			    struct samples *samples)
{
	static const int percents[] = { 50, 90, 99 };
	char name[64];
	double sum = 0;
	long index;
	size_t i;

	if (samples->count)
		qsort(samples->ms, (size_t)samples->count, sizeof(*samples->ms),
		      compare_floats);
	for (i = 0; i < sizeof(percents) / sizeof(percents[0]); i++) {
		snprintf(name, sizeof(name), "%sp%d_ms", prefix, percents[i]);
		index = (samples->count - 1) * percents[i] / 100;
		json_object_set_new(
			obj, name,
			json_real(samples->count ? samples->ms[index] : 0));
	}
	for (index = 0; index < samples->count; index++)
		sum += samples->ms[index];
	snprintf(name, sizeof(name), "%smean_ms", prefix);
	json_object_set_new(
		obj, name,
		json_real(samples->count ? sum / (double)samples->count : 0));
}

/* Writes one call to the file, if any, and drops a reference to line. */
void history_write_call(struct history *history, json_t *line)
{
	if (history->file) {
		json_dumpf(line, history->file,
			   JSON_COMPACT | JSON_REAL_PRECISION(17));
		fputc('\n', history->file);
	}
	json_decref(line);
}

/*
 * Returns a summary of the load up to end_us: counts, times and rates.  Sorts
 * the samples.
 */
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
