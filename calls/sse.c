#include "calls/sse.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define DATA_PREFIX "data: "

/* Prepares to read the stream of request id from token first on. */
void sse_init(struct sse *s, const char *id, int first,
	      int (*event)(void *arg, const char *text, size_t size), void *arg)
{
	memset(s, 0, sizeof(*s));
	s->id = id;
	s->next = first;
	s->event = event;
	s->arg = arg;
}

/* Frees what the reader holds. */
void sse_destroy(struct sse *s)
{
	free(s->part);
	s->part = NULL;
}

/* Drops a partial event, for a stream that is resumed after s->next. */
void sse_restart(struct sse *s)
{
	s->size = 0;
	s->fault = SSE_OK;
}

static enum sse_fault event_check(struct sse *s, const char *text, size_t size)
{
	size_t skip = sizeof(DATA_PREFIX) - 1;
	const char *id = NULL, *version = NULL, *token = NULL;
	int index = -1, done = 0, tokens = -1;
	enum sse_fault fault = SSE_MALFORMED;
	json_t *o;

	if (size < skip || memcmp(text, DATA_PREFIX, skip) != 0)
		return SSE_MALFORMED;
	o = json_loadb(text + skip, size - skip, 0, NULL);
	if (json_unpack(o, "{s:s,s?i,s?s,s?b,s?s,s?i}", "id", &id, "index",
			&index, "token", &token, "done", &done, "version",
			&version, "tokens", &tokens) ||
	    s->done)
		goto out;
	if (strcmp(id, s->id) != 0)
		fault = SSE_CROSSED;
	else if (done)
		fault = version && tokens == s->next ? SSE_OK : SSE_GAP;
	else if (token)
		fault = index == s->next ? SSE_OK : SSE_GAP;
	if (fault == SSE_OK && done) {
		s->done = 1;
		snprintf(s->version, sizeof(s->version), "%s", version);
	} else if (fault == SSE_OK) {
		s->next++;
	}
out:
	json_decref(o);
	return fault;
}

static int event_take(struct sse *s, const char *text, size_t size)
{
	s->fault = event_check(s, text, size);
	if (s->fault != SSE_OK)
		return -1;
	return s->event(s->arg, text, size);
}

static int part_append(struct sse *s, const char *data, size_t size)
{
	size_t to = s->capacity ? s->capacity : 512;
	char *p;

	if (s->size + size > SSE_EVENT_MAX) {
		s->fault = SSE_MALFORMED;
		return -1;
	}
	while (to < s->size + size)
		to *= 2;
	if (to != s->capacity) {
		p = realloc(s->part, to);
		if (!p)
			abort();
		s->part = p;
		s->capacity = to;
	}
	memcpy(s->part + s->size, data, size);
	s->size += size;
	return 0;
}

/* Returns the size of the first whole event, 0 if there is none. */
static size_t event_size(const char *data, size_t size)
{
	const char *end = memmem(data, size, "\n\n", 2);

	return end ? (size_t)(end - data) + 2 : 0;
}

/*
 * Takes the next piece of the stream and hands on each event that is whole.
 * Returns -1 on a fault (see s->fault) or when event() returned -1.
 */
int sse_feed(struct sse *s, const char *data, size_t size)
{
	size_t n, used = 0;

	if (s->size) {
		/* The end of an event may be split as well. */
		if (part_append(s, data, size))
			return -1;
		while ((n = event_size(s->part + used, s->size - used))) {
			if (event_take(s, s->part + used, n))
				return -1;
			used += n;
		}
		memmove(s->part, s->part + used, s->size - used);
		s->size -= used;
		return 0;
	}
	while ((n = event_size(data + used, size - used))) {
		if (event_take(s, data + used, n))
			return -1;
		used += n;
	}
	return used < size ? part_append(s, data + used, size - used) : 0;
}
