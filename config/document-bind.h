#ifndef CONFIG_DOCUMENT_BIND_H
#define CONFIG_DOCUMENT_BIND_H

#include <jansson.h>

#include "config/document.h"

/*
 * Fills a zeroed document from validated JSON and sets defaults for missing
 * fields.  document_free_specs frees what was filled in.
 */
void document_bind(struct document *d, const json_t *root);
void document_free_specs(struct document *d);

#endif
