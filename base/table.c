#include "base/table.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TABLE_INITIAL_CAPACITY 16

#ifdef LIMPET_DEBUG
static __thread uint32_t held_ranks; /* bit mask of the ranks locked */

/* Aborts if the calling thread holds a lock of this rank or higher. */
static void rank_acquire(const struct table *t)
{
	if (held_ranks >> t->rank) {
		fprintf(stderr,
			"lock order violation: table %s (rank %d) locked "
			"while holding rank mask %x; aborting\n",
			t->name, t->rank, held_ranks);
		abort();
	}
	held_ranks |= 1u << t->rank;
}

static void rank_release(const struct table *t)
{
	held_ranks &= ~(1u << t->rank);
}
#else
static void rank_acquire(const struct table *t)
{
	(void)t;
}

static void rank_release(const struct table *t)
{
	(void)t;
}
#endif

/*
 * Initializes an empty table.  limit is the maximum number of rows, or 0 for
 * no limit.  name is not copied and must outlive the table.
 */
void table_init(struct table *t, const char *name, enum table_rank rank,
		size_t row_size, uint32_t limit)
{
	memset(t, 0, sizeof(*t));
	t->name = name;
	t->rank = rank;
	t->row_size = row_size;
	t->limit = limit;
	pthread_mutex_init(&t->mutex, NULL);
}

/* Frees the table.  The caller frees the memory that rows point to. */
void table_destroy(struct table *t)
{
	free(t->generation);
	free(t->next_free);
	free(t->present);
	free(t->rows);
	pthread_mutex_destroy(&t->mutex);
	memset(t, 0, sizeof(*t));
}

/* Locks the table.  Debug builds also check the lock order. */
void table_lock(struct table *t)
{
	rank_acquire(t);
	pthread_mutex_lock(&t->mutex);
}

void table_unlock(struct table *t)
{
	pthread_mutex_unlock(&t->mutex);
	rank_release(t);
}

/* Grows an array from "from" to "to" elements and zeroes the new ones. */
static void *array_grow(void *old, size_t from, size_t to, size_t element_size)
{
	unsigned char *p = realloc(old, to * element_size);

	if (!p)
		abort();
	memset(p + from * element_size, 0, (to - from) * element_size);
	return p;
}

static void table_grow(struct table *t)
{
	uint32_t to = t->capacity ? t->capacity * 2 : TABLE_INITIAL_CAPACITY;

	t->generation = array_grow(t->generation, t->capacity, to,
				   sizeof(*t->generation));
	t->next_free = array_grow(t->next_free, t->capacity, to,
				  sizeof(*t->next_free));
	t->present =
		array_grow(t->present, t->capacity, to, sizeof(*t->present));
	t->rows = array_grow(t->rows, t->capacity, to, t->row_size);
	t->capacity = to;
}

/*
 * Copies row into a free slot and returns its handle, or HANDLE_NONE when
 * the table has reached its limit.  The table must be locked.
 */
struct handle table_add(struct table *t, const void *row)
{
	struct handle h;
	uint32_t slot;

	if (t->limit && t->count >= t->limit)
		return HANDLE_NONE;
	if (t->free_top) {
		slot = t->free_top - 1;
		t->free_top = t->next_free[slot];
	} else {
		if (t->used == t->capacity)
			table_grow(t);
		slot = t->used++;
	}
	t->present[slot] = 1;
	t->generation[slot]++;
	t->count++;
	memcpy(t->rows + slot * t->row_size, row, t->row_size);
	h.index = slot + 1;
	h.generation = t->generation[slot];
	return h;
}

/*
 * Returns the row of a handle, or NULL if it was removed.  The table must be
 * locked.
 */
void *table_get(struct table *t, struct handle h)
{
	uint32_t slot = h.index - 1;

	if (!h.index || slot >= t->used || !t->present[slot] ||
	    t->generation[slot] != h.generation)
		return NULL;
	return t->rows + slot * t->row_size;
}

/*
 * Removes the row of a handle.  Returns -1 if there is none.  The table must
 * be locked.
 */
int table_remove(struct table *t, struct handle h)
{
	uint32_t slot = h.index - 1;

	if (!table_get(t, h))
		return -1;
	t->present[slot] = 0;
	t->next_free[slot] = t->free_top;
	t->free_top = slot + 1;
	t->count--;
	return 0;
}

/*
 * Iterates over the rows: set *cursor to HANDLE_NONE before the first call;
 * returns NULL after the last row.  The row just returned may be removed
 * during the iteration.  The table must be locked.
 */
void *table_next(struct table *t, struct handle *cursor)
{
	uint32_t slot = cursor->index; /* one past the last slot visited */

	for (; slot < t->used; slot++) {
		if (!t->present[slot])
			continue;
		cursor->index = slot + 1;
		cursor->generation = t->generation[slot];
		return t->rows + slot * t->row_size;
	}
	return NULL;
}
