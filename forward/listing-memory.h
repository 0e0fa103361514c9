#ifndef FORWARD_LISTING_MEMORY_H
#define FORWARD_LISTING_MEMORY_H

#include <apr_time.h>

#include "forward/listing.h"

/*
 * What this process knows of listed upstreams beyond the current list.  A list
 * of a new epoch comes from an older copy of the platform's store: it may show
 * upstreams as they were before they left or began to drain, until they have
 * written again.  The functions are pure.
 */

#define LISTING_MEMORY_MAX 4096

struct known_upstream {
	char id[SETTINGS_NAME_SIZE];
	int64_t started_ms;
	uint64_t sequence;
	int is_draining;
	apr_time_t gone_at; /* no longer listed since, 0: listed */
};

struct listing_memory {
	struct known_upstream *rows;
	int count;
	uint64_t epoch;		   /* of the last list */
	apr_time_t epoch_began_at; /* first list of it, 0: the first epoch */
};

void listing_memory_apply(struct listing_memory *m, struct listing *l,
			  apr_time_t now);
void listing_memory_destroy(struct listing_memory *m);

#endif
