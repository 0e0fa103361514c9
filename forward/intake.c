#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/metric.h"
#include "forward/internal.h"

/*
 * Receives a request, finds its route and account, and sends it to an upstream
 * or refuses it at once.
 */

/* Assumed deadline of callers that give none. */
#define DEFAULT_DEADLINE_MS 3000
/* Retry delay while this entry stops; other entries serve requests now. */
#define DRAINING_RETRY_MS 50

/* The same for a route that can't be read: only a new version changes that. */
#define CLOSED_RETRY_MS 1000

/* Frees a request that has been answered. */
void forward_free(struct forward *f)
{
	header_list_clear(&f->headers);
	header_list_clear(&f->answer_headers);
	header_list_clear(&f->answer_options);
	events_destroy(&f->events);
	document_unref(f->document);
	free(f->held_body);
	free(f->target);
	free(f->method);
	free(f);
}

/* Returns the inputs of a refusal with their versions and ages, for the log. */
static json_t *refusal_inputs_json(struct forward *f)
{
	json_int_t revision =
		f->document ? (json_int_t)f->document->revision : 0;

	return json_pack("{s:s,s:s,s:s,s:i,s:i,s:I,s:I,s:I,s:I,s:i,s:i,s:i,"
			 "s:I,s:I,s:I,s:s,s:o}",
			 "account", f->account ? f->account : "", "upstream",
			 f->upstream, "error", f->fetch.error.text, "tries",
			 f->attempts, "runs", f->runs, "ms",
			 (json_int_t)((clock_now() - f->received_at) / 1000),
			 "revision", revision, "list_version",
			 (json_int_t)f->list_version, "wait_ms",
			 forward_wait_ms(f), "load", f->load, "slots", f->slots,
			 "elapsed_ms", f->elapsed_ms, "release",
			 (json_int_t)f->release, "release_left_ms",
			 forward_release_left_ms(f), "deadline_ms",
			 forward_deadline_ms(f), "crash",
			 forward_verdict_name(f), "item", forward_item_json(f));
}

/*
 * Refuses a request. When it may have run, only a status that does not claim
 * the opposite may be used.
 */
void forward_refuse(struct forward *f, int status, enum again again,
		    int retry_after_ms, const char *reason)
{
	struct log_place at = { "refuse", f->route ? f->route->name : NULL,
				*f->head.id ? f->head.id : "-" };
	int not_run = status == 503 || status == 429 || status < 429;
	struct refusal r;

	if (log_is_enabled(LOG_SEV_WARNING, 1)) {
		json_t *fields = refusal_inputs_json(f);

		json_object_set_new(fields, "status", json_integer(status));
		json_object_set_new(
			fields, "outcome",
			json_string(not_run ? "not-run" : "unknown"));
		json_object_set_new(fields, "reason", json_string(reason));
		json_object_set_new(fields, "retry_after_ms",
				    json_integer(retry_after_ms));
		log_fields(LOG_SEV_WARNING, &at, fields, "request refused");
	}
	/* Nothing about the load follows from a request that crashes. */
	if (status == 503 && !forward_is_blamed(f)) {
		pthread_mutex_lock(&f->w->mutex);
		f->w->deadline_table.refused_at = clock_now();
		pthread_mutex_unlock(&f->w->mutex);
	}
	metric_count("forward_refused", reason, 1);
	refusal_set(&r, status, not_run ? OUTCOME_NOT_RUN : OUTCOME_UNKNOWN,
		    again, reason, "forward", "%s", reason);
	r.retry_after_ms = retry_after_ms;
	r.is_retry_after_fractional = 1;
	refusal_send(f->call, &r, *f->head.id ? f->head.id : NULL, NULL);
	forward_free(f);
}

struct header_copy {
	struct forward *f;
	char *connection; /* the values of all such fields, NULL: none */
};

/* Adds a Connection to those before it, as one list (RFC 9110, 5.3). */
static void add_connection(void *arg, const char *name, const char *value)
{
	struct header_copy *x = arg;
	char *list = NULL;

	if (strcasecmp(name, "Connection"))
		return;
	if (asprintf(&list, "%s%s%s", x->connection ? x->connection : "",
		     x->connection ? "," : "", value) < 0)
		abort();
	free(x->connection);
	x->connection = list;
}

static void copy_header(void *arg, const char *name, const char *value)
{
	struct header_copy *x = arg;

	if (header_is_hop_by_hop(name) ||
	    header_is_named(x->connection, name) ||
	    !x->f->w->wire->is_forwarded(name))
		return;
	header_add(&x->f->headers, name, value);
}

static struct forward *forward_new(struct forwarder *w, struct http_call *c)
{
	struct forward *f = calloc(1, sizeof(*f));
	struct header_copy x = { f, NULL };

	if (!f)
		abort();
	f->w = w;
	f->call = c;
	f->received_at = http_call_started_at(c);
	f->target = strdup(http_call_target(c));
	f->method = strdup(http_call_method(c));
	f->document = board_document(&w->node->board);
	events_init(&f->events);
	w->wire->parse_request(c, &f->head);
	http_call_headers(c, add_connection, &x);
	http_call_headers(c, copy_header, &x);
	free(x.connection);
	return f;
}

/* Excludes the regions that a list, when there is one, doesn't have. */
static void exclude_regions(struct forward *f, char *const *names, int count)
{
	const struct settings *s = &f->w->node->settings;

	f->regions_excluded |=
		region_excluded(s->regions, s->region_count, names, count);
}

/* Finds the account of the request's key. Returns -1 when there is none. */
static int find_account(struct forward *f)
{
	const struct account_spec *account;
	struct account_key key;
	int i;

	if (!f->document->requires_key || f->route->is_public)
		return 0;
	if (!f->head.key)
		return -1;
	account_key_of(f->head.key, strlen(f->head.key), &key);
	i = document_find_account_by_key(f->document, &key);
	if (i < 0)
		return -1;
	account = &f->document->accounts[i];
	f->account = account->name;
	if (account->priority != PRIORITY_NONE)
		f->priority = account->priority;
	exclude_regions(f, account->regions, account->region_count);
	return 0;
}

/* Chooses one of the services of a route by weight. */
static const struct weighted_service *choose_service(struct forward *f)
{
	const struct route_spec *r = f->route;
	double total = 0, at;
	int i;

	for (i = 0; i < r->service_count; i++)
		total += r->services[i].weight;
	pthread_mutex_lock(&f->w->mutex);
	at = random_unit(&f->w->random) * total;
	pthread_mutex_unlock(&f->w->mutex);
	for (i = 0; i < r->service_count - 1; i++) {
		at -= r->services[i].weight;
		if (at < 0)
			break;
	}
	return &r->services[i];
}

static void set_deadline(struct forward *f)
{
	long wait_ms = f->route->timeout_ms;

	if (f->head.deadline_ms >= 0 && f->head.deadline_ms < wait_ms)
		wait_ms = f->head.deadline_ms;
	f->expires_at = f->received_at + wait_ms * 1000LL;
}

static void set_service(struct forward *f)
{
	const struct weighted_service *p = choose_service(f);

	snprintf(f->service_name, sizeof(f->service_name), "%s", p->service);
	f->service = routing_find_service(&f->document->routing, p->service);
	set_deadline(f);
}

/*
 * The caller closed its connection. This function must not call back into the
 * call.
 */
static void on_caller_disconnected(void *arg)
{
	struct forward *f = arg;

	__atomic_store_n(&f->is_caller_disconnected, 1, __ATOMIC_RELEASE);
}

/*
 * Returns the time in ms that the caller waits, as far as it is known without a
 * route.
 */
static long caller_timeout_ms(const struct forward *f)
{
	return f->head.deadline_ms >= 0 ? f->head.deadline_ms
					: DEFAULT_DEADLINE_MS;
}

/* Serves any request on the callers' port. */
void forward_serve(struct http_call *c, void *arg)
{
	struct forwarder *w = arg;
	struct forward *f = forward_new(w, c);
	apr_time_t now = clock_now();
	size_t body_size;

	metric_count("forward_requests", NULL, 1);
	http_call_body(c, &body_size);
	if (node_refuses_requests(w->node)) {
		forward_refuse(f, 503, AGAIN_SAME, DRAINING_RETRY_MS,
			       "stopping");
		return;
	}
	if (!f->document) {
		f->wait_us = ADMIT_WAIT_UNKNOWN_US;
		f->expires_at = f->received_at + caller_timeout_ms(f) * 1000LL;
		forward_refuse(f, 503, AGAIN_SAME,
			       forward_retry_after_ms(f, now),
			       "no-configuration");
		return;
	}
	f->route = routing_find_route(&f->document->routing, f->head.host,
				      f->target);
	if (!f->route) {
		forward_refuse(f, 404, AGAIN_NO, 0, "no-such-route");
		return;
	}
	f->priority = f->route->priority;
	exclude_regions(f, f->route->regions, f->route->region_count);
	if (find_account(f)) {
		forward_refuse(f, 401, AGAIN_NO, 0, "unknown-key");
		return;
	}
	if (f->head.is_too_long ||
	    http_call_fields_size(c) >
		    (size_t)f->document->routing.limits.header_bytes) {
		forward_refuse(f, 431, AGAIN_NO, 0, "head-too-large");
		return;
	}
	if (body_size > (size_t)f->document->routing.limits.body_bytes) {
		forward_refuse(f, 413, AGAIN_NO, 0, "body-too-large");
		return;
	}
	if (!f->route->service_count) {
		set_deadline(f);
		forward_refuse(f, 503, AGAIN_SAME, CLOSED_RETRY_MS,
			       "route-unreadable");
		return;
	}
	set_service(f);
	forward_set_items(f, http_call_body(c, &body_size), body_size);
	pthread_mutex_lock(&w->mutex);
	retry_budget_count_request(&w->retry_budget, f->service_name, now);
	pthread_mutex_unlock(&w->mutex);
	if (forward_refuse_blamed(f, now))
		return;
	pthread_mutex_lock(&w->mutex);
	f->elapsed_ms = deadline_table_elapsed_ms(
		&w->deadline_table, f->route->name, f->head.deadline_ms, now);
	pthread_mutex_unlock(&w->mutex);
	http_call_on_disconnect(c, on_caller_disconnected, f);
	forward_send(f, now);
}
