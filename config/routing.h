#ifndef CONFIG_ROUTING_H
#define CONFIG_ROUTING_H

#include <jansson.h>

/*
 * The part of the document by which an entry forwards requests: routes by
 * host and path prefix, the services behind them, and what callers may send.
 */

enum route_kind {
	ROUTE_IDEMPOTENT = 1, /* may run more than once */
	ROUTE_ONCE,	      /* may run once for each attempt of the caller */
	ROUTE_STREAM	      /* events; resumable ones may run again */
};

#define ROUTING_NAME_SIZE 64

/* A service that takes a part of a route's requests. */
struct weighted_service {
	char service[ROUTING_NAME_SIZE];
	double weight;
};

struct route_spec {
	char name[ROUTING_NAME_SIZE];
	char *host; /* lower case */
	char *prefix;
	enum route_kind kind;
	int timeout_ms;	      /* for the final answer */
	int objective_ms;     /* for full credit */
	int max_event_gap_ms; /* streams: longest pause between events */
	int max_attempts;     /* upstreams that one request may be sent to */
	int priority;	      /* 0 first */
	int is_public;	      /* needs no key */
	int is_resumable;     /* a stream goes on at another upstream */
	struct weighted_service *services;
	int service_count;
};

/* What the engines of a service need for their work. */
struct engine_spec {
	int slots;		     /* requests at once */
	double kv_tokens;	     /* memory for requests */
	double base_step_us;	     /* of one step, and more */
	double request_step_us;	     /* for each running request */
	double context_step_us;	     /* for each 1,000 tokens of its context */
	double prefill_tokens_per_s; /* prompt tokens */
	int steps_per_pass;	     /* steps in a pass that writes */
	double typical_prompt_tokens;
	double typical_answer_tokens;
};

struct service_limits {
	char name[ROUTING_NAME_SIZE];
	int max_connections; /* of all entries together, 0: no bound */
	int objective_ms;    /* the strictest among the routes to it, 0: none */
	int has_engine;
	struct engine_spec engine;
};

struct caller_limits {
	int header_bytes;
	int body_bytes;
	int header_ms;
	int idle_ms;
};

/* Routes are ordered by host, then longest prefix first. */
struct routing {
	struct route_spec *routes;
	int route_count;
	struct service_limits *services; /* ordered by name */
	int service_count;
	struct caller_limits limits;
};

void routing_bind(struct routing *r, const json_t *root);
void routing_free(struct routing *r);
const struct route_spec *routing_find_route(const struct routing *r,
					    const char *host, const char *path);
const struct service_limits *routing_find_service(const struct routing *r,
						  const char *name);
int is_route_repeatable(const struct route_spec *r);

#endif
