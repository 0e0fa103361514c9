#ifndef FORWARD_WIRE_H
#define FORWARD_WIRE_H

#include <stdint.h>

#include "net/httpd.h"

/*
 * What an entry reads of a request and of an upstream's answer, and what it
 * adds when it hands a request over.  The names on the wire are the
 * platform's, so each platform fills a table of functions.
 */

#define WIRE_ID_SIZE 128
#define WIRE_KEY_SIZE 256
#define WIRE_HOST_SIZE 256
#define WIRE_EVENT_SIZE 32
#define WIRE_LINE_SIZE 320
#define WIRE_LINES_MAX 8

struct request_head {
	char id[WIRE_ID_SIZE]; /* of this attempt of the caller, or "" */
	char host[WIRE_HOST_SIZE];
	char key[WIRE_KEY_SIZE]; /* bearer key, or "" */
	long deadline_ms;	 /* how long the caller waits, -1: not said */
	char model[64];		 /* "" unless it asks for a model */
	int prompt_tokens;	 /* 0: not said */
	int answer_tokens;	 /* at most, 0: not said */
	int answer_hint;	 /* the caller's estimate, 0: not said */
	char last_event[WIRE_EVENT_SIZE]; /* the caller holds it already */
};

/* What is added to a request at a hand-over. */
struct upstream_head {
	const char *upstream;	/* id of the one that is meant */
	const char *account;	/* NULL: none */
	long left_ms;		/* until the caller stops waiting */
	const char *last_event; /* the stream goes on after it, or NULL */
	int priority;		/* 0 first to 9, -1: not said */
};

/* What an upstream's answer says of the request. */
struct answer_head {
	int is_not_run;		     /* it did not run, and says so */
	char id[WIRE_ID_SIZE];	     /* of the request that it answers, or "" */
	char upstream[WIRE_ID_SIZE]; /* who answered, or "" */
};

struct wire_ops {
	void (*parse_request)(struct http_call *c, struct request_head *out);
	/* Returns 1 when a caller's header goes on to the upstream. */
	int (*is_forwarded)(const char *name);
	/* Writes "Name: value" lines and returns how many. */
	int (*write_headers)(const struct upstream_head *h,
			     char lines[WIRE_LINES_MAX][WIRE_LINE_SIZE]);
	/* Takes in one header of an answer. */
	void (*parse_answer_header)(const char *name, const char *value,
				    struct answer_head *out);
};

#endif
