#ifndef BASE_TABLE_H
#define BASE_TABLE_H

#include <pthread.h>
#include <stddef.h>
#include <stdint.h>

/*
 * A table of fixed-size rows addressed by handles.  A handle consists of
 * a slot and its generation, so that looking up the handle of a removed row
 * fails instead of returning a later row in the same slot.
 *
 * Each table has a mutex and a rank.  A thread must lock tables in increasing
 * order of rank; builds with LIMPET_DEBUG abort on a violation.  A row pointer
 * is valid only while the table is locked, and until the next table_add().
 */

/* Lock ranks in locking order.  See docs/architecture.md. */
enum table_rank {
	RANK_CONFIG = 1,
	RANK_MEMBER,
	RANK_MODEL,
	RANK_CHUNK,
	RANK_UPSTREAM,
	RANK_ACCOUNT,
	RANK_TICKET,
	RANK_CALL,
	RANK_CRASH,
	RANK_METRIC,
	RANK_MAX
};

struct handle {
	uint32_t index;	     /* slot number plus one, 0 for "no row" */
	uint32_t generation; /* of the slot when the row was added */
};

#define HANDLE_NONE ((struct handle){ 0, 0 })

struct table {
	const char *name;
	enum table_rank rank;
	size_t row_size;
	uint32_t used;	   /* slots used at least once */
	uint32_t capacity; /* slots allocated */
	uint32_t limit;	   /* maximum number of rows, 0 for no limit */
	uint32_t count;	   /* rows present */
	uint32_t free_top; /* head of the free list: slot plus one, or 0 */
	uint32_t *generation;
	uint32_t *next_free;
	unsigned char *present;
	unsigned char *rows;
	pthread_mutex_t mutex;
};

void table_init(struct table *t, const char *name, enum table_rank rank,
		size_t row_size, uint32_t limit);
void table_destroy(struct table *t);
void table_lock(struct table *t);
void table_unlock(struct table *t);

struct handle table_add(struct table *t, const void *row);
void *table_get(struct table *t, struct handle h);
int table_remove(struct table *t, struct handle h);
void *table_next(struct table *t, struct handle *cursor);

static inline int handle_is_none(struct handle h)
{
	return !h.index;
}

static inline int handle_equal(struct handle a, struct handle b)
{
	return a.index == b.index && a.generation == b.generation;
}

#endif
