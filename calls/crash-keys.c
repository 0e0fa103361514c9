#include <string.h>

#include "calls/crash-table.h"

/* Keys of the items of a request. */

/* Parts up to this size take one digest. */
#define PART_SHORT_MAX 128 /* bytes */

void crash_items_init(struct crash_items *s, const char *account)
{
	s->count = 0;
	s->account = account ? place_hash_string(account, 0) : 0;
}

static void add_item(struct crash_items *s, enum crash_item_kind kind,
		     const struct digest *key)
{
	int i;

	if (s->count == CRASH_ITEMS_MAX)
		return;
	for (i = 0; i < s->count; i++)
		if (digest_equal(&s->keys[i], key))
			return;
	s->kinds[s->count] = kind;
	s->keys[s->count++] = *key;
}

/* Adds the request itself: all with the same account, path and body. */
void crash_items_add_request(struct crash_items *s, const char *account,
			     const char *path, const void *body, size_t size)
{
	struct digest key;

	crash_fingerprint(account, path, body, size, &key);
	add_item(s, CRASH_ITEM_REQUEST, &key);
}

/*
 * Adds a part that the request shares with others.  Items beyond
 * CRASH_ITEMS_MAX are left out.
 */
void crash_items_add_part(struct crash_items *s, const char *part, size_t size)
{
	static const char tag[] = "prompt part ";
	char text[sizeof(tag) + PART_SHORT_MAX];
	struct digest key;

	memcpy(text, tag, sizeof(tag));
	if (size <= PART_SHORT_MAX) {
		memcpy(text + sizeof(tag), part, size);
		digest_of(text, sizeof(tag) + size, &key);
	} else {
		digest_of(part, size, &key);
		memcpy(text + sizeof(tag), &key, sizeof(key));
		text[0] = 'P';
		digest_of(text, sizeof(tag) + sizeof(key), &key);
	}
	add_item(s, CRASH_ITEM_PART, &key);
}

/* Writes a key as 2 * CRASH_KEY_SIZE digits and a NUL. */
void crash_format_key(const unsigned char *key, char *hex)
{
	static const char digits[] = "0123456789abcdef";
	int i;

	for (i = 0; i < CRASH_KEY_SIZE; i++) {
		hex[2 * i] = digits[key[i] >> 4];
		hex[2 * i + 1] = digits[key[i] & 15];
	}
	hex[2 * CRASH_KEY_SIZE] = 0;
}
