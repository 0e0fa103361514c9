#include "base/metric.h"

#include <apr_general.h>
#include <apr_hash.h>
#include <apr_pools.h>
#include <apr_strings.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum metric_kind { METRIC_COUNTER, METRIC_GAUGE, METRIC_HISTOGRAM };

struct metric {
	enum metric_kind kind;
	const char *name;
	const char *label; /* "" if there is none */
	int64_t value;	   /* histogram: number of values recorded */
	uint64_t sum;	   /* histogram: sum of the values recorded */
	uint32_t *buckets; /* histogram only */
	struct metric *next;
};

/*
 * Number of metrics after which new labels are not registered: later metrics
 * of the same name share the label "other".
 */
#define METRICS_MAX 4096

static struct {
	pthread_mutex_t mutex;
	apr_pool_t *pool;
	apr_hash_t *by_key;
	struct metric *first;
	struct metric **tail;
	int count;
} registry = { PTHREAD_MUTEX_INITIALIZER };

static const char *const kind_names[] = {
	[METRIC_COUNTER] = "counter",
	[METRIC_GAUGE] = "gauge",
	[METRIC_HISTOGRAM] = "summary",
};

static struct metric *metric_create(enum metric_kind kind, const char *name,
				    const char *label, const char *key)
{
	struct metric *m = apr_pcalloc(registry.pool, sizeof(*m));

	m->kind = kind;
	m->name = apr_pstrdup(registry.pool, name);
	m->label = apr_pstrdup(registry.pool, label);
	if (kind == METRIC_HISTOGRAM)
		m->buckets = apr_pcalloc(registry.pool,
					 HISTOGRAM_BUCKETS * sizeof(uint32_t));
	apr_hash_set(registry.by_key, apr_pstrdup(registry.pool, key),
		     APR_HASH_KEY_STRING, m);
	*registry.tail = m;
	registry.tail = &m->next;
	registry.count++;
	return m;
}

static struct metric *metric_find_or_create(enum metric_kind kind,
					    const char *name, const char *label)
{
	struct metric *m;
	char key[256];

	if (!label)
		label = "";
	pthread_mutex_lock(&registry.mutex);
	if (!registry.pool) {
		/* Logging may count a metric before APR is initialized. */
		apr_initialize();
		apr_pool_create(&registry.pool, NULL);
		registry.by_key = apr_hash_make(registry.pool);
		registry.tail = &registry.first;
	}
	if (registry.count >= METRICS_MAX)
		label = "other";
	snprintf(key, sizeof(key), "%s|%s", name, label);
	m = apr_hash_get(registry.by_key, key, APR_HASH_KEY_STRING);
	if (!m)
		m = metric_create(kind, name, label, key);
	pthread_mutex_unlock(&registry.mutex);
	return m;
}

/* Returns the counter with that name and label; creates it on first use. */
struct metric *metric_counter(const char *name, const char *label)
{
	return metric_find_or_create(METRIC_COUNTER, name, label);
}

/* Returns the gauge with that name and label; creates it on first use. */
struct metric *metric_gauge(const char *name, const char *label)
{
	return metric_find_or_create(METRIC_GAUGE, name, label);
}

/* Returns the histogram with that name and label; creates it on first use. */
struct metric *metric_histogram(const char *name, const char *label)
{
	return metric_find_or_create(METRIC_HISTOGRAM, name, label);
}

/* Adds to a counter or gauge. */
void metric_add(struct metric *m, uint64_t by)
{
	__atomic_fetch_add(&m->value, (int64_t)by, __ATOMIC_RELAXED);
}

/* Sets a gauge. */
void metric_set(struct metric *m, int64_t value)
{
	__atomic_store_n(&m->value, value, __ATOMIC_RELAXED);
}

/*
 * Returns the value of a counter or gauge, or the number of values recorded
 * in a histogram.
 */
int64_t metric_value(const struct metric *m)
{
	return __atomic_load_n(&m->value, __ATOMIC_RELAXED);
}

static unsigned bucket_index(uint64_t v)
{
	unsigned shift;

	if (v < (1u << (HISTOGRAM_SUB_BITS + 1)))
		return (unsigned)v;
	shift = 63 - HISTOGRAM_SUB_BITS - (unsigned)__builtin_clzll(v);
	if (shift + 1 >= HISTOGRAM_BUCKETS >> HISTOGRAM_SUB_BITS)
		return HISTOGRAM_BUCKETS - 1;
	return (shift << HISTOGRAM_SUB_BITS) + (unsigned)(v >> shift);
}

/* Returns the highest value that is counted in bucket b. */
static uint64_t bucket_upper_bound(unsigned b)
{
	unsigned shift;

	if (b < (1u << (HISTOGRAM_SUB_BITS + 1)))
		return b;
	shift = (b >> HISTOGRAM_SUB_BITS) - 1;
	return (((uint64_t)(b - (shift << HISTOGRAM_SUB_BITS)) + 1) << shift) -
	       1;
}

/* Records one value in a histogram, by convention in microseconds or bytes. */
void metric_record(struct metric *m, uint64_t value)
{
	__atomic_fetch_add(&m->buckets[bucket_index(value)], 1,
			   __ATOMIC_RELAXED);
	__atomic_fetch_add(&m->sum, value, __ATOMIC_RELAXED);
	__atomic_fetch_add(&m->value, 1, __ATOMIC_RELAXED);
}

/*
 * Returns the upper bound of the bucket that holds quantile q (0 to 1) of a
 * histogram, or 0 if nothing was recorded.
 */
uint64_t metric_quantile(const struct metric *m, double q)
{
	uint64_t total = (uint64_t)metric_value(m), seen = 0;
	uint64_t target = (uint64_t)(q * (double)total + 0.5);
	unsigned b;

	if (!total)
		return 0;
	if (!target)
		target = 1;
	for (b = 0; b < HISTOGRAM_BUCKETS; b++) {
		seen += __atomic_load_n(&m->buckets[b], __ATOMIC_RELAXED);
		if (seen >= target)
			return bucket_upper_bound(b);
	}
	return bucket_upper_bound(HISTOGRAM_BUCKETS - 1);
}

/* Adds to the counter with that name and label. */
void metric_count(const char *name, const char *label, uint64_t by)
{
	metric_add(metric_counter(name, label), by);
}

static const double quantiles[] = { 0.5, 0.95, 0.99, 1.0 };

static void summary_print(FILE *fp, const struct metric *m)
{
	const char *comma = *m->label ? "," : "";
	char label[160] = "";
	size_t i;

	if (*m->label)
		snprintf(label, sizeof(label), "label=\"%s\"", m->label);
	for (i = 0; i < sizeof(quantiles) / sizeof(quantiles[0]); i++)
		fprintf(fp, "limpet_%s{%s%squantile=\"%g\"} %llu\n", m->name,
			label, comma, quantiles[i],
			(unsigned long long)metric_quantile(m, quantiles[i]));
	fprintf(fp, "limpet_%s_sum{%s} %llu\n", m->name, label,
		(unsigned long long)m->sum);
	fprintf(fp, "limpet_%s_count{%s} %lld\n", m->name, label,
		(long long)metric_value(m));
}

static void metric_print(FILE *fp, const struct metric *m)
{
	if (m->kind == METRIC_HISTOGRAM)
		summary_print(fp, m);
	else if (*m->label)
		fprintf(fp, "limpet_%s{label=\"%s\"} %lld\n", m->name, m->label,
			(long long)metric_value(m));
	else
		fprintf(fp, "limpet_%s %lld\n", m->name,
			(long long)metric_value(m));
}

/*
 * Prints all metrics with the name of first together, as the Prometheus text
 * format requires.
 */
static void family_print(FILE *fp, const struct metric *first)
{
	const struct metric *m;

	for (m = registry.first; m != first; m = m->next) {
		if (!strcmp(m->name, first->name))
			return; /* printed with an earlier metric */
	}
	fprintf(fp, "# TYPE limpet_%s %s\n", first->name,
		kind_names[first->kind]);
	for (m = first; m; m = m->next) {
		if (!strcmp(m->name, first->name))
			metric_print(fp, m);
	}
}

/*
 * Returns all metrics in the Prometheus text format, or NULL on failure.  The
 * caller frees the string.
 */
char *metric_prometheus(void)
{
	char *text = NULL;
	size_t size = 0;
	FILE *fp = open_memstream(&text, &size);
	const struct metric *m;

	if (!fp)
		return NULL;
	pthread_mutex_lock(&registry.mutex);
	for (m = registry.first; m; m = m->next)
		family_print(fp, m);
	pthread_mutex_unlock(&registry.mutex);
	fclose(fp);
	return text;
}

static json_t *metric_value_json(const struct metric *m)
{
	if (m->kind != METRIC_HISTOGRAM)
		return json_integer(metric_value(m));
	return json_pack("{s:I,s:I,s:I,s:I,s:I}", "count",
			 (json_int_t)metric_value(m), "p50",
			 (json_int_t)metric_quantile(m, 0.5), "p95",
			 (json_int_t)metric_quantile(m, 0.95), "p99",
			 (json_int_t)metric_quantile(m, 0.99), "max",
			 (json_int_t)metric_quantile(m, 1.0));
}

/*
 * Returns a new object with all metrics, as {"name":value} or
 * {"name":{"label":value}}.
 */
json_t *metric_json(void)
{
	json_t *o = json_object();
	const struct metric *m;
	json_t *inner;

	pthread_mutex_lock(&registry.mutex);
	for (m = registry.first; m; m = m->next) {
		if (!*m->label) {
			json_object_set_new(o, m->name, metric_value_json(m));
			continue;
		}
		inner = json_object_get(o, m->name);
		if (!json_is_object(inner)) {
			inner = json_object();
			json_object_set_new(o, m->name, inner);
		}
		json_object_set_new(inner, m->label, metric_value_json(m));
	}
	pthread_mutex_unlock(&registry.mutex);
	return o;
}
