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
 * place or so.  K is at least SUBSET_NEAR and at least 2 A / E, so that
 * every agent stays in some window when an entry is lost.
 *
 * Then, for each model and service, the entry adds agents of that group
 * until it has SUBSET_GROUP of them, and SUBSET_FAR in other data centres
 * to fall over to.
 */

#define SUBSET_NEAR 16
#define SUBSET_GROUP 3
#define SUBSET_FAR 2
#define SUBSET_AGENTS_MAX 1024
#define SUBSET_GROUPS_MAX 512 /* sets of agents that differ */

enum subset_place {
	SUBSET_OUT = 0,
	SUBSET_IN_NEAR = 1, /* in this data centre */
	SUBSET_IN_FAR = 2   /* elsewhere, for fall-over */
};

struct subset_agent {
	char id[SETTINGS_NAME_SIZE];
	char upstream[SETTINGS_NAME_SIZE];
	char data_center[SETTINGS_NAME_SIZE];
	char address[SETTINGS_ADDRESS_SIZE];
	uint64_t score;
	int near;
	enum subset_place place; /* result */
};

void subset_agent_score(struct subset_agent *a);
void subset_choose(struct subset_agent *agents, int count, int rank,
		   int entries, const struct document *d);
int subset_window(int agents, int entries);

#endif
