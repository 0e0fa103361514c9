#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "net/chunks.h"
#include "net/message-head.h"
#include "t/helper/lib-fuzz.h"

/*
 * Fuzzes the readers of HTTP messages. FUZZ_TARGET is 1 for heads, 2 for
 * chunks.
 */

#ifndef FUZZ_TARGET
#define FUZZ_TARGET 1
#endif

/* Returns how many lines start with that name and a colon. */
static int count_fields(const char *text, size_t size, const char *name)
{
	size_t length = strlen(name);
	const char *end = text + size, *line = text;
	int count = 0;

	while (line < end) {
		const char *next = memchr(line, '\n', (size_t)(end - line));

		if ((size_t)(end - line) > length && line[length] == ':' &&
		    !strncasecmp(line, name, length))
			count++;
		line = next ? next + 1 : end;
	}
	return count;
}

/* Checks a head that was accepted against its text. */
static void check_head(const struct message_head *h, const char *text,
		       size_t size)
{
	int lengths = count_fields(text, size, "Content-Length");
	int codings = count_fields(text, size, "Transfer-Encoding");
	size_t i;

	if (lengths > 1 || codings > 1 || h->is_chunked != codings ||
	    (h->length >= 0) != lengths)
		abort();
	if (h->kind == MESSAGE_REQUEST &&
	    ((codings && lengths) || count_fields(text, size, "Host") != 1))
		abort();
	for (i = 0; i < size; i++)
		if (!text[i] ||
		    (text[i] == '\r' && (i + 1 == size || text[i + 1] != '\n')))
			abort();
}

static void fuzz_head(const char *text, size_t size, enum message_kind kind)
{
	const char *end = text + size, *line = text;
	struct message_head h;

	message_head_start(&h, kind, 1);
	while (line < end) {
		const char *next = memchr(line, '\n', (size_t)(end - line));

		next = next ? next + 1 : end;
		message_head_add_line(&h, line, (size_t)(next - line));
		line = next;
	}
	if (!message_head_end(&h))
		check_head(&h, text, size);
}

/* Decodes a piece behind what out has. Returns -1 for a fault. */
static int feed(struct chunks *c, const char *data, size_t size, char *out,
		size_t *out_size)
{
	size_t n, used;

	if (chunks_decode(c, data, size, out + *out_size, &n, &used))
		return -1;
	*out_size += n;
	while (used < size && c->state != CHUNKS_END)
		if (chunks_read_trailer(c, data[used++]) < 0)
			return -1;
	return 0;
}

/* Checks that the result doesn't depend on where the pieces end. */
static void fuzz_chunks(const char *data, size_t size)
{
	size_t cut = size ? (unsigned char)data[size - 1] % (size + 1) : 0;
	struct chunks whole = { 0 }, pieces = { 0 };
	size_t whole_size = 0, pieces_size = 0;
	char *a = malloc(size + 1), *b = malloc(size + 1);
	int ret, other;

	if (!a || !b)
		abort();
	ret = feed(&whole, data, size, a, &whole_size);
	other = feed(&pieces, data, cut, b, &pieces_size);
	if (!other)
		other = feed(&pieces, data + cut, size - cut, b, &pieces_size);
	if (ret != other)
		abort();
	if (!ret && (whole.state != pieces.state || whole_size != pieces_size ||
		     memcmp(a, b, whole_size)))
		abort();
	free(a);
	free(b);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	const char *text = (const char *)data;

	switch (FUZZ_TARGET) {
	case 1:
		fuzz_head(text, size, MESSAGE_ANSWER);
		fuzz_head(text, size, MESSAGE_REQUEST);
		break;
	case 2:
		fuzz_chunks(text, size);
		break;
	}
	return 0;
}
