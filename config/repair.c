#include "config/repair.h"

#include <stdio.h>
#include <string.h>

#include "config/account-key.h"
#include "config/schema-tables.h"

#define PATH_SIZE 64

/* Returns 1, and adds the name to those seen, if it is the first of its kind. */
static int is_first(json_t *seen, const char *name)
{
	if (json_object_get(seen, name))
		return 0;
	json_object_set_new(seen, name, json_true());
	return 1;
}

/* Keeps of each key its first mention in the first account that has it. */
static void repair_keys(json_t *account, json_t *seen, const char *path,
			struct fault_list *removed)
{
	const json_t *keys = json_object_get(account, "keys");
	char text[ACCOUNT_KEY_TEXT_SIZE];
	struct account_key parsed;
	json_t *kept, *key;
	size_t i;

	if (!keys)
		return;
	kept = json_array();
	json_array_foreach(keys, i, key)
	{
		if (account_key_parse(json_string_value(key), &parsed)) {
			fault_add(removed, path, "key %zu is left out", i);
			continue;
		}
		account_key_text(&parsed, text);
		if (is_first(seen, text))
			json_array_append(kept, key);
		else
			fault_add(removed, path,
				  "key %zu is left out: it was named before",
				  i);
	}
	json_object_set_new(account, "keys", kept);
}

static void repair_models(json_t *account, json_t *seen, const char *path,
			  struct fault_list *removed)
{
	const json_t *models = json_object_get(account, "models");
	json_t *kept, *m;
	size_t i;

	if (!models)
		return;
	kept = json_array();
	json_array_foreach(models, i, m)
	{
		int has_version = json_object_get(m, "manifest") ||
				  json_object_get(m, "release");

		if (has_version && is_first(seen, schema_string(m, "name", "")))
			json_array_append(kept, m);
		else
			fault_add(removed, path, "model %zu is left out", i);
	}
	json_object_set_new(account, "models", kept);
}

/* Leaves what cross_check() has no fault in, of what platforms can declare. */
static void repair_accounts(json_t *root, struct fault_list *removed)
{
	const json_t *accounts = json_object_get(root, "accounts");
	json_t *names = json_object(), *keys = json_object();
	json_t *models = json_object(), *kept = json_array(), *a;
	char path[PATH_SIZE];
	size_t i;

	json_array_foreach(accounts, i, a)
	{
		snprintf(path, sizeof(path), "accounts[%zu]", i);
		if (!is_first(names, schema_string(a, "account", ""))) {
			fault_add(removed, path,
				  "is left out: its name was used before");
			continue;
		}
		repair_keys(a, keys, path, removed);
		repair_models(a, models, path, removed);
		json_array_append(kept, a);
	}
	json_object_set_new(root, "accounts", kept);
	json_decref(names);
	json_decref(keys);
	json_decref(models);
}

/*
 * Returns a text without the parts that have faults, of which it adds a line
 * each, or NULL if the text as a whole is no document.  The same text yields
 * the same result.  The caller frees it.  Lists that restrict something, as that
 * of regions, must be whole before: without an element they would allow more.
 */
char *document_repair(const char *text, size_t size, struct fault_list *removed)
{
	json_t *root = json_loadb(text, size, 0, NULL);
	char *out = NULL;

	if (!schema_prune(document_fields, root, "", removed)) {
		repair_accounts(root, removed);
		out = json_dumps(root, JSON_COMPACT | JSON_SORT_KEYS);
	}
	json_decref(root);
	return out;
}
