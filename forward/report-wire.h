#ifndef FORWARD_REPORT_WIRE_H
#define FORWARD_REPORT_WIRE_H

#include <stddef.h>

#include "forward/report_proto.h"
#include "net/rpc.h"

#define REPORT_MAX_BYTES 1200 /* bytes of a datagram, below usual frames */

/* Writes a datagram; returns its size, 0 when it does not fit. */
size_t report_encode(const load_report *r, const struct rpc_keys *keys,
		     char out[REPORT_MAX_BYTES]);

/* Reads one; -1 when it is not ours.  xdr_free releases *out. */
int report_decode(const char *data, size_t size, const struct rpc_keys *keys,
		  load_report *out);

#endif
