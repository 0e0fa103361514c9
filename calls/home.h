#ifndef CALLS_HOME_H
#define CALLS_HOME_H

#include <apr_time.h>
#include <stdint.h>

#include "base/board.h"
#include "base/settings.h"
#include "config/document.h"

/*
 * The home of a caller's key is the one agent of a service that may run it,
 * chosen by rendezvous hashing over the service's instances.  Instances are
 * counted while they are in the view, reachable or not, so that a partition
 * does not move a key to another agent.
 */

#define HOME_AGENTS_MAX 512

struct home_agent {
	char id[SETTINGS_NAME_SIZE];
	char address[SETTINGS_ADDRESS_SIZE];
	uint64_t boot;
	uint64_t rank_seed;	    /* hash of the id */
	int is_present;		    /* in the latest view */
	apr_time_t last_present_at; /* last time in the view */
	apr_time_t last_contact;    /* last message from it; 0: never */
	/* the same, kept when the table forgets it; at first when it came */
	apr_time_t gap_since;
};

/*
 * A time in which this agent was not in the view, or had no contact with some
 * other agent: others may have taken it for gone and run its keys.
 */
struct home_gap {
	apr_time_t start;
	apr_time_t end;
};

#define HOME_GAPS_MAX 8

/* The agents of a service over time, as one of them has seen them. */
struct home_view {
	char self[SETTINGS_NAME_SIZE];
	apr_time_t tracked_since; /* without a pause since then */
	apr_time_t updated_at;
	struct home_agent agents[HOME_AGENTS_MAX];
	int count;
	int has_overflowed; /* an agent did not fit: not exclusive */
	struct home_gap gaps[HOME_GAPS_MAX]; /* by their ends, oldest first */
	int gap_count;
};

/* Maximum age of the last message from another agent for home_is_exclusive. */
#define HOME_CONTACT_MAX_AGE_US (10 * APR_USEC_PER_SEC)

uint64_t home_rank(const char *identity, uint64_t rank_seed);
int home_pick(const struct home_agent *agents, int count, const char *identity);
int home_list_agents(struct board *b, const struct service_spec *s,
		     struct home_agent *out, int max);

void home_view_update(struct home_view *v, const struct home_agent *agents,
		      int count, apr_time_t now);
int home_is_exclusive(const struct home_view *v, const char *identity,
		      apr_interval_time_t lifetime, apr_time_t now);

#endif
