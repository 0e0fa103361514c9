#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "config/value.h"
#include "member/component.h"
#include "member/merge.h"

/*
 * Takes the platform's list over when its version is above the last one.
 * Two texts may come at once; the mutex orders them.
 */
static enum value_verdict list_take(void *arg, const char *text, size_t size,
				    uint64_t *version)
{
	struct member *m = arg;
	struct table *t = &m->node->board.instances;
	struct fault_list faults = { 0 };
	struct instance_list l;
	int news, failed = instance_list_parse(&l, text, size, &faults);

	*version = l.version;
	if (failed) {
		log_warning("member-list", NULL, "%s", faults.lines[0]);
		fault_list_clear(&faults);
		return VALUE_INVALID;
	}
	table_lock(t);
	news = l.version > m->list_version;
	if (news) {
		m->list_version = l.version;
		__atomic_store_n(
			&m->self_listed,
			instance_list_has_id(&l, m->node->settings.instance),
			__ATOMIC_RELAXED);
		member_merge_list(t, &l, m->node->settings.instance,
				  clock_now());
	}
	table_unlock(t);
	__atomic_add_fetch(&m->generation, 1, __ATOMIC_RELAXED);
	instance_list_free(&l);
	return news ? VALUE_APPLIED : VALUE_OLD;
}

const struct value_ops member_list_ops = { "instances", list_take };
