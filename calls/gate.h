#ifndef CALLS_GATE_H
#define CALLS_GATE_H

#include "net/node.h"

/* Adds this component to a node that is not running yet. */
int gate_start(struct node *n, struct error *err);

#endif
