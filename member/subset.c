#include "member/subset.h"

#include <stdlib.h>
#include <string.h>

#include "base/digest.h"
#include "config/document.h"

#define AGENT_SEED 0x6167656eull
#define FAR_MAX 32 /* agents elsewhere, in all */
#define WORDS (SUBSET_AGENTS_MAX / 64)

/* A set of agents, by their place in the array. */
struct group {
	uint64_t bits[WORDS];
};

struct groups {
	struct group *list;
	int count;
};

/* Computes the place on the ring. */
void subset_agent_hash(struct subset_agent *a)
{
	a->ring_hash = place_hash_string(a->id, AGENT_SEED);
}

/* Near agents first, each part in the order of the ring. */
static int agent_compare(const void *a, const void *b)
{
	const struct subset_agent *x = a, *y = b;

	if (x->is_local != y->is_local)
		return y->is_local - x->is_local;
	if (x->ring_hash != y->ring_hash)
		return x->ring_hash < y->ring_hash ? -1 : 1;
	return strcmp(x->id, y->id);
}

/* Returns how many agents of its data centre an entry takes. */
int subset_window_size(int agents, int entries)
{
	int k = entries > 0 ? (2 * agents + entries - 1) / entries : agents;

	if (k < SUBSET_LOCAL_MIN)
		k = SUBSET_LOCAL_MIN;
	return k < agents ? k : agents;
}

static int group_has(const struct group *g, int i)
{
	return g->bits[i / 64] >> (i % 64) & 1;
}

static void group_add(struct groups *all, const struct group *g)
{
	int i;

	for (i = 0; i < all->count; i++) {
		if (!memcmp(&all->list[i], g, sizeof(*g)))
			return;
	}
	if (all->count < SUBSET_GROUPS_MAX)
		all->list[all->count++] = *g;
}

static void model_group(struct groups *all, const struct model_spec *m,
			const struct subset_agent *agents, int count)
{
	struct group g = { { 0 } };
	int i;

	for (i = 0; i < count; i++) {
		if (model_wants(m, agents[i].upstream, agents[i].data_center))
			g.bits[i / 64] |= 1ull << (i % 64);
	}
	group_add(all, &g);
}

static void service_group(struct groups *all, const struct service_spec *s,
			  const struct subset_agent *agents, int count)
{
	struct group g = { { 0 } };
	int i;

	for (i = 0; i < count; i++) {
		if (spec_covers(s->upstreams, s->upstream_count,
				agents[i].upstream))
			g.bits[i / 64] |= 1ull << (i % 64);
	}
	group_add(all, &g);
}

static void groups_collect(struct groups *all, const struct document *d,
			   const struct subset_agent *agents, int count)
{
	int i;

	all->count = 0;
	all->list = calloc(SUBSET_GROUPS_MAX, sizeof(*all->list));
	if (!all->list)
		abort();
	for (i = 0; i < d->model_count; i++)
		model_group(all, &d->models[i], agents, count);
	for (i = 0; i < d->service_count; i++)
		service_group(all, &d->services[i], agents, count);
}

/* Counts the members of g in [from, to) and those of them taken. */
static int group_count(const struct group *g, const struct subset_agent *agents,
		       int from, int to, int *taken)
{
	int i, n = 0;

	*taken = 0;
	for (i = from; i < to; i++) {
		if (!group_has(g, i))
			continue;
		n++;
		*taken += agents[i].selection != SUBSET_NOT_SELECTED;
	}
	return n;
}

/*
 * Takes further members of g in [from, to) until wanted are taken, from the
 * rank's share of the group on.  Returns how many it took.
 */
static int group_take(const struct group *g, struct subset_agent *agents,
		      int from, int to, int wanted, int rank, int entries,
		      enum subset_selection place)
{
	int taken, n = group_count(g, agents, from, to, &taken);
	int skip, seen = 0, i, added = 0;

	if (!n)
		return 0;
	if (wanted > n)
		wanted = n;
	skip = (int)((long long)rank * n / entries % n);
	for (i = 0; i < 2 * (to - from) && taken < wanted; i++) {
		int at = from + i % (to - from);

		if (!group_has(g, at) || seen++ < skip ||
		    agents[at].selection != SUBSET_NOT_SELECTED)
			continue;
		agents[at].selection = place;
		taken++;
		added++;
	}
	return added;
}

static void window_take(struct subset_agent *agents, int near, int rank,
			int entries)
{
	int first = (int)((long long)rank * near / entries);
	int i, k = subset_window_size(near, entries);

	for (i = 0; i < k; i++)
		agents[(first + i) % near].selection = SUBSET_SELECTED_LOCAL;
}

static void groups_take(struct subset_agent *agents, int count, int near,
			int rank, int entries, const struct document *d)
{
	struct groups all;
	int i, far = 0;

	groups_collect(&all, d, agents, count);
	for (i = 0; i < all.count; i++) {
		group_take(&all.list[i], agents, 0, near,
			   SUBSET_GROUP_LOCAL_MIN, rank, entries,
			   SUBSET_SELECTED_LOCAL);
		if (far < FAR_MAX)
			far += group_take(&all.list[i], agents, near, count,
					  SUBSET_GROUP_REMOTE_MIN, rank,
					  entries, SUBSET_SELECTED_REMOTE);
	}
	free(all.list);
}

/*
 * Chooses for the entry of the given rank among entries of its data centre;
 * the result is each agent's place.  Reorders the array.  Without a
 * document only the window is taken.
 */
void subset_select(struct subset_agent *agents, int count, int rank,
		   int entries, const struct document *d)
{
	int near = 0, i;

	if (count > SUBSET_AGENTS_MAX)
		count = SUBSET_AGENTS_MAX;
	if (entries < 1)
		entries = 1;
	qsort(agents, (size_t)count, sizeof(*agents), agent_compare);
	for (i = 0; i < count; i++) {
		agents[i].selection = SUBSET_NOT_SELECTED;
		near += agents[i].is_local;
	}
	if (near)
		window_take(agents, near, rank, entries);
	if (d)
		groups_take(agents, count, near, rank, entries, d);
}
