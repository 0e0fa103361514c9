#ifndef CONFIG_ROUTING_H
#define CONFIG_ROUTING_H

#include <jansson.h>

/*
 * The part of the document by which an entry forwards requests: routes by
 * host and path prefix, the services behind them, and limits for callers.
 */

enum route_kind {
	ROUTE_IDEMPOTENT = 1, /* may run more than once */
	ROUTE_ONCE,	      /* may run once per request of the caller */
	ROUTE_STREAM	      /* event stream; may run again if resumable */
};

#define ROUTING_NAME_SIZE 64

/* A service and its weight among the services of a route. */
struct weighted_service {
	char service[ROUTING_NAME_SIZE];
	double weight;
};

struct route_spec {
	char name[ROUTING_NAME_SIZE];
	char *host; /* lower case */
	char *prefix;
	enum route_kind kind;
	int timeout_ms;	      /* until the final answer */
	int objective_ms;     /* latency for full credit */
	int max_event_gap_ms; /* of a stream */
	int max_attempts;     /* upstreams that a request may be sent to */
	int priority;	      /* 0 is the highest */
	int is_public;	      /* requests need no key */
	int is_resumable;     /* a stream can continue at another upstream */
	struct weighted_service *services;
	int service_count;
	char **regions; /* in which it may be served; empty: in all */
	int region_count;
};

/*
 * Cost model of the engines of a service.  A step takes base_step_us plus the
 * terms for running requests and for their context.
 */
struct engine_spec {
	int slots;		     /* concurrent requests */
	double kv_tokens;	     /* capacity of the KV cache */
	double base_step_us;	     /* fixed part of a step */
	double request_step_us;	     /* per running request */
	double context_step_us;	     /* per 1,000 tokens of context */
	double prefill_tokens_per_s; /* prompt tokens read per second */
	int steps_per_pass;	     /* of a pass that writes tokens */
	double typical_prompt_tokens;
	double typical_answer_tokens;
};

struct service_limits {
	char name[ROUTING_NAME_SIZE];
	int max_connections; /* of all entries together, 0: no limit */
	double cold_per_s;   /* requests that a cold upstream bears, 0: any */
	double cold_s;	     /* for which it is cold */
	int objective_ms;    /* minimum over the routes to it, 0: none */
	/* Lowest and highest number of the priorities of the routes to it. */
	int priority_first;
	int priority_last;
	int has_engine;
	struct engine_spec engine;
};

struct caller_limits {
	int header_bytes;
	int body_bytes;
	int header_ms;
	int idle_ms;
};

/* Routes are ordered by host, then by descending length of the prefix. */
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
