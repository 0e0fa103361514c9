#include "config/delta.h"

#include <arpa/inet.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#define MATCH_MIN 32	/* bytes that must agree to find the place again */
#define SEARCH_MAX 1024 /* bytes looked ahead for it, in either text */

/* Head of a step, in network byte order. */
struct step {
	uint32_t from;	  /* where to copy from */
	uint32_t copy;	  /* how much */
	uint32_t literal; /* bytes that follow */
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

static void step_append(struct buffer *b, size_t from, size_t copy,
			const char *literal, size_t size)
{
	struct step s = { htonl((uint32_t)from), htonl((uint32_t)copy),
			  htonl((uint32_t)size) };

	append(b, &s, sizeof(s));
	append(b, literal, size);
}

static size_t common(const char *a, size_t na, const char *b, size_t nb)
{
	size_t n = na < nb ? na : nb, i;

	for (i = 0; i < n && a[i] == b[i]; i++)
		;
	return i;
}

/*
 * Finds where the texts agree again.  Returns how much of b lies before
 * that, or nb when they don't; *skip receives how much of a does.
 */
static size_t rejoin(const char *a, size_t na, const char *b, size_t nb,
		     size_t *skip)
{
	size_t within = na < SEARCH_MAX ? na : SEARCH_MAX, i;
	const char *found;

	for (i = 0; i < SEARCH_MAX && i + MATCH_MIN <= nb; i++) {
		found = memmem(a, within, b + i, MATCH_MIN);
		if (!found)
			continue;
		*skip = (size_t)(found - a);
		return i;
	}
	*skip = na;
	return nb;
}

/*
 * Returns the delta, from malloc, or NULL when it would be no shorter than
 * the text itself.
 */
char *delta_encode(const char *from, size_t from_size, const char *to,
		   size_t to_size, size_t *size)
{
	struct buffer b = { NULL, 0, 0 };
	size_t i = 0, j = 0;

	while (j < to_size) {
		size_t copy =
			common(from + i, from_size - i, to + j, to_size - j);
		size_t skip, literal;

		literal = rejoin(from + i + copy, from_size - i - copy,
				 to + j + copy, to_size - j - copy, &skip);
		step_append(&b, i, copy, to + j + copy, literal);
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
 * Returns the new text, NUL-ended and from malloc, or NULL when the delta
 * doesn't fit the old one or the result would exceed size_max.
 */
char *delta_apply(const char *from, size_t from_size, const char *delta,
		  size_t delta_size, size_t size_max, size_t *size)
{
	struct buffer b = { NULL, 0, 0 };
	size_t at = 0;

	while (at + sizeof(struct step) <= delta_size) {
		struct step s;

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
