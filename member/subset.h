#ifndef MEMBER_SUBSET_H
#define MEMBER_SUBSET_H

#include <stdint.h>

#include "base/settings.h"

struct document;

/*
 * Which agents an entry keeps in touch with, and may route to.
 *
 * Agents and entries of a data centre stand on a ring by hash of their ids.
 * The entry of rank e of E takes a window of K consecutive agents out of A,
 * from place e A / E on.  So every agent is in K E / A windows, give or
 * take one, and one more or one less on either side moves windows by a
 * place or so.  K is at least SUBSET_LOCAL_MIN and at least 2 A / E, so that
 * every agent stays in some window when an entry is lost.
 *
 * Then, for each model and service, the entry adds agents of that group
 * until it has SUBSET_GROUP_LOCAL_MIN of them, and SUBSET_GROUP_REMOTE_MIN in other data centres
 * to fall over to.
 */

#define SUBSET_LOCAL_MIN 16
#define SUBSET_GROUP_LOCAL_MIN 3
#define SUBSET_GROUP_REMOTE_MIN 2
#define SUBSET_AGENTS_MAX 1024
#define SUBSET_GROUPS_MAX 512 /* sets of agents that differ */

enum subset_selection {
	SUBSET_NOT_SELECTED = 0,
	SUBSET_SELECTED_LOCAL = 1, /* in this data centre */
	SUBSET_SELECTED_REMOTE = 2 /* elsewhere, for fall-over */
};

struct subset_agent {
	char id[SETTINGS_NAME_SIZE];
	char upstream[SETTINGS_NAME_SIZE];
	char data_center[SETTINGS_NAME_SIZE];
	char address[SETTINGS_ADDRESS_SIZE];
	uint64_t ring_hash;
	int is_local;
	enum subset_selection selection; /* result */
};

void subset_agent_hash(struct subset_agent *a);
void subset_select(struct subset_agent *agents, int count, int rank,
		   int entries, const struct document *d);
int subset_window_size(int agents, int entries);

#endif
