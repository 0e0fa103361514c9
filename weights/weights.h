#ifndef WEIGHTS_WEIGHTS_H
#define WEIGHTS_WEIGHTS_H

#include "base/digest.h"
#include "net/node.h"

struct engine_ops;
struct engine_state;

/*
 * Adds the distribution of weights to an agent that is not running yet.
 * Agents of plain services get none. Returns 0, or -1 and sets err.
 */
int weights_start(struct node *n, const struct engine_ops *ops,
		  struct error *err);

/*
 * Copies the last state that the engine reported. Returns -1 when that state
 * is too old to be sent to entries. May be called from any thread.
 */
int weights_get_engine_state(struct node *n, struct engine_state *out,
			     apr_time_t now);

/*
 * Returns 1 and the running version when this agent's upstream may take calls
 * for a model: a complete version runs, the engine reported it after the last
 * pause of the process, and no older order has loaded it.
 */
int weights_can_serve(struct node *n, const char *model,
		      char version[DIGEST_HEX_SIZE]);

#endif
