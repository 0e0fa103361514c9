#include "weights/blob.h"

#include <stdlib.h>
#include <string.h>

/* Returns a blob of size bytes with one reference. */
struct blob *blob_new(size_t size)
{
	struct blob *b = malloc(sizeof(*b) + size);

	if (!b)
		abort();
	memset(b, 0, sizeof(*b));
	b->size = size;
	b->refs = 1;
	return b;
}

/* Adds a reference. */
struct blob *blob_acquire(struct blob *b)
{
	__atomic_fetch_add(&b->refs, 1, __ATOMIC_RELAXED);
	return b;
}

/* Drops a reference; NULL is allowed. */
void blob_release(struct blob *b)
{
	if (b && __atomic_sub_fetch(&b->refs, 1, __ATOMIC_ACQ_REL) == 0)
		free(b);
}

/* Prepares an empty cache that holds up to limit bytes. */
void blob_cache_init(struct blob_cache *c, size_t limit)
{
	memset(c, 0, sizeof(*c));
	pthread_mutex_init(&c->mutex, NULL);
	c->limit_bytes = limit;
}

static void slot_clear(struct blob_cache *c, int i)
{
	if (!c->slots[i])
		return;
	c->bytes -= c->slots[i]->size;
	blob_release(c->slots[i]);
	c->slots[i] = NULL;
}

/* Releases all blobs of the cache. */
void blob_cache_destroy(struct blob_cache *c)
{
	int i;

	for (i = 0; i < BLOB_CACHE_SLOTS; i++)
		slot_clear(c, i);
	pthread_mutex_destroy(&c->mutex);
}

/* Adds a blob and takes a reference; evicts the oldest ones for room. */
void blob_cache_add(struct blob_cache *c, struct blob *b)
{
	int i;

	pthread_mutex_lock(&c->mutex);
	slot_clear(c, c->next_slot);
	for (i = 1; i < BLOB_CACHE_SLOTS && c->bytes + b->size > c->limit_bytes;
	     i++)
		slot_clear(c, (c->next_slot + i) % BLOB_CACHE_SLOTS);
	c->slots[c->next_slot] = blob_acquire(b);
	c->bytes += b->size;
	c->next_slot = (c->next_slot + 1) % BLOB_CACHE_SLOTS;
	pthread_mutex_unlock(&c->mutex);
}

/* Returns a new reference to the blob with a digest, or NULL. */
struct blob *blob_cache_find(struct blob_cache *c, const struct digest *d)
{
	struct blob *found = NULL;
	int i;

	pthread_mutex_lock(&c->mutex);
	for (i = 0; i < BLOB_CACHE_SLOTS && !found; i++)
		if (c->slots[i] && digest_equal(&c->slots[i]->digest, d))
			found = blob_acquire(c->slots[i]);
	pthread_mutex_unlock(&c->mutex);
	return found;
}

/* Removes the blob with a digest, if it is cached. */
void blob_cache_remove(struct blob_cache *c, const struct digest *d)
{
	int i;

	pthread_mutex_lock(&c->mutex);
	for (i = 0; i < BLOB_CACHE_SLOTS; i++)
		if (c->slots[i] && digest_equal(&c->slots[i]->digest, d))
			slot_clear(c, i);
	pthread_mutex_unlock(&c->mutex);
}
