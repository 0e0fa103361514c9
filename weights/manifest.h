#ifndef WEIGHTS_MANIFEST_H
#define WEIGHTS_MANIFEST_H

#include <stdint.h>
#include <stdio.h>

#include "base/digest.h"
#include "base/error.h"

/*
 * A manifest lists the chunks of one version of a model with the SHA-256 of
 * each. The SHA-256 of the manifest's own bytes identifies the version, so two
 * manifests with the same ID list the same chunks.
 */

#define MANIFEST_SIZE_MAX (4 * 1024 * 1024)  /* bytes of JSON */
#define MANIFEST_CHUNK_MIN 4096		     /* bytes */
#define MANIFEST_CHUNK_MAX (4 * 1024 * 1024) /* bytes */
#define MANIFEST_CHUNKS_MAX 60000
#define MANIFEST_NAME_SIZE 64
#define MANIFEST_SOURCE_SIZE 256

struct manifest {
	struct digest id; /* SHA-256 of text */
	char model[MANIFEST_NAME_SIZE];
	/* name that the publisher gave to the version */
	char version[MANIFEST_NAME_SIZE];
	char source[MANIFEST_SOURCE_SIZE];
	uint64_t size;
	uint32_t chunk_size;
	uint32_t chunk_count;
	struct digest *chunks;
	char *text;
	size_t text_size;
};

struct manifest *manifest_parse(const char *text, size_t size,
				const struct digest *want, struct error *err);
void manifest_free(struct manifest *m);
uint32_t manifest_chunk_length(const struct manifest *m, uint32_t chunk);
char *manifest_create(FILE *fp, const char *source, const char *model,
		      const char *version, uint32_t chunk_size,
		      struct error *err);

#endif
