#ifndef FORWARD_FORWARD_H
#define FORWARD_FORWARD_H

#include "forward/wire.h"
#include "net/node.h"

/*
 * Forwards requests by host and path to upstreams that the platform lists.
 * The agents beside the upstreams report their load; requests are sent to the
 * upstreams directly.
 */

/* Adds this component to an entry that is not running yet. */
int forward_start(struct node *n, const struct wire_ops *wire,
		  struct error *err);

#endif
