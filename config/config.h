#ifndef CONFIG_CONFIG_H
#define CONFIG_CONFIG_H

#include "net/node.h"

/*
 * Adds the configuration component to a node that is not running yet.
 * Returns 0, or sets *err.
 */
int config_start(struct node *n, struct error *err);

#endif
