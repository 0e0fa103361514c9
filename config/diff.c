#include "config/diff-internal.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LINE_BYTES 1024
#define SHOWN_DIGEST_CHARS 12 /* prefix of a digest that is printed */

/* Adds a formatted line. */
void diff_add_line(struct diff_lines *l, const char *fmt, ...)
{
	char text[LINE_BYTES];
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	if (l->count == l->capacity) {
		l->capacity = l->capacity ? l->capacity * 2 : 32;
		l->lines = realloc(l->lines, l->capacity * sizeof(char *));
		if (!l->lines)
			abort();
	}
	l->lines[l->count] = strdup(text);
	if (!l->lines[l->count++])
		abort();
}

/* Frees the lines. */
void diff_lines_clear(struct diff_lines *l)
{
	size_t i;

	for (i = 0; i < l->count; i++)
		free(l->lines[i]);
	free(l->lines);
	memset(l, 0, sizeof(*l));
}

/* Adds a line if a number differs. */
void diff_number(const struct subject *s, const char *field, double from,
		 double to)
{
	if (from != to)
		diff_add_line(s->out, "%s: %s %g -> %g; affects %s", s->name,
			      field, from, to, s->affected);
}

static void format_list(char *const *list, int count, char out[DIFF_LIST_BYTES])
{
	size_t at = 0;
	int i;

	out[0] = '\0';
	for (i = 0; i < count && at < DIFF_LIST_BYTES - 1; i++)
		at += (size_t)snprintf(out + at, DIFF_LIST_BYTES - at, "%s%s",
				       i ? " " : "", list[i]);
	if (!count)
		snprintf(out, DIFF_LIST_BYTES, "none");
}

static int is_list_equal(char *const *a, int na, char *const *b, int nb)
{
	int i;

	if (na != nb)
		return 0;
	for (i = 0; i < na; i++) {
		if (strcmp(a[i], b[i]))
			return 0;
	}
	return 1;
}

/* Adds a line if a list of names differs. */
void diff_list(const struct subject *s, const char *field, char *const *a,
	       int na, char *const *b, int nb)
{
	char from[DIFF_LIST_BYTES], to[DIFF_LIST_BYTES];

	if (is_list_equal(a, na, b, nb))
		return;
	format_list(a, na, from);
	format_list(b, nb, to);
	diff_add_line(s->out, "%s: %s %s -> %s; affects %s", s->name, field,
		      from, to, s->affected);
}

static void diff_limits(const struct subject *s, const struct limit_spec *a,
			const struct limit_spec *b)
{
	diff_number(s, "requests_per_second", a->requests_per_second,
		    b->requests_per_second);
	diff_number(s, "tokens_per_second", a->tokens_per_second,
		    b->tokens_per_second);
	diff_number(s, "concurrent", a->concurrent, b->concurrent);
	diff_number(s, "cut_off_share", a->partitioned_share,
		    b->partitioned_share);
}

static const char *account_name(const struct document *d, int account)
{
	return d->accounts[account].name;
}

static const struct account_spec *account_find(const struct document *d,
					       const char *name)
{
	int i;

	for (i = 0; i < d->account_count; i++) {
		if (!strcmp(d->accounts[i].name, name))
			return &d->accounts[i];
	}
	return NULL;
}

static int has_same_keys(const struct account_spec *a,
			 const struct account_spec *b)
{
	return a->key_count == b->key_count &&
	       (!a->key_count ||
		!memcmp(a->keys, b->keys,
			(size_t)a->key_count * sizeof(*a->keys)));
}

static void account_diff(const struct account_spec *a,
			 const struct account_spec *b, struct diff_lines *out)
{
	char name[DIFF_LIST_BYTES], affected[DIFF_LIST_BYTES];
	struct subject s = { out, name, affected };

	snprintf(name, sizeof(name), "account \"%s\"", b->name);
	snprintf(affected, sizeof(affected),
		 "the calls of \"%s\" at every entry", b->name);
	if (!has_same_keys(a, b))
		diff_add_line(
			out,
			"%s: keys change (%d -> %d); affects callers that use "
			"the keys removed",
			name, a->key_count, b->key_count);
	diff_number(&s, "share", a->share, b->share);
	if (a->key_count && !b->key_count)
		diff_add_line(
			out,
			"%s: loses its last key; affects all its callers: "
			"their calls are refused",
			name);
	diff_number(&s, "priority_min", a->priority_min, b->priority_min);
	diff_number(&s, "priority", a->priority, b->priority);
	diff_list(&s, "regions", a->regions, a->region_count, b->regions,
		  b->region_count);
	diff_limits(&s, &a->limit, &b->limit);
}

static void accounts_diff(const struct document *a, const struct document *b,
			  struct diff_lines *out)
{
	const struct account_spec *other;
	int i;

	for (i = 0; i < a->account_count; i++) {
		if (!account_find(b, a->accounts[i].name))
			diff_add_line(out,
				      "account \"%s\" goes away; "
				      "affects all its callers: "
				      "their calls are refused",
				      a->accounts[i].name);
	}
	for (i = 0; i < b->account_count; i++) {
		other = account_find(a, b->accounts[i].name);
		if (other)
			account_diff(other, &b->accounts[i], out);
		else
			diff_add_line(
				out, "account \"%s\" is new, with %d keys",
				b->accounts[i].name, b->accounts[i].key_count);
	}
}

static void model_diff(const struct document *da, const struct model_spec *a,
		       const struct document *db, const struct model_spec *b,
		       struct diff_lines *out)
{
	char name[DIFF_LIST_BYTES], affected[DIFF_LIST_BYTES],
		on[DIFF_LIST_BYTES];
	struct subject s = { out, name, affected };

	format_list(b->upstreams, b->upstream_count, on);
	snprintf(name, sizeof(name), "model \"%s\" of \"%s\"", b->name,
		 account_name(db, b->account));
	snprintf(affected, sizeof(affected), "upstreams %.200s", on);
	if (strcmp(account_name(da, a->account), account_name(db, b->account)))
		diff_add_line(out, "%s: was of \"%s\"; affects its callers",
			      name, account_name(da, a->account));
	if (strcmp(a->version, b->version))
		diff_add_line(
			out,
			"%s: version %.*s -> %.*s; affects %s, which load the "
			"new weights",
			name, SHOWN_DIGEST_CHARS, a->version,
			SHOWN_DIGEST_CHARS, b->version, affected);
	if (strcmp(a->base, b->base))
		diff_add_line(out, "%s: base \"%s\" -> \"%s\"; affects %s",
			      name, a->base, b->base, affected);
	diff_list(&s, "upstreams", a->upstreams, a->upstream_count,
		  b->upstreams, b->upstream_count);
	diff_list(&s, "data_centers", a->data_centers, a->data_center_count,
		  b->data_centers, b->data_center_count);
	diff_number(&s, "priority", a->priority, b->priority);
	diff_number(&s, "time_weight", a->time_weight, b->time_weight);
	diff_number(&s, "origin_copies", a->max_origin_copies,
		    b->max_origin_copies);
	diff_number(&s, "first_loaders", a->first_loader_count,
		    b->first_loader_count);
	diff_number(&s, "min_serving", a->min_serving_ratio,
		    b->min_serving_ratio);
}

static void models_diff(const struct document *a, const struct document *b,
			struct diff_lines *out)
{
	const struct model_spec *other;
	char on[DIFF_LIST_BYTES];
	int i;

	for (i = 0; i < a->model_count; i++) {
		const struct model_spec *m = &a->models[i];

		format_list(m->upstreams, m->upstream_count, on);
		if (!document_find_model(b, m->name))
			diff_add_line(out,
				      "model \"%s\" of \"%s\" goes away; "
				      "affects upstreams "
				      "%s, which unload it",
				      m->name, account_name(a, m->account), on);
	}
	for (i = 0; i < b->model_count; i++) {
		const struct model_spec *m = &b->models[i];

		other = document_find_model(a, m->name);
		format_list(m->upstreams, m->upstream_count, on);
		if (other)
			model_diff(a, other, b, m, out);
		else
			diff_add_line(
				out,
				"model \"%s\" of \"%s\" is new, version %.*s; "
				"affects upstreams %s, which load it",
				m->name, account_name(b, m->account),
				SHOWN_DIGEST_CHARS, m->version, on);
	}
}

static void operations_diff(const struct service_spec *a,
			    const struct service_spec *b, const char *service,
			    struct diff_lines *out)
{
	const struct operation_spec *p, *q;
	char name[DIFF_LIST_BYTES];
	struct subject s = { out, name, "its callers" };
	int i;

	for (i = 0; i < a->operation_count; i++) {
		p = &a->operations[i];
		if (!service_find_operation(b, p->name))
			diff_add_line(out,
				      "operation \"%s\" of %s goes away; "
				      "affects its "
				      "callers: their calls are refused",
				      p->name, service);
	}
	for (i = 0; i < b->operation_count; i++) {
		q = &b->operations[i];
		p = service_find_operation(a, q->name);
		snprintf(name, sizeof(name), "operation \"%s\" of %.160s",
			 q->name, service);
		if (!p) {
			diff_add_line(out, "%s is new%s", name,
				      q->is_repeatable ? ""
						       : ", not repeatable");
			continue;
		}
		if (p->is_repeatable != q->is_repeatable)
			diff_add_line(out, "%s: %s; affects its callers", name,
				      q->is_repeatable
					      ? "may be repeated from now on"
					      : "may not be repeated any more");
		diff_number(&s, "deadline_ms", p->deadline_ms, q->deadline_ms);
		diff_number(&s, "key_lifetime_s", p->key_lifetime_s,
			    q->key_lifetime_s);
	}
}

static void service_diff(const struct document *da,
			 const struct service_spec *a,
			 const struct document *db,
			 const struct service_spec *b, struct diff_lines *out)
{
	char name[DIFF_LIST_BYTES];
	struct subject s = { out, name, "where its calls go" };

	snprintf(name, sizeof(name), "service \"%s\" of \"%s\"", b->name,
		 account_name(db, b->account));
	if (strcmp(account_name(da, a->account), account_name(db, b->account)))
		diff_add_line(out, "%s: was of \"%s\"; affects its callers",
			      name, account_name(da, a->account));
	diff_list(&s, "upstreams", a->upstreams, a->upstream_count,
		  b->upstreams, b->upstream_count);
	operations_diff(a, b, name, out);
}

static void services_diff(const struct document *a, const struct document *b,
			  struct diff_lines *out)
{
	const struct service_spec *other;
	int i;

	for (i = 0; i < a->service_count; i++) {
		const struct service_spec *s = &a->services[i];

		if (!document_find_service(b, s->name))
			diff_add_line(out,
				      "service \"%s\" of \"%s\" goes away; "
				      "affects its "
				      "callers: their calls are refused",
				      s->name, account_name(a, s->account));
	}
	for (i = 0; i < b->service_count; i++) {
		const struct service_spec *s = &b->services[i];

		other = document_find_service(a, s->name);
		if (other)
			service_diff(a, other, b, s, out);
		else
			diff_add_line(
				out,
				"service \"%s\" of \"%s\" is new, with %d "
				"operations",
				s->name, account_name(b, s->account),
				s->operation_count);
	}
}

/* Adds one line for each change; none if no compared field differs. */
void document_diff(const struct document *from, const struct document *to,
		   struct diff_lines *out)
{
	struct subject fleet = { out, "fleet", "all accounts" };
	struct subject orders = { out, "fleet", "orders to these engines" };

	diff_limits(&fleet, &from->fleet.budget, &to->fleet.budget);
	diff_list(&orders, "fencing", from->fleet.fencing,
		  from->fleet.fencing_count, to->fleet.fencing,
		  to->fleet.fencing_count);
	diff_number(&fleet, "affinity.lock_s", from->fleet.affinity_lock_s,
		    to->fleet.affinity_lock_s);
	diff_number(&fleet, "affinity.idle_s", from->fleet.affinity_idle_s,
		    to->fleet.affinity_idle_s);
	if (from->requires_key != to->requires_key)
		diff_add_line(out,
			      "keys: requests %s a key; affects all callers "
			      "of routes that are not public",
			      to->requires_key ? "need" : "no longer need");
	accounts_diff(from, to, out);
	models_diff(from, to, out);
	services_diff(from, to, out);
	routing_diff(&from->routing, &to->routing, out);
}
