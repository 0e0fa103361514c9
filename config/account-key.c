#include "config/account-key.h"

#include <openssl/evp.h>
#include <string.h>

/* Derives what identifies a key from the key itself. */
void account_key_of(const char *key, size_t size, struct account_key *out)
{
	struct digest d;

	digest_of(key, size, &d);
	memcpy(out->bytes, d.bytes, ACCOUNT_KEY_SIZE);
}

/*
 * Writes the short form, which has no padding.  With the digest in full, a
 * configuration of short keys would grow by twice as much when it is converted.
 */
void account_key_text(const struct account_key *k,
		      char out[ACCOUNT_KEY_TEXT_SIZE])
{
	EVP_EncodeBlock((unsigned char *)out, k->bytes, ACCOUNT_KEY_SIZE);
}

/*
 * Parses the SHA-256 of a key in 64 hex digits, as in account files, or the
 * short form.  Returns -1 if text is neither.
 */
int account_key_parse(const char *text, struct account_key *out)
{
	static const char alphabet[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
				       "abcdefghijklmnopqrstuvwxyz0123456789+/";
	struct digest d;

	if (strlen(text) == ACCOUNT_KEY_TEXT_SIZE - 1 &&
	    strspn(text, alphabet) == ACCOUNT_KEY_TEXT_SIZE - 1)
		return EVP_DecodeBlock(out->bytes, (const unsigned char *)text,
				       ACCOUNT_KEY_TEXT_SIZE - 1) ==
				       ACCOUNT_KEY_SIZE
			       ? 0
			       : -1;
	if (digest_parse(text, &d))
		return -1;
	memcpy(out->bytes, d.bytes, ACCOUNT_KEY_SIZE);
	return 0;
}
