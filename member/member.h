#ifndef MEMBER_MEMBER_H
#define MEMBER_MEMBER_H

#include "net/node.h"

/* Adds this component to a node that is not running yet. */
int member_start(struct node *n, struct error *err);

/*
 * Greets an instance that others would not greet from here, so that both
 * ends have heard from each other lately.  id is who should be there.
 */
void member_send_hello(const char *address, const char *id);

/* Returns 1 when the platform's list names this process, at the last look. */
int member_is_self_listed(void);

#endif
