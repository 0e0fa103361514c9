#ifndef MEMBER_MEMBER_H
#define MEMBER_MEMBER_H

#include "net/node.h"

/* Adds this component to a node that is not running yet. */
int member_start(struct node *n, struct error *err);

#endif
