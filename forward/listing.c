#include "forward/listing.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "config/value.h"

#define VERSION_MAX 9007199254740991.0
#define LIST_MAX 8192

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
	{ "slots", SCHEMA_INTEGER },
	{ "born_ms", SCHEMA_INTEGER },
	{ "models", SCHEMA_ARRAY, 0, 0, LIST_MAX, NULL, model_fields },
	SCHEMA_END
};

static const struct schema_field list_fields[] = {
	{ "version", SCHEMA_INTEGER, SCHEMA_REQUIRED, 1, VERSION_MAX },
	{ "upstreams", SCHEMA_ARRAY, SCHEMA_REQUIRED, 0, LIST_MAX, NULL,
	  item_fields },
	SCHEMA_END
};

static pthread_mutex_t mutex = PTHREAD_MUTEX_INITIALIZER; /* innermost */
static struct listing *in_force;

static void text_copy(char *to, size_t size, const json_t *o, const char *name)
{
	snprintf(to, size, "%s", schema_string(o, name, ""));
}

static void models_bind(struct listed_upstream *u, const json_t *list)
{
	const json_t *o;
	size_t i;

	json_array_foreach(list, i, o)
	{
		struct listed_model *m = &u->models[u->model_count];

		if (u->model_count == LISTED_MODELS_MAX)
			return;
		text_copy(m->name, sizeof(m->name), o, "name");
		m->release = (uint64_t)schema_integer(o, "release", 0);
		u->model_count++;
	}
}

static void item_bind(struct listed_upstream *u, const json_t *o)
{
	text_copy(u->id, sizeof(u->id), o, "id");
	text_copy(u->service, sizeof(u->service), o, "service");
	text_copy(u->address, sizeof(u->address), o, "address");
	text_copy(u->data_center, sizeof(u->data_center), o, "data_center");
	u->slots = (int)schema_integer(o, "slots", 1);
	u->is_draining = schema_boolean(o, "leaving", 0);
	u->started_ms = schema_integer(o, "born_ms", 0);
	models_bind(u, json_object_get(o, "models"));
}

static int item_compare(const void *a, const void *b)
{
	const struct listed_upstream *x = a, *y = b;

	return strcmp(x->id, y->id);
}

/* Parses and checks a list; NULL with the faults listed when it is invalid. */
struct listing *listing_parse(const char *text, size_t size,
			      struct fault_list *faults)
{
	json_t *root = json_loadb(text, size, JSON_REJECT_DUPLICATES, NULL);
	const json_t *list = json_object_get(root, "upstreams");
	struct listing *l = NULL;
	size_t i;

	if (schema_check(list_fields, root, "", faults))
		goto out;
	l = calloc(1, sizeof(*l));
	if (!l)
		abort();
	l->refs = 1;
	l->version = (uint64_t)schema_integer(root, "version", 0);
	l->count = (int)json_array_size(list);
	l->items = calloc((size_t)l->count + 1, sizeof(*l->items));
	if (!l->items)
		abort();
	for (i = 0; i < json_array_size(list); i++)
		item_bind(&l->items[i], json_array_get(list, i));
	qsort(l->items, (size_t)l->count, sizeof(*l->items), item_compare);
out:
	json_decref(root);
	return l;
}

/* Takes another reference. */
struct listing *listing_retain(struct listing *l)
{
	__atomic_add_fetch(&l->refs, 1, __ATOMIC_RELAXED);
	return l;
}

/* Lets a reference go; NULL is allowed. */
void listing_release(struct listing *l)
{
	if (!l || __atomic_sub_fetch(&l->refs, 1, __ATOMIC_ACQ_REL))
		return;
	free(l->items);
	free(l);
}

/* Returns the upstream of an id, or NULL. */
const struct listed_upstream *listing_find(const struct listing *l,
					   const char *id)
{
	struct listed_upstream key;

	if (!l->count)
		return NULL;
	snprintf(key.id, sizeof(key.id), "%s", id);
	return bsearch(&key, l->items, (size_t)l->count, sizeof(*l->items),
		       item_compare);
}

/* See listing.h. */
struct listing *listing_get_current(void)
{
	struct listing *l;

	pthread_mutex_lock(&mutex);
	l = in_force ? listing_retain(in_force) : NULL;
	pthread_mutex_unlock(&mutex);
	return l;
}

/* Puts a list in force when its version is above the present one. */
static enum value_verdict listing_take(void *arg, const char *text, size_t size,
				       uint64_t *version)
{
	struct fault_list faults = { 0 };
	struct listing *l = listing_parse(text, size, &faults);
	struct listing *old = NULL;
	int taken = 0;

	(void)arg;
	if (!l) {
		log_warning("upstreams", NULL, "%s", faults.lines[0]);
		fault_list_clear(&faults);
		return VALUE_INVALID;
	}
	*version = l->version;
	pthread_mutex_lock(&mutex);
	if (!in_force || in_force->version < l->version) {
		old = in_force;
		in_force = l;
		taken = 1;
		l = NULL;
	}
	pthread_mutex_unlock(&mutex);
	listing_release(old);
	listing_release(l);
	return taken ? VALUE_APPLIED : VALUE_OLD;
}

const struct value_ops listing_ops = { "upstreams", listing_take };
