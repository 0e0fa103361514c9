#include "config/cross-check.h"

#include <stdio.h>
#include <string.h>

#include "config/account-key.h"

#define PATH_SIZE 512

/* Names declared so far: JSON objects that map a name to its owner. */
struct declared {
	json_t *accounts;
	json_t *models;
	json_t *services;
	json_t *keys;
};

static void check_declared_once(json_t *declared, const char *name,
				const char *what, const char *owner,
				const char *path, struct fault_list *faults)
{
	const char *other = schema_string(declared, name, NULL);

	if (!other) {
		json_object_set_new(declared, name, json_string(owner));
		return;
	}
	fault_add(faults, path,
		  "%s \"%s\" is declared by \"%s\" already; choose another "
		  "name or remove one",
		  what, name, other);
}

static void limit_check(const json_t *limits, const json_t *budget,
			const char *name, const char *prefix,
			struct fault_list *faults)
{
	double maximum = schema_real(budget, name, 0);
	double wanted = schema_real(limits, name, 0);
	char path[PATH_SIZE];

	if (maximum <= 0 || wanted <= maximum)
		return;
	snprintf(path, sizeof(path), "%slimits.%s", prefix, name);
	fault_add(faults, path, "%g is above the fleet's budget of %g", wanted,
		  maximum);
}

static void limits_check(const json_t *account, const json_t *fleet,
			 const char *path, struct fault_list *faults)
{
	const json_t *limits = json_object_get(account, "limits");
	const json_t *budget = json_object_get(fleet, "budget");

	limit_check(limits, budget, "requests_per_second", path, faults);
	limit_check(limits, budget, "tokens_per_second", path, faults);
	limit_check(limits, budget, "concurrent", path, faults);
}

static void keys_check(const json_t *account, const char *owner,
		       const char *prefix, struct declared *s,
		       struct fault_list *faults)
{
	const json_t *keys = json_object_get(account, "keys");
	char path[PATH_SIZE], text[ACCOUNT_KEY_TEXT_SIZE];
	struct account_key parsed;
	const char *key;
	size_t i;

	for (i = 0; i < json_array_size(keys); i++) {
		key = json_string_value(json_array_get(keys, i));
		snprintf(path, sizeof(path), "%skeys[%zu]", prefix, i);
		if (!key || account_key_parse(key, &parsed)) {
			fault_add(faults, path,
				  "expected the SHA-256 of a key (64 "
				  "lower-case hex digits); never put the key "
				  "itself here");
			continue;
		}
		account_key_text(&parsed, text);
		check_declared_once(s->keys, text, "key", owner, path, faults);
	}
}

static int has_model(const json_t *models, const char *name)
{
	const char *other;
	size_t i;

	for (i = 0; i < json_array_size(models); i++) {
		other = schema_string(json_array_get(models, i), "name", "");
		if (!strcmp(other, name))
			return 1;
	}
	return 0;
}

static int has_version(const json_t *model, enum version_form form)
{
	return json_object_get(model, "manifest") ||
	       (form == VERSION_ANY && json_object_get(model, "release"));
}

static void models_check(const json_t *account, enum version_form form,
			 const char *owner, const char *prefix,
			 struct declared *s, struct fault_list *faults)
{
	const json_t *models = json_object_get(account, "models");
	char path[PATH_SIZE];
	const char *name, *base;
	size_t i;

	for (i = 0; i < json_array_size(models); i++) {
		const json_t *m = json_array_get(models, i);

		name = schema_string(m, "name", "");
		base = schema_string(m, "base", NULL);
		snprintf(path, sizeof(path), "%smodels[%zu].name", prefix, i);
		check_declared_once(s->models, name, "model", owner, path,
				    faults);
		snprintf(path, sizeof(path), "%smodels[%zu].manifest", prefix,
			 i);
		if (!has_version(m, form))
			fault_add(faults, path,
				  "is required: the digest that limpetctl "
				  "manifest prints");
		if (!base)
			continue;
		snprintf(path, sizeof(path), "%smodels[%zu].base", prefix, i);
		if (!strcmp(base, name) || !has_model(models, base))
			fault_add(faults, path,
				  "\"%s\" is not another model of this account",
				  base);
	}
}

static void operations_check(const json_t *service, const char *prefix,
			     struct fault_list *faults)
{
	const json_t *list = json_object_get(service, "operations");
	json_t *declared = json_object();
	char path[PATH_SIZE + 64];
	size_t i;

	for (i = 0; i < json_array_size(list); i++) {
		snprintf(path, sizeof(path), "%s.operations[%zu].name", prefix,
			 i);
		check_declared_once(
			declared,
			schema_string(json_array_get(list, i), "name", ""),
			"operation", "this service", path, faults);
	}
	json_decref(declared);
}

static void services_check(const json_t *account, const char *owner,
			   const char *prefix, struct declared *s,
			   struct fault_list *faults)
{
	const json_t *services = json_object_get(account, "services");
	char path[PATH_SIZE];
	size_t i;

	for (i = 0; i < json_array_size(services); i++) {
		const json_t *o = json_array_get(services, i);

		snprintf(path, sizeof(path), "%sservices[%zu].name", prefix, i);
		check_declared_once(s->services, schema_string(o, "name", ""),
				    "service", owner, path, faults);
		snprintf(path, sizeof(path), "%sservices[%zu]", prefix, i);
		operations_check(o, path, faults);
	}
}

/* Checks all accounts together and adds every fault found to faults. */
void cross_check(const json_t *fleet, enum version_form form,
		 const struct account_source *accounts, size_t count,
		 struct fault_list *faults)
{
	struct declared s = { json_object(), json_object(), json_object(),
			      json_object() };
	char path[PATH_SIZE];
	size_t i;

	for (i = 0; i < count; i++) {
		const json_t *a = accounts[i].account;
		const char *prefix = accounts[i].prefix;
		const char *owner = schema_string(a, "account", "");

		snprintf(path, sizeof(path), "%saccount", prefix);
		check_declared_once(s.accounts, owner, "account", owner, path,
				    faults);
		limits_check(a, fleet, prefix, faults);
		keys_check(a, owner, prefix, &s, faults);
		models_check(a, form, owner, prefix, &s, faults);
		services_check(a, owner, prefix, &s, faults);
	}
	json_decref(s.accounts);
	json_decref(s.models);
	json_decref(s.services);
	json_decref(s.keys);
}
