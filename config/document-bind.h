#ifndef CONFIG_DOCUMENT_BIND_H
#define CONFIG_DOCUMENT_BIND_H

#include <jansson.h>

#include "config/document.h"

/* Fills a zeroed document from checked JSON, with defaults; frees it. */
void document_bind(struct document *d, const json_t *root);
void document_free_specs(struct document *d);

#endif
