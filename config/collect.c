#include "config/collect.h"

#include <apr_file_info.h>
#include <apr_fnmatch.h>
#include <apr_pools.h>
#include <apr_strings.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "config/cross-check.h"
#include "config/document.h"
#include "config/schema-tables.h"

#define MAX_DIRECTORY_DEPTH 32 /* deeper directories are skipped */

static const struct schema_field fleet_file_fields[] = {
	{ "fleet", SCHEMA_OBJECT, SCHEMA_REQUIRED, 0, 0, NULL, fleet_fields },
	SCHEMA_END
};

/* Moves the faults of one file to the collection, prefixed with its name. */
static void faults_move(struct collection *c, const char *name,
			struct fault_list *from)
{
	size_t i;

	for (i = 0; i < from->count; i++)
		fault_add(&c->faults, name, "%s", from->lines[i]);
	fault_list_clear(from);
}

static struct source_file *file_add(struct collection *c, const char *name)
{
	struct source_file *f;

	if (c->count == c->capacity) {
		c->capacity = c->capacity ? c->capacity * 2 : 64;
		c->files = realloc(c->files, c->capacity * sizeof(*f));
		if (!c->files)
			abort();
	}
	f = &c->files[c->count++];
	memset(f, 0, sizeof(*f));
	f->name = strdup(name);
	if (!f->name)
		abort();
	return f;
}

/* Detects the kind of a file by its fields and checks it against its schema. */
static void file_check(struct source_file *f, struct fault_list *faults)
{
	if (json_object_get(f->root, "revision") ||
	    json_object_get(f->root, "accounts")) {
		f->kind = SOURCE_DOCUMENT;
		schema_check(document_fields, f->root, "", faults);
	} else if (json_object_get(f->root, "account")) {
		f->kind = SOURCE_ACCOUNT;
		schema_check(account_fields, f->root, "", faults);
	} else if (json_object_get(f->root, "fleet")) {
		f->kind = SOURCE_FLEET;
		schema_check(fleet_file_fields, f->root, "", faults);
	} else {
		fault_add(faults, "",
			  "is no account file (\"account\" is missing), no "
			  "fleet file (\"fleet\") and no document "
			  "(\"revision\")");
	}
}

/* Reads a file and adds its faults to the collection's. */
void collection_add_file(struct collection *c, const char *name)
{
	struct fault_list faults = { 0 };
	json_t *root =
		schema_load_file(name, COLLECT_FILE_MAX_BYTES, &c->faults);
	struct source_file *f;

	if (!root)
		return;
	f = file_add(c, name);
	f->root = root;
	file_check(f, &faults);
	f->has_faults = faults.count > 0;
	faults_move(c, name, &faults);
}

static int name_compare(const void *a, const void *b)
{
	return strcmp(*(char *const *)a, *(char *const *)b);
}

/* Returns the sorted names in a directory, without hidden ones. */
static char **read_file_names(struct collection *c, const char *directory,
			      apr_pool_t *pool, int *count)
{
	apr_finfo_t info;
	apr_dir_t *dir;
	char **list = NULL;
	int n = 0, capacity = 0;

	*count = 0;
	if (apr_dir_open(&dir, directory, pool) != APR_SUCCESS) {
		fault_add(&c->faults, directory, "cannot be read: %m");
		return NULL;
	}
	while (apr_dir_read(&info, APR_FINFO_NAME, dir) == APR_SUCCESS) {
		if (*info.name == '.')
			continue;
		if (n == capacity) {
			capacity = capacity ? capacity * 2 : 64;
			list = realloc(list, (size_t)capacity * sizeof(*list));
			if (!list)
				abort();
		}
		list[n++] = apr_pstrdup(pool, info.name);
	}
	apr_dir_close(dir);
	if (n)
		qsort(list, (size_t)n, sizeof(*list), name_compare);
	*count = n;
	return list;
}

static void read_directory_tree(struct collection *c, const char *directory,
				const char *pattern, int depth,
				apr_pool_t *pool)
{
	char **names;
	apr_finfo_t info;
	int i, n;

	names = read_file_names(c, directory, pool, &n);
	for (i = 0; i < n; i++) {
		char *path = apr_pstrcat(pool, directory, "/", names[i], NULL);

		if (apr_stat(&info, path, APR_FINFO_TYPE, pool) != APR_SUCCESS)
			continue;
		if (info.filetype == APR_DIR && depth < MAX_DIRECTORY_DEPTH)
			read_directory_tree(c, path, pattern, depth + 1, pool);
		else if (info.filetype == APR_REG &&
			 apr_fnmatch(pattern, names[i], 0) == APR_SUCCESS)
			collection_add_file(c, path);
	}
	free(names);
}

/*
 * Reads all files below a directory whose name matches the pattern.  Every
 * one of them must be an account file or the fleet file, so that none is
 * left out unnoticed.  Returns the number of files read.
 */
int collection_add_directory(struct collection *c, const char *directory,
			     const char *pattern)
{
	size_t before = c->count;
	apr_pool_t *pool;

	apr_pool_create(&pool, NULL);
	read_directory_tree(c, directory, pattern, 0, pool);
	apr_pool_destroy(pool);
	return (int)(c->count - before);
}

static const json_t *find_fleet(struct collection *c)
{
	const struct source_file *first = NULL;
	size_t i;

	for (i = 0; i < c->count; i++) {
		const struct source_file *f = &c->files[i];

		if (f->kind != SOURCE_FLEET)
			continue;
		if (first)
			fault_add(&c->faults, f->name,
				  "fleet: \"%s\" is a fleet file already; "
				  "there may be one",
				  first->name);
		else
			first = f;
	}
	return first ? json_object_get(first->root, "fleet") : NULL;
}

/* Checks each document by itself, as a process does that loads it. */
static void documents_check(struct collection *c)
{
	struct fault_list faults = { 0 };
	size_t i;

	for (i = 0; i < c->count; i++) {
		struct source_file *f = &c->files[i];
		char *text;

		if (f->kind != SOURCE_DOCUMENT || f->has_faults)
			continue;
		text = json_dumps(f->root, JSON_COMPACT);
		if (text)
			document_unref(
				document_parse(text, strlen(text), &faults));
		free(text);
		faults_move(c, f->name, &faults);
	}
}

/* Runs the checks across all files read so far and adds the faults. */
void collection_check(struct collection *c)
{
	struct account_source *sources = calloc(c->count + 1, sizeof(*sources));
	const json_t *fleet = find_fleet(c);
	char **prefixes = calloc(c->count + 1, sizeof(*prefixes));
	size_t i, n = 0;

	if (!sources || !prefixes)
		abort();
	for (i = 0; i < c->count; i++) {
		const struct source_file *f = &c->files[i];
		size_t size = strlen(f->name) + 3;

		if (f->kind != SOURCE_ACCOUNT)
			continue;
		prefixes[n] = malloc(size);
		if (!prefixes[n])
			abort();
		snprintf(prefixes[n], size, "%s: ", f->name);
		sources[n].account = f->root;
		sources[n].prefix = prefixes[n];
		n++;
	}
	cross_check(fleet, VERSION_MANIFEST, sources, n, &c->faults);
	documents_check(c);
	for (i = 0; i < n; i++)
		free(prefixes[i]);
	free(prefixes);
	free(sources);
}

static int account_compare(const void *a, const void *b)
{
	const json_t *const *x = a, *const *y = b;

	return strcmp(schema_string(*x, "account", ""),
		      schema_string(*y, "account", ""));
}

/* Returns the accounts ordered by account name, not by file name. */
static json_t *accounts_json(struct collection *c)
{
	json_t **list = calloc(c->count + 1, sizeof(json_t *));
	json_t *out = json_array();
	size_t i, n = 0;

	if (!list)
		abort();
	for (i = 0; i < c->count; i++) {
		if (c->files[i].kind == SOURCE_ACCOUNT)
			list[n++] = c->files[i].root;
	}
	qsort(list, n, sizeof(json_t *), account_compare);
	for (i = 0; i < n; i++)
		json_array_append(out, list[i]);
	free(list);
	return out;
}

/*
 * Returns the document's text (free with free()), or NULL with a fault added
 * when it exceeds the platform's size limit.
 */
char *collection_build_document(struct collection *c, long long revision)
{
	const json_t *fleet = find_fleet(c);
	json_t *root = json_pack("{s:I,s:o}", "revision", (json_int_t)revision,
				 "accounts", accounts_json(c));
	char *text;

	if (fleet)
		json_object_set(root, "fleet", (json_t *)fleet);
	text = json_dumps(root, JSON_COMPACT | JSON_SORT_KEYS);
	json_decref(root);
	if (text && strlen(text) + 1 > COLLECT_DOCUMENT_MAX_BYTES) {
		fault_add(&c->faults, "document",
			  "%zu bytes are above the platform's cap of %d; "
			  "remove accounts, models or long lists",
			  strlen(text) + 1, COLLECT_DOCUMENT_MAX_BYTES);
		free(text);
		text = NULL;
	}
	return text;
}

/* Frees all files and faults and leaves the collection empty. */
void collection_clear(struct collection *c)
{
	size_t i;

	for (i = 0; i < c->count; i++) {
		free(c->files[i].name);
		json_decref(c->files[i].root);
	}
	free(c->files);
	fault_list_clear(&c->faults);
	memset(c, 0, sizeof(*c));
}
