#ifndef NET_ENVELOPE_H
#define NET_ENVELOPE_H

#include "base/digest.h"
#include "net/envelope_proto.h"
#include "net/rpc.h"

/* Signs and verifies envelopes; encodes XDR to and from memory. */

void envelope_set_text_max(size_t size);

int envelope_request_sign(struct envelope_request *e, const char *key,
			  struct digest *mac);
int envelope_request_verify(struct envelope_request *e,
			    const struct rpc_keys *keys);
int envelope_reply_sign(struct envelope_reply *e, const char *key,
			struct digest *mac);
int envelope_reply_verify(struct envelope_reply *e,
			  const struct rpc_keys *keys);

int xdr_to_memory(xdrproc_t xdr, const void *value, char **data, u_int *size);
int xdr_from_memory(xdrproc_t xdr, void *value, const char *data, u_int size);

#endif
