#include "forward/listing-memory.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * Time from the first list of an epoch in which entries that are older than
 * known here are held back; upstreams write again within about two seconds.
 */
#define OLD_ENTRIES_MAX_US (10 * APR_USEC_PER_SEC)
/* Time for which an upstream that has left is remembered. */
#define GONE_KEPT_US (60 * APR_USEC_PER_SEC)

static struct known_upstream *find_row(struct listing_memory *m, const char *id)
{
	int i;

	for (i = 0; i < m->count; i++)
		if (!strcmp(m->rows[i].id, id))
			return &m->rows[i];
	return NULL;
}

static void remove_expired_rows(struct listing_memory *m, apr_time_t now)
{
	int i, kept = 0;

	for (i = 0; i < m->count; i++)
		if (!m->rows[i].gone_at ||
		    now - m->rows[i].gone_at < GONE_KEPT_US)
			m->rows[kept++] = m->rows[i];
	m->count = kept;
}

static struct known_upstream *add_row(struct listing_memory *m, const char *id)
{
	struct known_upstream *k;

	if (!m->rows)
		m->rows = calloc(LISTING_MEMORY_MAX, sizeof(*m->rows));
	if (!m->rows)
		abort();
	if (m->count == LISTING_MEMORY_MAX)
		return NULL;
	k = &m->rows[m->count++];
	memset(k, 0, sizeof(*k));
	snprintf(k->id, sizeof(k->id), "%s", id);
	return k;
}

/*
 * Returns 1 for an entry of the store's copy: the same process wrote a later
 * one, or left after this one.
 */
static int is_old_entry(const struct known_upstream *k,
			const struct listed_upstream *u)
{
	if (k->started_ms != u->started_ms)
		return u->started_ms < k->started_ms;
	return u->sequence < k->sequence ||
	       (k->gone_at && u->sequence == k->sequence);
}

static void record_entry(struct listing_memory *m, struct known_upstream *k,
			 const struct listed_upstream *u)
{
	if (!k)
		k = add_row(m, u->id);
	if (!k)
		return;
	k->started_ms = u->started_ms;
	k->sequence = u->sequence;
	k->is_draining = u->is_draining;
	k->gone_at = 0;
}

/* Sets gone_at of the rows that the list no longer has. */
static void record_gone(struct listing_memory *m, const struct listing *l,
			apr_time_t now)
{
	int i;

	for (i = 0; i < m->count; i++)
		if (!m->rows[i].gone_at && !listing_find(l, m->rows[i].id))
			m->rows[i].gone_at = now;
}

/*
 * Corrects a list before it comes into force, and remembers its entries. In the
 * first seconds of an epoch, entries older than known here are dropped if the
 * upstream has left, and marked as draining if it was.
 */
void listing_memory_apply(struct listing_memory *m, struct listing *l,
			  apr_time_t now)
{
	int i, kept = 0, is_copy_recent;

	if (l->epoch > m->epoch && m->count)
		m->epoch_began_at = now;
	if (l->epoch > m->epoch)
		m->epoch = l->epoch;
	is_copy_recent = m->epoch_began_at &&
			 now - m->epoch_began_at < OLD_ENTRIES_MAX_US;
	remove_expired_rows(m, now);
	for (i = 0; i < l->count; i++) {
		struct listed_upstream *u = &l->items[i];
		struct known_upstream *k = find_row(m, u->id);

		if (!k || !is_copy_recent || !is_old_entry(k, u))
			record_entry(m, k, u);
		else if (k->gone_at)
			continue;
		else
			u->is_draining |= k->is_draining;
		if (kept != i)
			l->items[kept] = *u;
		kept++;
	}
	l->count = kept;
	record_gone(m, l, now);
}

/* Frees the rows. */
void listing_memory_destroy(struct listing_memory *m)
{
	free(m->rows);
	memset(m, 0, sizeof(*m));
}
