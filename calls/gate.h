#ifndef CALLS_GATE_H
#define CALLS_GATE_H

#include "net/node.h"

/*
 * Adds the gate to an agent's node that is not running yet.  Returns -1 and
 * fills in err when the crash list cannot be started.
 */
int gate_start(struct node *n, struct error *err);

#endif
