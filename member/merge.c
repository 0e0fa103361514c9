#include "member/merge.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define VERSION_MAX 9007199254740991.0
#define LIST_MAX 4096

static const char *const roles[] = { "entry", "agent", NULL };
static const char *const states[] = { "live", "leaving", NULL };

static const struct schema_field item_fields[] = {
	{ "id", SCHEMA_STRING, SCHEMA_REQUIRED | SCHEMA_NAME },
	{ "role", SCHEMA_STRING, SCHEMA_REQUIRED, 0, 0, NULL, NULL, roles },
	{ "data_center", SCHEMA_STRING, SCHEMA_REQUIRED | SCHEMA_NAME },
	{ "address", SCHEMA_STRING, SCHEMA_REQUIRED, 2,
	  SETTINGS_ADDRESS_SIZE - 1 },
	{ "state", SCHEMA_STRING, SCHEMA_REQUIRED, 0, 0, NULL, NULL, states },
	{ "upstream", SCHEMA_STRING, SCHEMA_NAME },
	SCHEMA_END
};

static const struct schema_field list_fields[] = {
	{ "version", SCHEMA_INTEGER, SCHEMA_REQUIRED, 1, VERSION_MAX },
	{ "instances", SCHEMA_ARRAY, SCHEMA_REQUIRED, 0, LIST_MAX, NULL,
	  item_fields },
	SCHEMA_END
};

static int item_compare(const void *a, const void *b)
{
	const struct listed_instance *x = a, *y = b;

	return strcmp(x->id, y->id);
}

static void item_bind(struct listed_instance *i, const json_t *o)
{
	const char *upstream;

	snprintf(i->id, sizeof(i->id), "%s", schema_string(o, "id", ""));
	snprintf(i->data_center, sizeof(i->data_center), "%s",
		 schema_string(o, "data_center", ""));
	snprintf(i->address, sizeof(i->address), "%s",
		 schema_string(o, "address", ""));
	i->role = strcmp(schema_string(o, "role", ""), "agent") ? ROLE_ENTRY
								: ROLE_AGENT;
	upstream = schema_string(o, "upstream",
				 i->role == ROLE_AGENT ? i->id : "");
	snprintf(i->upstream, sizeof(i->upstream), "%.*s",
		 SETTINGS_NAME_SIZE - 1, upstream);
	i->is_draining = !strcmp(schema_string(o, "state", ""), "leaving");
}

static void items_check(const struct instance_list *l,
			struct fault_list *faults)
{
	struct in_addr in;
	int i;

	for (i = 0; i < l->count; i++) {
		const struct listed_instance *x = &l->items[i];

		if (inet_pton(AF_INET, x->address, &in) != 1)
			fault_add(faults, x->id, "\"%s\" is not an IP number",
				  x->address);
		if (i && !strcmp(l->items[i - 1].id, x->id))
			fault_add(faults, x->id, "is listed twice");
	}
}

/*
 * Parses and checks a list.  Returns 0, or -1 with the faults listed and
 * only the version, if it could be read, filled in.
 */
int instance_list_parse(struct instance_list *l, const char *text, size_t size,
			struct fault_list *faults)
{
	json_t *root = json_loadb(text, size, JSON_REJECT_DUPLICATES, NULL);
	const json_t *list = json_object_get(root, "instances");
	size_t before = faults->count, i;

	memset(l, 0, sizeof(*l));
	if (schema_check(list_fields, root, "", faults))
		goto out;
	l->count = (int)json_array_size(list);
	l->items = calloc((size_t)l->count + 1, sizeof(*l->items));
	if (!l->items)
		abort();
	for (i = 0; i < json_array_size(list); i++)
		item_bind(&l->items[i], json_array_get(list, i));
	qsort(l->items, (size_t)l->count, sizeof(*l->items), item_compare);
	items_check(l, faults);
	if (faults->count != before)
		instance_list_free(l);
out:
	if (schema_integer(root, "version", 0) > 0)
		l->version = (uint64_t)schema_integer(root, "version", 0);
	json_decref(root);
	return faults->count == before ? 0 : -1;
}

/* Frees the items. */
void instance_list_free(struct instance_list *l)
{
	free(l->items);
	memset(l, 0, sizeof(*l));
}

/* Returns the row of an id, or NULL.  The table is locked. */
struct instance *instance_find(struct table *t, const char *id)
{
	struct handle at = HANDLE_NONE;
	struct instance *row;

	while ((row = table_next(t, &at))) {
		if (!strcmp(row->id, id))
			return row;
	}
	return NULL;
}

static void identity_copy(struct instance *row, const struct listed_instance *x)
{
	memcpy(row->id, x->id, sizeof(row->id));
	memcpy(row->data_center, x->data_center, sizeof(row->data_center));
	memcpy(row->address, x->address, sizeof(row->address));
	memcpy(row->upstream, x->upstream, sizeof(row->upstream));
	row->role = x->role;
	row->is_listed = 1;
	row->unlisted_since = 0;
}

static void row_leave(struct instance *row, apr_time_t now)
{
	if (row->draining_since)
		return; /* known already, perhaps of an older boot */
	row->draining_since = now;
	row->draining_boot = row->boot;
	if (row->state != INSTANCE_DEAD)
		row->state = INSTANCE_DRAINING;
}

static void row_new(struct table *t, const struct listed_instance *x,
		    apr_time_t now)
{
	struct instance row;

	memset(&row, 0, sizeof(row));
	identity_copy(&row, x);
	row.state = INSTANCE_LIVE;
	if (x->is_draining)
		row_leave(&row, now);
	table_add(t, &row);
}

/*
 * Returns 1 when the row changed.  Another address means a replacement, of
 * which nothing is known yet; while the instance answers at the address
 * known directly, the list is taken to lag.
 */
static int row_update(struct instance *row, const struct listed_instance *x,
		      apr_time_t now)
{
	enum instance_state before = row->state;
	int moved = strcmp(row->address, x->address) != 0;

	if (moved && row->state == INSTANCE_LIVE && row->last_contact &&
	    now - row->last_contact < UNLISTED_RETENTION_US)
		moved = 0;
	else
		identity_copy(row, x);
	row->is_listed = 1;
	row->unlisted_since = 0;
	if (moved) {
		row->boot = 0;
		row->last_contact = 0;
		row->suspect_since = 0;
		row->draining_since = 0;
		row->draining_boot = 0;
		row->state = INSTANCE_LIVE;
	}
	if (x->is_draining)
		row_leave(row, now);
	return moved || row->state != before;
}

static const struct listed_instance *item_find(const struct instance_list *l,
					       const char *id)
{
	struct listed_instance key;

	snprintf(key.id, sizeof(key.id), "%s", id);
	return l->count ? bsearch(&key, l->items, (size_t)l->count,
				  sizeof(*l->items), item_compare)
			: NULL;
}

/* Returns 1 when the list names an instance. */
int instance_list_has_id(const struct instance_list *l, const char *id)
{
	return item_find(l, id) != NULL;
}

/*
 * Merges a list into the table, which the caller has locked, leaving out
 * the row of self.  Returns how many rows were added or changed.
 */
int member_merge_list(struct table *t, const struct instance_list *l,
		      const char *self, apr_time_t now)
{
	unsigned char *known = calloc((size_t)l->count + 1, 1);
	struct handle at = HANDLE_NONE;
	const struct listed_instance *x;
	struct instance *row;
	int changes = 0, i;

	if (!known)
		abort();
	while ((row = table_next(t, &at))) {
		x = item_find(l, row->id);
		if (x) {
			known[x - l->items] = 1;
			changes += row_update(row, x, now);
		} else if (row->is_listed) {
			row->is_listed = 0;
			row->unlisted_since = now;
		}
	}
	for (i = 0; i < l->count; i++) {
		if (known[i] || !strcmp(l->items[i].id, self))
			continue;
		row_new(t, &l->items[i], now);
		changes++;
	}
	free(known);
	return changes;
}

/*
 * Removes the instances that the list has dropped and that are dead, left
 * or were never heard from, once that has lasted.  unlisted: the platform
 * has no list, and what has long been dead counts as dropped.  The table is
 * locked.
 */
int member_remove_expired(struct table *t, int unlisted, apr_time_t now)
{
	struct handle at = HANDLE_NONE;
	struct instance *row;
	int removed = 0;

	while ((row = table_next(t, &at))) {
		if (row->is_listed && unlisted && row->state == INSTANCE_DEAD &&
		    now - row->dead_since > UNLISTED_RETENTION_US)
			row->is_listed = 0;
		if (row->is_listed ||
		    now - row->unlisted_since < UNLISTED_RETENTION_US)
			continue;
		if (row->state == INSTANCE_LIVE && row->boot)
			continue;
		table_remove(t, at);
		removed++;
	}
	return removed;
}
