#ifndef CONFIG_HEARTBEAT_H
#define CONFIG_HEARTBEAT_H

#include "config/component.h"

/*
 * Heartbeats of the processes that read the platform, to the entries of their
 * data centre (fallback.c decides what follows from their silence).
 */

/*
 * Sends a heartbeat if one is due.  Called with each step of the component; the
 * first one, once the node has its ports, opens the sockets.
 */
void heartbeat_step(struct config *c, apr_time_t now);

#endif
