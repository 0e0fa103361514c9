#include <pthread.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>
#include <jansson.h>
#include <openssl/evp.h>
#include <openssl/sha.h>

#include "t/standin/lib-blob.h"

#define BUCKETS 4096
#define CACHE_KEY_LEN 33

static struct {
	pthread_mutex_t lock; /* protects the table and all reference counts */
	struct blob *buckets[BUCKETS];
	/* Held while a list is hashed, so that it is hashed only once. */
	pthread_mutex_t digest_lock;
	json_t *digests; /* SHA-256 by cache key of a list of blobs */
} blobs = { .lock = PTHREAD_MUTEX_INITIALIZER,
	    .digest_lock = PTHREAD_MUTEX_INITIALIZER };

/* Returns the hash table bucket for a hash. */
static struct blob **blob_bucket(XXH128_hash_t hash)
{
	return &blobs.buckets[hash.low64 % BUCKETS];
}

/*
 * Returns a reference to the blob with the given contents, creating it if
 * needed; NULL if out of memory.  Takes ownership of data.
 */
struct blob *blob_get(char *data, size_t len)
{
	XXH128_hash_t hash = XXH3_128bits(data, len);
	struct blob **bucket = blob_bucket(hash);
	struct blob *blob;

	pthread_mutex_lock(&blobs.lock);
	for (blob = *bucket; blob; blob = blob->next)
		if (blob->len == len && XXH128_isEqual(blob->hash, hash))
			break;
	if (blob) {
		free(data);
		blob->refs++;
	} else if ((blob = calloc(1, sizeof(*blob)))) {
		blob->hash = hash;
		blob->refs = 1;
		blob->data = data;
		blob->len = len;
		blob->next = *bucket;
		*bucket = blob;
	} else {
		free(data);
	}
	pthread_mutex_unlock(&blobs.lock);
	return blob;
}

struct blob *blob_ref(struct blob *blob)
{
	pthread_mutex_lock(&blobs.lock);
	blob->refs++;
	pthread_mutex_unlock(&blobs.lock);
	return blob;
}

/* Drops a reference and frees the blob if it was the last one. */
void blob_put(void *arg)
{
	struct blob *blob = arg;
	struct blob **link;
	bool last;

	pthread_mutex_lock(&blobs.lock);
	last = !--blob->refs;
	if (last) {
		link = blob_bucket(blob->hash);
		while (*link != blob)
			link = &(*link)->next;
		*link = blob->next;
	}
	pthread_mutex_unlock(&blobs.lock);
	if (last) {
		free(blob->data);
		free(blob);
	}
}

/* Formats n bytes as lower-case hex with a terminating NUL. */
static void hex_format(const unsigned char *raw, size_t n, char *out)
{
	static const char digits[] = "0123456789abcdef";
	size_t i;

	for (i = 0; i < n; i++) {
		out[2 * i] = digits[raw[i] >> 4];
		out[2 * i + 1] = digits[raw[i] & 15];
	}
	out[2 * n] = '\0';
}

/* Formats the SHA-256 of a buffer as lower-case hex. */
void blob_sha256_hex(const char *data, size_t len, char *out)
{
	unsigned char raw[SHA256_DIGEST_LENGTH];

	SHA256((const unsigned char *)data, len, raw);
	hex_format(raw, sizeof(raw), out);
}

/* Computes the SHA-256 of the concatenated contents of a list of blobs. */
static int list_sha256(struct blob **list, size_t n, char *out)
{
	unsigned char raw[SHA256_DIGEST_LENGTH];
	EVP_MD_CTX *ctx = EVP_MD_CTX_new();
	int ret = -1;
	size_t i;

	if (!ctx || !EVP_DigestInit_ex(ctx, EVP_sha256(), NULL))
		goto out;
	for (i = 0; i < n; i++)
		if (!EVP_DigestUpdate(ctx, list[i]->data, list[i]->len))
			goto out;
	if (!EVP_DigestFinal_ex(ctx, raw, NULL))
		goto out;
	hex_format(raw, sizeof(raw), out);
	ret = 0;
out:
	EVP_MD_CTX_free(ctx);
	return ret;
}

/* Derives the digest cache key of a list of blobs from their XXH3 hashes. */
static void list_cache_key(struct blob **list, size_t n, char *out)
{
	XXH3_state_t *state = XXH3_createState();
	XXH128_canonical_t canonical;
	XXH128_hash_t hash;
	size_t i;

	XXH3_128bits_reset(state);
	for (i = 0; i < n; i++)
		XXH3_128bits_update(state, &list[i]->hash,
				    sizeof(list[i]->hash));
	hash = XXH3_128bits_digest(state);
	XXH3_freeState(state);
	XXH128_canonicalFromHash(&canonical, hash);
	hex_format(canonical.digest, sizeof(canonical.digest), out);
}

/*
 * Formats the SHA-256 of the concatenated contents of a list of blobs.  The
 * result is cached, so that a list is hashed once for all engines.
 */
int blob_list_digest(struct blob **list, size_t n, char *out)
{
	char name[CACHE_KEY_LEN];
	const char *cached;
	int ret = 0;

	list_cache_key(list, n, name);
	pthread_mutex_lock(&blobs.digest_lock);
	if (!blobs.digests)
		blobs.digests = json_object();
	cached = json_string_value(json_object_get(blobs.digests, name));
	if (cached) {
		memcpy(out, cached, BLOB_HEX_LEN + 1);
	} else {
		ret = list_sha256(list, n, out);
		if (!ret)
			json_object_set_new(blobs.digests, name,
					    json_string(out));
	}
	pthread_mutex_unlock(&blobs.digest_lock);
	return ret;
}
