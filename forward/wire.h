#ifndef FORWARD_WIRE_H
#define FORWARD_WIRE_H

#include <stdint.h>

#include "net/httpd.h"

/*
 * What an entry reads from a request and from an upstream's answer, and what it
 * adds when it sends a request on. Header names are defined by the platform, so
 * each platform provides a table of functions.
 */

#define WIRE_ID_SIZE 128
#define WIRE_HOST_SIZE 256
#define WIRE_EVENT_SIZE 256
#define WIRE_LINE_SIZE 320
#define WIRE_LINES_MAX 8
#define WIRE_PARTS_MAX 15

/* A part of a prompt. Its text is the call's. */
struct wire_part {
	const char *text;
	size_t size;
};

struct request_head {
	int is_too_long;       /* a value is longer than its member */
	char id[WIRE_ID_SIZE]; /* of this attempt of the caller, or "" */
	char host[WIRE_HOST_SIZE];
	const char *key;   /* bearer key, or NULL; valid in the handler only */
	long deadline_ms;  /* time left to the caller, -1: not given */
	char model[64];	   /* "" for a request without a model */
	int prompt_tokens; /* 0: not given */
	int answer_tokens; /* maximum, 0: not given */
	int answer_hint;   /* the caller's estimate, 0: not given */
	/* Id of the last event that the caller received, or "". */
	char last_event[WIRE_EVENT_SIZE];
	/* First parts of the prompt that other requests may share. */
	struct wire_part parts[WIRE_PARTS_MAX];
	int part_count;
};

/* Headers that an entry adds when it sends a request to an upstream. */
struct upstream_head {
	const char *upstream;	/* id of the intended instance */
	const char *account;	/* NULL: none */
	long left_ms;		/* for the upstream's work on the request */
	uint64_t release;	/* the only one that may serve it, 0: any */
	const char *last_event; /* resume the stream after it; or NULL */
	int priority;		/* from 0 (first) to 9, -1: not given */
};

/* Result headers of an upstream's answer. */
struct answer_head {
	int is_not_run;	       /* it states that it did not run the request */
	char id[WIRE_ID_SIZE]; /* of the request that it answers, or "" */
	/* Id of the instance that answered, or "". */
	char upstream[WIRE_ID_SIZE];
	int is_leaving;	      /* the upstream announces its end */
	double retry_after_s; /* the longest that is given, 0: none */
	/* Requests a second that the upstream takes, the least that is given. */
	int has_limit;
	double limit_per_s;
	int is_malformed; /* a value of these was ignored */
};

struct wire_ops {
	void (*parse_request)(struct http_call *c, struct request_head *out);
	/* Returns 1 when a caller's header is sent on to the upstream. */
	int (*is_forwarded)(const char *name);
	/* Writes "Name: value" lines and returns their number. */
	int (*write_headers)(const struct upstream_head *h,
			     char lines[WIRE_LINES_MAX][WIRE_LINE_SIZE]);
	/* Parses one header of an answer. */
	void (*parse_answer_header)(const char *name, const char *value,
				    struct answer_head *out);
};

#endif
