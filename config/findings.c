#include "config/findings.h"

#include <stdio.h>
#include <string.h>

#define PATH_SIZE 160

static void route_path(char path[PATH_SIZE], const struct route_spec *r)
{
	snprintf(path, PATH_SIZE, "route \"%s\"", r->name);
}

static void find_unmatched(const struct route_spec *r,
			   const struct route_spec *previous,
			   struct fault_list *out)
{
	char path[PATH_SIZE];

	route_path(path, r);
	if (*r->prefix != '/')
		fault_add(out, path,
			  "never matches: its prefix \"%s\" begins no path",
			  r->prefix);
	/* Routes are ordered, so that equal ones follow each other. */
	if (previous && !strcmp(previous->host, r->host) &&
	    !strcmp(previous->prefix, r->prefix))
		fault_add(out, path,
			  "never matches: route \"%s\" has the same host and "
			  "prefix",
			  previous->name);
}

static void find_service_faults(const struct document *d,
				const struct route_spec *r,
				struct fault_list *out)
{
	char path[PATH_SIZE];
	double total = 0;
	int i;

	route_path(path, r);
	for (i = 0; i < r->service_count; i++) {
		const struct weighted_service *s = &r->services[i];

		total += s->weight;
		if (s->weight <= 0)
			fault_add(out, path, "service \"%s\" has weight 0",
				  s->service);
		if (!routing_find_service(&d->routing, s->service))
			fault_add(out, path,
				  "service \"%s\" is not among the services",
				  s->service);
	}
	if (r->service_count && total <= 0)
		fault_add(out, path, "serves nothing: all weights are 0");
}

static void find_time_faults(const struct route_spec *r, struct fault_list *out)
{
	char path[PATH_SIZE];

	route_path(path, r);
	if (r->objective_ms > r->timeout_ms)
		fault_add(out, path,
			  "its objective of %d ms is above its timeout of %d "
			  "ms",
			  r->objective_ms, r->timeout_ms);
	if (r->kind == ROUTE_STREAM && r->max_event_gap_ms > r->timeout_ms)
		fault_add(out, path,
			  "its pause of %d ms is above its timeout of %d ms",
			  r->max_event_gap_ms, r->timeout_ms);
	if (r->is_resumable && r->kind != ROUTE_STREAM)
		fault_add(out, path, "is resumable, but no stream");
	if (r->is_resumable && r->max_attempts < 2)
		fault_add(out, path,
			  "is resumable, but may be sent to one upstream only");
}

static int share_region(const struct route_spec *r,
			const struct account_spec *a)
{
	int i, j;

	for (i = 0; i < r->region_count; i++)
		for (j = 0; j < a->region_count; j++)
			if (!strcmp(r->regions[i], a->regions[j]))
				return 1;
	return !r->region_count || !a->region_count;
}

static void find_region_faults(const struct document *d,
			       const struct route_spec *r,
			       struct fault_list *out)
{
	char path[PATH_SIZE];
	int i;

	route_path(path, r);
	for (i = 0; i < d->account_count && !r->is_public; i++)
		if (!share_region(r, &d->accounts[i]))
			fault_add(out, path,
				  "shares no region with account \"%s\", whose "
				  "requests are refused",
				  d->accounts[i].name);
}

static void find_account_faults(const struct account_spec *a,
				struct fault_list *out)
{
	char path[PATH_SIZE];

	snprintf(path, sizeof(path), "account \"%s\"", a->name);
	if (a->key_count || a->priority == PRIORITY_NONE)
		return;
	fault_add(out, path, "has a priority, but no key to call with");
}

/* Adds a line for each finding, with the entry that it concerns. */
void document_find(const struct document *d, struct fault_list *out)
{
	const struct routing *r = &d->routing;
	int i;

	for (i = 0; i < r->route_count; i++) {
		find_unmatched(&r->routes[i], i ? &r->routes[i - 1] : NULL,
			       out);
		find_service_faults(d, &r->routes[i], out);
		find_time_faults(&r->routes[i], out);
		find_region_faults(d, &r->routes[i], out);
	}
	for (i = 0; i < d->account_count; i++)
		find_account_faults(&d->accounts[i], out);
}
