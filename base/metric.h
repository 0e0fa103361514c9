#ifndef BASE_METRIC_H
#define BASE_METRIC_H

#include <jansson.h>
#include <stdint.h>

/*
 * Counters, gauges and log-linear histograms, each identified by a name and
 * an optional label (account, class, peer).  Looking up a metric takes a
 * lock; updating it through its pointer is a relaxed atomic operation.
 */

/*
 * Histogram buckets: 16 linear buckets within each power of two, which
 * limits the relative error of a value to 6.25%.  Values range from 0 to 2^40.
 */
#define HISTOGRAM_SUB_BITS 4
#define HISTOGRAM_BUCKETS ((40 - HISTOGRAM_SUB_BITS + 1) << HISTOGRAM_SUB_BITS)

struct metric;

struct metric *metric_counter(const char *name, const char *label);
struct metric *metric_gauge(const char *name, const char *label);
struct metric *metric_histogram(const char *name, const char *label);

void metric_add(struct metric *m, uint64_t by);
void metric_set(struct metric *m, int64_t value);
void metric_record(struct metric *m, uint64_t value);
int64_t metric_value(const struct metric *m);
uint64_t metric_quantile(const struct metric *m, double q);

char *metric_prometheus(void);
json_t *metric_json(void);

/* Adds to a counter by name; looks it up, and so takes the lock, each time. */
void metric_count(const char *name, const char *label, uint64_t by);

#endif
