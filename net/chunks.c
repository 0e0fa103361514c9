#include "net/chunks.h"

#include <string.h>

static int hex_value(char c)
{
	if (c >= '0' && c <= '9')
		return c - '0';
	if (c >= 'a' && c <= 'f')
		return c - 'a' + 10;
	if (c >= 'A' && c <= 'F')
		return c - 'A' + 10;
	return -1;
}

static int end_size(struct chunks *c)
{
	c->state = c->left ? CHUNKS_DATA : CHUNKS_LINE;
	c->digits = 0;
	return 0;
}

/* Reads a byte of a size after its digits. Returns -1 for a fault. */
static int read_after_size(struct chunks *c, char byte)
{
	if (!c->digits)
		return -1;
	if (byte == '\r')
		c->state = CHUNKS_SIZE_LF;
	else if (byte == ';')
		c->state = CHUNKS_EXTENSION;
	else if (byte == ' ' || byte == '\t')
		c->state = CHUNKS_BLANKS;
	else
		return -1;
	return 0;
}

static int read_digit(struct chunks *c, char byte)
{
	int digit = hex_value(byte);

	if (digit < 0)
		return read_after_size(c, byte);
	if (c->digits++ == CHUNK_DIGITS_MAX)
		return -1;
	c->left = c->left * 16 + digit;
	return 0;
}

/* Reads a byte of the framing of a chunk. Returns -1 for a fault. */
static int read_framing(struct chunks *c, char byte)
{
	switch (c->state) {
	case CHUNKS_SIZE:
		return read_digit(c, byte);
	case CHUNKS_BLANKS:
		c->overhead++;
		return read_after_size(c, byte);
	case CHUNKS_EXTENSION:
		c->overhead++;
		if (byte == '\r')
			c->state = CHUNKS_SIZE_LF;
		return byte == '\n' || !byte ? -1 : 0;
	case CHUNKS_SIZE_LF:
		return byte == '\n' ? end_size(c) : -1;
	case CHUNKS_DATA_CR:
		c->state = CHUNKS_DATA_LF;
		return byte == '\r' ? 0 : -1;
	case CHUNKS_DATA_LF:
		c->state = CHUNKS_SIZE;
		return byte == '\n' ? 0 : -1;
	default:
		return -1;
	}
}

/*
 * Decodes a piece up to the end of the line of the last chunk. out has room for
 * size bytes; *used is how many were read. Returns -1 for a fault.
 */
int chunks_decode(struct chunks *c, const char *data, size_t size, char *out,
		  size_t *out_size, size_t *used)
{
	size_t i = 0, n;

	*out_size = 0;
	while (i < size && c->state < CHUNKS_LINE) {
		if (c->state != CHUNKS_DATA) {
			if (read_framing(c, data[i++]))
				return -1;
			continue;
		}
		n = size - i;
		if ((long long)n > c->left)
			n = (size_t)c->left;
		memcpy(out + *out_size, data + i, n);
		*out_size += n;
		i += n;
		c->left -= (long long)n;
		if (!c->left)
			c->state = CHUNKS_DATA_CR;
	}
	*used = i;
	return 0;
}

/*
 * Reads a byte after the last chunk, until the state is CHUNKS_END. Returns 1
 * for the last one of a line that isn't empty, -1 for a fault.
 */
int chunks_read_trailer(struct chunks *c, char byte)
{
	enum chunks_state before = c->state;

	c->overhead++;
	if (before == CHUNKS_LINE_LF || before == CHUNKS_END_LF) {
		c->state = before == CHUNKS_END_LF ? CHUNKS_END : CHUNKS_LINE;
		return byte != '\n' ? -1 : before == CHUNKS_LINE_LF;
	}
	if (byte == '\r')
		c->state =
			before == CHUNKS_LINE ? CHUNKS_END_LF : CHUNKS_LINE_LF;
	else
		c->state = CHUNKS_LINE_REST;
	return byte == '\n' || !byte ? -1 : 0;
}
