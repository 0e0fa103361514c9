#ifndef CALLS_HOP_H
#define CALLS_HOP_H

#include "net/fetch.h"
#include "net/httpd.h"
#include "net/rpc.h"

/*
 * One attempt of a call, as an entry sends it to an agent: HTTP headers that
 * identify the call and its caller, authenticated together with the path and
 * the body.
 */

#define HOP_REQUEST_SIZE 129 /* the sizes include the terminating NUL */
#define HOP_ACCOUNT_SIZE 64
#define HOP_TICKET_SIZE 512
#define HOP_KEY_SIZE 256
#define HOP_HEADERS_SIZE 2048 /* all headers of one attempt */

struct hop {
	char request_id[HOP_REQUEST_SIZE]; /* echoed in each response */
	char account[HOP_ACCOUNT_SIZE];
	char agent[64];		      /* instance that the attempt is sent to */
	long remaining_ms;	      /* until the call's deadline */
	char ticket[HOP_TICKET_SIZE]; /* or empty */
	char key[HOP_KEY_SIZE];	      /* caller's idempotency key, or empty */
	int is_repeatable;
	int key_lifetime_s;   /* for calls that are not repeatable */
	char fingerprint[65]; /* of the caller's request, see crash.h */
	char kv_source[64];   /* previous agent of the session, or empty */
	char version[65];     /* of the model, empty for a plain service */
};

/* Header lines of one attempt; must outlive its fetch. */
struct hop_headers {
	char text[HOP_HEADERS_SIZE]; /* NUL-terminated lines */
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
