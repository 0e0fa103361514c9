#ifndef CALLS_SSE_H
#define CALLS_SSE_H

#include <stddef.h>

/*
 * Parses the event stream of a model engine and checks that each event belongs
 * to the request, that tokens arrive in order, and that the final event states
 * their number.  Used by the gate and by the entry.
 */

#define SSE_EVENT_MAX_BYTES (64 * 1024)

enum sse_fault {
	SSE_OK = 0,
	SSE_MALFORMED,	/* invalid event, too long, or after the end */
	SSE_MISMATCHED, /* event of another request */
	SSE_GAP		/* missing or repeated token, or wrong total */
};

struct sse {
	const char *request_id; /* kept by reference */
	int next_token;		/* index of the token expected next */
	int has_ended;		/* the final event was received */
	char version[65];	/* of the model, from the final event */
	enum sse_fault fault;
	char *partial_event; /* received part of an incomplete event */
	size_t partial_size;
	size_t partial_capacity;
	/* Receives each event with its empty line; -1 stops the parser. */
	int (*on_event)(void *arg, const char *text, size_t size);
	void *arg;
};

void sse_init(struct sse *s, const char *id, int first,
	      int (*event)(void *arg, const char *text, size_t size),
	      void *arg);
void sse_destroy(struct sse *s);
int sse_feed(struct sse *s, const char *data, size_t size);
void sse_restart(struct sse *s);

#endif
