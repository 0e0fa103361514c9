#include "weights/place.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SEED_MEMBER 11
#define SEED_DATA_CENTER 12
/* Members by which the allocated array grows. */
#define MEMBERS_GROW_COUNT 16

/*
 * Adds one instance that needs the version. After the last one, the caller
 * calls place_view_rank_members.
 */
void place_view_add(struct place_view *v, const char *id, const char *address,
		    const char *data_center, int live)
{
	struct place_member *m;
	int dc;

	for (dc = 0; dc < v->data_center_count; dc++)
		if (!strcmp(v->data_centers[dc], data_center))
			break;
	if (dc == PLACE_DATA_CENTERS_MAX)
		return;
	if (dc == v->data_center_count)
		snprintf(v->data_centers[v->data_center_count++],
			 SETTINGS_NAME_SIZE, "%s", data_center);
	if (v->member_count % MEMBERS_GROW_COUNT == 0) {
		m = realloc(v->members,
			    (size_t)(v->member_count + MEMBERS_GROW_COUNT) *
				    sizeof(*m));
		if (!m)
			abort();
		v->members = m;
	}
	m = &v->members[v->member_count++];
	memset(m, 0, sizeof(*m));
	snprintf(m->id, sizeof(m->id), "%s", id);
	snprintf(m->address, sizeof(m->address), "%s", address);
	m->data_center = dc;
	m->is_live = live;
}

static int member_compare(const void *a, const void *b)
{
	return strcmp(((const struct place_member *)a)->id,
		      ((const struct place_member *)b)->id);
}

/*
 * Compares two members in rendezvous order: the highest hash is first, and the
 * ID breaks ties.
 */
static int is_before(uint64_t ha, const char *ida, uint64_t hb, const char *idb)
{
	return ha != hb ? ha > hb : strcmp(ida, idb) < 0;
}

/*
 * Marks which members of a data centre take part in its order. Members that
 * are not live are excluded only while more than half of the data centre is
 * live: an instance that is partitioned from the others must not rank itself
 * first for every chunk.
 */
static void mark_ordered_members(struct place_view *v, int dc)
{
	int i, all = 0, live = 0;

	for (i = 0; i < v->member_count; i++) {
		if (v->members[i].data_center != dc)
			continue;
		all++;
		live += v->members[i].is_live;
	}
	for (i = 0; i < v->member_count; i++)
		if (v->members[i].data_center == dc)
			v->members[i].carrier_order =
				2 * live > all && !v->members[i].is_live ? -1
									 : 0;
}

/*
 * Ranks the members of each data centre; the first PLACE_CARRIERS_MAX are its
 * carriers.
 */
static void rank_members(struct place_view *v)
{
	int i, j;

	memset(v->carriers, -1, sizeof(v->carriers));

	for (i = 0; i < v->member_count; i++) {
		struct place_member *m = &v->members[i];

		if (m->carrier_order < 0)
			continue;
		m->carrier_order = 0;
		for (j = 0; j < v->member_count; j++) {
			const struct place_member *o = &v->members[j];

			if (o->carrier_order >= 0 &&
			    o->data_center == m->data_center &&
			    is_before(o->hash, o->id, m->hash, m->id))
				m->carrier_order++;
		}
		if (m->carrier_order < PLACE_CARRIERS_MAX)
			v->carriers[m->data_center][m->carrier_order] = i;
	}
}

/*
 * Sorts the view, ranks its members for one version and looks up this
 * instance, whose ID is self.
 */
void place_view_rank_members(struct place_view *v, const char *self,
			     const struct digest *version)
{
	uint64_t seed = place_hash(version, sizeof(*version), SEED_MEMBER);
	int i;

	qsort(v->members, (size_t)v->member_count, sizeof(*v->members),
	      member_compare);
	for (i = 0; i < v->member_count; i++)
		v->members[i].hash = place_hash_string(v->members[i].id, seed);
	for (i = 0; i < v->data_center_count; i++)
		mark_ordered_members(v, i);
	rank_members(v);
	v->self = place_find_member(v, self);
}

/* Frees the members of a view and resets it. */
void place_view_clear(struct place_view *v)
{
	free(v->members);
	memset(v, 0, sizeof(*v));
	v->self = -1;
}

/* Returns the index of an instance, or -1. */
int place_find_member(const struct place_view *v, const char *id)
{
	int low = 0, high = v->member_count;

	while (low < high) {
		int mid = (low + high) / 2;
		int c = strcmp(v->members[mid].id, id);

		if (!c)
			return mid;
		if (c < 0)
			low = mid + 1;
		else
			high = mid;
	}
	return -1;
}

/* Returns 1 when a member is a carrier of its data centre. */
int place_is_carrier(const struct place_view *v, int member)
{
	int order = member < 0 ? -1 : v->members[member].carrier_order;

	return order >= 0 && order < PLACE_CARRIERS_MAX;
}

static uint64_t chunk_hash(const struct place_member *m,
			   const struct digest *chunk)
{
	return place_hash(chunk, sizeof(*chunk), m->hash);
}

/*
 * Returns the rank of a member for a chunk in its data centre: the carriers
 * first, in an order that depends on the chunk, then the others in the order
 * of the version. Returns -1 when the member does not take part in the order.
 */
int place_member_rank(const struct place_view *v, int member,
		      const struct digest *chunk)
{
	const struct place_member *m = &v->members[member];
	uint64_t own;
	int i, rank = 0;

	if (m->carrier_order < 0 || m->carrier_order >= PLACE_CARRIERS_MAX)
		return m->carrier_order;
	own = chunk_hash(m, chunk);
	for (i = 0; i < PLACE_CARRIERS_MAX; i++) {
		const struct place_member *o;
		int at = v->carriers[m->data_center][i];

		if (at < 0 || at == member)
			continue;
		o = &v->members[at];
		if (is_before(chunk_hash(o, chunk), o->id, own, m->id))
			rank++;
	}
	return rank;
}

/*
 * Returns the index of the member with a rank for a chunk in a data centre, or
 * -1.
 */
int place_member_at_rank(const struct place_view *v, int data_center,
			 const struct digest *chunk, int rank)
{
	int i, at;

	for (i = 0; i < PLACE_CARRIERS_MAX; i++) {
		at = v->carriers[data_center][i];
		if (at >= 0 && place_member_rank(v, at, chunk) == rank)
			return at;
	}
	for (i = 0; rank >= PLACE_CARRIERS_MAX && i < v->member_count; i++)
		if (v->members[i].data_center == data_center &&
		    v->members[i].carrier_order == rank)
			return i;
	return -1;
}

static uint64_t data_center_hash(const struct place_view *v, int dc,
				 const struct digest *chunk)
{
	return place_hash(
		chunk, sizeof(*chunk),
		place_hash_string(v->data_centers[dc], SEED_DATA_CENTER));
}

/*
 * Returns the rank of a data centre for a chunk. The one with rank 0 fetches
 * the chunk from the origin.
 */
int place_data_center_rank(const struct place_view *v, int data_center,
			   const struct digest *chunk)
{
	uint64_t own = data_center_hash(v, data_center, chunk);
	int i, rank = 0;

	for (i = 0; i < v->data_center_count; i++)
		if (i != data_center &&
		    is_before(data_center_hash(v, i, chunk), v->data_centers[i],
			      own, v->data_centers[data_center]))
			rank++;
	return rank;
}

/*
 * Returns which of the chunk's permits for an origin fetch a member holds,
 * counted from 0, or PLACE_NO_PERMIT. One view has at most PLACE_PERMITS_MAX
 * permits for a chunk. They are assigned to the data centres in turn, so a
 * partitioned data centre holds a permit of its own as long as there are no
 * more data centres than permits.
 */
int place_member_permit(const struct place_view *v, int member,
			const struct digest *chunk, int permits)
{
	int rank, permit;

	if (member < 0)
		return PLACE_NO_PERMIT;
	if (permits > PLACE_PERMITS_MAX)
		permits = PLACE_PERMITS_MAX;
	rank = place_member_rank(v, member, chunk);
	if (rank < 0 || rank >= permits)
		return PLACE_NO_PERMIT;
	permit = rank * v->data_center_count +
		 place_data_center_rank(v, v->members[member].data_center,
					chunk);
	return permit < permits ? permit : PLACE_NO_PERMIT;
}

static void add_neighbour(int *out, int *n, int max, int self, int member)
{
	int i;

	if (member == self || *n == max)
		return;
	for (i = 0; i < *n; i++)
		if (out[i] == member)
			return;
	out[(*n)++] = member;
}

/*
 * Lists the live members of this data centre in ring order by hash. Returns
 * their number, and the position of this instance in *position.
 */
static int build_ring(const struct place_view *v, int *ring, int *position)
{
	int dc = v->members[v->self].data_center;
	int i, n = 0;

	for (i = 0; i < v->member_count; i++) {
		int j = n;

		if (v->members[i].data_center != dc ||
		    (!v->members[i].is_live && i != v->self))
			continue;
		while (j && !is_before(v->members[ring[j - 1]].hash,
				       v->members[ring[j - 1]].id,
				       v->members[i].hash, v->members[i].id)) {
			ring[j] = ring[j - 1];
			j--;
		}
		ring[j] = i;
		n++;
	}
	for (i = 0; i < n; i++)
		if (ring[i] == v->self)
			*position = i;
	return n;
}

/*
 * Lists the neighbours of this instance: the members at distances 1, 2, 4, ...
 * in both directions on the ring of its data centre, and for a carrier also all
 * other carriers. The graph of a data centre is thus connected and of small
 * diameter. Returns the number of neighbours, at most max.
 */
int place_list_neighbours(const struct place_view *v, int *out, int max)
{
	int *ring;
	int i, n = 0, size, at = 0, step;

	if (v->self < 0)
		return 0;
	ring = calloc((size_t)v->member_count, sizeof(*ring));
	if (!ring)
		abort();
	size = build_ring(v, ring, &at);
	if (place_is_carrier(v, v->self))
		for (i = 0; i < v->member_count; i++)
			if (place_is_carrier(v, i) && v->members[i].is_live)
				add_neighbour(out, &n, max, v->self, i);
	for (step = 1; step <= size / 2; step *= 2) {
		add_neighbour(out, &n, max, v->self, ring[(at + step) % size]);
		add_neighbour(out, &n, max, v->self,
			      ring[(at + size - step) % size]);
	}
	free(ring);
	return n;
}
