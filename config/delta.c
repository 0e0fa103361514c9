#include "config/delta.h"

#include <arpa/inet.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

/* Length of a match that ends a difference. */
#define MATCH_MIN_BYTES 32

/* Range searched for such a match, in either text. */
#define SEARCH_MAX_BYTES 1024

/* Header of an operation, in network byte order. */
struct delta_op {
	uint32_t from;	  /* offset of the range in the old text */
	uint32_t copy;	  /* bytes to copy */
	uint32_t literal; /* literal bytes that follow the header */
};

struct buffer {
	char *data;
	size_t size;
	size_t capacity;
};

static void append(struct buffer *b, const void *data, size_t size)
{
	if (b->size + size > b->capacity) {
		b->capacity = (b->size + size) * 2;
		b->data = realloc(b->data, b->capacity);
		if (!b->data)
			abort();
	}
	if (size)
		memcpy(b->data + b->size, data, size);
	b->size += size;
}

static void append_op(struct buffer *b, size_t from, size_t copy,
		      const char *literal, size_t size)
{
	struct delta_op s = { htonl((uint32_t)from), htonl((uint32_t)copy),
			      htonl((uint32_t)size) };

	append(b, &s, sizeof(s));
	append(b, literal, size);
}

static size_t common_prefix_size(const char *a, size_t na, const char *b,
				 size_t nb)
{
	size_t n = na < nb ? na : nb, i;

	for (i = 0; i < n && a[i] == b[i]; i++)
		;
	return i;
}

/*
 * Finds the next position where both texts match.  Returns the number of
 * bytes of b before it, or nb if there is none; *skip receives the number of
 * bytes of a before it.
 */
static size_t find_next_match(const char *a, size_t na, const char *b,
			      size_t nb, size_t *skip)
{
	size_t within = na < SEARCH_MAX_BYTES ? na : SEARCH_MAX_BYTES, i;
	const char *found;

	for (i = 0; i < SEARCH_MAX_BYTES && i + MATCH_MIN_BYTES <= nb; i++) {
		found = memmem(a, within, b + i, MATCH_MIN_BYTES);
		if (!found)
			continue;
		*skip = (size_t)(found - a);
		return i;
	}
	*skip = na;
	return nb;
}

/*
 * Returns the delta that rebuilds to out of from, or NULL if it would not be
 * shorter than to.  The caller frees it.
 */
char *delta_encode(const char *from, size_t from_size, const char *to,
		   size_t to_size, size_t *size)
{
	struct buffer b = { NULL, 0, 0 };
	size_t i = 0, j = 0;

	while (j < to_size) {
		size_t copy = common_prefix_size(from + i, from_size - i,
						 to + j, to_size - j);
		size_t skip, literal;

		literal = find_next_match(from + i + copy, from_size - i - copy,
					  to + j + copy, to_size - j - copy,
					  &skip);
		append_op(&b, i, copy, to + j + copy, literal);
		i += copy + skip;
		j += copy + literal;
		if (b.size >= to_size) {
			free(b.data);
			return NULL;
		}
	}
	*size = b.size;
	return b.data;
}

/*
 * Returns the new text, NUL-terminated, or NULL if the delta is malformed,
 * does not fit from, or the result would exceed size_max bytes.  The caller
 * frees it.
 */
char *delta_apply(const char *from, size_t from_size, const char *delta,
		  size_t delta_size, size_t size_max, size_t *size)
{
	struct buffer b = { NULL, 0, 0 };
	size_t at = 0;

	while (at + sizeof(struct delta_op) <= delta_size) {
		struct delta_op s;

		memcpy(&s, delta + at, sizeof(s));
		at += sizeof(s);
		s.from = ntohl(s.from);
		s.copy = ntohl(s.copy);
		s.literal = ntohl(s.literal);
		if (s.from > from_size || s.copy > from_size - s.from ||
		    s.literal > delta_size - at ||
		    b.size + s.copy + s.literal > size_max)
			goto fail;
		append(&b, from + s.from, s.copy);
		append(&b, delta + at, s.literal);
		at += s.literal;
	}
	if (at != delta_size)
		goto fail;
	*size = b.size;
	append(&b, "", 1);
	return b.data;
fail:
	free(b.data);
	return NULL;
}
