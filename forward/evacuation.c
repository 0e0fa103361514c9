#include "forward/evacuation.h"

#include <pthread.h>
#include <stdio.h>
#include <string.h>

#include "base/log.h"
#include "base/metric.h"
#include "config/value.h"

#define VERSION_MAX 9007199254740991.0
#define LIST_MAX 65536

static const struct schema_field fields[] = {
	{ "version", SCHEMA_INTEGER, SCHEMA_REQUIRED, 1, VERSION_MAX },
	{ "data_centers", SCHEMA_STRINGS, SCHEMA_REQUIRED, 0, LIST_MAX },
	SCHEMA_END
};

static pthread_mutex_t mutex = PTHREAD_MUTEX_INITIALIZER; /* innermost lock */
static struct evacuations current;

static void add(struct evacuations *e, const char *name)
{
	if (!*name || strlen(name) >= SETTINGS_NAME_SIZE ||
	    e->count == EVACUATIONS_MAX) {
		metric_count("evacuations_rejected", NULL, 1);
		log_warning("evacuations", name,
			    "ignoring the evacuation: not a name of a data "
			    "centre, or beyond the maximum of %d",
			    EVACUATIONS_MAX);
		return;
	}
	snprintf(e->data_centers[e->count++], SETTINGS_NAME_SIZE, "%s", name);
}

/*
 * Parses a set of data centres. Names that can't be one are left out. Returns
 * -1, after adding to faults, when the text is invalid.
 */
int evacuations_parse(const char *text, size_t size, struct evacuations *out,
		      struct fault_list *faults)
{
	json_t *root = json_loadb(text, size, JSON_REJECT_DUPLICATES, NULL);
	const json_t *name;
	size_t i;
	int ret = -1;

	memset(out, 0, sizeof(*out));
	if (schema_check(fields, root, "", faults))
		goto out;
	out->version = (uint64_t)schema_integer(root, "version", 0);
	json_array_foreach(json_object_get(root, "data_centers"), i, name)
	{
		add(out, json_string_value(name));
	}
	ret = 0;
out:
	json_decref(root);
	return ret;
}

/* Returns 1 if the data centre is in the set. */
int evacuations_contain(const struct evacuations *e, const char *data_center)
{
	int i;

	for (i = 0; i < e->count; i++)
		if (!strcmp(e->data_centers[i], data_center))
			return 1;
	return 0;
}

/* See evacuation.h. */
void evacuations_get_current(struct evacuations *out)
{
	pthread_mutex_lock(&mutex);
	*out = current;
	pthread_mutex_unlock(&mutex);
}

/* Makes a set current when its version is above that of the current one. */
static enum value_verdict apply_evacuations(void *arg, const char *text,
					    size_t size,
					    const struct text_source *source,
					    uint64_t *version)
{
	struct fault_list faults = { 0 };
	struct evacuations e;
	int is_newer;

	(void)arg;
	(void)source;
	if (evacuations_parse(text, size, &e, &faults)) {
		log_warning("evacuations", NULL, "evacuations rejected: %s",
			    faults.count ? faults.lines[0] : "not JSON");
		fault_list_clear(&faults);
		return VALUE_INVALID;
	}
	*version = e.version;
	pthread_mutex_lock(&mutex);
	is_newer = e.version > current.version;
	if (is_newer)
		current = e;
	pthread_mutex_unlock(&mutex);
	return is_newer ? VALUE_APPLIED : VALUE_OLD;
}

const struct value_ops evacuation_ops = { "evacuations", apply_evacuations };
