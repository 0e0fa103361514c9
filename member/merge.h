#ifndef MEMBER_MERGE_H
#define MEMBER_MERGE_H

#include "base/schema.h"
#include "base/table.h"
#include "member/detect.h"

/*
 * The platform's list of instances, and how it is merged with what is known
 * directly.  The list lags: it may show the dead as live and the live as
 * gone.  It adds instances, moves them and has them leave; that one is dead
 * or alive it can't tell against direct word.
 */

/* An instance that the list has dropped is forgotten when silent so long. */
#define UNLISTED_RETENTION_US (60 * APR_USEC_PER_SEC)

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
	struct listed_instance *items; /* ordered by id */
	int count;
};

int instance_list_parse(struct instance_list *l, const char *text, size_t size,
			struct fault_list *faults);
void instance_list_free(struct instance_list *l);

struct instance *instance_find(struct table *t, const char *id);
int instance_list_has_id(const struct instance_list *l, const char *id);
int member_merge_list(struct table *t, const struct instance_list *l,
		      const char *self, apr_time_t now);
int member_remove_expired(struct table *t, int unlisted, apr_time_t now);

#endif
