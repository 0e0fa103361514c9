#include "weights/manifest.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "base/schema.h"

#define STEP_PARSE "manifest-parse"
#define STEP_MAKE "manifest-make"

static const struct schema_field manifest_fields[] = {
	{ "model", SCHEMA_STRING, SCHEMA_REQUIRED | SCHEMA_NAME, 1,
	  MANIFEST_NAME_SIZE - 1 },
	{ "version", SCHEMA_STRING, SCHEMA_REQUIRED | SCHEMA_NAME, 1,
	  MANIFEST_NAME_SIZE - 1 },
	{ "source", SCHEMA_STRING, SCHEMA_REQUIRED | SCHEMA_NAME, 1,
	  MANIFEST_SOURCE_SIZE - 1 },
	{ "size", SCHEMA_INTEGER, SCHEMA_REQUIRED, 1, 1e15, "bytes" },
	{ "chunk_size", SCHEMA_INTEGER, SCHEMA_REQUIRED, MANIFEST_CHUNK_MIN,
	  MANIFEST_CHUNK_MAX, "bytes" },
	{ "chunks", SCHEMA_STRINGS, SCHEMA_REQUIRED, 1, MANIFEST_CHUNKS_MAX },
	SCHEMA_END
};

/* Frees a manifest. NULL is allowed. */
void manifest_free(struct manifest *m)
{
	if (!m)
		return;
	free(m->chunks);
	free(m->text);
	free(m);
}

/*
 * Returns the length of a chunk in bytes. Only the last chunk may be shorter
 * than chunk_size.
 */
uint32_t manifest_chunk_length(const struct manifest *m, uint32_t chunk)
{
	uint64_t start = (uint64_t)chunk * m->chunk_size;

	if (m->size - start < m->chunk_size)
		return (uint32_t)(m->size - start);
	return m->chunk_size;
}

static int parse_chunk_digests(struct manifest *m, const json_t *chunks)
{
	uint64_t count = (m->size + m->chunk_size - 1) / m->chunk_size;
	size_t i;

	if (json_array_size(chunks) != count)
		return -1;
	m->chunk_count = (uint32_t)count;
	m->chunks = calloc(count, sizeof(*m->chunks));
	if (!m->chunks)
		abort();
	for (i = 0; i < count; i++)
		if (digest_parse(json_string_value(json_array_get(chunks, i)),
				 &m->chunks[i]))
			return -1;
	return 0;
}

static int parse_fields(struct manifest *m, const json_t *o)
{
	snprintf(m->model, sizeof(m->model), "%s",
		 schema_string(o, "model", ""));
	snprintf(m->version, sizeof(m->version), "%s",
		 schema_string(o, "version", ""));
	snprintf(m->source, sizeof(m->source), "%s",
		 schema_string(o, "source", ""));
	m->size = (uint64_t)schema_integer(o, "size", 0);
	m->chunk_size = (uint32_t)schema_integer(o, "chunk_size", 0);
	return parse_chunk_digests(m, json_object_get(o, "chunks"));
}

/*
 * Parses a manifest and, when want is given, checks that the digest of its
 * bytes is want. Returns NULL with *err set on any error.
 */
struct manifest *manifest_parse(const char *text, size_t size,
				const struct digest *want, struct error *err)
{
	struct manifest *m = calloc(1, sizeof(*m));
	struct fault_list faults = { 0 };
	json_t *o = NULL;

	if (!m)
		abort();
	digest_of(text, size, &m->id);
	if (want && !digest_equal(&m->id, want)) {
		error_set(err, ERROR_CORRUPT, STEP_PARSE, NULL,
			  "manifest of %zu bytes does not match the digest "
			  "of the version; rejected",
			  size);
		goto fail;
	}
	if (size > MANIFEST_SIZE_MAX ||
	    !(o = json_loadb(text, size, JSON_REJECT_DUPLICATES, NULL))) {
		error_set(err, ERROR_INVALID, STEP_PARSE, NULL,
			  "manifest is not valid JSON, or exceeds the size "
			  "limit");
		goto fail;
	}
	if (schema_check(manifest_fields, o, "", &faults)) {
		error_set(err, ERROR_INVALID, STEP_PARSE, NULL, "%s",
			  faults.lines[0]);
		goto fail;
	}
	if (parse_fields(m, o)) {
		error_set(err, ERROR_INVALID, STEP_PARSE, NULL,
			  "chunk list does not match the size, or holds an "
			  "invalid digest");
		goto fail;
	}
	m->text = malloc(size + 1);
	if (!m->text)
		abort();
	memcpy(m->text, text, size);
	m->text[size] = '\0';
	m->text_size = size;
	json_decref(o);
	return m;
fail:
	fault_list_clear(&faults);
	json_decref(o);
	manifest_free(m);
	return NULL;
}

/*
 * Reads a file chunk by chunk and appends each digest to an array. Returns the
 * size of the file in *size.
 */
static int read_chunk_digests(FILE *fp, uint32_t chunk_size, json_t *chunks,
			      uint64_t *size, struct error *err)
{
	char *buf = malloc(chunk_size);
	char hex[DIGEST_HEX_SIZE];
	struct digest d;
	size_t n;
	int ret = 0;

	if (!buf)
		abort();
	*size = 0;
	while ((n = fread(buf, 1, chunk_size, fp))) {
		digest_of(buf, n, &d);
		digest_hex(&d, hex);
		json_array_append_new(chunks, json_string(hex));
		*size += n;
	}
	if (ferror(fp))
		ret = error_set(err, ERROR_INTERNAL, STEP_MAKE, NULL,
				"cannot read the model file: %m");
	else if (!*size)
		ret = error_set(err, ERROR_INVALID, STEP_MAKE, NULL,
				"the file is empty");
	else if (json_array_size(chunks) > MANIFEST_CHUNKS_MAX)
		ret = error_set(err, ERROR_INVALID, STEP_MAKE, NULL,
				"model file has more than %d chunks; use a "
				"larger chunk size",
				MANIFEST_CHUNKS_MAX);
	free(buf);
	return ret;
}

/*
 * Creates the manifest of a model file that is split into chunks of chunk_size
 * bytes. Returns the JSON, which the caller frees, or NULL with *err set.
 */
char *manifest_create(FILE *fp, const char *source, const char *model,
		      const char *version, uint32_t chunk_size,
		      struct error *err)
{
	struct manifest *check = NULL;
	json_t *chunks = json_array();
	json_t *o = NULL;
	char *text = NULL;
	uint64_t size;

	if (read_chunk_digests(fp, chunk_size, chunks, &size, err))
		goto out;
	o = json_pack("{s:s,s:s,s:s,s:I,s:I,s:O}", "model", model, "version",
		      version, "source", source, "size", (json_int_t)size,
		      "chunk_size", (json_int_t)chunk_size, "chunks", chunks);
	text = o ? json_dumps(o, JSON_COMPACT) : NULL;
	if (!text) {
		error_set(err, ERROR_INVALID, STEP_MAKE, NULL,
			  "model, version or source name is not valid "
			  "UTF-8");
		goto out;
	}
	check = manifest_parse(text, strlen(text), NULL, err);
	if (!check) {
		free(text);
		text = NULL;
	}
	manifest_free(check);
out:
	json_decref(o);
	json_decref(chunks);
	return text;
}
