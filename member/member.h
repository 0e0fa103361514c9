#ifndef MEMBER_MEMBER_H
#define MEMBER_MEMBER_H

#include "net/node.h"

/*
 * Adds the membership component to a node that is not running yet.  Returns
 * 0, or -1 with *err set.
 */
int member_start(struct node *n, struct error *err);

/*
 * Sends a hello to an instance that this process does not contact otherwise,
 * so that both have a recent contact time for each other.  id is the
 * instance expected at address.  To be called on the controller thread.
 */
void member_send_hello(const char *address, const char *id);

/* Returns 1 when the last list of the platform names this process. */
int member_is_self_listed(void);

#endif
