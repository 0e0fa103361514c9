#include "config/overlay.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/digest.h"

#define WATCH_SEED 0x77617463ull
#define RING_SEED 0x72696e67ull

/* Computes watch_score and ring_score from the id and the role. */
void overlay_compute_scores(struct overlay_member *m)
{
	m->watch_score = place_hash_string(m->id, WATCH_SEED) >> 1;
	m->ring_score = place_hash_string(m->id, RING_SEED) >> 1;
	if (!m->is_entry) {
		m->watch_score |= 1ull << 63;
		m->ring_score |= 1ull << 63;
	}
}

/* Orders by data centre, then by position on the ring. */
static int compare_ring(const void *a, const void *b)
{
	const struct overlay_member *x = a, *y = b;
	int c = strcmp(x->data_center, y->data_center);

	if (c)
		return c;
	if (x->ring_score != y->ring_score)
		return x->ring_score < y->ring_score ? -1 : 1;
	return strcmp(x->id, y->id);
}

static int has_lower_watch_rank(const struct overlay_member *a,
				const struct overlay_member *b)
{
	if (a->watch_score != b->watch_score)
		return a->watch_score < b->watch_score;
	return strcmp(a->id, b->id) < 0;
}

static void copy_address(char *to, const struct overlay_member *m)
{
	memcpy(to, m->address, SETTINGS_ADDRESS_SIZE);
}

/* Returns the number of members of ring with a lower watch rank. */
static int compute_watch_rank(const struct overlay_member *ring, int n,
			      const struct overlay_member *self)
{
	int i, rank = 0;

	for (i = 0; i < n; i++)
		rank += has_lower_watch_rank(&ring[i], self);
	return rank;
}

/*
 * Chooses the neighbours at the distances 1, b and b^2 on the ring, where b
 * is the least number with b^3 >= n.  Every member can then be reached from
 * every other over at most 3 (b - 1) hops, and each member is the neighbour
 * of as many members as it has neighbours.
 */
static void choose_neighbors(struct overlay *o,
			     const struct overlay_member *ring, int n, int at)
{
	int base = 2, distance = 1, i;

	while (base * base * base < n)
		base++;
	for (i = 0; i < OVERLAY_DEGREE && distance < n; i++) {
		copy_address(o->neighbors[o->neighbor_count++],
			     &ring[(at + distance) % n]);
		distance *= base;
	}
	for (i = 1; i <= 2 && i < n; i++)
		copy_address(o->successors[o->successor_count++],
			     &ring[(at + i) % n]);
}

/*
 * Returns the one of the members of a data centre that has the given watch rank,
 * or NULL.
 */
const struct overlay_member *
overlay_find_rank(const struct overlay_member *members, int n, int rank)
{
	int i;

	for (i = 0; i < n; i++) {
		if (compute_watch_rank(members, n, &members[i]) == rank)
			return &members[i];
	}
	return NULL;
}

/*
 * Adds the watcher of the same rank in a remote data centre, or the one of
 * rank 0 if that data centre has too few members.
 */
static void choose_remote_watcher(struct overlay *o,
				  const struct overlay_member *ring, int n)
{
	int rank = o->watch_rank < n ? o->watch_rank : 0;
	const struct overlay_member *m;

	if (o->watch_rank >= OVERLAY_WATCHERS ||
	    o->extra_peer_count == OVERLAY_EXTRA_PEERS_MAX)
		return;
	m = overlay_find_rank(ring, n, rank);
	if (m)
		copy_address(o->extra_peers[o->extra_peer_count++], m);
}

/*
 * Adds entries of the local data centre, so that a watcher notifies them
 * directly: they need new versions before the agents do.
 */
static void choose_local_entries(struct overlay *o,
				 const struct overlay_member *ring, int n,
				 const struct overlay_member *self)
{
	int i;

	for (i = 0; i < n && o->extra_peer_count < OVERLAY_ENTRIES_MAX; i++)
		if (ring[i].is_entry && strcmp(ring[i].id, self->id))
			copy_address(o->extra_peers[o->extra_peer_count++],
				     &ring[i]);
}

static int find_data_center_end(const struct overlay_member *m, int count,
				int from)
{
	int i = from;

	while (i < count && !strcmp(m[i].data_center, m[from].data_center))
		i++;
	return i;
}

static void build_local_data_center(struct overlay *o,
				    const struct overlay_member *ring, int n,
				    const struct overlay_member *self)
{
	int i;

	o->local_count = n;
	o->watch_rank = compute_watch_rank(ring, n, self);
	for (i = 0; i < n; i++) {
		if (!strcmp(ring[i].id, self->id))
			choose_neighbors(o, ring, n, i);
	}
	if (o->watch_rank < OVERLAY_WATCHERS)
		choose_local_entries(o, ring, n, self);
}

/*
 * Computes the overlay of self.  members holds every instance that takes
 * part, including self, with its scores; the array is reordered.
 */
void overlay_build(struct overlay *o, struct overlay_member *members, int count,
		   const struct overlay_member *self)
{
	int from, to;

	memset(o, 0, sizeof(*o));
	qsort(members, (size_t)count, sizeof(*members), compare_ring);
	for (from = 0; from < count; from = to) {
		to = find_data_center_end(members, count, from);
		o->data_center_count++;
		if (!strcmp(members[from].data_center, self->data_center))
			build_local_data_center(o, members + from, to - from,
						self);
	}
	for (from = 0; from < count; from = to) {
		to = find_data_center_end(members, count, from);
		if (strcmp(members[from].data_center, self->data_center))
			choose_remote_watcher(o, members + from, to - from);
	}
}
