#include "base/table.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TABLE_FIRST_CAPACITY 16

#ifdef LIMPET_DEBUG
static __thread uint32_t held_ranks; /* one bit for each rank held */

/* Aborts when the calling thread holds a lock of this rank or above. */
static void rank_check(const struct table *t)
{
	if (held_ranks >> t->rank) {
		fprintf(stderr, "lock order: %s (rank %d) taken under %x\n",
			t->name, t->rank, held_ranks);
		abort();
	}
	held_ranks |= 1u << t->rank;
}

static void rank_drop(const struct table *t)
{
	held_ranks &= ~(1u << t->rank);
}
#else
static void rank_check(const struct table *t)
{
	(void)t;
}

static void rank_drop(const struct table *t)
{
	(void)t;
}
#endif

/*
 * Prepares an empty table.  limit is the most rows it may ever hold; 0
 * means no limit.  name is kept by reference.
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

/* Frees all rows.  Memory that rows point to is the owner's to free. */
void table_destroy(struct table *t)
{
	free(t->generation);
	free(t->next_free);
	free(t->present);
	free(t->rows);
	pthread_mutex_destroy(&t->mutex);
	memset(t, 0, sizeof(*t));
}

/* Locks the table; in debug builds also checks the lock order. */
void table_lock(struct table *t)
{
	rank_check(t);
	pthread_mutex_lock(&t->mutex);
}

/* Unlocks the table. */
void table_unlock(struct table *t)
{
	pthread_mutex_unlock(&t->mutex);
	rank_drop(t);
}

static void *grow(void *old, size_t from, size_t to, size_t each)
{
	unsigned char *p = realloc(old, to * each);

	if (!p)
		abort();
	memset(p + from * each, 0, (to - from) * each);
	return p;
}

static void table_grow(struct table *t)
{
	uint32_t to = t->capacity ? t->capacity * 2 : TABLE_FIRST_CAPACITY;

	t->generation =
		grow(t->generation, t->capacity, to, sizeof(*t->generation));
	t->next_free =
		grow(t->next_free, t->capacity, to, sizeof(*t->next_free));
	t->present = grow(t->present, t->capacity, to, sizeof(*t->present));
	t->rows = grow(t->rows, t->capacity, to, t->row_size);
	t->capacity = to;
}

/*
 * Copies row into a free slot and returns its handle, or HANDLE_NONE when
 * the table is at its limit.  The table must be locked.
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

/* Returns the row of a handle, or NULL if it was removed.  Locked. */
void *table_get(struct table *t, struct handle h)
{
	uint32_t slot = h.index - 1;

	if (!h.index || slot >= t->used || !t->present[slot] ||
	    t->generation[slot] != h.generation)
		return NULL;
	return t->rows + slot * t->row_size;
}

/* Removes the row of a handle.  Returns -1 if there is none.  Locked. */
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
 * Steps through the rows: start with *cursor = HANDLE_NONE, end on NULL.
 * The row just returned may be removed.  Locked.
 */
void *table_next(struct table *t, struct handle *cursor)
{
	uint32_t slot = cursor->index; /* the slot after the last one */

	for (; slot < t->used; slot++) {
		if (!t->present[slot])
			continue;
		cursor->index = slot + 1;
		cursor->generation = t->generation[slot];
		return t->rows + slot * t->row_size;
	}
	return NULL;
}
