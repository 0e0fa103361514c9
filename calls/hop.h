#ifndef CALLS_HOP_H
#define CALLS_HOP_H

#include "net/fetch.h"
#include "net/httpd.h"
#include "net/rpc.h"

/*
 * The hand-over of a call from an entry to an agent: headers that tell the
 * agent whose call it is, signed together with the path and the body.
 */

#define HOP_REQUEST_SIZE 129 /* with the closing NUL */
#define HOP_ACCOUNT_SIZE 64
#define HOP_TICKET_SIZE 512
#define HOP_KEY_SIZE 256
#define HOP_HEADERS_SIZE 2048 /* of all together */

struct hop {
	char request_id[HOP_REQUEST_SIZE]; /* identity, echoed by each hop */
	char account[HOP_ACCOUNT_SIZE];
	char agent[64]; /* the instance it is meant for */
	long remaining_ms;
	char ticket[HOP_TICKET_SIZE]; /* empty for none */
	char key[HOP_KEY_SIZE];	      /* the caller's, empty for none */
	int is_repeatable;
	int key_lifetime_s;   /* of keys, for calls that aren't repeatable */
	char fingerprint[65]; /* of what the caller sent, see crash.h */
	char kv_source[64];   /* agent that the session leaves, or empty */
	char version[65];     /* of the model, empty for a plain service */
};

/* Headers of one hand-over, kept until it is over. */
struct hop_headers {
	char text[HOP_HEADERS_SIZE]; /* NUL-ended lines, one after another */
	size_t used;
	int count;
};

void hop_set_headers(const struct hop *h, const char *path, const void *body,
		     size_t size, const char *key, struct hop_headers *out,
		     struct fetch *f);
int hop_parse_headers(struct http_call *c, const struct rpc_keys *keys,
		      struct hop *h, struct error *err);

int request_id_is_valid(const char *id);

#endif
