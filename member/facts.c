#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "member/component.h"
#include "member/merge.h"

static void copy(char *to, size_t size, const char *from)
{
	snprintf(to, size, "%s", from);
}

/* Returns -1 for an invalid fact. */
static int fact_from_xdr(struct fact *f, const member_fact *w)
{
	memset(f, 0, sizeof(*f));
	if (!*w->id || !*w->address || !*w->data_center || !w->boot ||
	    (w->role != ROLE_ENTRY && w->role != ROLE_AGENT) ||
	    w->state < INSTANCE_LIVE || w->state > INSTANCE_DEAD)
		return -1;
	copy(f->id, sizeof(f->id), w->id);
	copy(f->data_center, sizeof(f->data_center), w->data_center);
	copy(f->address, sizeof(f->address), w->address);
	copy(f->upstream, sizeof(f->upstream), w->upstream);
	f->role = w->role;
	f->boot = w->boot;
	f->boot_age_ms = w->boot_age_ms;
	f->incarnation = w->incarnation;
	f->state = w->state;
	return 0;
}

/*
 * When another process reports this one as dead, raises the incarnation
 * above the reported one, so that its own fact takes precedence.
 */
static void refute_own_death(struct member *m, const struct fact *f)
{
	if (f->boot != m->node->self.boot || f->state != INSTANCE_DEAD)
		return;
	pthread_mutex_lock(&m->mutex);
	if (f->incarnation >= m->incarnation)
		__atomic_store_n(&m->incarnation, f->incarnation + 1,
				 __ATOMIC_RELAXED);
	pthread_mutex_unlock(&m->mutex);
	log_notice("member", NULL, "was reported dead; objects");
	member_queue_notification(m, f->id);
}

/*
 * Applies a fact to the table.  Returns the new state of the instance, 0
 * when nothing changed.  Without a platform list, a new row counts as listed
 * until it has been dead for UNLISTED_RETENTION_US.
 */
static int apply_fact(struct table *t, const struct fact *f, int has_no_list,
		      apr_time_t now)
{
	struct instance *row, added;
	int changed;

	table_lock(t);
	row = instance_find(t, f->id);
	if (row) {
		changed =
			instance_apply_fact(row, f, now) ? (int)row->state : 0;
	} else {
		instance_init_from_fact(&added, f, now);
		added.is_listed = has_no_list;
		changed =
			handle_is_none(table_add(t, &added)) ? 0 : added.state;
	}
	table_unlock(t);
	return changed;
}

static int is_instance_known(struct table *t, const char *id)
{
	int is_known;

	table_lock(t);
	is_known = instance_find(t, id) != NULL;
	table_unlock(t);
	return is_known;
}

static void process_fact(struct member *m, const member_fact *w)
{
	struct fact f;
	int state;

	if (fact_from_xdr(&f, w))
		return;
	if (!strcmp(f.id, m->node->settings.instance)) {
		refute_own_death(m, &f);
		return;
	}
	if (m->has_no_list && f.state == INSTANCE_DEAD &&
	    !is_instance_known(&m->node->board.instances, f.id))
		return;
	state = apply_fact(&m->node->board.instances, &f, m->has_no_list,
			   clock_now());
	if (!state)
		return;
	__atomic_add_fetch(&m->instance_generation, 1, __ATOMIC_RELAXED);
	if (state != INSTANCE_SUSPECT) /* this process checks it first */
		member_queue_notification(m, f.id);
	log_info("member", f.id, "is %s, as reported by another process",
		 instance_state_name((enum instance_state)state));
}

/* Applies the facts of a hello request or of its reply. */
void member_apply_facts(struct member *m, const member_hello *h)
{
	u_int i;

	process_fact(m, &h->self);
	for (i = 0; i < h->facts.facts_len; i++)
		process_fact(m, &h->facts.facts_val[i]);
}

/*
 * Lists the instances that have a boot and are not dead, except the one with
 * excluded_id.  With more than MEMBER_FACTS_MAX instances, lists those from
 * a random row on.  *out is allocated so that xdr_free() of the reply frees
 * it.  Returns the number of facts, 0 also when out of memory.
 */
u_int member_list_facts(struct member *m, const char *excluded_id,
			member_fact **out)
{
	struct table *t = &m->node->board.instances;
	struct handle at = HANDLE_NONE;
	apr_time_t now = clock_now();
	const struct instance *row;
	u_int n = 0, skip = 0;
	struct fact f;

	*out = calloc(MEMBER_FACTS_MAX, sizeof(**out));
	if (!*out)
		return 0;
	table_lock(t);
	if (t->count > MEMBER_FACTS_MAX)
		skip = (u_int)now % (t->count - MEMBER_FACTS_MAX + 1);
	while ((row = table_next(t, &at)) && n < MEMBER_FACTS_MAX) {
		if (!row->boot || row->state == INSTANCE_DEAD ||
		    !strcmp(row->id, excluded_id))
			continue;
		if (skip) {
			skip--;
			continue;
		}
		fact_from_instance(&f, row, now);
		fact_copy_to_xdr(&f, &(*out)[n++]);
	}
	table_unlock(t);
	return n;
}
