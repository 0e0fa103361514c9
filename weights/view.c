#include "weights/internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "member/instance.h"

/*
 * Builds the view of each model from the instances on the board: the agents
 * that need the model.
 */

#define VIEW_PERIOD_US (250 * 1000)
/* Refresh period while a version has no view yet. */
#define VIEW_UNPLACED_PERIOD_US (20 * 1000)

/* Copy of the fields of an instance that a view needs. */
struct agent_copy {
	char id[SETTINGS_NAME_SIZE];
	char address[SETTINGS_ADDRESS_SIZE];
	char data_center[SETTINGS_NAME_SIZE];
	char upstream[SETTINGS_NAME_SIZE];
	int live;
};

static int is_needed(const struct instance *i)
{
	if (i->role != ROLE_AGENT || i->state == INSTANCE_DRAINING)
		return 0;
	/*
	 * An instance that is not in the platform's list counts only while it
	 * is live.
	 */
	return i->is_listed || i->state == INSTANCE_LIVE;
}

/*
 * Returns 1 when a listed instance has the same address. A replaced agent may
 * still be on the board under the address of its successor, and the listed one
 * counts.
 */
static int has_listed_successor(const struct instance *i,
				struct table *instances)
{
	struct handle h = HANDLE_NONE;
	const struct instance *o;

	if (i->is_listed)
		return 0;
	while ((o = table_next(instances, &h)))
		if (o != i && o->is_listed && !strcmp(o->address, i->address))
			return 1;
	return 0;
}

/* Copies the agents from the board. The caller frees the array. */
static struct agent_copy *copy_agents(struct node *n, int *count)
{
	struct handle h = HANDLE_NONE;
	const struct instance *i;
	struct agent_copy *all;

	*count = 0;
	table_lock(&n->board.instances);
	all = calloc(n->board.instances.count + 1, sizeof(*all));
	if (!all)
		abort();
	while ((i = table_next(&n->board.instances, &h))) {
		struct agent_copy *x = &all[*count];

		if (!is_needed(i) || !strcmp(i->id, n->settings.instance) ||
		    has_listed_successor(i, &n->board.instances))
			continue;
		memcpy(x->id, i->id, sizeof(x->id));
		memcpy(x->address, i->address, sizeof(x->address));
		memcpy(x->data_center, i->data_center, sizeof(x->data_center));
		memcpy(x->upstream, i->upstream, sizeof(x->upstream));
		x->live = i->state != INSTANCE_DEAD;
		(*count)++;
	}
	table_unlock(&n->board.instances);
	return all;
}

static uint64_t agent_hash(const struct agent_copy *x)
{
	return place_hash_string(x->id, (uint64_t)x->live + 1) ^
	       place_hash_string(x->address, 3);
}

static uint64_t compute_signature(const struct model_spec *spec,
				  const struct agent_copy *all, int count)
{
	uint64_t signature = 1;
	int i;

	for (i = 0; i < count; i++)
		if (is_model_assigned(spec, all[i].upstream,
				      all[i].data_center))
			signature += agent_hash(&all[i]);
	return signature ? signature : 1;
}

/* Sets the rank of this instance among the first loaders. */
static void update_loader_rank(struct model_row *m)
{
	const struct place_view *v = &m->view;
	struct activation *a = &m->activation;
	int i, all = 0, live = 0, all_live = 0;

	for (i = 0; i < v->member_count; i++) {
		all_live += v->members[i].is_live;
		if (v->members[i].hash <= v->members[v->self].hash)
			continue;
		all++;
		live += v->members[i].is_live;
	}
	a->loader_bit = all < ACTIVATE_LOADERS_MAX ? all : ACTIVATE_NOT_LOADER;
	a->loader_rank = live;
	a->loaders_required =
		m->first_loaders < all_live ? m->first_loaders : all_live;
	a->live_count = all_live;
}

static void build_view(struct weights *w, struct model_row *m,
		       const struct model_spec *spec,
		       const struct agent_copy *all, int count, apr_time_t now)
{
	const struct settings *s = &w->node->settings;
	int i;

	place_view_clear(&m->view);
	place_view_add(&m->view, s->instance, s->address, s->data_center, 1);
	for (i = 0; i < count; i++)
		if (is_model_assigned(spec, all[i].upstream,
				      all[i].data_center))
			place_view_add(&m->view, all[i].id, all[i].address,
				       all[i].data_center, all[i].live);
	place_view_rank_members(&m->view, s->instance, &m->version);
	update_loader_rank(m);
	if (m->swarm)
		swarm_apply_view(m->swarm, &m->view, now);
}

/*
 * Refreshes the views of all models. Takes the locks of the board and of the
 * models itself.
 */
void view_refresh(struct weights *w, apr_time_t now)
{
	struct document *d = board_document(&w->node->board);
	struct handle h = HANDLE_NONE;
	struct agent_copy *all;
	struct model_row *m;
	int count;

	if (now - w->view_refreshed_at < (w->has_unplaced_version
						  ? VIEW_UNPLACED_PERIOD_US
						  : VIEW_PERIOD_US) ||
	    !d) {
		document_unref(d);
		return;
	}
	w->has_unplaced_version = 0;
	w->view_refreshed_at = now;
	all = copy_agents(w->node, &count);
	table_lock(&w->models);
	while ((m = table_next(&w->models, &h))) {
		const struct model_spec *spec = document_find_model(d, m->name);
		uint64_t signature;

		if (!spec || !m->is_wanted)
			continue;
		signature = compute_signature(spec, all, count);
		if (signature == m->view_signature)
			continue;
		m->view_signature = signature;
		build_view(w, m, spec, all, count, now);
	}
	table_unlock(&w->models);
	free(all);
	document_unref(d);
}
