#ifndef CALLS_GATE_H
#define CALLS_GATE_H

#include "net/node.h"

int gate_start(struct node *n, struct error *err);

#endif
