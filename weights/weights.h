#ifndef WEIGHTS_WEIGHTS_H
#define WEIGHTS_WEIGHTS_H

#include "net/node.h"

/* Adds this component to a node that is not running yet. */
int weights_start(struct node *n, struct error *err);

#endif
