#ifndef FORWARD_EVENTS_H
#define FORWARD_EVENTS_H

#include <stddef.h>

/*
 * Splits a stream of server-sent events into complete events, so that a stream
 * that ends in the middle of an event can be resumed at another upstream.
 */

#define EVENT_ID_SIZE 32
#define EVENT_BYTES_MAX (256 * 1024)

struct event_splitter {
	char *buffer; /* incomplete event */
	size_t size;
	size_t capacity;
	char last_id[EVENT_ID_SIZE]; /* of the last complete event with an id */
	long long last_number;	     /* last_id as a number, -1: none */
	int is_resumed;	    /* events up to last_number are duplicates */
	int has_unnumbered; /* an event without id followed the last one */
};

/* Receives complete events; a non-zero result stops the splitting. */
typedef int (*event_sink)(void *arg, const char *text, size_t size);

void events_init(struct event_splitter *e);
void events_destroy(struct event_splitter *e);
int events_feed(struct event_splitter *e, const char *data, size_t size,
		event_sink sink, void *arg);
void events_resume(struct event_splitter *e);
int events_is_open(const struct event_splitter *e);
int events_has_position(const struct event_splitter *e);

#endif
