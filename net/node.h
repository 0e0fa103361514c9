#ifndef NET_NODE_H
#define NET_NODE_H

#include <apr_time.h>
#include <jansson.h>

#include "base/board.h"
#include "base/pool.h"
#include "base/random.h"
#include "base/settings.h"
#include "net/fetch.h"
#include "net/httpd.h"
#include "net/rpc.h"

/*
 * Common runtime of the daemons.  Components register routes, controllers
 * and checks; node_run opens the ports and steps the controllers on one
 * thread until the process receives a stop signal.
 *
 * Call order: node_init, the components' *_start, node_run, node_destroy.
 */

#define NODE_CONTROLLERS_MAX 32
#define NODE_ROUTES_MAX 48
#define NODE_SECTIONS_MAX 32

/*
 * Shortest time between two iterations of the controller loop after which
 * the process is taken to have been paused.
 */
#define NODE_PAUSE_MIN_US (500 * 1000)

struct controller {
	const char *name;
	apr_interval_time_t period;
	/* Reads tables, decides as of now, writes tables, queues jobs. */
	void (*step)(void *arg, apr_time_t now);
	void *arg;
	apr_time_t due;
};

struct status_section {
	const char *name;
	json_t *(*make)(void *arg); /* returns a new reference */
	void *arg;
};

struct ready_check {
	const char *name;
	int (*ready)(void *arg); /* 1 when the component can serve */
	void *arg;
};

struct drain_check {
	const char *name;
	int (*busy)(void *arg); /* number of unfinished work items */
	void *arg;
};

/* Stops a component's threads before the data that they use is freed. */
struct stop_hook {
	void (*stop)(void *arg);
	void *arg;
};

struct node {
	const char *program;
	enum role role;
	struct settings settings;
	const char *settings_file; /* reloaded on SIGHUP */
	struct rpc_identity self;
	struct board board;
	struct random random; /* for the controller thread only */
	struct worker_pool *pool;
	struct fetcher *fetcher;
	struct rpc_client *rpc;
	struct httpd *http;
	struct httpd *operators;
	struct httpd *probes; /* for load balancer health checks, or NULL */
	struct http_route probe_routes[2];

	struct http_route routes[NODE_ROUTES_MAX];
	int route_count;
	struct http_route operator_routes[NODE_ROUTES_MAX];
	int operator_route_count;
	struct controller controllers[NODE_CONTROLLERS_MAX];
	int controller_count;
	struct status_section sections[NODE_SECTIONS_MAX];
	int section_count;
	struct ready_check ready_checks[NODE_SECTIONS_MAX];
	int ready_count;
	struct drain_check drain_checks[NODE_SECTIONS_MAX];
	int drain_count;
	struct stop_hook stop_hooks[NODE_SECTIONS_MAX];
	int stop_hook_count;

	int is_ending;		  /* atomic; the process exits in a moment */
	int draining;		  /* atomic; set by a signal or an operator */
	int is_refusing_requests; /* atomic; new requests are refused */
	apr_time_t pause_end;	  /* end of the latest pause, 0: none */
	apr_interval_time_t pause_length;
	apr_time_t started;
};

int node_init(struct node *n, const char *program, enum role role,
	      const struct settings *s, struct error *err);
int node_run(struct node *n, struct error *err);
void node_destroy(struct node *n);

void node_add_route(struct node *n, const char *method, const char *path,
		    size_t body_limit,
		    void (*handle)(struct http_call *c, void *arg), void *arg);
void node_add_operator_route(struct node *n, const char *method,
			     const char *path, size_t body_limit,
			     void (*handle)(struct http_call *c, void *arg),
			     void *arg);
void node_add_controller(struct node *n, const char *name,
			 apr_interval_time_t period,
			 void (*step)(void *arg, apr_time_t now), void *arg);
void node_set_period(struct node *n, const char *name,
		     apr_interval_time_t period);
void node_add_status(struct node *n, const char *name,
		     json_t *(*make)(void *arg), void *arg);
void node_add_ready(struct node *n, const char *name, int (*ready)(void *arg),
		    void *arg);
void node_add_drain(struct node *n, const char *name, int (*busy)(void *arg),
		    void *arg);
void node_add_stop(struct node *n, void (*stop)(void *arg), void *arg);
void node_set_probe(struct node *n, const char *path);
int node_draining(const struct node *n);
int node_refuses_requests(const struct node *n);
int node_is_ending(const struct node *n);
void node_drain(struct node *n);

#endif
