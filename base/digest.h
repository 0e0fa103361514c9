#ifndef BASE_DIGEST_H
#define BASE_DIGEST_H

#include <stddef.h>
#include <stdint.h>

/* SHA-256 digests, HMAC-SHA-256 and the placement hash (XXH3). */

#define DIGEST_SIZE 32
#define DIGEST_HEX_SIZE 65 /* with the terminating NUL */

struct digest {
	unsigned char bytes[DIGEST_SIZE];
};

void digest_of(const void *data, size_t size, struct digest *out);
void digest_hex(const struct digest *d, char out[DIGEST_HEX_SIZE]);
int digest_parse(const char *hex, struct digest *out);
int digest_equal(const struct digest *a, const struct digest *b);
void digest_hmac(const char *key, const void *data, size_t size,
		 struct digest *out);
int bytes_equal_constant_time(const void *a, const void *b, size_t size);

uint64_t place_hash(const void *data, size_t size, uint64_t seed);
uint64_t place_hash_string(const char *s, uint64_t seed);

#endif
