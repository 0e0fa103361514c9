#ifndef WEIGHTS_PLACE_H
#define WEIGHTS_PLACE_H

#include <stdint.h>

#include "base/digest.h"
#include "base/settings.h"

/*
 * Decides which instances bring a chunk into a data centre, and which may
 * fetch it from the origin. The result depends on the view alone, so instances
 * with equal views agree without exchanging messages.
 *
 * In each data centre a few instances, the carriers of a version, are the
 * first in rendezvous order. Each chunk ranks the carriers anew. The data
 * centres of a chunk are ranked too: the carrier of the first one fetches the
 * chunk from the origin, and the carriers of the others pull it from that data
 * centre.
 */

#define PLACE_CARRIERS_MAX 4 /* in each data centre */
#define PLACE_DATA_CENTERS_MAX 32
/*
 * Bound on the copies of a chunk that are fetched from the origin, also under
 * faults.
 */
#define PLACE_PERMITS_MAX 4
#define PLACE_NO_PERMIT (-1)

struct place_member {
	char id[SETTINGS_NAME_SIZE];
	char address[SETTINGS_ADDRESS_SIZE];
	int data_center; /* index into data_centers of the view */
	int is_live;	 /* 0: draining, suspect or dead */
	uint64_t hash;	 /* hash of the ID, seeded with the version */
	/*
	 * Position in the rendezvous order of the data centre, or -1 when the
	 * member does not take part in the order.
	 */
	int carrier_order;
};

struct place_view {
	char data_centers[PLACE_DATA_CENTERS_MAX][SETTINGS_NAME_SIZE];
	int data_center_count;
	struct place_member *members; /* sorted by ID */
	int member_count;
	/*
	 * Indexes of the carriers of each data centre in order, -1 for none.
	 */
	int carriers[PLACE_DATA_CENTERS_MAX][PLACE_CARRIERS_MAX];
	int self; /* index of this instance, or -1 when it is not in the view */
};

void place_view_add(struct place_view *v, const char *id, const char *address,
		    const char *data_center, int live);
void place_view_rank_members(struct place_view *v, const char *self,
			     const struct digest *version);
void place_view_clear(struct place_view *v);
int place_find_member(const struct place_view *v, const char *id);

int place_is_carrier(const struct place_view *v, int member);
int place_member_rank(const struct place_view *v, int member,
		      const struct digest *chunk);
int place_member_at_rank(const struct place_view *v, int data_center,
			 const struct digest *chunk, int rank);
int place_data_center_rank(const struct place_view *v, int data_center,
			   const struct digest *chunk);
int place_member_permit(const struct place_view *v, int member,
			const struct digest *chunk, int permits);
int place_list_neighbours(const struct place_view *v, int *out, int max);

#endif
