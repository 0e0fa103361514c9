#ifndef CONFIG_ACCOUNT_KEY_H
#define CONFIG_ACCOUNT_KEY_H

#include "base/digest.h"

/*
 * Bearer keys as the document holds them.  A key itself is in no document: the
 * leading 144 bits of its SHA-256 identify it.
 */

#define ACCOUNT_KEY_SIZE 18
#define ACCOUNT_KEY_TEXT_SIZE 25 /* in base64, with the terminating NUL */

struct account_key {
	unsigned char bytes[ACCOUNT_KEY_SIZE];
};

void account_key_of(const char *key, size_t size, struct account_key *out);
void account_key_text(const struct account_key *k,
		      char out[ACCOUNT_KEY_TEXT_SIZE]);
int account_key_parse(const char *text, struct account_key *out);

#endif
