#ifndef NET_CHUNKS_H
#define NET_CHUNKS_H

#include <stddef.h>

/*
 * Decodes the chunked coding of a body (RFC 9112, 7.1), piece by piece. Only
 * forms that all readers take alike are read: a size is of hexadecimal digits,
 * and each line ends in CR LF. No I/O.
 */

/* Digits of a size: larger ones can't be those of an answer. */
#define CHUNK_DIGITS_MAX 15

enum chunks_state {
	CHUNKS_SIZE = 0,
	CHUNKS_BLANKS, /* between a size and its extensions or end */
	CHUNKS_EXTENSION,
	CHUNKS_SIZE_LF,
	CHUNKS_DATA,
	CHUNKS_DATA_CR,
	CHUNKS_DATA_LF,
	CHUNKS_LINE, /* of the trailers, at its start */
	CHUNKS_LINE_REST,
	CHUNKS_LINE_LF, /* its CR was read */
	CHUNKS_END_LF,	/* of the empty line */
	CHUNKS_END
};

/* Starts as zero. May be copied, to decode a piece again. */
struct chunks {
	enum chunks_state state;
	int digits;
	long long left;	 /* bytes of the chunk's size or data */
	size_t overhead; /* bytes of extensions and trailers */
};

int chunks_decode(struct chunks *c, const char *data, size_t size, char *out,
		  size_t *out_size, size_t *used);
int chunks_read_trailer(struct chunks *c, char byte);

#endif
