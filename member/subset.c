#include "member/subset.h"

#include <stdlib.h>
#include <string.h>

#include "base/digest.h"
#include "config/document.h"

#define RING_HASH_SEED 0x6167656eull
#define REMOTE_AGENTS_MAX 32 /* selected in other data centres, total */
#define GROUP_WORDS (SUBSET_AGENTS_MAX / 64)

/* A set of agents: bit i stands for index i of the sorted array. */
struct group {
	uint64_t bits[GROUP_WORDS];
};

struct groups {
	struct group *list;
	int count;
};

/* Computes the agent's position on the ring from its id. */
void subset_agent_hash(struct subset_agent *a)
{
	a->ring_hash = place_hash_string(a->id, RING_HASH_SEED);
}

/* Orders local agents before remote ones, each in ring order. */
static int compare_agents(const void *a, const void *b)
{
	const struct subset_agent *x = a, *y = b;

	if (x->is_local != y->is_local)
		return y->is_local - x->is_local;
	if (x->ring_hash != y->ring_hash)
		return x->ring_hash < y->ring_hash ? -1 : 1;
	return strcmp(x->id, y->id);
}

/* Returns the number of agents in an entry's window, K in subset.h. */
int subset_window_size(int agents, int entries)
{
	int k = entries > 0 ? (2 * agents + entries - 1) / entries : agents;

	if (k < SUBSET_LOCAL_MIN)
		k = SUBSET_LOCAL_MIN;
	return k < agents ? k : agents;
}

static int is_in_group(const struct group *g, int i)
{
	return g->bits[i / 64] >> (i % 64) & 1;
}

static void add_group(struct groups *all, const struct group *g)
{
	int i;

	for (i = 0; i < all->count; i++) {
		if (!memcmp(&all->list[i], g, sizeof(*g)))
			return;
	}
	if (all->count < SUBSET_GROUPS_MAX)
		all->list[all->count++] = *g;
}

static void add_model_group(struct groups *all, const struct model_spec *m,
			    const struct subset_agent *agents, int count)
{
	struct group g = { { 0 } };
	int i;

	for (i = 0; i < count; i++) {
		if (is_model_assigned(m, agents[i].upstream,
				      agents[i].data_center))
			g.bits[i / 64] |= 1ull << (i % 64);
	}
	add_group(all, &g);
}

static void add_service_group(struct groups *all, const struct service_spec *s,
			      const struct subset_agent *agents, int count)
{
	struct group g = { { 0 } };
	int i;

	for (i = 0; i < count; i++) {
		if (has_matching_pattern(s->upstreams, s->upstream_count,
					 agents[i].upstream))
			g.bits[i / 64] |= 1ull << (i % 64);
	}
	add_group(all, &g);
}

static void collect_groups(struct groups *all, const struct document *d,
			   const struct subset_agent *agents, int count)
{
	int i;

	all->count = 0;
	all->list = calloc(SUBSET_GROUPS_MAX, sizeof(*all->list));
	if (!all->list)
		abort();
	for (i = 0; i < d->model_count; i++)
		add_model_group(all, &d->models[i], agents, count);
	for (i = 0; i < d->service_count; i++)
		add_service_group(all, &d->services[i], agents, count);
}

/*
 * Returns the number of agents of g in [from, to), and in *selected how many
 * of them are selected already.
 */
static int count_group(const struct group *g, const struct subset_agent *agents,
		       int from, int to, int *selected)
{
	int i, n = 0;

	*selected = 0;
	for (i = from; i < to; i++) {
		if (!is_in_group(g, i))
			continue;
		n++;
		*selected += agents[i].selection != SUBSET_NOT_SELECTED;
	}
	return n;
}

/*
 * Selects more agents of g in [from, to) until min_count of them are
 * selected, or all if g has fewer.  Starts at the position in the group
 * that corresponds to the entry's rank.  Returns the number added.
 */
static int select_from_group(const struct group *g, struct subset_agent *agents,
			     int from, int to, int min_count, int rank,
			     int entries, enum subset_selection selection)
{
	int selected, n = count_group(g, agents, from, to, &selected);
	int skip, seen = 0, i, added = 0;

	if (!n)
		return 0;
	if (min_count > n)
		min_count = n;
	skip = (int)((long long)rank * n / entries % n);
	for (i = 0; i < 2 * (to - from) && selected < min_count; i++) {
		int at = from + i % (to - from);

		if (!is_in_group(g, at) || seen++ < skip ||
		    agents[at].selection != SUBSET_NOT_SELECTED)
			continue;
		agents[at].selection = selection;
		selected++;
		added++;
	}
	return added;
}

static void select_window(struct subset_agent *agents, int local_count,
			  int rank, int entries)
{
	int first = (int)((long long)rank * local_count / entries);
	int i, k = subset_window_size(local_count, entries);

	for (i = 0; i < k; i++)
		agents[(first + i) % local_count].selection =
			SUBSET_SELECTED_LOCAL;
}

static void select_from_groups(struct subset_agent *agents, int count,
			       int local_count, int rank, int entries,
			       const struct document *d)
{
	struct groups all;
	int i, remote_count = 0;

	collect_groups(&all, d, agents, count);
	for (i = 0; i < all.count; i++) {
		select_from_group(&all.list[i], agents, 0, local_count,
				  SUBSET_GROUP_LOCAL_MIN, rank, entries,
				  SUBSET_SELECTED_LOCAL);
		if (remote_count < REMOTE_AGENTS_MAX)
			remote_count += select_from_group(
				&all.list[i], agents, local_count, count,
				SUBSET_GROUP_REMOTE_MIN, rank, entries,
				SUBSET_SELECTED_REMOTE);
	}
	free(all.list);
}

/*
 * Selects agents for the entry at position rank among the entries of its
 * data centre and stores the result in each agent's selection.  Reorders the
 * array; agents beyond SUBSET_AGENTS_MAX are ignored.  Without a document
 * only the window is selected.
 */
void subset_select(struct subset_agent *agents, int count, int rank,
		   int entries, const struct document *d)
{
	int local_count = 0, i;

	if (count > SUBSET_AGENTS_MAX)
		count = SUBSET_AGENTS_MAX;
	if (entries < 1)
		entries = 1;
	qsort(agents, (size_t)count, sizeof(*agents), compare_agents);
	for (i = 0; i < count; i++) {
		agents[i].selection = SUBSET_NOT_SELECTED;
		local_count += agents[i].is_local;
	}
	if (local_count)
		select_window(agents, local_count, rank, entries);
	if (d)
		select_from_groups(agents, count, local_count, rank, entries,
				   d);
}
