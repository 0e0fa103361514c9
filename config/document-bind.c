#include "config/document-bind.h"
#include "config/schema-tables.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define DEFAULT_PARTITIONED_SHARE 0.1
#define DEFAULT_MODEL_PRIORITY 5
#define DEFAULT_TIME_WEIGHT 0.5
#define DEFAULT_MIN_SERVING_RATIO 0.5
#define DEFAULT_DEADLINE_MS 30000
#define DEFAULT_KEY_LIFETIME_S 3600
#define DEFAULT_AFFINITY_LOCK_S 30
#define DEFAULT_AFFINITY_IDLE_S 600

static void *array_new(size_t count, size_t size)
{
	void *p = calloc(count ? count : 1, size);

	if (!p)
		abort();
	return p;
}

static void copy_name(char *to, const char *from)
{
	snprintf(to, DOCUMENT_NAME_SIZE, "%s", from);
}

/* Copies the strings of a list into a new array. */
char **strings_bind(const json_t *list, int *count)
{
	size_t i, n = json_array_size(list);
	char **out = array_new(n, sizeof(*out));

	for (i = 0; i < n; i++) {
		out[i] = strdup(json_string_value(json_array_get(list, i)));
		if (!out[i])
			abort();
	}
	*count = (int)n;
	return out;
}

/* Frees what strings_bind returned. */
void strings_free(char **list, int count)
{
	int i;

	for (i = 0; i < count; i++)
		free(list[i]);
	free(list);
}

static void limit_bind(struct limit_spec *l, const json_t *o)
{
	l->requests_per_second = schema_real(o, "requests_per_second", 0);
	l->tokens_per_second = schema_real(o, "tokens_per_second", 0);
	l->concurrent = (int)schema_integer(o, "concurrent", 0);
	l->partitioned_share =
		schema_real(o, "cut_off_share", DEFAULT_PARTITIONED_SHARE);
}

/* A release without a manifest has a version that follows from its number. */
static void version_bind(struct model_spec *m, const json_t *o)
{
	const char *manifest = schema_string(o, "manifest", NULL);

	m->release = (uint64_t)schema_integer(o, "release", 0);
	if (manifest)
		snprintf(m->version, sizeof(m->version), "%s", manifest);
	else
		compute_release_version(m->name, m->release, m->version);
}

static void model_bind(struct model_spec *m, const json_t *o, int account,
		       const char *shared_origin)
{
	const char *origin = schema_string(o, "origin", shared_origin);

	m->account = account;
	copy_name(m->name, schema_string(o, "name", ""));
	version_bind(m, o);
	copy_name(m->base, schema_string(o, "base", ""));
	m->upstreams = strings_bind(json_object_get(o, "upstreams"),
				    &m->upstream_count);
	m->data_centers = strings_bind(json_object_get(o, "data_centers"),
				       &m->data_center_count);
	m->priority =
		(int)schema_integer(o, "priority", DEFAULT_MODEL_PRIORITY);
	m->time_weight = schema_real(o, "time_weight", DEFAULT_TIME_WEIGHT);
	m->max_origin_copies =
		schema_real(o, "origin_copies", ORIGIN_COPIES_MAX);
	m->first_loader_count = (int)schema_integer(o, "first_loaders", 1);
	m->min_serving_ratio =
		schema_real(o, "min_serving", DEFAULT_MIN_SERVING_RATIO);
	if (origin)
		m->origin = strdup(origin);
}

static void operation_bind(struct operation_spec *p, const json_t *o)
{
	copy_name(p->name, schema_string(o, "name", ""));
	p->is_repeatable = schema_boolean(o, "repeatable", 0);
	p->deadline_ms =
		(int)schema_integer(o, "deadline_ms", DEFAULT_DEADLINE_MS);
	p->key_lifetime_s = (int)schema_integer(o, "key_lifetime_s",
						DEFAULT_KEY_LIFETIME_S);
}

static void service_bind(struct service_spec *s, const json_t *o, int account)
{
	const json_t *list = json_object_get(o, "operations");
	size_t i, n = json_array_size(list);

	s->account = account;
	copy_name(s->name, schema_string(o, "name", ""));
	s->upstreams = strings_bind(json_object_get(o, "upstreams"),
				    &s->upstream_count);
	s->operations = array_new(n, sizeof(*s->operations));
	s->operation_count = (int)n;
	for (i = 0; i < n; i++)
		operation_bind(&s->operations[i], json_array_get(list, i));
}

static void account_bind(struct account_spec *a, const json_t *o)
{
	const json_t *keys = json_object_get(o, "keys");
	size_t i, n = json_array_size(keys);

	copy_name(a->name, schema_string(o, "account", ""));
	a->share = schema_real(o, "share", 1);
	a->priority_min = (int)schema_integer(o, "priority_min", 0);
	a->priority = (int)schema_integer(o, "priority", PRIORITY_NONE);
	a->regions =
		strings_bind(json_object_get(o, "regions"), &a->region_count);
	limit_bind(&a->limit, json_object_get(o, "limits"));
	a->keys = array_new(n, sizeof(*a->keys));
	a->key_count = (int)n;
	for (i = 0; i < n; i++)
		account_key_parse(json_string_value(json_array_get(keys, i)),
				  &a->keys[i]);
}

static void fleet_bind(struct fleet_spec *f, const json_t *o)
{
	const json_t *affinity = json_object_get(o, "affinity");

	limit_bind(&f->budget, json_object_get(o, "budget"));
	f->fencing =
		strings_bind(json_object_get(o, "fencing"), &f->fencing_count);
	f->affinity_lock_s = (int)schema_integer(affinity, "lock_s",
						 DEFAULT_AFFINITY_LOCK_S);
	f->affinity_idle_s = (int)schema_integer(affinity, "idle_s",
						 DEFAULT_AFFINITY_IDLE_S);
}

static void set_counts(struct document *d, const json_t *accounts)
{
	size_t i;

	for (i = 0; i < json_array_size(accounts); i++) {
		const json_t *a = json_array_get(accounts, i);

		d->model_count +=
			(int)json_array_size(json_object_get(a, "models"));
		d->service_count +=
			(int)json_array_size(json_object_get(a, "services"));
		d->key_owner_count +=
			(int)json_array_size(json_object_get(a, "keys"));
	}
	d->account_count = (int)json_array_size(accounts);
}

static void accounts_bind(struct document *d, const json_t *accounts,
			  const char *origin)
{
	struct model_spec *m = d->models;
	struct service_spec *s = d->services;
	struct key_owner *k = d->key_owners;
	const json_t *list;
	size_t j;
	int i;

	for (i = 0; i < d->account_count; i++) {
		const json_t *a = json_array_get(accounts, (size_t)i);

		account_bind(&d->accounts[i], a);
		list = json_object_get(a, "models");
		for (j = 0; j < json_array_size(list); j++)
			model_bind(m++, json_array_get(list, j), i, origin);
		list = json_object_get(a, "services");
		for (j = 0; j < json_array_size(list); j++)
			service_bind(s++, json_array_get(list, j), i);
		for (j = 0; j < (size_t)d->accounts[i].key_count; j++, k++) {
			k->key = d->accounts[i].keys[j];
			k->account = i;
		}
	}
}

static int model_compare(const void *a, const void *b)
{
	const struct model_spec *x = a, *y = b;

	return strcmp(x->name, y->name);
}

static int service_compare(const void *a, const void *b)
{
	const struct service_spec *x = a, *y = b;

	return strcmp(x->name, y->name);
}

static int key_compare(const void *a, const void *b)
{
	const struct key_owner *x = a, *y = b;

	return memcmp(&x->key, &y->key, sizeof(x->key));
}

static void sort(void *array, int count, size_t size,
		 int (*compare)(const void *a, const void *b))
{
	if (count)
		qsort(array, (size_t)count, size, compare);
}

/* Fills a zeroed document from validated JSON; see document-bind.h. */
void document_bind(struct document *d, const json_t *root)
{
	const json_t *accounts = json_object_get(root, "accounts");

	d->revision = (uint64_t)schema_integer(root, "revision", 0);
	d->generation = (uint64_t)schema_integer(root, "generation", 0);
	/* Whether there are accounts counts, not whether one has a key left. */
	d->requires_key = schema_boolean(root, "keys_required",
					 json_array_size(accounts) > 0);
	fleet_bind(&d->fleet, json_object_get(root, "fleet"));
	set_counts(d, accounts);
	d->accounts = array_new((size_t)d->account_count, sizeof(*d->accounts));
	d->models = array_new((size_t)d->model_count, sizeof(*d->models));
	d->services = array_new((size_t)d->service_count, sizeof(*d->services));
	d->key_owners =
		array_new((size_t)d->key_owner_count, sizeof(*d->key_owners));
	accounts_bind(d, accounts, schema_string(root, "origin", NULL));
	sort(d->models, d->model_count, sizeof(*d->models), model_compare);
	sort(d->services, d->service_count, sizeof(*d->services),
	     service_compare);
	sort(d->key_owners, d->key_owner_count, sizeof(*d->key_owners),
	     key_compare);
	routing_bind(&d->routing, root);
}

static void account_free(struct account_spec *a)
{
	strings_free(a->regions, a->region_count);
	free(a->keys);
}

/* Frees what document_bind filled in. */
void document_free_specs(struct document *d)
{
	int i;

	routing_free(&d->routing);
	for (i = 0; i < d->model_count; i++) {
		free(d->models[i].origin);
		strings_free(d->models[i].upstreams,
			     d->models[i].upstream_count);
		strings_free(d->models[i].data_centers,
			     d->models[i].data_center_count);
	}
	for (i = 0; i < d->service_count; i++) {
		strings_free(d->services[i].upstreams,
			     d->services[i].upstream_count);
		free(d->services[i].operations);
	}
	for (i = 0; i < d->account_count; i++)
		account_free(&d->accounts[i]);
	strings_free(d->fleet.fencing, d->fleet.fencing_count);
	free(d->models);
	free(d->services);
	free(d->accounts);
	free(d->key_owners);
}
