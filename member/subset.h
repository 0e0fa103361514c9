#ifndef MEMBER_SUBSET_H
#define MEMBER_SUBSET_H

#include <stdint.h>

#include "base/settings.h"

struct document;

/*
 * Selects the agents that an entry polls for reports and may route to.
 *
 * The agents and entries of a data centre are ordered on a ring by the hash
 * of their ids.  Of E entries and A agents, the entry at position e selects
 * a window of K consecutive agents that starts at position e A / E.  So
 * every agent is in K E / A windows, plus or minus one, and one agent or
 * entry more or less moves the windows by about one position.  K is at
 * least SUBSET_LOCAL_MIN and at least 2 A / E, so that every agent stays in
 * some window when an entry is lost; it never exceeds A.
 *
 * Then, for the group of agents that serve a model or a service, the entry
 * selects more agents until it has SUBSET_GROUP_LOCAL_MIN local ones, and
 * SUBSET_GROUP_REMOTE_MIN in other data centres for failover, as far as the
 * group has that many.
 */

#define SUBSET_LOCAL_MIN 16
#define SUBSET_GROUP_LOCAL_MIN 3
#define SUBSET_GROUP_REMOTE_MIN 2
#define SUBSET_AGENTS_MAX 1024
#define SUBSET_GROUPS_MAX 512 /* distinct groups considered */

enum subset_selection {
	SUBSET_NOT_SELECTED = 0,
	SUBSET_SELECTED_LOCAL = 1, /* in this data centre */
	SUBSET_SELECTED_REMOTE = 2 /* in another one, for failover */
};

struct subset_agent {
	char id[SETTINGS_NAME_SIZE];
	char upstream[SETTINGS_NAME_SIZE];
	char data_center[SETTINGS_NAME_SIZE];
	char address[SETTINGS_ADDRESS_SIZE];
	uint64_t ring_hash;
	int is_local;
	enum subset_selection selection; /* result of subset_select() */
};

void subset_agent_hash(struct subset_agent *a);
void subset_select(struct subset_agent *agents, int count, int rank,
		   int entries, const struct document *d);
int subset_window_size(int agents, int entries);

#endif
