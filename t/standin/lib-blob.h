/*
 * Reference-counted, deduplicated chunk storage shared by all engines of a
 * process.  Chunks are identified by a hash of their contents, not by the
 * digest the client gave, which may be wrong.
 */
#ifndef STANDIN_LIB_BLOB_H
#define STANDIN_LIB_BLOB_H

#include <stddef.h>
#include <xxhash.h>

#define BLOB_HEX_LEN 64

struct blob {
	struct blob *next;
	XXH128_hash_t hash;
	int refs;
	char *data;
	size_t len;
};

struct blob *blob_get(char *data, size_t len);
struct blob *blob_ref(struct blob *blob);
void blob_put(void *blob);

/* SHA-256 in lower-case hex, with a terminating NUL. */
void blob_sha256_hex(const char *data, size_t len, char *out);
int blob_list_digest(struct blob **list, size_t n, char *out);

#endif
