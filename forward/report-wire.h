#ifndef FORWARD_REPORT_WIRE_H
#define FORWARD_REPORT_WIRE_H

#include <stddef.h>

#include "forward/report_proto.h"
#include "net/datagram.h"

#define REPORT_MAX_BYTES DATAGRAM_MAX_BYTES

/*
 * Encodes and signs a report. Returns the size of the datagram in bytes, or 0
 * when the report does not fit.
 */
size_t report_encode(const load_report *r, const struct rpc_keys *keys,
		     char out[REPORT_MAX_BYTES]);

/*
 * Verifies and decodes a datagram; xdr_free releases *out. Returns -1 when its
 * size, signature or form is not valid.
 */
int report_decode(const char *data, size_t size, const struct rpc_keys *keys,
		  load_report *out);

#endif
