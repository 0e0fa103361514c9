#ifndef FORWARD_RELEASE_H
#define FORWARD_RELEASE_H

#include <apr_time.h>
#include <stdint.h>

#include "config/document.h"

/*
 * Which releases of a model may still take requests.  From some time after a
 * release was declared all older ones are out; until then upstreams change
 * in turn.  Several may be declared within that time.
 */

#define RELEASE_MODELS_MAX 32
#define RELEASE_CHANGES_MAX 8 /* declared and not yet alone, of one model */

/* A request may wait on its way and in an upstream before it begins to run. */
#define RELEASE_MARGIN_MS 1200

/* A process that has just started can't know how old a release is. */
#define RELEASE_STARTUP_GRACE_MAX_MS 2500

struct release_change {
	uint64_t release;
	apr_time_t required_at; /* from when on older ones are out */
};

struct release_row {
	char model[DOCUMENT_NAME_SIZE];
	struct release_change changes[RELEASE_CHANGES_MAX]; /* oldest first */
	int count;
};

struct releases {
	struct release_row rows[RELEASE_MODELS_MAX];
	int count;
	int has_document; /* a document was seen */
};

void releases_apply_document(struct releases *r, const struct document *d,
			     int release_ms, apr_time_t now);
uint64_t release_find_min(const struct releases *r, const char *model,
			  apr_time_t now);

#endif
