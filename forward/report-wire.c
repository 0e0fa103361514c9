#include "forward/report-wire.h"

/* See report-wire.h. */
size_t report_encode(const load_report *r, const struct rpc_keys *keys,
		     char out[REPORT_MAX_BYTES])
{
	return datagram_encode((xdrproc_t)xdr_load_report, r, keys, out);
}

/* See report-wire.h. */
int report_decode(const char *data, size_t size, const struct rpc_keys *keys,
		  load_report *out)
{
	return datagram_decode((xdrproc_t)xdr_load_report, data, size, keys,
			       out, sizeof(*out));
}
