#include "calls/ticket.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/digest.h"
#include "base/random.h"

#define TICKET_PREFIX "t1"
#define TICKET_FIELDS 9 /* prefix, seven values and the HMAC */
#define IDENTITY_BYTES 16

static void set_identity(struct ticket *t, char kind,
			 const unsigned char *bytes)
{
	int i;

	t->identity[0] = kind;
	for (i = 0; i < IDENTITY_BYTES; i++)
		snprintf(t->identity + 1 + 2 * i, 3, "%02x", bytes[i]);
}

/* Sets the identity to 128 random bits, so that it is unique. */
void ticket_set_random_identity(struct ticket *t)
{
	unsigned char bytes[IDENTITY_BYTES];

	random_secure(bytes, sizeof(bytes));
	set_identity(t, 'n', bytes);
}

/*
 * Derives the identity from the caller's idempotency key.  Account and service
 * must be set: the same key of another account gives another identity.
 */
void ticket_set_key_identity(struct ticket *t, const char *key)
{
	char text[1024];
	struct digest d;
	int n;

	n = snprintf(text, sizeof(text), "%s:%s:%s", t->account, t->service,
		     key);
	if (n >= (int)sizeof(text))
		n = sizeof(text) - 1;
	digest_of(text, (size_t)n, &d);
	set_identity(t, 'k', d.bytes);
}

/*
 * Changes a ticket to another generation.  The expiry depends only on that of
 * generation 0 and on the generation: tickets of one identity and generation
 * have the same expiry, whichever entry makes them, and a later generation
 * expires later.  The gate's expiry floor relies on that.
 */
void ticket_set_generation(struct ticket *t, uint32_t generation)
{
	uint64_t first =
		t->expiry - (uint64_t)t->generation * TICKET_LIFETIME_S;

	t->expiry = first + (uint64_t)generation * TICKET_LIFETIME_S;
	t->generation = generation;
}

/* Returns 1 when the identity is derived from the caller's key. */
int ticket_is_keyed(const struct ticket *t)
{
	return t->identity[0] == 'k';
}

/* Encodes the ticket as text, signed with key. */
void ticket_mint(const struct ticket *t, const char *key,
		 char out[TICKET_TEXT_SIZE])
{
	char mac_hex[DIGEST_HEX_SIZE];
	struct digest mac;
	int n;

	n = snprintf(out, TICKET_TEXT_SIZE,
		     TICKET_PREFIX ":%s:%016" PRIx64 ":%" PRIx64 ":%" PRIx32
				   ":%s:%s:%s",
		     t->agent, t->boot, t->expiry, t->generation, t->account,
		     t->service, t->identity);
	digest_hmac(key, out, (size_t)n, &mac);
	digest_hex(&mac, mac_hex);
	snprintf(out + n, TICKET_TEXT_SIZE - (size_t)n, ":%s", mac_hex);
}

static int is_mac_valid(const char *text, size_t size, const char *mac_hex,
			const struct rpc_keys *keys)
{
	struct digest want, given;
	int ret = 0;

	if (digest_parse(mac_hex, &given))
		return 0;
	digest_hmac(keys->current, text, size, &want);
	ret |= bytes_equal_constant_time(&want, &given, sizeof(want));
	if (*keys->previous) {
		digest_hmac(keys->previous, text, size, &want);
		ret |= bytes_equal_constant_time(&want, &given, sizeof(want));
	}
	return ret;
}

/*
 * Splits text at its colons.  Returns the number of fields, or -1 when there
 * are more than TICKET_FIELDS.
 */
static int split_fields(char *text, char *fields[TICKET_FIELDS])
{
	char *rest = text, *field;
	int n = 0;

	while ((field = strsep(&rest, ":"))) {
		if (n == TICKET_FIELDS)
			return -1;
		fields[n++] = field;
	}
	return n;
}

static int copy_name(char *to, size_t size, const char *from)
{
	return snprintf(to, size, "%s", from) >= (int)size || !*from;
}

static int parse_hex(const char *text, uint64_t max, uint64_t *out)
{
	char *end;

	if (!*text || strspn(text, "0123456789abcdef") != strlen(text) ||
	    strlen(text) > 16)
		return -1;
	*out = strtoull(text, &end, 16);
	return *out > max ? -1 : 0;
}

/*
 * Parses a ticket and checks its authentication code against the current and
 * the previous key.  Returns -1 with ERROR_AUTH when neither key matches, and
 * with ERROR_INVALID for malformed text.
 */
int ticket_verify(const char *text, const struct rpc_keys *keys,
		  struct ticket *t, struct error *err)
{
	char copy[TICKET_TEXT_SIZE], *f[TICKET_FIELDS];
	const char *mac = strrchr(text, ':');
	uint64_t generation = 0;

	memset(t, 0, sizeof(*t));
	if (!mac || strlen(text) >= sizeof(copy))
		goto malformed;
	if (!is_mac_valid(text, (size_t)(mac - text), mac + 1, keys))
		return error_set(err, ERROR_AUTH, "ticket-verify", NULL,
				 "the ticket's authentication code is wrong");
	snprintf(copy, sizeof(copy), "%s", text);
	if (split_fields(copy, f) != TICKET_FIELDS ||
	    strcmp(f[0], TICKET_PREFIX) != 0)
		goto malformed;
	if (copy_name(t->agent, sizeof(t->agent), f[1]) ||
	    parse_hex(f[2], UINT64_MAX, &t->boot) ||
	    parse_hex(f[3], UINT64_MAX, &t->expiry) ||
	    parse_hex(f[4], UINT32_MAX, &generation) ||
	    copy_name(t->account, sizeof(t->account), f[5]) ||
	    copy_name(t->service, sizeof(t->service), f[6]) ||
	    strlen(f[7]) != TICKET_IDENTITY_SIZE - 1 ||
	    copy_name(t->identity, sizeof(t->identity), f[7]))
		goto malformed;
	t->generation = (uint32_t)generation;
	return 0;
malformed:
	return error_set(err, ERROR_INVALID, "ticket-verify", NULL,
			 "not a ticket");
}
