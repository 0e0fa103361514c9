#include "base/digest.h"

#include <openssl/crypto.h>
#include <openssl/hmac.h>
#include <openssl/sha.h>
#include <string.h>
#include <xxhash.h>

/* Computes the SHA-256 digest of size bytes. */
void digest_of(const void *data, size_t size, struct digest *out)
{
	SHA256(data, size, out->bytes);
}

/* Writes the digest as 64 lower-case hex digits and a NUL. */
void digest_hex(const struct digest *d, char out[DIGEST_HEX_SIZE])
{
	static const char hex[] = "0123456789abcdef";
	size_t i;

	for (i = 0; i < DIGEST_SIZE; i++) {
		out[2 * i] = hex[d->bytes[i] >> 4];
		out[2 * i + 1] = hex[d->bytes[i] & 15];
	}
	out[2 * DIGEST_SIZE] = '\0';
}

static int hex_value(char c)
{
	if (c >= '0' && c <= '9')
		return c - '0';
	if (c >= 'a' && c <= 'f')
		return c - 'a' + 10;
	return -1;
}

/*
 * Parses a string of exactly 64 lower-case hex digits.  Returns -1 on any
 * other input, including NULL.
 */
int digest_parse(const char *hex, struct digest *out)
{
	size_t i;

	if (!hex || strlen(hex) != 2 * DIGEST_SIZE)
		return -1;
	for (i = 0; i < DIGEST_SIZE; i++) {
		int high = hex_value(hex[2 * i]);
		int low = hex_value(hex[2 * i + 1]);

		if (high < 0 || low < 0)
			return -1;
		out->bytes[i] = (unsigned char)(high << 4 | low);
	}
	return 0;
}

int digest_equal(const struct digest *a, const struct digest *b)
{
	return !memcmp(a->bytes, b->bytes, DIGEST_SIZE);
}

/* Computes the HMAC-SHA-256 of size bytes under a NUL-terminated key. */
void digest_hmac(const char *key, const void *data, size_t size,
		 struct digest *out)
{
	unsigned int n = DIGEST_SIZE;

	HMAC(EVP_sha256(), key, (int)strlen(key), data, size, out->bytes, &n);
}

/*
 * Returns 1 when both buffers are equal.  The run time does not depend on
 * where they differ.
 */
int bytes_equal_constant_time(const void *a, const void *b, size_t size)
{
	return !CRYPTO_memcmp(a, b, size);
}

/* Returns the placement hash (XXH3, 64 bits) of size bytes. */
uint64_t place_hash(const void *data, size_t size, uint64_t seed)
{
	return XXH3_64bits_withSeed(data, size, seed);
}

/* Returns the placement hash of a string, without its NUL. */
uint64_t place_hash_string(const char *s, uint64_t seed)
{
	return XXH3_64bits_withSeed(s, strlen(s), seed);
}
