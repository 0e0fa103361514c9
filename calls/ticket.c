#include "calls/ticket.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/digest.h"
#include "base/random.h"

#define TICKET_PREFIX "t1"
#define TICKET_FIELDS 9 /* prefix, seven values, authentication code */
#define IDENTITY_BYTES 16

static void identity_hex(struct ticket *t, char kind,
			 const unsigned char *bytes)
{
	int i;

	t->identity[0] = kind;
	for (i = 0; i < IDENTITY_BYTES; i++)
		snprintf(t->identity + 1 + 2 * i, 3, "%02x", bytes[i]);
}

/* Gives the ticket an identity that no other ticket has. */
void ticket_set_random_identity(struct ticket *t)
{
	unsigned char bytes[IDENTITY_BYTES];

	random_secure(bytes, sizeof(bytes));
	identity_hex(t, 'n', bytes);
}

/*
 * Derives the identity from the caller's own key.  Account and service must
 * be set: the same key of another account is another identity.
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
	identity_hex(t, 'k', d.bytes);
}

/*
 * Turns a ticket into one of a later generation.  Its expiry follows from
 * the first one's alone: whichever entry renews it, the same identity and
 * generation have the same expiry, and a later generation a later one.
 * The gate's floor relies on that.
 */
void ticket_set_generation(struct ticket *t, uint32_t generation)
{
	uint64_t first =
		t->expiry - (uint64_t)t->generation * TICKET_LIFETIME_S;

	t->expiry = first + (uint64_t)generation * TICKET_LIFETIME_S;
	t->generation = generation;
}

/* Returns 1 when the identity comes from the caller's own key. */
int ticket_is_keyed(const struct ticket *t)
{
	return t->identity[0] == 'k';
}

/* Writes the ticket's text, signed with key. */
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

static int mac_matches(const char *text, size_t size, const char *mac_hex,
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

/* Splits text at its colons.  Returns the number of fields. */
static int fields_split(char *text, char *fields[TICKET_FIELDS])
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

static int name_copy(char *to, size_t size, const char *from)
{
	return snprintf(to, size, "%s", from) >= (int)size || !*from;
}

static int number_parse(const char *text, uint64_t max, uint64_t *out)
{
	char *end;

	if (!*text || strspn(text, "0123456789abcdef") != strlen(text) ||
	    strlen(text) > 16)
		return -1;
	*out = strtoull(text, &end, 16);
	return *out > max ? -1 : 0;
}

/*
 * Reads a ticket and checks its authentication code with both keys.
 * Returns -1 for a text that no process of this system minted.
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
	if (!mac_matches(text, (size_t)(mac - text), mac + 1, keys))
		return error_set(err, ERROR_AUTH, "ticket-verify", NULL,
				 "the ticket's authentication code is wrong");
	snprintf(copy, sizeof(copy), "%s", text);
	if (fields_split(copy, f) != TICKET_FIELDS ||
	    strcmp(f[0], TICKET_PREFIX) != 0)
		goto malformed;
	if (name_copy(t->agent, sizeof(t->agent), f[1]) ||
	    number_parse(f[2], UINT64_MAX, &t->boot) ||
	    number_parse(f[3], UINT64_MAX, &t->expiry) ||
	    number_parse(f[4], UINT32_MAX, &generation) ||
	    name_copy(t->account, sizeof(t->account), f[5]) ||
	    name_copy(t->service, sizeof(t->service), f[6]) ||
	    strlen(f[7]) != TICKET_IDENTITY_SIZE - 1 ||
	    name_copy(t->identity, sizeof(t->identity), f[7]))
		goto malformed;
	t->generation = (uint32_t)generation;
	return 0;
malformed:
	return error_set(err, ERROR_INVALID, "ticket-verify", NULL,
			 "not a ticket");
}
