#include "calls/sse.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define DATA_PREFIX "data: "

/* Initializes a parser for the stream of request id, from token first on. */
void sse_init(struct sse *s, const char *id, int first,
	      int (*event)(void *arg, const char *text, size_t size), void *arg)
{
	memset(s, 0, sizeof(*s));
	s->request_id = id;
	s->next_token = first;
	s->on_event = event;
	s->arg = arg;
}

/* Frees the parser's buffer. */
void sse_destroy(struct sse *s)
{
	free(s->partial_event);
	s->partial_event = NULL;
}

/* Drops a partial event, for a stream that resumes at s->next_token. */
void sse_restart(struct sse *s)
{
	s->partial_size = 0;
	s->fault = SSE_OK;
}

static enum sse_fault check_event(struct sse *s, const char *text, size_t size)
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
	    s->has_ended)
		goto out;
	if (strcmp(id, s->request_id) != 0)
		fault = SSE_MISMATCHED;
	else if (done)
		fault = version && tokens == s->next_token ? SSE_OK : SSE_GAP;
	else if (token)
		fault = index == s->next_token ? SSE_OK : SSE_GAP;
	if (fault == SSE_OK && done) {
		s->has_ended = 1;
		snprintf(s->version, sizeof(s->version), "%s", version);
	} else if (fault == SSE_OK) {
		s->next_token++;
	}
out:
	json_decref(o);
	return fault;
}

static int process_event(struct sse *s, const char *text, size_t size)
{
	s->fault = check_event(s, text, size);
	if (s->fault != SSE_OK)
		return -1;
	return s->on_event(s->arg, text, size);
}

static int append_partial(struct sse *s, const char *data, size_t size)
{
	size_t to = s->partial_capacity ? s->partial_capacity : 512;
	char *p;

	if (s->partial_size + size > SSE_EVENT_MAX_BYTES) {
		s->fault = SSE_MALFORMED;
		return -1;
	}
	while (to < s->partial_size + size)
		to *= 2;
	if (to != s->partial_capacity) {
		p = realloc(s->partial_event, to);
		if (!p)
			abort();
		s->partial_event = p;
		s->partial_capacity = to;
	}
	memcpy(s->partial_event + s->partial_size, data, size);
	s->partial_size += size;
	return 0;
}

/* Returns the size of the first complete event, 0 if there is none. */
static size_t first_event_size(const char *data, size_t size)
{
	const char *end = memmem(data, size, "\n\n", 2);

	return end ? (size_t)(end - data) + 2 : 0;
}

/*
 * Parses the next bytes of the stream and passes each complete event to
 * on_event.  Returns -1 on a fault (see s->fault) or if on_event returned -1.
 */
int sse_feed(struct sse *s, const char *data, size_t size)
{
	size_t n, used = 0;

	if (s->partial_size) {
		/* The empty line after an event may be split as well. */
		if (append_partial(s, data, size))
			return -1;
		while ((n = first_event_size(s->partial_event + used,
					     s->partial_size - used))) {
			if (process_event(s, s->partial_event + used, n))
				return -1;
			used += n;
		}
		memmove(s->partial_event, s->partial_event + used,
			s->partial_size - used);
		s->partial_size -= used;
		return 0;
	}
	while ((n = first_event_size(data + used, size - used))) {
		if (process_event(s, data + used, n))
			return -1;
		used += n;
	}
	return used < size ? append_partial(s, data + used, size - used) : 0;
}
