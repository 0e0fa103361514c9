#ifndef CALLS_HOME_H
#define CALLS_HOME_H

#include <apr_time.h>
#include <stdint.h>

#include "base/board.h"
#include "base/settings.h"
#include "config/document.h"

/*
 * The home of a caller's key: the one agent of a service, by rendezvous
 * hash over its instances, that may run it.  Instances count as long as
 * they are in the view, reachable or not, so that a partition moves no key.
 */

#define HOME_AGENTS_MAX 512

struct home_agent {
	char id[SETTINGS_NAME_SIZE];
	char address[SETTINGS_ADDRESS_SIZE];
	uint64_t boot;
	uint64_t rank_seed;	    /* seed of its rank: hash of the id */
	int is_present;		    /* in the view now */
	apr_time_t last_present_at; /* last time seen in the view */
	apr_time_t last_contact;    /* last direct word from it, 0 for never */
};

/* What one agent knows of the agents of its service over time. */
struct home_view {
	char self[SETTINGS_NAME_SIZE];
	apr_time_t tracked_since; /* followed without a gap from then on */
	struct home_agent agents[HOME_AGENTS_MAX];
	int count;
	int has_overflowed; /* an agent did not fit: nothing is sure */
};

/* How old the last word from another agent may be. */
#define HOME_CONTACT_MAX_AGE_US (10 * APR_USEC_PER_SEC)

uint64_t home_rank(const char *identity, uint64_t place);
int home_pick(const struct home_agent *agents, int count, const char *identity);
int home_list_agents(struct board *b, const struct service_spec *s,
		     struct home_agent *out, int max);

void home_view_update(struct home_view *v, const struct home_agent *agents,
		      int count, apr_time_t now);
int home_is_exclusive(const struct home_view *v, const char *identity,
		      apr_interval_time_t lifetime, apr_time_t now);

#endif
