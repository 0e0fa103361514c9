#include "config/routing.h"

#include <ctype.h>
#include <limits.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "base/schema.h"
#include "config/document.h"

#define DEFAULT_TIMEOUT_MS 30000 /* of a route that sets none */
#define DEFAULT_MAX_ATTEMPTS 1
#define DEFAULT_PRIORITY 5
#define DEFAULT_MAX_HEADER_BYTES 16384
#define DEFAULT_MAX_BODY_BYTES (4 * 1024 * 1024)
#define DEFAULT_HEADER_TIMEOUT_MS 10000
#define DEFAULT_IDLE_TIMEOUT_MS 60000

static void *array_new(size_t count, size_t size)
{
	void *p = calloc(count ? count : 1, size);

	if (!p)
		abort();
	return p;
}

static char *text_copy(const char *from)
{
	char *s = strdup(from);

	if (!s)
		abort();
	return s;
}

static enum route_kind kind_parse(const char *name)
{
	if (!strcmp(name, "idempotent"))
		return ROUTE_IDEMPOTENT;
	return strcmp(name, "stream") ? ROUTE_ONCE : ROUTE_STREAM;
}

static void weighted_services_bind(struct route_spec *r, const json_t *list)
{
	size_t i, n = json_array_size(list);

	r->services = array_new(n, sizeof(*r->services));
	r->service_count = (int)n;
	for (i = 0; i < n; i++) {
		const json_t *o = json_array_get(list, i);

		snprintf(r->services[i].service, ROUTING_NAME_SIZE, "%s",
			 schema_string(o, "service", ""));
		r->services[i].weight = schema_real(o, "weight", 1);
	}
}

static void route_bind(struct route_spec *r, const json_t *o)
{
	char *c;

	snprintf(r->name, sizeof(r->name), "%s", schema_string(o, "name", ""));
	r->host = text_copy(schema_string(o, "host", ""));
	for (c = r->host; *c; c++)
		*c = (char)tolower((unsigned char)*c);
	r->prefix = text_copy(schema_string(o, "prefix", ""));
	r->kind = kind_parse(schema_string(o, "kind", ""));
	r->timeout_ms =
		(int)schema_integer(o, "timeout_ms", DEFAULT_TIMEOUT_MS);
	r->objective_ms = (int)schema_integer(o, "objective_ms", r->timeout_ms);
	r->max_event_gap_ms = (int)schema_integer(o, "gap_ms", 0);
	r->max_attempts =
		(int)schema_integer(o, "attempts", DEFAULT_MAX_ATTEMPTS);
	r->priority = (int)schema_integer(o, "priority", DEFAULT_PRIORITY);
	r->is_public = schema_boolean(o, "public", 0);
	r->is_resumable = schema_boolean(o, "resumable", 0);
	weighted_services_bind(r, json_object_get(o, "services"));
	r->regions =
		strings_bind(json_object_get(o, "regions"), &r->region_count);
}

static void service_bind(struct service_limits *s, const json_t *o)
{
	const json_t *e = json_object_get(o, "engine");

	snprintf(s->name, sizeof(s->name), "%s", schema_string(o, "name", ""));
	s->max_connections = (int)schema_integer(o, "connections", 0);
	s->cold_per_s = schema_real(o, "cold_per_s", 0);
	s->cold_s = schema_real(o, "cold_s", 0);
	s->has_engine = json_is_object(e);
	s->engine.slots = (int)schema_integer(e, "slots", 1);
	s->engine.kv_tokens = schema_real(e, "kv_tokens", 0);
	s->engine.base_step_us = schema_real(e, "step_us", 0);
	s->engine.request_step_us = schema_real(e, "running_us", 0);
	s->engine.context_step_us = schema_real(e, "context_us", 0);
	s->engine.prefill_tokens_per_s = schema_real(e, "read_per_s", 0);
	s->engine.steps_per_pass = (int)schema_integer(e, "stride", 1);
	s->engine.typical_prompt_tokens = schema_real(e, "usual_prompt", 0);
	s->engine.typical_answer_tokens = schema_real(e, "usual_answer", 0);
}

static void limits_bind(struct caller_limits *l, const json_t *o)
{
	l->header_bytes = (int)schema_integer(o, "header_bytes",
					      DEFAULT_MAX_HEADER_BYTES);
	l->body_bytes =
		(int)schema_integer(o, "body_bytes", DEFAULT_MAX_BODY_BYTES);
	l->header_ms =
		(int)schema_integer(o, "header_ms", DEFAULT_HEADER_TIMEOUT_MS);
	l->idle_ms = (int)schema_integer(o, "idle_ms", DEFAULT_IDLE_TIMEOUT_MS);
}

/* By host, then longest prefix first, so that the first match is the best. */
static int route_compare(const void *a, const void *b)
{
	const struct route_spec *x = a, *y = b;
	size_t m = strlen(x->prefix), n = strlen(y->prefix);
	int c = strcmp(x->host, y->host);

	if (c)
		return c;
	if (m != n)
		return m > n ? -1 : 1;
	return strcmp(x->prefix, y->prefix);
}

static int service_compare(const void *a, const void *b)
{
	const struct service_limits *x = a, *y = b;

	return strcmp(x->name, y->name);
}

/* Adds what a route asks of one of its services. */
static void merge_route(struct service_limits *s, const struct route_spec *x)
{
	if (x->objective_ms &&
	    (!s->objective_ms || x->objective_ms < s->objective_ms))
		s->objective_ms = x->objective_ms;
	if (x->priority < s->priority_first)
		s->priority_first = x->priority;
	if (x->priority > s->priority_last)
		s->priority_last = x->priority;
}

static void set_service_objectives(struct routing *r)
{
	struct service_limits *s;
	int i, j;

	for (i = 0; i < r->service_count; i++) {
		r->services[i].priority_first = INT_MAX;
		r->services[i].priority_last = INT_MIN;
	}

	for (i = 0; i < r->route_count; i++) {
		const struct route_spec *x = &r->routes[i];

		for (j = 0; j < x->service_count; j++) {
			s = (struct service_limits *)routing_find_service(
				r, x->services[j].service);
			if (s)
				merge_route(s, x);
		}
	}
}

/* Fills r from a validated document; missing sections stay empty. */
void routing_bind(struct routing *r, const json_t *root)
{
	const json_t *routes = json_object_get(root, "routes");
	const json_t *services = json_object_get(root, "upstream_services");
	size_t i;

	r->route_count = (int)json_array_size(routes);
	r->routes = array_new((size_t)r->route_count, sizeof(*r->routes));
	for (i = 0; i < json_array_size(routes); i++)
		route_bind(&r->routes[i], json_array_get(routes, i));
	r->service_count = (int)json_array_size(services);
	r->services = array_new((size_t)r->service_count, sizeof(*r->services));
	for (i = 0; i < json_array_size(services); i++)
		service_bind(&r->services[i], json_array_get(services, i));
	limits_bind(&r->limits, json_object_get(root, "caller_limits"));
	qsort(r->routes, (size_t)r->route_count, sizeof(*r->routes),
	      route_compare);
	qsort(r->services, (size_t)r->service_count, sizeof(*r->services),
	      service_compare);
	set_service_objectives(r);
}

/* Frees what routing_bind filled in. */
void routing_free(struct routing *r)
{
	int i;

	for (i = 0; i < r->route_count; i++) {
		free(r->routes[i].host);
		free(r->routes[i].prefix);
		free(r->routes[i].services);
		strings_free(r->routes[i].regions, r->routes[i].region_count);
	}
	free(r->routes);
	free(r->services);
}

/* Compares the host of a Host header, without its port, with a name. */
static int host_compare(const char *host, size_t length, const char *name)
{
	int c = strncasecmp(host, name, length);

	return c ? c : -(int)(unsigned char)name[length];
}

/*
 * Returns the index of the first route whose host is not ordered before this
 * one, or the number of routes.
 */
static int find_first_route(const struct routing *r, const char *host,
			    size_t length)
{
	int low = 0, high = r->route_count;

	while (low < high) {
		int mid = (low + high) / 2;

		if (host_compare(host, length, r->routes[mid].host) > 0)
			low = mid + 1;
		else
			high = mid;
	}
	return low;
}

/*
 * Returns the route for a Host header and a path (a query may follow it), or
 * NULL.  The longest prefix wins.
 */
const struct route_spec *routing_find_route(const struct routing *r,
					    const char *host, const char *path)
{
	size_t length = strcspn(host, ":");
	size_t n = strcspn(path, "?");
	int i;

	for (i = find_first_route(r, host, length); i < r->route_count; i++) {
		const struct route_spec *s = &r->routes[i];
		size_t m = strlen(s->prefix);

		if (host_compare(host, length, s->host))
			return NULL;
		if (m <= n && !memcmp(s->prefix, path, m))
			return s;
	}
	return NULL;
}

static int name_compare(const void *name, const void *row)
{
	return strcmp(name, ((const struct service_limits *)row)->name);
}

/* Returns the limits and the engine model of a service, or NULL. */
const struct service_limits *routing_find_service(const struct routing *r,
						  const char *name)
{
	if (!r->service_count)
		return NULL;
	return bsearch(name, r->services, (size_t)r->service_count,
		       sizeof(*r->services), name_compare);
}

/* Returns 1 when a request of this route may run more than once. */
int is_route_repeatable(const struct route_spec *r)
{
	return r->kind == ROUTE_IDEMPOTENT ||
	       (r->kind == ROUTE_STREAM && r->is_resumable);
}
