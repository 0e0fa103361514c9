#include "weights/internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "member/instance.h"

/*
 * Turns the board's instances into the view of one model: who needs it.
 */

#define VIEW_PERIOD_US (250 * 1000)
#define VIEW_NEW_US (20 * 1000) /* with a version not placed yet */

/* A copy of what is needed of one instance. */
struct needer {
	char id[SETTINGS_NAME_SIZE];
	char address[SETTINGS_ADDRESS_SIZE];
	char data_center[SETTINGS_NAME_SIZE];
	char upstream[SETTINGS_NAME_SIZE];
	int live;
};

static int needer_counts(const struct instance *i)
{
	if (i->role != ROLE_AGENT || i->state == INSTANCE_DRAINING)
		return 0;
	/* Not in the list: only while it is heard from. */
	return i->is_listed || i->state == INSTANCE_LIVE;
}

/*
 * A replaced agent may be remembered under the address of its successor:
 * the one that is listed stays.
 */
static int address_taken(const struct instance *i, struct table *instances)
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

/* Copies the agents out of the board.  The caller frees the array. */
static struct needer *needers_copy(struct node *n, int *count)
{
	struct handle h = HANDLE_NONE;
	const struct instance *i;
	struct needer *all;

	*count = 0;
	table_lock(&n->board.instances);
	all = calloc(n->board.instances.count + 1, sizeof(*all));
	if (!all)
		abort();
	while ((i = table_next(&n->board.instances, &h))) {
		struct needer *x = &all[*count];

		if (!needer_counts(i) || !strcmp(i->id, n->settings.instance) ||
		    address_taken(i, &n->board.instances))
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

static uint64_t needer_hash(const struct needer *x)
{
	return place_hash_string(x->id, (uint64_t)x->live + 1) ^
	       place_hash_string(x->address, 3);
}

static uint64_t signature_make(const struct model_spec *spec,
			       const struct needer *all, int count)
{
	uint64_t signature = 1;
	int i;

	for (i = 0; i < count; i++)
		if (model_wants(spec, all[i].upstream, all[i].data_center))
			signature += needer_hash(&all[i]);
	return signature ? signature : 1;
}

/* Ranks this instance among those that may load first. */
static void loaders_set(struct model_row *m)
{
	const struct place_view *v = &m->view;
	struct activation *a = &m->activation;
	int i, all = 0, live = 0, living = 0;

	for (i = 0; i < v->member_count; i++) {
		living += v->members[i].is_live;
		if (v->members[i].hash <= v->members[v->self].hash)
			continue;
		all++;
		live += v->members[i].is_live;
	}
	a->loader_bit = all < ACTIVATE_LOADERS_MAX ? all : ACTIVATE_NOT_LOADER;
	a->loader_rank = live;
	a->loaders_required =
		m->first_loaders < living ? m->first_loaders : living;
	a->live_count = living;
}

static void view_build(struct weights *w, struct model_row *m,
		       const struct model_spec *spec, const struct needer *all,
		       int count, apr_time_t now)
{
	const struct settings *s = &w->node->settings;
	int i;

	place_view_clear(&m->view);
	place_view_add(&m->view, s->instance, s->address, s->data_center, 1);
	for (i = 0; i < count; i++)
		if (model_wants(spec, all[i].upstream, all[i].data_center))
			place_view_add(&m->view, all[i].id, all[i].address,
				       all[i].data_center, all[i].live);
	place_view_rank_members(&m->view, s->instance, &m->version);
	loaders_set(m);
	if (m->swarm)
		swarm_apply_view(m->swarm, &m->view, now);
}

/* Brings the views of all models up to date.  Takes the locks itself. */
void view_refresh(struct weights *w, apr_time_t now)
{
	struct document *d = board_document(&w->node->board);
	struct handle h = HANDLE_NONE;
	struct needer *all;
	struct model_row *m;
	int count;

	if (now - w->view_refreshed_at <
		    (w->has_unplaced_version ? VIEW_NEW_US : VIEW_PERIOD_US) ||
	    !d) {
		document_release(d);
		return;
	}
	w->has_unplaced_version = 0;
	w->view_refreshed_at = now;
	all = needers_copy(w->node, &count);
	table_lock(&w->models);
	while ((m = table_next(&w->models, &h))) {
		const struct model_spec *spec = document_model(d, m->name);
		uint64_t signature;

		if (!spec || !m->is_wanted)
			continue;
		signature = signature_make(spec, all, count);
		if (signature == m->view_signature)
			continue;
		m->view_signature = signature;
		view_build(w, m, spec, all, count, now);
	}
	table_unlock(&w->models);
	free(all);
	document_release(d);
}
