#ifndef CONFIG_COLLECT_H
#define CONFIG_COLLECT_H

#include <jansson.h>

#include "base/schema.h"
#include "base/settings.h"

/*
 * Reads account files and the fleet file, checks them together and builds
 * the document from them: the same input gives the same bytes.
 */

#define COLLECT_FILE_MAX_BYTES (1024 * 1024) /* of one input file */
/* What the platform accepts. */
#define COLLECT_DOCUMENT_MAX_BYTES SETTINGS_VALUE_BYTES

enum source_kind {
	SOURCE_ACCOUNT = 1, /* has "account" */
	SOURCE_FLEET,	    /* has "fleet" */
	SOURCE_DOCUMENT	    /* has "revision" */
};

/* One file that was read. */
struct source_file {
	char *name;
	enum source_kind kind;
	json_t *root;
	int has_faults; /* failed the schema check */
};

struct collection {
	struct source_file *files; /* in the order of reading */
	size_t count;
	size_t capacity;
	struct fault_list faults; /* "FILE: PATH: fault and remedy" */
};

void collection_add_file(struct collection *c, const char *name);
int collection_add_directory(struct collection *c, const char *directory,
			     const char *pattern);
void collection_check(struct collection *c);
char *collection_build_document(struct collection *c, long long revision);
void collection_clear(struct collection *c);

#endif
