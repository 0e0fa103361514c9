#include <string.h>

#include "base/digest.h"
#include "calls/crash.h"
#include "calls/route.h"

/*
 * Returns the rank of an upstream for a session or prefix; the highest rank is
 * preferred.
 */
uint64_t route_affinity_rank(uint64_t affinity, uint64_t name_hash)
{
	return place_hash(&affinity, sizeof(affinity), name_hash);
}

/*
 * Returns the index of the name with the highest rank for an affinity, -1 if
 * there are no names or affinity is 0.
 */
static int find_first_by_affinity(const char *const *names, int count,
				  uint64_t affinity)
{
	uint64_t rank, best_rank = 0;
	int i, best = -1;

	for (i = 0; affinity && i < count; i++) {
		rank = route_affinity_rank(affinity,
					   place_hash_string(names[i], 0));
		if (best < 0 || rank > best_rank) {
			best = i;
			best_rank = rank;
		}
	}
	return best;
}

/*
 * Chooses the two upstreams of a data center at which a request that has not
 * yet finished without a crash may run: the one of highest rank for its
 * affinity, if it has one, and the one of highest rank for its fingerprint.
 * Upstreams that died within ROUTE_CLASS_RETENTION_US are counted, so that a
 * death does not widen the choice.  Stores the names and returns their number.
 */
int route_choose_pair(const struct route_table *t, uint64_t class,
		      const struct digest *fp, uint64_t affinity,
		      const char *data_center, const char *names[2])
{
	const char *all[ROUTE_UPSTREAMS_MAX] = { NULL };
	int pair[2], i, n = 0, first, count = 0;

	for (i = 0; i < t->count; i++) {
		const struct route_upstream *u = &t->rows[i];

		if (route_find_class(u, class) >= 0 && !u->is_draining &&
		    !strcmp(u->data_center, data_center))
			all[n++] = u->upstream;
	}
	crash_choose_pair(fp, all, n, pair);
	first = find_first_by_affinity(all, n, affinity);
	if (first >= 0)
		names[count++] = all[first];
	for (i = 0; i < 2 && count < 2; i++)
		if (pair[i] >= 0 && pair[i] != first)
			names[count++] = all[pair[i]];
	return count;
}

/* Marks an agent as draining although it sends no reports any more. */
void route_set_draining(struct route_table *t, const char *instance)
{
	struct route_upstream *u = route_find(t, instance);

	if (u)
		u->is_draining = 1;
}

/*
 * Returns the nth data center, counted from 0, that has rows and is not the
 * local one; NULL if there are fewer.
 */
const char *route_other_data_center(const struct route_table *t,
				    const char *local, int n)
{
	int i, k;

	for (i = 0; i < t->count; i++) {
		const char *name = t->rows[i].data_center;

		for (k = 0; k < i; k++)
			if (!strcmp(t->rows[k].data_center, name))
				break;
		if (k == i && strcmp(name, local) != 0 && n-- == 0)
			return name;
	}
	return NULL;
}
