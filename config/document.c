#include "config/document.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "config/cross-check.h"
#include "config/document-bind.h"
#include "config/schema-tables.h"

#define PATH_SIZE 32

/* Checks rules across accounts; fault paths name an account by its index. */
static void accounts_cross_check(const json_t *root, struct fault_list *faults)
{
	const json_t *accounts = json_object_get(root, "accounts");
	size_t i, n = json_array_size(accounts);
	struct account_source *sources = calloc(n + 1, sizeof(*sources));
	char(*paths)[PATH_SIZE] = calloc(n + 1, sizeof(*paths));

	if (!sources || !paths)
		abort();
	for (i = 0; i < n; i++) {
		snprintf(paths[i], PATH_SIZE, "accounts[%zu].", i);
		sources[i].account = json_array_get(accounts, i);
		sources[i].prefix = paths[i];
	}
	cross_check(json_object_get(root, "fleet"), VERSION_ANY, sources, n,
		    faults);
	free(sources);
	free(paths);
}

static json_t *root_parse(const char *text, size_t size,
			  struct fault_list *faults)
{
	json_error_t at;
	json_t *root;

	root = json_loadb(text, size, JSON_REJECT_DUPLICATES, &at);
	if (!root)
		fault_add(faults, "", "line %d, column %d: %s", at.line,
			  at.column, at.text);
	return root;
}

static struct document *document_new(const json_t *root)
{
	struct document *d = calloc(1, sizeof(*d));

	if (!d)
		abort();
	d->ref_count = 1;
	document_bind(d, root);
	return d;
}

/*
 * Checks a document that has been parsed.  Returns a new reference, or NULL with
 * every fault listed: a document is never applied in part.
 */
struct document *document_make(const json_t *root, struct fault_list *faults)
{
	size_t before = faults->count;

	if (!schema_check(document_fields, root, "", faults))
		accounts_cross_check(root, faults);
	return faults->count == before ? document_new(root) : NULL;
}

/* Parses a text and checks it in the same way. */
struct document *document_parse(const char *text, size_t size,
				struct fault_list *faults)
{
	json_t *root = root_parse(text, size, faults);
	struct document *d = root ? document_make(root, faults) : NULL;

	json_decref(root);
	return d;
}

/* Adds a reference and returns the document. */
struct document *document_ref(struct document *d)
{
	__atomic_add_fetch(&d->ref_count, 1, __ATOMIC_RELAXED);
	return d;
}

/* Drops a reference; frees the document when it was the last one. */
void document_unref(struct document *d)
{
	if (!d || __atomic_sub_fetch(&d->ref_count, 1, __ATOMIC_ACQ_REL))
		return;
	document_free_specs(d);
	free(d);
}

/* Compares a name with a row, whose first member is its name. */
static int name_compare(const void *name, const void *row)
{
	return strcmp(name, row);
}

/* Returns the model of this name, or NULL. */
const struct model_spec *document_find_model(const struct document *d,
					     const char *name)
{
	if (!d->model_count)
		return NULL;
	return bsearch(name, d->models, (size_t)d->model_count,
		       sizeof(*d->models), name_compare);
}

/* Returns the service of this name, or NULL. */
const struct service_spec *document_find_service(const struct document *d,
						 const char *name)
{
	if (!d->service_count)
		return NULL;
	return bsearch(name, d->services, (size_t)d->service_count,
		       sizeof(*d->services), name_compare);
}

/* Returns the operation of this name, or NULL. */
const struct operation_spec *
service_find_operation(const struct service_spec *s, const char *name)
{
	int i;

	for (i = 0; i < s->operation_count; i++) {
		if (!strcmp(s->operations[i].name, name))
			return &s->operations[i];
	}
	return NULL;
}

static int key_compare(const void *key, const void *row)
{
	return memcmp(key, row, sizeof(struct account_key));
}

/* Returns the index of the account that holds a key, or -1. */
int document_find_account_by_key(const struct document *d,
				 const struct account_key *key)
{
	const struct key_owner *k = NULL;

	if (d->key_owner_count)
		k = bsearch(key, d->key_owners, (size_t)d->key_owner_count,
			    sizeof(*d->key_owners), key_compare);
	return k ? k->account : -1;
}

/* Matches s against a pattern in which '*' matches any characters. */
static int pattern_matches(const char *pattern, const char *s)
{
	const char *star = NULL, *retry = NULL;

	while (*s) {
		if (*pattern == '*') {
			star = pattern++;
			retry = s;
		} else if (*pattern == *s) {
			pattern++;
			s++;
		} else if (star) {
			pattern = star + 1;
			s = ++retry;
		} else {
			return 0;
		}
	}
	while (*pattern == '*')
		pattern++;
	return !*pattern;
}

/* Returns 1 when one of the patterns matches the upstream's name. */
int has_matching_pattern(char *const *patterns, int count, const char *upstream)
{
	int i;

	for (i = 0; i < count; i++) {
		if (pattern_matches(patterns[i], upstream))
			return 1;
	}
	return 0;
}

/* Returns 1 when the document assigns the model to this upstream. */
int is_model_assigned(const struct model_spec *m, const char *upstream,
		      const char *data_center)
{
	int i;

	if (!has_matching_pattern(m->upstreams, m->upstream_count, upstream))
		return 0;
	for (i = 0; i < m->data_center_count; i++) {
		if (!strcmp(m->data_centers[i], data_center))
			return 1;
	}
	return !m->data_center_count;
}

/*
 * Derives the version of a release from the model's name and the release
 * number, for origins whose manifest digest is not known in advance.
 */
void compute_release_version(const char *model, uint64_t release,
			     char hex[DIGEST_HEX_SIZE])
{
	char text[DOCUMENT_NAME_SIZE + 24];
	struct digest d;
	int n = snprintf(text, sizeof(text), "%s/%llu", model,
			 (unsigned long long)release);

	digest_of(text, (size_t)n < sizeof(text) ? (size_t)n : sizeof(text) - 1,
		  &d);
	digest_hex(&d, hex);
}
