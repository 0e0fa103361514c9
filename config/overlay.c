#include "config/overlay.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/digest.h"

#define WATCH_SEED 0x77617463ull
#define RING_SEED 0x72696e67ull

/* Computes the placement scores from the id. */
void overlay_compute_scores(struct overlay_member *m)
{
	m->watch_score = place_hash_string(m->id, WATCH_SEED) >> 1;
	m->ring_score = place_hash_string(m->id, RING_SEED) >> 1;
	if (!m->is_entry) {
		m->watch_score |= 1ull << 63;
		m->ring_score |= 1ull << 63;
	}
}

/* Orders by data centre, then by place on the ring. */
static int ring_compare(const void *a, const void *b)
{
	const struct overlay_member *x = a, *y = b;
	int c = strcmp(x->data_center, y->data_center);

	if (c)
		return c;
	if (x->ring_score != y->ring_score)
		return x->ring_score < y->ring_score ? -1 : 1;
	return strcmp(x->id, y->id);
}

static int watches_before(const struct overlay_member *a,
			  const struct overlay_member *b)
{
	if (a->watch_score != b->watch_score)
		return a->watch_score < b->watch_score;
	return strcmp(a->id, b->id) < 0;
}

static void address_copy(char *to, const struct overlay_member *m)
{
	memcpy(to, m->address, SETTINGS_ADDRESS_SIZE);
}

/* Returns how many members of ring come before self in watching. */
static int watch_rank(const struct overlay_member *ring, int n,
		      const struct overlay_member *self)
{
	int i, rank = 0;

	for (i = 0; i < n; i++)
		rank += watches_before(&ring[i], self);
	return rank;
}

/*
 * Neighbours at the distances 1, b, b^2 on the ring, where b^3 covers it:
 * from any place every other is at most 3 (b - 1) steps away, and
 * everybody is neighbour of as many as it has.
 */
static void neighbors_choose(struct overlay *o,
			     const struct overlay_member *ring, int n, int at)
{
	int base = 2, distance = 1, i;

	while (base * base * base < n)
		base++;
	for (i = 0; i < OVERLAY_DEGREE && distance < n; i++) {
		address_copy(o->neighbors[o->neighbor_count++],
			     &ring[(at + distance) % n]);
		distance *= base;
	}
	for (i = 1; i <= 2 && i < n; i++)
		address_copy(o->successors[o->successor_count++],
			     &ring[(at + i) % n]);
}

/* The member of ring that has the given rank in watching, or NULL. */
static const struct overlay_member *
member_of_rank(const struct overlay_member *ring, int n, int rank)
{
	int i;

	for (i = 0; i < n; i++) {
		if (watch_rank(ring, n, &ring[i]) == rank)
			return &ring[i];
	}
	return NULL;
}

/* A watcher passes news to the watcher of its rank in each other place. */
static void remote_choose(struct overlay *o, const struct overlay_member *ring,
			  int n)
{
	int rank = o->watch_rank < n ? o->watch_rank : 0;
	const struct overlay_member *m;

	if (o->watch_rank >= OVERLAY_WATCHERS ||
	    o->extra_peer_count == OVERLAY_EXTRA_PEERS_MAX)
		return;
	m = member_of_rank(ring, n, rank);
	if (m)
		address_copy(o->extra_peers[o->extra_peer_count++], m);
}

/* A watcher passes news to the entries around it, which need them first. */
static void entries_choose(struct overlay *o, const struct overlay_member *ring,
			   int n, const struct overlay_member *self)
{
	int i;

	for (i = 0; i < n && o->extra_peer_count < OVERLAY_ENTRIES_MAX; i++)
		if (ring[i].is_entry && strcmp(ring[i].id, self->id))
			address_copy(o->extra_peers[o->extra_peer_count++],
				     &ring[i]);
}

static int data_center_end(const struct overlay_member *m, int count, int from)
{
	int i = from;

	while (i < count && !strcmp(m[i].data_center, m[from].data_center))
		i++;
	return i;
}

static void own_data_center(struct overlay *o,
			    const struct overlay_member *ring, int n,
			    const struct overlay_member *self)
{
	int i;

	o->local_count = n;
	o->watch_rank = watch_rank(ring, n, self);
	for (i = 0; i < n; i++) {
		if (!strcmp(ring[i].id, self->id))
			neighbors_choose(o, ring, n, i);
	}
	if (o->watch_rank < OVERLAY_WATCHERS)
		entries_choose(o, ring, n, self);
}

/*
 * Works out the place of self.  members, which is reordered, holds every
 * instance that takes part, self included; scores are filled in.
 */
void overlay_build(struct overlay *o, struct overlay_member *members, int count,
		   const struct overlay_member *self)
{
	int from, to;

	memset(o, 0, sizeof(*o));
	qsort(members, (size_t)count, sizeof(*members), ring_compare);
	for (from = 0; from < count; from = to) {
		to = data_center_end(members, count, from);
		o->data_center_count++;
		if (!strcmp(members[from].data_center, self->data_center))
			own_data_center(o, members + from, to - from, self);
	}
	for (from = 0; from < count; from = to) {
		to = data_center_end(members, count, from);
		if (strcmp(members[from].data_center, self->data_center))
			remote_choose(o, members + from, to - from);
	}
}
