#ifndef MEMBER_MERGE_H
#define MEMBER_MERGE_H

#include "base/schema.h"
#include "base/table.h"
#include "member/detect.h"

/*
 * The platform's list of instances, and its merge with what this process
 * has observed itself.  The list lags: it may show dead instances as live
 * and omit live ones.  It adds instances, changes their addresses and marks
 * them as draining; whether an instance is dead or live is decided by
 * direct observation, which the list does not override.
 */

/*
 * Time after which an instance that the list no longer names is removed,
 * unless it is live.  Also the time for which an instance that answers at
 * its known address keeps it against another one in the list.
 */
#define UNLISTED_RETENTION_US (60 * APR_USEC_PER_SEC)

/* One item of the list. */
struct listed_instance {
	char id[SETTINGS_NAME_SIZE];
	enum role role;
	char data_center[SETTINGS_NAME_SIZE];
	char address[SETTINGS_ADDRESS_SIZE];
	char upstream[SETTINGS_NAME_SIZE];
	int is_draining;
};

struct instance_list {
	uint64_t version;
	struct listed_instance *items; /* sorted by id */
	int count;
};

int instance_list_parse(struct instance_list *l, const char *text, size_t size,
			struct fault_list *faults);
void instance_list_free(struct instance_list *l);

struct instance *instance_find(struct table *t, const char *id);
int instance_list_has_id(const struct instance_list *l, const char *id);
int member_merge_list(struct table *t, const struct instance_list *l,
		      const char *self, apr_time_t now);
int member_remove_expired(struct table *t, int has_no_list, apr_time_t now);

#endif
