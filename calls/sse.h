#ifndef CALLS_SSE_H
#define CALLS_SSE_H

#include <stddef.h>

/*
 * Reads the event stream of a model engine: splits it into events and
 * checks that each belongs to the request, in order, and that the end says
 * so.  Used on both hops.
 */

#define SSE_EVENT_MAX_BYTES (64 * 1024)

enum sse_fault {
	SSE_OK = 0,
	SSE_MALFORMED,	/* not an event of an engine, or too long */
	SSE_MISMATCHED, /* of another request */
	SSE_GAP		/* a token is missing or came twice */
};

struct sse {
	const char *request_id; /* of the request, kept by reference */
	int next_token;		/* index of the token expected next */
	int has_ended;		/* the end was seen */
	char version[65];	/* as the end says */
	enum sse_fault fault;
	char *partial_event; /* of an event not yet complete */
	size_t partial_size;
	size_t partial_capacity;
	/* Takes one whole event with its empty line.  -1 ends the stream. */
	int (*on_event)(void *arg, const char *text, size_t partial_size);
	void *arg;
};

void sse_init(struct sse *s, const char *id, int first,
	      int (*event)(void *arg, const char *text, size_t size),
	      void *arg);
void sse_destroy(struct sse *s);
int sse_feed(struct sse *s, const char *data, size_t size);
void sse_restart(struct sse *s);

#endif
