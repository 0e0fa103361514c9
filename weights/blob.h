#ifndef WEIGHTS_BLOB_H
#define WEIGHTS_BLOB_H

#include <pthread.h>
#include <stddef.h>

#include "base/digest.h"

/*
 * Reference-counted chunks in the memory of the process, and a bounded cache
 * of the latest ones. The cache serves neighbours that request a chunk just
 * received, without reading it back from the engine.
 */

struct blob {
	struct digest digest;
	size_t size;
	int refs; /* atomic */
	char data[];
};

#define BLOB_CACHE_SLOTS 256

struct blob_cache {
	pthread_mutex_t mutex; /* no other lock is taken under it */
	struct blob *slots[BLOB_CACHE_SLOTS];
	int next_slot; /* slot of the next blob; the oldest is after it */
	size_t bytes;
	size_t limit_bytes; /* bytes */
};

struct blob *blob_new(size_t size);
struct blob *blob_acquire(struct blob *b);
void blob_release(struct blob *b);

void blob_cache_init(struct blob_cache *c, size_t limit);
void blob_cache_destroy(struct blob_cache *c);
void blob_cache_add(struct blob_cache *c, struct blob *b);
struct blob *blob_cache_find(struct blob_cache *c, const struct digest *d);
void blob_cache_remove(struct blob_cache *c, const struct digest *d);

#endif
