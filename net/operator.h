#ifndef NET_OPERATOR_H
#define NET_OPERATOR_H

#include "net/httpd.h"

struct node;

/*
 * Adds the routes of the operator port: /status, /metrics, /ready, /drain,
 * and /cut if the settings allow fault injection.
 */
void operator_start(struct node *n);

void operator_ready_serve(struct http_call *c, void *arg);

#endif
