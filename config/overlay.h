#ifndef CONFIG_OVERLAY_H
#define CONFIG_OVERLAY_H

#include <stdint.h>

#include "base/settings.h"

/*
 * Who talks to whom, worked out by each process alone from the instance
 * table: which processes of a data centre watch the platform, and to which
 * neighbours a process passes news.  Two processes with the same table come
 * to the same result; with different tables they differ in few places.
 */

#define OVERLAY_WATCHERS 2	   /* processes of a data centre that watch */
#define OVERLAY_DEGREE 3	   /* neighbours inside the data centre */
#define OVERLAY_EXTRA_PEERS_MAX 32 /* told by a watcher beside its neighbours */
#define OVERLAY_ENTRIES_MAX 8	   /* of these, entries of its data centre */

/* An instance that may take part: neither leaving nor dead. */
struct overlay_member {
	char id[SETTINGS_NAME_SIZE];
	char data_center[SETTINGS_NAME_SIZE];
	char address[SETTINGS_ADDRESS_SIZE];
	int is_entry;	      /* entries have the faster links */
	uint64_t watch_score; /* lowest first, entries before agents */
	uint64_t ring_score;  /* order on the ring, the same */
};

struct overlay {
	int watch_rank;	       /* of this process in its data centre */
	int local_count;       /* members of its data centre, itself included */
	int data_center_count; /* at least 1 */
	int neighbor_count;
	char neighbors[OVERLAY_DEGREE][SETTINGS_ADDRESS_SIZE];
	int successor_count; /* the next ones on the ring */
	char successors[2][SETTINGS_ADDRESS_SIZE];
	int extra_peer_count; /* 0 unless this process watches */
	char extra_peers[OVERLAY_EXTRA_PEERS_MAX][SETTINGS_ADDRESS_SIZE];
};

void overlay_compute_scores(struct overlay_member *m);
void overlay_build(struct overlay *o, struct overlay_member *members, int count,
		   const struct overlay_member *self);

#endif
