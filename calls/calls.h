#ifndef CALLS_CALLS_H
#define CALLS_CALLS_H

#include "net/node.h"

/* Adds calls to an entry's node, which must not be running yet. */
int calls_start(struct node *n, struct error *err);

#endif
