#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "config/value.h"
#include "member/component.h"
#include "member/merge.h"

/*
 * Applies the platform's list when its version is above the last one.  Two
 * lists may arrive at the same time; the table lock orders them.
 */
static enum value_verdict apply_list(void *arg, const char *text, size_t size,
				     const struct text_source *source,
				     uint64_t *version)
{
	struct member *m = arg;
	struct table *t = &m->node->board.instances;
	struct fault_list faults = { 0 };
	struct instance_list l;
	int is_newer, failed = instance_list_parse(&l, text, size, &faults);

	*version = l.version;
	if (failed) {
		log_warning("member-list", NULL, "%s", faults.lines[0]);
		fault_list_clear(&faults);
		return VALUE_INVALID;
	}
	table_lock(t);
	is_newer = l.version > m->list_version;
	if (is_newer) {
		m->list_version = l.version;
		__atomic_store_n(
			&m->is_self_listed,
			instance_list_has_id(&l, m->node->settings.instance),
			__ATOMIC_RELAXED);
		member_merge_list(t, &l, m->node->settings.instance,
				  clock_now());
	}
	table_unlock(t);
	__atomic_add_fetch(&m->instance_generation, 1, __ATOMIC_RELAXED);
	instance_list_free(&l);
	return is_newer ? VALUE_APPLIED : VALUE_OLD;
}

const struct value_ops member_list_ops = { "instances", apply_list };
