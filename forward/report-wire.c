#include "forward/report-wire.h"

#include <string.h>

#include "base/digest.h"

/* See report-wire.h. */
size_t report_encode(const load_report *r, const struct rpc_keys *keys,
		     char out[REPORT_MAX_BYTES])
{
	struct digest mac;
	size_t n = 0;
	XDR x;

	xdrmem_create(&x, out, REPORT_MAX_BYTES - DIGEST_SIZE, XDR_ENCODE);
	if (xdr_load_report(&x, (load_report *)r))
		n = xdr_getpos(&x);
	xdr_destroy(&x);
	if (!n)
		return 0;
	digest_hmac(keys->current, out, n, &mac);
	memcpy(out + n, mac.bytes, DIGEST_SIZE);
	return n + DIGEST_SIZE;
}

static int is_mac_valid(const char *data, size_t size, const char *key)
{
	struct digest mac;

	if (!*key)
		return 0;
	digest_hmac(key, data, size, &mac);
	return bytes_equal_constant_time(mac.bytes, data + size, DIGEST_SIZE);
}

/* See report-wire.h. */
int report_decode(const char *data, size_t size, const struct rpc_keys *keys,
		  load_report *out)
{
	int ok;
	XDR x;

	memset(out, 0, sizeof(*out));
	if (size <= DIGEST_SIZE || size > REPORT_MAX_BYTES)
		return -1;
	size -= DIGEST_SIZE;
	if (!is_mac_valid(data, size, keys->current) &&
	    !is_mac_valid(data, size, keys->previous))
		return -1;
	xdrmem_create(&x, (char *)data, (u_int)size, XDR_DECODE);
	ok = xdr_load_report(&x, out);
	xdr_destroy(&x);
	if (ok)
		return 0;
	xdr_free((xdrproc_t)xdr_load_report, (char *)out);
	memset(out, 0, sizeof(*out));
	return -1;
}
