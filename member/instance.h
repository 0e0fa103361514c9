#ifndef MEMBER_INSTANCE_H
#define MEMBER_INSTANCE_H

#include <apr_time.h>
#include <stdint.h>

#include "base/settings.h"

/*
 * Rows of the board's instance table: the other instances of the fleet and
 * their states as this process sees them.
 */

enum instance_state {
	INSTANCE_LIVE = 1,
	INSTANCE_DRAINING, /* takes no new work */
	INSTANCE_SUSPECT,  /* silent; a new connection is tried */
	INSTANCE_DEAD	   /* a new connection failed too */
};

struct instance {
	char id[SETTINGS_NAME_SIZE];
	enum role role;
	char data_center[SETTINGS_NAME_SIZE];
	char address[SETTINGS_ADDRESS_SIZE];
	char upstream[SETTINGS_NAME_SIZE]; /* agents only */
	uint64_t boot;			   /* 0: not known yet */
	enum instance_state state;
	int is_listed;		   /* named by the platform's list */
	apr_time_t last_contact;   /* last message from it; 0: never */
	apr_time_t draining_since; /* first seen draining; 0: not */

	/* Members below are used by member/ only. */
	apr_time_t boot_started;  /* estimate, local monotonic clock */
	uint64_t previous_boot;	  /* facts about it are ignored */
	uint32_t incarnation;	  /* highest seen for this boot */
	uint64_t draining_boot;	  /* the boot that is draining; 0: any */
	apr_time_t suspect_since; /* start of silence; 0: not silent */
	apr_time_t dead_since;
	apr_time_t unlisted_since;
};

#endif
