#include "net/node.h"

#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/log.h"
#include "net/envelope.h"
#include "net/httpd-guard.h"
#include "net/operator.h"

#define POOL_QUEUE_LIMIT 4096
#define HTTP_THREADS_ENTRY 4
#define HTTP_THREADS_AGENT 2
#define SLEEP_MAX_US (100 * 1000)
#define HTTP_SWEEP_US (250 * 1000)

/* Time for peers to learn that this process drains. */
#define DRAIN_WITHOUT_PROBES_US (2 * APR_USEC_PER_SEC)

/*
 * Time for which a load balancer may keep sending requests after draining
 * starts: it probes once a second and stops after the second failed probe. What
 * is taken on has 4.5 s until the end of a grace of 8 s; requests that callers
 * send 3 s after the signal and later must be answered whole.
 */
#define DRAIN_WITH_PROBES_US (2800 * 1000)

/* A stop ends this long before SIGKILL is due, at the end of stop_grace_s. */
#define KILL_MARGIN_US (400 * 1000)

/* Time before that for the answers to requests that can't be completed. */
#define LAST_ANSWERS_US (300 * 1000)

static volatile sig_atomic_t stop_signal_count;
static volatile sig_atomic_t is_reload_requested;

static void on_stop_signal(int sig)
{
	(void)sig;
	stop_signal_count++;
}

static void on_reload_signal(int sig)
{
	(void)sig;
	is_reload_requested = 1;
}

static void install_signal_handlers(void)
{
	struct sigaction sa;

	memset(&sa, 0, sizeof(sa));
	sa.sa_handler = on_stop_signal;
	sigaction(SIGTERM, &sa, NULL);
	sigaction(SIGINT, &sa, NULL);
	sa.sa_handler = SIG_IGN;
	sigaction(SIGPIPE, &sa, NULL);
	sa.sa_handler = on_reload_signal;
	sigaction(SIGHUP, &sa, NULL);
}

/*
 * Initializes a node from validated settings: threads, clients, an empty
 * board.  Opens no port.  Returns -1 with err set on failure.
 */
int node_init(struct node *n, const char *program, enum role role,
	      const struct settings *s, struct error *err)
{
	memset(n, 0, sizeof(*n));
	n->program = program;
	n->role = role;
	n->settings = *s;
	n->started = clock_now();
	snprintf(n->self.instance, sizeof(n->self.instance), "%s", s->instance);
	snprintf(n->self.keys.current, sizeof(n->self.keys.current), "%s",
		 s->key);
	snprintf(n->self.keys.previous, sizeof(n->self.keys.previous), "%s",
		 s->key_previous);
	envelope_set_text_max(s->text_max);
	while (!n->self.boot)
		random_secure(&n->self.boot, sizeof(n->self.boot));
	random_seed(&n->random, s->random_seed ? s->random_seed : n->self.boot);
	install_signal_handlers();
	board_init(&n->board);
	n->pool = worker_pool_start(s->worker_threads, POOL_QUEUE_LIMIT);
	n->fetcher = fetcher_start(s->address, err);
	n->rpc = rpc_client_new(s->address, &n->self);
	if (!n->pool || !n->fetcher)
		return -1;
	operator_start(n);
	return 0;
}

/* Closes the ports, stops the threads and frees the node. */
void node_destroy(struct node *n)
{
	int i;

	rpc_server_stop();
	for (i = 0; i < n->stop_hook_count; i++)
		n->stop_hooks[i].stop(n->stop_hooks[i].arg);
	httpd_stop(n->operators);
	httpd_stop(n->probes);
	worker_pool_stop(n->pool);
	fetcher_stop(n->fetcher);
	httpd_stop(n->http);
	rpc_client_free(n->rpc);
	board_destroy(&n->board);
}

static void add_route(struct http_route *routes, int *count, const char *method,
		      const char *path, size_t body_limit,
		      void (*handle)(struct http_call *c, void *arg), void *arg)
{
	struct http_route *r;

	if (*count >= NODE_ROUTES_MAX - 1) /* the last entry ends the table */
		abort();
	r = &routes[(*count)++];
	r->method = method;
	r->path = path;
	r->body_limit = body_limit;
	r->handle = handle;
	r->arg = arg;
}

/* Adds a route to the port for callers (entry) or for calls (agent). */
void node_add_route(struct node *n, const char *method, const char *path,
		    size_t body_limit,
		    void (*handle)(struct http_call *c, void *arg), void *arg)
{
	add_route(n->routes, &n->route_count, method, path, body_limit, handle,
		  arg);
}

/* Adds a route to the operator port. */
void node_add_operator_route(struct node *n, const char *method,
			     const char *path, size_t body_limit,
			     void (*handle)(struct http_call *c, void *arg),
			     void *arg)
{
	add_route(n->operator_routes, &n->operator_route_count, method, path,
		  body_limit, handle, arg);
}

/* Adds a function to be called about every period microseconds. */
void node_add_controller(struct node *n, const char *name,
			 apr_interval_time_t period,
			 void (*step)(void *arg, apr_time_t now), void *arg)
{
	struct controller *c;

	if (n->controller_count == NODE_CONTROLLERS_MAX)
		abort();
	c = &n->controllers[n->controller_count++];
	c->name = name;
	c->period = period;
	c->step = step;
	c->arg = arg;
	c->due = 0;
}

/* Changes the period of a controller.  Controller thread only. */
void node_set_period(struct node *n, const char *name,
		     apr_interval_time_t period)
{
	int i;

	for (i = 0; i < n->controller_count; i++)
		if (!strcmp(n->controllers[i].name, name))
			n->controllers[i].period = period;
}

/* Adds a section to the answer of /status. */
void node_add_status(struct node *n, const char *name,
		     json_t *(*make)(void *arg), void *arg)
{
	if (n->section_count == NODE_SECTIONS_MAX)
		abort();
	n->sections[n->section_count++] =
		(struct status_section){ name, make, arg };
}

/* Adds a condition that /ready checks. */
void node_add_ready(struct node *n, const char *name, int (*ready)(void *arg),
		    void *arg)
{
	if (n->ready_count == NODE_SECTIONS_MAX)
		abort();
	n->ready_checks[n->ready_count++] =
		(struct ready_check){ name, ready, arg };
}

/* Adds a count of unfinished work that a graceful stop waits for. */
void node_add_drain(struct node *n, const char *name, int (*busy)(void *arg),
		    void *arg)
{
	if (n->drain_count == NODE_SECTIONS_MAX)
		abort();
	n->drain_checks[n->drain_count++] =
		(struct drain_check){ name, busy, arg };
}

/* Adds a hook that node_destroy calls after the RPC server has stopped. */
void node_add_stop(struct node *n, void (*stop)(void *arg), void *arg)
{
	if (n->stop_hook_count == NODE_SECTIONS_MAX)
		abort();
	n->stop_hooks[n->stop_hook_count++] = (struct stop_hook){ stop, arg };
}

/* Serves load balancer health checks at path, on the ready_port setting. */
void node_set_probe(struct node *n, const char *path)
{
	n->probe_routes[0] =
		(struct http_route){ "GET", path, 0, operator_ready_serve, n };
}

/* Returns 1 once the node accepts no new work. */
int node_draining(const struct node *n)
{
	return __atomic_load_n(&n->draining, __ATOMIC_RELAXED);
}

/*
 * Returns 1 once new requests must be refused, because a request started now
 * might not finish before the process exits.
 */
int node_refuses_requests(const struct node *n)
{
	return __atomic_load_n(&n->is_refusing_requests, __ATOMIC_RELAXED);
}

/*
 * Returns 1 shortly before the process exits with work in flight: what has not
 * been answered by then has to be answered now.
 */
int node_is_ending(const struct node *n)
{
	return __atomic_load_n(&n->is_ending, __ATOMIC_RELAXED);
}

/* Stops accepting new work; work in flight continues. */
void node_drain(struct node *n)
{
	if (!__atomic_exchange_n(&n->draining, 1, __ATOMIC_RELAXED))
		log_notice("drain", NULL, "draining: no new work is accepted");
	if (n->http)
		httpd_close_after_answers(n->http);
}

static void sweep_connections(void *arg, apr_time_t now)
{
	struct node *n = arg;

	httpd_sweep(n->http, now);
	httpd_sweep(n->operators, now);
	httpd_sweep(n->probes, now);
}

static int open_ports(struct node *n, struct error *err)
{
	const struct settings *s = &n->settings;
	int threads =
		n->role == ROLE_ENTRY ? HTTP_THREADS_ENTRY : HTTP_THREADS_AGENT;

	if (s->platform == PLATFORM_STORE)
		threads = 1; /* its machines have a fraction of a core */

	guard_set_memory(s->machine_memory_mb * 1000000LL);
	node_add_controller(n, "http", HTTP_SWEEP_US, sweep_connections, n);
	n->operators = httpd_start(s->address, s->operator_port,
				   n->operator_routes, 1, err);
	if (!n->operators)
		return -1;
	if (rpc_server_start(s->address, s->rpc_port, &n->self, err))
		return -1;
	n->http =
		httpd_start(s->address, s->http_port, n->routes, threads, err);
	if (!n->http)
		return -1;
	if (!s->ready_port || !n->probe_routes[0].path)
		return 0;
	n->probes = httpd_start(s->ready_address, s->ready_port,
				n->probe_routes, 1, err);
	return n->probes ? 0 : -1;
}

/* Records when this process was stopped or starved, and for how long. */
static void detect_pause(struct node *n, apr_time_t last, apr_time_t now)
{
	if (!last || now - last < NODE_PAUSE_MIN_US)
		return;
	n->pause_end = now;
	n->pause_length = now - last;
	log_warning("node-loop", NULL, "process was paused for %lld ms",
		    (long long)(n->pause_length / 1000));
}

static apr_time_t run_due_controllers(struct node *n, apr_time_t now)
{
	apr_time_t next = now + SLEEP_MAX_US;
	int i;

	for (i = 0; i < n->controller_count; i++) {
		struct controller *c = &n->controllers[i];

		if (c->due <= now) {
			c->step(c->arg, now);
			c->due = now + c->period;
		}
		if (c->due < next)
			next = c->due;
	}
	return next;
}

/*
 * Reloads the settings file.  Only the log level takes effect at once;
 * addresses, keys, links and threads need a restart.  An invalid file
 * changes nothing.
 */
static void reload_settings(struct node *n)
{
	struct fault_list faults = { 0 };
	struct settings s;
	size_t i;

	is_reload_requested = 0;
	if (!n->settings_file)
		return;
	if (!settings_load(n->settings_file, n->role, &s, &faults)) {
		log_level_set(s.log_debug ? LOG_SEV_DEBUG : LOG_SEV_INFO);
		n->settings.log_debug = s.log_debug;
		log_notice("reload", NULL,
			   "settings read again, debug lines %s",
			   s.log_debug ? "on" : "off");
	}
	for (i = 0; i < faults.count; i++)
		log_warning("reload", NULL, "settings unchanged: %s",
			    faults.lines[i]);
	fault_list_clear(&faults);
}

static int count_unfinished_work(struct node *n)
{
	int i, busy = 0;

	for (i = 0; i < n->drain_count; i++)
		busy += n->drain_checks[i].busy(n->drain_checks[i].arg);
	return busy;
}

/* Advances a requested stop.  Returns 1 when the process may exit. */
static int advance_shutdown(struct node *n, apr_time_t now,
			    apr_time_t *stop_started)
{
	apr_interval_time_t left;

	if (!stop_signal_count)
		return 0;
	if (!*stop_started) {
		*stop_started = now;
		node_drain(n);
	}
	if (stop_signal_count > 1)
		return 1;
	if (now - *stop_started <
	    (n->probes ? DRAIN_WITH_PROBES_US : DRAIN_WITHOUT_PROBES_US))
		return 0;
	if (n->probes && !node_refuses_requests(n)) {
		__atomic_store_n(&n->is_refusing_requests, 1, __ATOMIC_RELAXED);
		log_notice("drain", NULL, "refusing new requests; %d in flight",
			   count_unfinished_work(n));
	}
	left = n->settings.stop_grace_s * APR_USEC_PER_SEC - KILL_MARGIN_US -
	       (now - *stop_started);
	if (left < LAST_ANSWERS_US)
		__atomic_store_n(&n->is_ending, 1, __ATOMIC_RELAXED);
	return !count_unfinished_work(n) || left < 0;
}

/*
 * Opens the ports and steps the controllers until SIGTERM or SIGINT: the
 * first signal drains and returns when no work is left or the grace period is
 * nearly over, a second one returns at once.  Returns -1 with err set when a
 * port cannot be opened.
 */
int node_run(struct node *n, struct error *err)
{
	apr_time_t now, next, last = 0, stop_started = 0;

	if (open_ports(n, err))
		return -1;
	log_notice("start", NULL,
		   "listening on %s, ports %d (calls), %d (rpc), "
		   "%d (operators)",
		   n->settings.address, n->settings.http_port,
		   n->settings.rpc_port, n->settings.operator_port);
	for (;;) {
		now = clock_now();
		detect_pause(n, last, now);
		last = now;
		if (is_reload_requested)
			reload_settings(n);
		next = run_due_controllers(n, now);
		if (advance_shutdown(n, now, &stop_started))
			break;
		now = clock_now();
		if (next > now)
			usleep((useconds_t)(next - now));
	}
	log_notice("stop", NULL, "exiting%s",
		   count_unfinished_work(n) ? " with work in flight" : "");
	return 0;
}
