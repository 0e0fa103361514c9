#ifndef WEIGHTS_TRANSFER_H
#define WEIGHTS_TRANSFER_H

#include <openssl/evp.h>

#include "weights/internal.h"

/* A chunk on its way from its source into staging; shared by transfer*.c. */

struct transfer {
	struct fetch fetch;
	struct weights *w;
	struct handle model;
	uint64_t swarm_id;
	struct swarm_action action;
	struct digest digest;
	struct blob *blob;
	size_t received_bytes;
	apr_time_t first_byte_at; /* arrival of the first bytes, or 0 */
	uint64_t origin_offset; /* position of the chunk in the origin's file */
	char stage_path[ENGINE_PATH_SIZE];
	int origin_attempts;
	int stage_attempts;	     /* attempts that ended in parking */
	int is_parked;		     /* not counted as in flight */
	apr_time_t stage_not_before; /* next attempt of a parked chunk */
	struct transfer *next;
	/* in the list of receiving transfers */
	struct transfer *next_receiving, **link;
	apr_interval_time_t
		requested_wait; /* delay that the sender asked for */
	EVP_MD_CTX *sha;
	char peer[SETTINGS_NAME_SIZE];
	char url[WEIGHTS_URL_SIZE];
	char range_header[64];
	char held_header[32];
	char sender_header[sizeof(HINT_SENDER_HEADER) + SETTINGS_NAME_SIZE + 4];
	char hint_header[sizeof(HINT_HEADER) + HINT_SIZE + 4];
};

void transfer_free(struct transfer *t);
void transfer_end(struct transfer *t, enum transfer_result result);
int transfer_is_superseded(const struct transfer *t, const struct model_row *m);

/* transfer-stage.c */
int transfer_stage(struct transfer *t);

#endif
