#include "config/diff-internal.h"

#include <stdio.h>
#include <string.h>

#define SERVICES_BYTES 512

static const char *const kind_names[] = { [ROUTE_IDEMPOTENT] = "idempotent",
					  [ROUTE_ONCE] = "once",
					  [ROUTE_STREAM] = "stream" };

static const struct route_spec *find_route(const struct routing *r,
					   const char *name)
{
	int i;

	for (i = 0; i < r->route_count; i++)
		if (!strcmp(r->routes[i].name, name))
			return &r->routes[i];
	return NULL;
}

static void format_services(const struct route_spec *r,
			    char out[SERVICES_BYTES])
{
	size_t at = 0;
	int i;

	*out = '\0';
	for (i = 0; i < r->service_count && at < SERVICES_BYTES - 1; i++)
		at += (size_t)snprintf(out + at, SERVICES_BYTES - at,
				       "%s%s x %g", i ? ", " : "",
				       r->services[i].service,
				       r->services[i].weight);
}

static void diff_text(const struct subject *s, const char *field,
		      const char *from, const char *to)
{
	if (strcmp(from, to) != 0)
		diff_add_line(s->out, "%s: %s %s -> %s; affects %s", s->name,
			      field, from, to, s->affected);
}

static void route_diff(const struct route_spec *a, const struct route_spec *b,
		       struct diff_lines *out)
{
	char name[DIFF_LIST_BYTES], from[SERVICES_BYTES], to[SERVICES_BYTES];
	struct subject s = { out, name, "its callers" };

	snprintf(name, sizeof(name), "route \"%s\"", b->name);
	format_services(a, from);
	format_services(b, to);
	diff_text(&s, "host", a->host, b->host);
	diff_text(&s, "prefix", a->prefix, b->prefix);
	diff_text(&s, "kind", kind_names[a->kind], kind_names[b->kind]);
	diff_text(&s, "services", from, to);
	diff_number(&s, "timeout_ms", a->timeout_ms, b->timeout_ms);
	diff_number(&s, "objective_ms", a->objective_ms, b->objective_ms);
	diff_number(&s, "gap_ms", a->max_event_gap_ms, b->max_event_gap_ms);
	diff_number(&s, "attempts", a->max_attempts, b->max_attempts);
	diff_number(&s, "priority", a->priority, b->priority);
	diff_number(&s, "public", a->is_public, b->is_public);
	diff_number(&s, "resumable", a->is_resumable, b->is_resumable);
	diff_list(&s, "regions", a->regions, a->region_count, b->regions,
		  b->region_count);
}

static void limits_diff(const struct caller_limits *a,
			const struct caller_limits *b, struct diff_lines *out)
{
	struct subject s = { out, "limits", "all callers" };

	diff_number(&s, "header_bytes", a->header_bytes, b->header_bytes);
	diff_number(&s, "body_bytes", a->body_bytes, b->body_bytes);
	diff_number(&s, "header_ms", a->header_ms, b->header_ms);
	diff_number(&s, "idle_ms", a->idle_ms, b->idle_ms);
}

static void services_diff(const struct routing *from, const struct routing *to,
			  struct diff_lines *out)
{
	int i;

	for (i = 0; i < from->service_count; i++)
		if (!routing_find_service(to, from->services[i].name))
			diff_add_line(out, "upstream service \"%s\" goes away",
				      from->services[i].name);
	for (i = 0; i < to->service_count; i++)
		if (!routing_find_service(from, to->services[i].name))
			diff_add_line(out, "upstream service \"%s\" is new",
				      to->services[i].name);
}

/* Adds one line for each change of the routes, their services and limits. */
void routing_diff(const struct routing *from, const struct routing *to,
		  struct diff_lines *out)
{
	const struct route_spec *other;
	int i;

	for (i = 0; i < from->route_count; i++)
		if (!find_route(to, from->routes[i].name))
			diff_add_line(out,
				      "route \"%s\" (%s%s) goes away; affects "
				      "its callers: their calls are refused",
				      from->routes[i].name,
				      from->routes[i].host,
				      from->routes[i].prefix);
	for (i = 0; i < to->route_count; i++) {
		const struct route_spec *r = &to->routes[i];

		other = find_route(from, r->name);
		if (other)
			route_diff(other, r, out);
		else
			diff_add_line(out, "route \"%s\" (%s%s) is new",
				      r->name, r->host, r->prefix);
	}
	services_diff(from, to, out);
	limits_diff(&from->limits, &to->limits, out);
}
