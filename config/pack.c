#include "config/pack.h"

#include <stdlib.h>
#include <zlib.h>

/*
 * The fastest level: a compressed text is sent only once, and the link is
 * slower than the processor.
 */
#define DEFLATE_LEVEL 1

/* See pack.h. */
char *pack_deflate(const char *text, size_t size, size_t *packed)
{
	uLongf n = compressBound(size);
	char *out = malloc(n ? n : 1);

	if (!out)
		return NULL;
	if (compress2((Bytef *)out, &n, (const Bytef *)text, size,
		      DEFLATE_LEVEL) != Z_OK) {
		free(out);
		return NULL;
	}
	*packed = n;
	return out;
}

/* See pack.h.  Fails unless the inflated size is exactly unpacked. */
char *pack_inflate(const char *data, size_t size, size_t unpacked)
{
	uLongf n = unpacked;
	char *out = malloc(unpacked + 1);

	if (!out)
		return NULL;
	if (uncompress((Bytef *)out, &n, (const Bytef *)data, size) != Z_OK ||
	    n != unpacked) {
		free(out);
		return NULL;
	}
	out[unpacked] = '\0';
	return out;
}
