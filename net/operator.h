#ifndef NET_OPERATOR_H
#define NET_OPERATOR_H

struct node;

/*
 * The operators' port: /status, /metrics, /ready, /drain, and /cut for
 * fault injection where the settings allow it.
 */
void operator_start(struct node *n);

#endif
