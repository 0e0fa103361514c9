#include "member/merge.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define VERSION_MAX 9007199254740991.0
#define LIST_ITEMS_MAX 4096

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
	{ "instances", SCHEMA_ARRAY, SCHEMA_REQUIRED, 0, LIST_ITEMS_MAX, NULL,
	  item_fields },
	SCHEMA_END
};

static int compare_items(const void *a, const void *b)
{
	const struct listed_instance *x = a, *y = b;

	return strcmp(x->id, y->id);
}

static void parse_item(struct listed_instance *i, const json_t *o)
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

static void check_items(const struct instance_list *l,
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
 * Parses and validates a list of size bytes.  Returns 0, or -1 with the
 * faults added to faults; *l then holds only the version, 0 if that could
 * not be read.
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
		parse_item(&l->items[i], json_array_get(list, i));
	qsort(l->items, (size_t)l->count, sizeof(*l->items), compare_items);
	check_items(l, faults);
	if (faults->count != before)
		instance_list_free(l);
out:
	if (schema_integer(root, "version", 0) > 0)
		l->version = (uint64_t)schema_integer(root, "version", 0);
	json_decref(root);
	return faults->count == before ? 0 : -1;
}

/* Frees the items and clears *l. */
void instance_list_free(struct instance_list *l)
{
	free(l->items);
	memset(l, 0, sizeof(*l));
}

/* Returns the row of an id, or NULL.  The caller has locked the table. */
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

static void copy_identity(struct instance *row, const struct listed_instance *x)
{
	memcpy(row->id, x->id, sizeof(row->id));
	memcpy(row->data_center, x->data_center, sizeof(row->data_center));
	memcpy(row->address, x->address, sizeof(row->address));
	memcpy(row->upstream, x->upstream, sizeof(row->upstream));
	row->role = x->role;
	row->is_listed = 1;
	row->unlisted_since = 0;
}

static void mark_draining(struct instance *row, apr_time_t now)
{
	if (row->draining_since)
		return; /* already marked, possibly for an older boot */
	row->draining_since = now;
	row->draining_boot = row->boot;
	if (row->state != INSTANCE_DEAD)
		row->state = INSTANCE_DRAINING;
}

static void add_listed_row(struct table *t, const struct listed_instance *x,
			   apr_time_t now)
{
	struct instance row;

	memset(&row, 0, sizeof(row));
	copy_identity(&row, x);
	row.state = INSTANCE_LIVE;
	if (x->is_draining)
		mark_draining(&row, now);
	table_add(t, &row);
}

/*
 * Applies a list item to a row.  Returns 1 when the row changed.  Another
 * address means a replacement instance whose state is not known yet; but
 * while the instance still answers at its known address, the list is
 * treated as outdated and the address is kept.
 */
static int update_listed_row(struct instance *row,
			     const struct listed_instance *x, apr_time_t now)
{
	enum instance_state before = row->state;
	int moved = strcmp(row->address, x->address) != 0;

	if (moved && row->state == INSTANCE_LIVE && row->last_contact &&
	    now - row->last_contact < UNLISTED_RETENTION_US)
		moved = 0;
	else
		copy_identity(row, x);
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
		mark_draining(row, now);
	return moved || row->state != before;
}

static const struct listed_instance *find_item(const struct instance_list *l,
					       const char *id)
{
	struct listed_instance key;

	snprintf(key.id, sizeof(key.id), "%s", id);
	return l->count ? bsearch(&key, l->items, (size_t)l->count,
				  sizeof(*l->items), compare_items)
			: NULL;
}

/* Returns 1 when the list contains the instance. */
int instance_list_has_id(const struct instance_list *l, const char *id)
{
	return find_item(l, id) != NULL;
}

/*
 * Merges a list into the table, which the caller has locked.  No row is
 * added for self, the id of this process.  Returns the number of rows added
 * or changed.
 */
int member_merge_list(struct table *t, const struct instance_list *l,
		      const char *self, apr_time_t now)
{
	unsigned char *has_row = calloc((size_t)l->count + 1, 1);
	struct handle at = HANDLE_NONE;
	const struct listed_instance *x;
	struct instance *row;
	int changes = 0, i;

	if (!has_row)
		abort();
	while ((row = table_next(t, &at))) {
		x = find_item(l, row->id);
		if (x) {
			has_row[x - l->items] = 1;
			changes += update_listed_row(row, x, now);
		} else if (row->is_listed) {
			row->is_listed = 0;
			row->unlisted_since = now;
		}
	}
	for (i = 0; i < l->count; i++) {
		if (has_row[i] || !strcmp(l->items[i].id, self))
			continue;
		add_listed_row(t, &l->items[i], now);
		changes++;
	}
	free(has_row);
	return changes;
}

/*
 * Removes the instances that the list has not named for
 * UNLISTED_RETENTION_US, except those that are live with a known boot.  With
 * has_no_list, the platform has no list, and an instance that has been dead
 * for that time counts as no longer listed.  The caller has locked the
 * table.  Returns the number of rows removed.
 */
int member_remove_expired(struct table *t, int has_no_list, apr_time_t now)
{
	struct handle at = HANDLE_NONE;
	struct instance *row;
	int removed = 0;

	while ((row = table_next(t, &at))) {
		if (row->is_listed && has_no_list &&
		    row->state == INSTANCE_DEAD &&
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
