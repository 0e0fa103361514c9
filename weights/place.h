#ifndef WEIGHTS_PLACE_H
#define WEIGHTS_PLACE_H

#include <stdint.h>

#include "base/digest.h"
#include "base/settings.h"

/*
 * Which instances bring a chunk into a data centre, and which may draw it
 * from the origin.  All of it is a function of the view alone, so instances
 * with equal views agree without a message.
 *
 * In each data centre a few instances, the carriers of a version, are the
 * first in rendezvous order; each chunk ranks them anew.  A chunk's data
 * centres are ranked too: the carrier of the first draws the chunk from the
 * origin, the carriers of the others pull it across from there.
 */

#define PLACE_CARRIERS_MAX 4 /* in each data centre */
#define PLACE_DATA_CENTERS_MAX 32
#define PLACE_PERMITS_MAX 4 /* copies from the origin, whatever happens */
#define PLACE_NO_PERMIT (-1)

struct place_member {
	char id[SETTINGS_NAME_SIZE];
	char address[SETTINGS_ADDRESS_SIZE];
	int data_center;   /* index into the view's names */
	int is_live;	   /* 0: leaving, suspect or dead */
	uint64_t hash;	   /* of the id under the version */
	int carrier_order; /* among those counted in its data centre, or -1 */
};

struct place_view {
	char data_centers[PLACE_DATA_CENTERS_MAX][SETTINGS_NAME_SIZE];
	int data_center_count;
	struct place_member *members; /* sorted by id */
	int member_count;
	/* Members by order in each data centre, -1 for none. */
	int carriers[PLACE_DATA_CENTERS_MAX][PLACE_CARRIERS_MAX];
	int self; /* index of this instance, -1 when it is not there */
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
