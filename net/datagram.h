#ifndef NET_DATAGRAM_H
#define NET_DATAGRAM_H

#include <pthread.h>
#include <rpc/rpc.h>
#include <stddef.h>

#include "net/node.h"
#include "net/rpc.h"

/* Messages of one datagram each: an XDR form, followed by its HMAC-SHA-256. */

/* Maximum size of a datagram, below the usual frame size. */
#define DATAGRAM_MAX_BYTES 1200

struct datagram_receiver {
	int fd;
	int is_stopping; /* atomic */
	pthread_t thread;
	void (*on_datagram)(void *arg, const char *data, size_t size);
	void *arg;
};

/*
 * Encodes and signs a message. Returns the size of the datagram in bytes, or 0
 * when the message does not fit.
 */
size_t datagram_encode(xdrproc_t proc, const void *message,
		       const struct rpc_keys *keys,
		       char out[DATAGRAM_MAX_BYTES]);

/*
 * Verifies a datagram and decodes it into *out, which is of that many bytes;
 * xdr_free releases it. Returns -1 when its size, signature or form is not
 * valid.
 */
int datagram_decode(xdrproc_t proc, const char *data, size_t size,
		    const struct rpc_keys *keys, void *out, size_t out_size);

/* Returns a socket for datagrams from a port of this instance, 0: any; or -1. */
int datagram_open(const struct node *n, int port);

/*
 * Calls on_datagram for each datagram that arrives at a port of this instance,
 * on a thread of its own that ends with the node.
 */
int datagram_receive_start(struct datagram_receiver *r, struct node *n,
			   int port, struct error *err);

#endif
