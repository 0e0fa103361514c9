#include "forward/listing.h"

#include <ctype.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/metric.h"
#include "config/value.h"
#include "forward/listing-memory.h"

#define VERSION_MAX 9007199254740991.0
#define SLOTS_MAX 1e6
#define PORT_MAX 65535

static const struct schema_field model_fields[] = {
	{ "name", SCHEMA_STRING, SCHEMA_REQUIRED | SCHEMA_NAME },
	{ "release", SCHEMA_INTEGER, SCHEMA_REQUIRED, 1, VERSION_MAX },
	SCHEMA_END
};

static const struct schema_field item_fields[] = {
	{ "id", SCHEMA_STRING, SCHEMA_REQUIRED, 1, SETTINGS_NAME_SIZE - 1 },
	{ "service", SCHEMA_STRING, SCHEMA_REQUIRED, 1,
	  SETTINGS_NAME_SIZE - 1 },
	{ "address", SCHEMA_STRING, SCHEMA_REQUIRED, 3,
	  SETTINGS_ADDRESS_SIZE - 1 },
	{ "data_center", SCHEMA_STRING, SCHEMA_REQUIRED, 1,
	  SETTINGS_NAME_SIZE - 1 },
	{ "leaving", SCHEMA_BOOLEAN },
	{ "slots", SCHEMA_INTEGER, 0, 1, SLOTS_MAX },
	{ "born_ms", SCHEMA_INTEGER, 0, 0, VERSION_MAX },
	{ "cold_ms", SCHEMA_INTEGER, 0, 0, 3600000, "ms" },
	{ "sequence", SCHEMA_INTEGER, 0, 0, VERSION_MAX },
	{ "models", SCHEMA_ARRAY, 0, 0, SCHEMA_UNBOUNDED, NULL, model_fields },
	SCHEMA_END
};

static const struct schema_field list_fields[] = {
	{ "version", SCHEMA_INTEGER, SCHEMA_REQUIRED, 1, VERSION_MAX },
	{ "epoch", SCHEMA_INTEGER, 0, 0, VERSION_MAX },
	SCHEMA_END
};

static pthread_mutex_t mutex = PTHREAD_MUTEX_INITIALIZER; /* innermost lock */
static struct listing *current;
static struct listing_memory memory;

static void copy_text(char *to, size_t size, const json_t *o, const char *name)
{
	snprintf(to, size, "%s", schema_string(o, name, ""));
}

static void parse_models(struct listed_upstream *u, const json_t *list)
{
	const json_t *o;
	size_t i;

	json_array_foreach(list, i, o)
	{
		struct listed_model *m = &u->models[u->model_count];

		if (u->model_count == LISTED_MODELS_MAX)
			return;
		copy_text(m->name, sizeof(m->name), o, "name");
		m->release = (uint64_t)schema_integer(o, "release", 0);
		u->model_count++;
	}
}

static void parse_item(struct listed_upstream *u, const json_t *o)
{
	copy_text(u->id, sizeof(u->id), o, "id");
	copy_text(u->service, sizeof(u->service), o, "service");
	copy_text(u->address, sizeof(u->address), o, "address");
	copy_text(u->data_center, sizeof(u->data_center), o, "data_center");
	u->slots = (int)schema_integer(o, "slots", 1);
	u->is_draining = schema_boolean(o, "leaving", 0);
	u->started_ms = schema_integer(o, "born_ms", 0);
	u->cold_ms = schema_integer(o, "cold_ms", 0);
	u->sequence = (uint64_t)schema_integer(o, "sequence", 0);
	parse_models(u, json_object_get(o, "models"));
}

/* Returns 1 for HOST:PORT. */
static int is_address(const char *s)
{
	const char *colon = strrchr(s, ':');
	char *end;
	long port;

	if (!colon || colon == s || !isdigit((unsigned char)colon[1]))
		return 0;
	port = strtol(colon + 1, &end, 10);
	return !*end && port >= 1 && port <= PORT_MAX;
}

/*
 * Checks one entry. Whoever wrote it is not always who wrote the others, so an
 * odd one costs nothing but itself.
 */
static int is_item_sound(const json_t *o)
{
	struct fault_list faults = { 0 };
	const char *id = schema_string(o, "id", "");

	if (!schema_check(item_fields, o, "", &faults) &&
	    !is_address(schema_string(o, "address", "")))
		fault_add(&faults, "address", "expected HOST:PORT");
	if (!faults.count)
		return 1;
	metric_count("upstream_entries_rejected", NULL, 1);
	log_warning("upstreams", id, "skipping the entry: %s", faults.lines[0]);
	fault_list_clear(&faults);
	return 0;
}

static int compare_items(const void *a, const void *b)
{
	const struct listed_upstream *x = a, *y = b;

	return strcmp(x->id, y->id);
}

/*
 * Parses and validates a list. Returns NULL and adds to faults when it is
 * invalid; of a valid one, entries that are not are left out.
 */
struct listing *listing_parse(const char *text, size_t size,
			      struct fault_list *faults)
{
	json_t *root = json_loadb(text, size, JSON_REJECT_DUPLICATES, NULL);
	json_t *list = json_incref(json_object_get(root, "upstreams"));
	struct listing *l = NULL;
	const json_t *o;
	size_t i;

	json_object_del(root, "upstreams"); /* checked one by one */
	if (!json_is_array(list))
		fault_add(faults, "upstreams", "expected an array");
	if (schema_check(list_fields, root, "", faults) || faults->count)
		goto out;
	l = calloc(1, sizeof(*l));
	if (!l)
		abort();
	l->refs = 1;
	l->version = (uint64_t)schema_integer(root, "version", 0);
	l->epoch = (uint64_t)schema_integer(root, "epoch", 0);
	l->items = calloc(json_array_size(list) + 1, sizeof(*l->items));
	if (!l->items)
		abort();
	json_array_foreach(list, i, o)
	{
		if (is_item_sound(o))
			parse_item(&l->items[l->count++], o);
	}
	qsort(l->items, (size_t)l->count, sizeof(*l->items), compare_items);
out:
	json_decref(list);
	json_decref(root);
	return l;
}

/* Adds a reference. */
struct listing *listing_retain(struct listing *l)
{
	__atomic_add_fetch(&l->refs, 1, __ATOMIC_RELAXED);
	return l;
}

/* Releases a reference; l may be NULL. */
void listing_release(struct listing *l)
{
	if (!l || __atomic_sub_fetch(&l->refs, 1, __ATOMIC_ACQ_REL))
		return;
	free(l->items);
	free(l);
}

/* Returns the upstream with an id, or NULL. */
const struct listed_upstream *listing_find(const struct listing *l,
					   const char *id)
{
	struct listed_upstream key;

	if (!l->count)
		return NULL;
	snprintf(key.id, sizeof(key.id), "%s", id);
	return bsearch(&key, l->items, (size_t)l->count, sizeof(*l->items),
		       compare_items);
}

/* See listing.h. */
struct listing *listing_get_current(void)
{
	struct listing *l;

	pthread_mutex_lock(&mutex);
	l = current ? listing_retain(current) : NULL;
	pthread_mutex_unlock(&mutex);
	return l;
}

/* Makes a list current when its version is above that of the current one. */
static enum value_verdict apply_listing(void *arg, const char *text,
					size_t size,
					const struct text_source *source,
					uint64_t *version)
{
	struct fault_list faults = { 0 };
	struct listing *l = listing_parse(text, size, &faults);
	struct listing *old = NULL;
	int is_newer = 0;

	(void)arg;
	(void)source;
	if (!l) {
		log_warning("upstreams", NULL, "list of upstreams rejected: %s",
			    faults.lines[0]);
		fault_list_clear(&faults);
		return VALUE_INVALID;
	}
	*version = l->version;
	pthread_mutex_lock(&mutex);
	if (!current || current->version < l->version) {
		listing_memory_apply(&memory, l, clock_now());
		old = current;
		current = l;
		is_newer = 1;
		l = NULL;
	}
	pthread_mutex_unlock(&mutex);
	listing_release(old);
	listing_release(l);
	return is_newer ? VALUE_APPLIED : VALUE_OLD;
}

const struct value_ops listing_ops = { "upstreams", apply_listing };
