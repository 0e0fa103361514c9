#ifndef CONFIG_PACK_H
#define CONFIG_PACK_H

#include <stddef.h>

/*
 * Compression of the texts sent between processes: documents with many
 * routes are repetitive, and some machines have slow links.  Both functions
 * return a buffer from malloc, or NULL on failure.
 */

char *pack_deflate(const char *text, size_t size, size_t *packed);
char *pack_inflate(const char *data, size_t size, size_t unpacked);

#endif
