#include <string.h>

#include "base/digest.h"
#include "calls/crash.h"
#include "calls/route.h"

/* Rank of an upstream for a session or prefix; the highest is preferred. */
uint64_t route_affinity_rank(uint64_t affinity, uint64_t name_hash)
{
	return place_hash(&affinity, sizeof(affinity), name_hash);
}

/* Returns the index of the name that is first for an affinity, -1 for none. */
static int affinity_first(const char *const *names, int count,
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
 * The two upstreams of a data center at which a request that was never seen
 * to end well may run: the first for its affinity, if it has one, and the
 * first for its fingerprint.  Upstreams that died a moment ago count, so
 * that their death does not widen the choice.  Returns how many there are.
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
	first = affinity_first(all, n, affinity);
	if (first >= 0)
		names[count++] = all[first];
	for (i = 0; i < 2 && count < 2; i++)
		if (pair[i] >= 0 && pair[i] != first)
			names[count++] = all[pair[i]];
	return count;
}

/* Notes that an agent is leaving although it reports nothing any more. */
void route_set_draining(struct route_table *t, const char *instance)
{
	struct route_upstream *u = route_find(t, instance);

	if (u)
		u->is_draining = 1;
}

/* Returns the nth data center that has rows, other than own, or NULL. */
const char *route_other_data_center(const struct route_table *t,
				    const char *own, int n)
{
	int i, k;

	for (i = 0; i < t->count; i++) {
		const char *name = t->rows[i].data_center;

		for (k = 0; k < i; k++)
			if (!strcmp(t->rows[k].data_center, name))
				break;
		if (k == i && strcmp(name, own) != 0 && n-- == 0)
			return name;
	}
	return NULL;
}
