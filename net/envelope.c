#include "net/envelope.h"

#include <stdlib.h>
#include <string.h>

#include "base/settings.h"

/* Added to a text for what a reply says beside it. */
#define REPLY_OVERHEAD_BYTES 4096

unsigned int envelope_reply_max =
	SETTINGS_VALUE_BYTES * SETTINGS_TEXT_GROWTH + REPLY_OVERHEAD_BYTES;

/* Sets the bytes of the longest text in a reply; call before any exchange. */
void envelope_set_text_max(size_t size)
{
	envelope_reply_max = (unsigned int)(size + REPLY_OVERHEAD_BYTES);
}

/*
 * Encodes a value into memory from malloc.  Returns -1 when encoding fails.
 */
int xdr_to_memory(xdrproc_t xdr, const void *value, char **data, u_int *size)
{
	XDR x;

	*size = (u_int)xdr_sizeof(xdr, (void *)value);
	*data = malloc(*size ? *size : 1);
	if (!*data)
		return -1;
	xdrmem_create(&x, *data, *size, XDR_ENCODE);
	if (!xdr(&x, (void *)value)) {
		free(*data);
		*data = NULL;
		return -1;
	}
	return 0;
}

/*
 * Decodes a value, zeroed by the caller.  On failure, or when bytes are left
 * over, frees the decoded parts and returns -1.
 */
int xdr_from_memory(xdrproc_t xdr, void *value, const char *data, u_int size)
{
	XDR x;
	int ok;

	xdrmem_create(&x, (char *)data, size, XDR_DECODE);
	ok = xdr(&x, value) && xdr_getpos(&x) == size;
	if (ok)
		return 0;
	xdr_free(xdr, value);
	return -1;
}

static int compute_mac(xdrproc_t xdr, const void *value, const char *key,
		       struct digest *mac)
{
	char *data;
	u_int size;

	if (xdr_to_memory(xdr, value, &data, &size))
		return -1;
	digest_hmac(key, data, size, mac);
	free(data);
	return 0;
}

static int is_mac_valid(xdrproc_t xdr, const void *value,
			const struct rpc_keys *keys, const char *mac)
{
	struct digest want;

	if (compute_mac(xdr, value, keys->current, &want))
		return 0;
	if (bytes_equal_constant_time(want.bytes, mac, DIGEST_SIZE))
		return 1;
	if (!*keys->previous || compute_mac(xdr, value, keys->previous, &want))
		return 0;
	return bytes_equal_constant_time(want.bytes, mac, DIGEST_SIZE);
}

/* Points e->mac at *mac and fills it in.  Returns -1 on failure. */
int envelope_request_sign(struct envelope_request *e, const char *key,
			  struct digest *mac)
{
	e->mac.mac_len = 0;
	e->mac.mac_val = NULL;
	if (compute_mac((xdrproc_t)xdr_envelope_request, e, key, mac))
		return -1;
	e->mac.mac_len = DIGEST_SIZE;
	e->mac.mac_val = (char *)mac->bytes;
	return 0;
}

/* Returns 0 when the envelope was signed with one of the keys, else -1. */
int envelope_request_verify(struct envelope_request *e,
			    const struct rpc_keys *keys)
{
	char *mac = e->mac.mac_val;
	int ok;

	if (e->mac.mac_len != DIGEST_SIZE)
		return -1;
	e->mac.mac_len = 0;
	ok = is_mac_valid((xdrproc_t)xdr_envelope_request, e, keys, mac);
	e->mac.mac_len = DIGEST_SIZE;
	return ok ? 0 : -1;
}

/* Points e->mac at *mac and fills it in.  Returns -1 on failure. */
int envelope_reply_sign(struct envelope_reply *e, const char *key,
			struct digest *mac)
{
	e->mac.mac_len = 0;
	e->mac.mac_val = NULL;
	if (compute_mac((xdrproc_t)xdr_envelope_reply, e, key, mac))
		return -1;
	e->mac.mac_len = DIGEST_SIZE;
	e->mac.mac_val = (char *)mac->bytes;
	return 0;
}

/* Returns 0 when the reply was signed with one of the keys, else -1. */
int envelope_reply_verify(struct envelope_reply *e, const struct rpc_keys *keys)
{
	char *mac = e->mac.mac_val;
	int ok;

	if (e->mac.mac_len != DIGEST_SIZE)
		return -1;
	e->mac.mac_len = 0;
	ok = is_mac_valid((xdrproc_t)xdr_envelope_reply, e, keys, mac);
	e->mac.mac_len = DIGEST_SIZE;
	return ok ? 0 : -1;
}
