#include "forward/events.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Prepares for the start of a stream. */
void events_init(struct event_splitter *e)
{
	memset(e, 0, sizeof(*e));
	e->last_number = -1;
}

/* Frees the buffer. */
void events_destroy(struct event_splitter *e)
{
	free(e->buffer);
	e->buffer = NULL;
}

/* Drops the incomplete event, as the stream is resumed at another upstream. */
void events_resume(struct event_splitter *e)
{
	e->size = 0;
	e->is_resumed = 1;
}

static int append_bytes(struct event_splitter *e, const char *data, size_t n)
{
	size_t to = e->capacity ? e->capacity : 1024;
	char *p;

	if (e->size + n > EVENT_BYTES_MAX)
		return -1;
	while (to < e->size + n)
		to *= 2;
	if (to != e->capacity) {
		p = realloc(e->buffer, to);
		if (!p)
			return -1;
		e->buffer = p;
		e->capacity = to;
	}
	memcpy(e->buffer + e->size, data, n);
	e->size += n;
	return 0;
}

/* Returns the length of the first complete event with its empty line, or 0. */
static size_t event_length(const char *text, size_t size)
{
	size_t i;

	for (i = 1; i < size; i++) {
		if (text[i] != '\n')
			continue;
		if (text[i - 1] == '\n')
			return i + 1;
		if (i >= 3 && text[i - 1] == '\r' && text[i - 2] == '\n')
			return i + 1;
	}
	return 0;
}

/* Finds the value of the "id" field of an event; returns its length. */
static size_t find_id(const char *text, size_t size, const char **id)
{
	size_t at = 0, n;

	while (at < size) {
		const char *end = memchr(text + at, '\n', size - at);
		size_t length = end ? (size_t)(end - text) - at : size - at;

		if (length > 3 && !memcmp(text + at, "id:", 3)) {
			*id = text + at + 3;
			n = length - 3;
			while (n && **id == ' ') {
				(*id)++;
				n--;
			}
			while (n && (*id)[n - 1] == '\r')
				n--;
			return n;
		}
		at += length + 1;
	}
	return 0;
}

/* Returns 1 for text of whole lines that are all empty or comments. */
static int is_comment(const char *text, size_t size)
{
	size_t at = 0;

	while (at < size) {
		const char *end = memchr(text + at, '\n', size - at);

		if (!end)
			return 0;
		if (text[at] != ':' && text[at] != '\n' && text[at] != '\r')
			return 0;
		at = (size_t)(end - text) + 1;
	}
	return 1;
}

/*
 * Returns 1 when the bytes so far end inside an event, so that a stream that
 * ends here was broken off.
 */
int events_is_open(const struct event_splitter *e)
{
	return !is_comment(e->buffer, e->size);
}

/*
 * Returns 1 when another upstream can continue the stream: no event was passed
 * on, or the last one had an id.
 */
int events_has_position(const struct event_splitter *e)
{
	return !e->has_unnumbered;
}

/* Returns 1 for an event that was passed on before the stream was resumed. */
static int is_duplicate(struct event_splitter *e, const char *text, size_t size)
{
	char copy[EVENT_ID_SIZE];
	const char *id = NULL;
	size_t n = find_id(text, size, &id);
	long long number;
	char *end;

	if (!n || n >= sizeof(copy)) {
		e->has_unnumbered |= !is_comment(text, size);
		return 0;
	}
	memcpy(copy, id, n);
	copy[n] = '\0';
	number = strtoll(copy, &end, 10);
	if (*end)
		number = -1;
	if (e->is_resumed && number >= 0 && number <= e->last_number)
		return 1;
	e->has_unnumbered = 0;
	snprintf(e->last_id, sizeof(e->last_id), "%s", copy);
	e->last_number = number;
	return 0;
}

/*
 * Appends bytes and passes each complete event to sink. Returns the non-zero
 * result of sink that stopped it, -1 when an event exceeds EVENT_BYTES_MAX or
 * memory is exhausted, otherwise 0.
 */
int events_feed(struct event_splitter *e, const char *data, size_t size,
		event_sink sink, void *arg)
{
	size_t at = 0, n;
	int ret = 0;

	if (append_bytes(e, data, size))
		return -1;
	while (!ret && (n = event_length(e->buffer + at, e->size - at))) {
		if (!is_duplicate(e, e->buffer + at, n))
			ret = sink(arg, e->buffer + at, n);
		at += n;
	}
	memmove(e->buffer, e->buffer + at, e->size - at);
	e->size -= at;
	return ret;
}
