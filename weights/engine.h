#ifndef WEIGHTS_ENGINE_H
#define WEIGHTS_ENGINE_H

#include "weights/internal.h"

/* A request to the engine: state, staging list, order or chunk read. */
struct engine_call {
	struct fetch fetch;
	struct fetch_ops ops;
	struct weights *w;
	struct handle model;
	uint64_t swarm_id;
	char url[WEIGHTS_URL_SIZE];
	char *body;
	struct digest digest;
	struct blob *blob; /* buffer of a chunk that is read back, or NULL */
	size_t received_bytes;
};

struct engine_call *engine_call_new(struct weights *w, const char *path,
				    void (*done)(struct fetch *f));
void engine_call_free(struct engine_call *x);

/* staging.c */
struct engine_call *engine_read_new(struct weights *w, struct handle h,
				    const struct model_row *m, uint32_t chunk,
				    void (*done)(struct fetch *f));
int engine_read_is_valid(const struct engine_call *x);
void staging_start_verification(struct weights *w, struct handle h,
				struct model_row *m);

#endif
