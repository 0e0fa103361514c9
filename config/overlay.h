#ifndef CONFIG_OVERLAY_H
#define CONFIG_OVERLAY_H

#include <stdint.h>

#include "base/settings.h"

/*
 * Computes the communication graph from the instance table, in each process
 * on its own: which processes of a data centre watch the platform, and
 * which neighbours a process notifies of new versions.  Processes with the
 * same table compute the same graph; if their tables differ, their graphs
 * differ in few places.
 */

#define OVERLAY_WATCHERS 2 /* processes per data centre that watch */
#define OVERLAY_DEGREE 3   /* ring neighbours in the local data centre */

/* Maximum number of peers that a watcher notifies beside its neighbours. */
#define OVERLAY_EXTRA_PEERS_MAX 32

/* Share of OVERLAY_EXTRA_PEERS_MAX for entries of the local data centre. */
#define OVERLAY_ENTRIES_MAX 8

/* An instance that may take part: neither draining nor dead. */
struct overlay_member {
	char id[SETTINGS_NAME_SIZE];
	char data_center[SETTINGS_NAME_SIZE];
	char address[SETTINGS_ADDRESS_SIZE];
	int is_entry;	      /* entries have faster links than agents */
	uint64_t watch_score; /* watchers have the lowest; entries first */
	uint64_t ring_score;  /* position on the ring; entries first */
};

struct overlay {
	int watch_rank;	 /* of this process in its data centre */
	int local_count; /* members of the local data centre, with this one */
	int data_center_count; /* at least 1 */
	int neighbor_count;
	char neighbors[OVERLAY_DEGREE][SETTINGS_ADDRESS_SIZE];
	int successor_count; /* next members on the ring */
	char successors[2][SETTINGS_ADDRESS_SIZE];

	/* Local entries and remote watchers; only if this process watches. */
	int extra_peer_count;
	char extra_peers[OVERLAY_EXTRA_PEERS_MAX][SETTINGS_ADDRESS_SIZE];
};

void overlay_compute_scores(struct overlay_member *m);
const struct overlay_member *
overlay_find_rank(const struct overlay_member *members, int n, int rank);
void overlay_build(struct overlay *o, struct overlay_member *members, int count,
		   const struct overlay_member *self);

#endif
