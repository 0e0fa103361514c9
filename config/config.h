#ifndef CONFIG_CONFIG_H
#define CONFIG_CONFIG_H

#include "net/node.h"

/* Adds this component to a node that is not running yet. */
int config_start(struct node *n, struct error *err);

#endif
