#ifndef NET_RPC_REPLY_H
#define NET_RPC_REPLY_H

#include <rpc/rpc.h>

#include "net/envelope.h"

/*
 * Sends the server's replies.  The RPC library writes in a loop until the peer
 * has taken all of a reply, which is an instant for one that fits into the
 * connection's buffer.  Larger ones are sent on threads of their own, where the
 * write blocks; the server does not poll the connection meanwhile.
 */

struct rpc_reply_queue;

struct rpc_reply_queue *rpc_reply_queue_start(void);
void rpc_reply_queue_stop(struct rpc_reply_queue *q);
void rpc_reply_send(struct rpc_reply_queue *q, SVCXPRT *xprt,
		    struct envelope_reply *rep, const char *key);
int rpc_reply_wake_fd(const struct rpc_reply_queue *q);
void rpc_reply_take_back(struct rpc_reply_queue *q);

#endif
