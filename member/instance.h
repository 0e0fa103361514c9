#ifndef MEMBER_INSTANCE_H
#define MEMBER_INSTANCE_H

#include <apr_time.h>
#include <stdint.h>

#include "base/settings.h"

/* Rows of the board's instance table: who is there, as seen from here. */

enum instance_state {
	INSTANCE_LIVE = 1,
	INSTANCE_DRAINING, /* takes no new work */
	INSTANCE_SUSPECT,  /* silent; a fresh connection is being tried */
	INSTANCE_DEAD	   /* a fresh connection failed too */
};

struct instance {
	char id[SETTINGS_NAME_SIZE];
	enum role role;
	char data_center[SETTINGS_NAME_SIZE];
	char address[SETTINGS_ADDRESS_SIZE];
	char upstream[SETTINGS_NAME_SIZE]; /* of an agent */
	uint64_t boot;			   /* 0: not heard from yet */
	enum instance_state state;
	int is_listed;		   /* in the platform's list */
	apr_time_t last_contact;   /* last direct word, 0 for never */
	apr_time_t draining_since; /* when it was first seen leaving */

	/* membership's own */
	apr_time_t boot_started;  /* when that boot began, by local time */
	uint64_t previous_boot;	  /* word of it is out of date */
	uint32_t incarnation;	  /* highest seen of this boot */
	uint64_t draining_boot;	  /* the boot that is leaving, 0: any */
	apr_time_t suspect_since; /* first silent, 0 when not silent */
	apr_time_t dead_since;
	apr_time_t unlisted_since;
};

#endif
