#ifndef WEIGHTS_WEIGHTS_H
#define WEIGHTS_WEIGHTS_H

#include "base/digest.h"
#include "net/node.h"

/* Adds this component to a node that is not running yet. */
struct engine_ops;
struct engine_state;

int weights_start(struct node *n, const struct engine_ops *ops,
		  struct error *err);

/*
 * Returns 1 and the version when this agent's upstream may take calls for a
 * model: a whole version runs, it was read back since the last pause, and it
 * is not one that an older order brought back.
 */
/*
 * Copies what the engine said last; -1 when that is too old to be passed on.
 * Any thread.
 */
int weights_get_engine_state(struct node *n, struct engine_state *out,
			     apr_time_t now);

int weights_can_serve(struct node *n, const char *model,
		      char version[DIGEST_HEX_SIZE]);

#endif
