#ifndef BUILTIN_REMOTE_H
#define BUILTIN_REMOTE_H

#include <jansson.h>
#include <popt.h>

#include "net/fetch.h"

/*
 * Shared by the commands that query running instances: their command line, the
 * list of instances, and sending a JSON request to each.
 */

#define REMOTE_TARGETS_MAX 4096

struct remote_target {
	char id[64]; /* the address for a target from the command line */
	char address[64];
	char role[16];
};

struct remote {
	char *platform_url; /* where the list of instances is read, or NULL */
	char *role;	    /* limits the list to this role, or NULL */
	int operator_port;
	int as_json;
	int timeout_ms; /* for each request */
	struct fetcher *fetcher;
	struct remote_target *targets;
	int target_count;
	const char **words; /* arguments before the addresses */
	int word_count;
};

int remote_open(struct remote *r, int argc, const char **argv, int word_count,
		const char *usage, const struct poptOption *extra);
void remote_close(struct remote *r);
json_t *remote_ask(struct remote *r, const struct remote_target *t,
		   const char *method, const char *path);
void remote_print_json(const json_t *v);

#endif
