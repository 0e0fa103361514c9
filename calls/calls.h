#ifndef CALLS_CALLS_H
#define CALLS_CALLS_H

#include "net/node.h"

/* Adds this component to a node that is not running yet. */
int calls_start(struct node *n, struct error *err);

#endif
