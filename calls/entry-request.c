#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/metric.h"
#include "calls/entry-internal.h"

#define BEARER_PREFIX "Bearer "
#define MODELS_PREFIX "/v1/models/"
#define SERVICES_PREFIX "/v1/services/"
#define PRIORITY_DEFAULT 5
#define PRIORITY_MAX 9
#define AFFINITY_PREFIX_BYTES 256 /* of a prompt without a session */
#define MAX_TOKENS_DEFAULT 16
#define RETRY_AFTER_MS 200

/* Refuses a request that was not accepted, with the outcome "not-run". */
void entry_refuse(struct http_call *c, int status, enum again again,
		  const char *reason, const char *fmt, ...)
{
	struct refusal r;
	char detail[160];
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(detail, sizeof(detail), fmt, ap);
	va_end(ap);
	refusal_set(&r, status, OUTCOME_NOT_RUN, again, reason, "entry", "%s",
		    detail);
	if (status == 503)
		r.retry_after_ms = RETRY_AFTER_MS;
	if (status == 401)
		http_call_set(c, "WWW-Authenticate", "Bearer");
	metric_count("calls_refused", reason, 1);
	refusal_send(c, &r, NULL, NULL);
}

/*
 * Returns the index of the account that the request's bearer key belongs to,
 * or -1.  Only digests of keys are compared, and the decisive comparison takes
 * constant time.
 */
int entry_authenticate(struct http_call *c, const struct document *d)
{
	const char *value = http_call_header(c, "Authorization");
	const struct account_spec *a;
	struct account_key key;
	int i, k, is_match = 0;

	if (!value ||
	    strncasecmp(value, BEARER_PREFIX, strlen(BEARER_PREFIX)) != 0)
		return -1;
	value += strlen(BEARER_PREFIX);
	account_key_of(value, strlen(value), &key);
	i = document_find_account_by_key(d, &key);
	if (i < 0)
		return -1;
	a = &d->accounts[i];
	for (k = 0; k < a->key_count; k++)
		is_match |= bytes_equal_constant_time(&a->keys[k], &key,
						      sizeof(key));
	return is_match ? i : -1;
}

/*
 * Parses a decimal integer header into *out, which stays unchanged if the
 * header is missing.  Returns -1 if it is malformed or out of range.
 */
static int parse_number_header(struct http_call *c, const char *name, long low,
			       long high, long *out)
{
	const char *value = http_call_header(c, name);
	char *end;
	long n;

	if (!value)
		return 0;
	n = strtol(value, &end, 10);
	if (end == value || *end || n < low || n > high)
		return -1;
	*out = n;
	return 0;
}

/* Splits "<name>/<action>" after a prefix.  Returns -1 if either is missing. */
static int split_path(const char *path, const char *prefix, char *name,
		      char *action)
{
	const char *rest = path + strlen(prefix);
	const char *slash = strchr(rest, '/');
	size_t n = slash ? (size_t)(slash - rest) : 0;

	if (!n || n >= DOCUMENT_NAME_SIZE || !slash[1] ||
	    strchr(slash + 1, '/') || strlen(slash + 1) >= DOCUMENT_NAME_SIZE)
		return -1;
	memcpy(name, rest, n);
	name[n] = '\0';
	snprintf(action, DOCUMENT_NAME_SIZE, "%s", slash + 1);
	return 0;
}

/*
 * Parses the headers that any call may have.  If one is malformed, refuses the
 * call and returns -1.
 */
static int read_call_headers(struct relay *r, const struct account_spec *a,
			     long deadline_ms)
{
	struct http_call *c = r->call;
	const char *id = http_call_header(c, "X-Request-Id");
	const char *key = http_call_header(c, "Idempotency-Key");
	long priority = PRIORITY_DEFAULT;
	unsigned char random[16];
	size_t i;

	if ((id && !request_id_is_valid(id)) ||
	    parse_number_header(c, "X-Deadline-Ms", 1, ENTRY_DEADLINE_MAX_MS,
				&deadline_ms) ||
	    parse_number_header(c, "X-Priority", 0, PRIORITY_MAX, &priority) ||
	    (key && (!*key || strlen(key) >= sizeof(r->idempotency_key) ||
		     strpbrk(key, "\r\n")))) {
		entry_refuse(c, 400, AGAIN_NO, "bad-header",
			     "X-Request-Id, Idempotency-Key, X-Deadline-Ms or "
			     "X-Priority is malformed");
		return -1;
	}
	if (id) {
		snprintf(r->id, sizeof(r->id), "%s", id);
	} else {
		random_secure(random, sizeof(random));
		for (i = 0; i < sizeof(random); i++)
			snprintf(r->id + 2 * i, 3, "%02x", random[i]);
	}
	if (key)
		snprintf(r->idempotency_key, sizeof(r->idempotency_key), "%s",
			 key);
	snprintf(r->account, sizeof(r->account), "%s", a->name);
	r->priority = (int)priority < a->priority_min ? a->priority_min
						      : (int)priority;
	r->deadline = r->received_at + apr_time_from_msec(deadline_ms);
	return 0;
}

/*
 * Returns a hash of the session, else of the prompt's first bytes, or 0 for a
 * prompt that is too short.  A session from the X-Session header is added to
 * the engine's request.
 */
static uint64_t compute_affinity(struct relay *r)
{
	const char *session =
		json_string_value(json_object_get(r->request, "session"));
	const char *prompt =
		json_string_value(json_object_get(r->request, "prompt"));
	size_t n;

	if (!session) {
		session = http_call_header(r->call, "X-Session");
		if (session)
			json_object_set_new(r->request, "session",
					    json_string(session));
	}
	r->cache_result = -1;
	r->has_session = session != NULL;
	if (session)
		return place_hash_string(session, r->class) | 1;
	n = strlen(prompt);
	if (n < AFFINITY_PREFIX_BYTES / 4)
		return 0;
	return place_hash(prompt,
			  n < AFFINITY_PREFIX_BYTES ? n : AFFINITY_PREFIX_BYTES,
			  r->class) |
	       1;
}

/*
 * Parses the body of a model call and prepares the engine's request.  Sets
 * *tokens to the number of tokens for admission.  Returns -1 if the body is
 * invalid.
 */
static int read_model_request(struct relay *r, int *tokens)
{
	size_t size;
	const char *body = http_call_body(r->call, &size);
	const char *prompt = NULL, *session = NULL;
	int max_tokens = MAX_TOKENS_DEFAULT, stream = 0, resume_from = 0;

	r->request = json_loadb(body, size, JSON_REJECT_DUPLICATES, NULL);
	if (json_unpack(r->request, "{s:s,s?i,s?b,s?i,s?s}", "prompt", &prompt,
			"max_tokens", &max_tokens, "stream", &stream,
			"resume_from", &resume_from, "session", &session) ||
	    max_tokens < 1 || resume_from < 0 || resume_from > max_tokens)
		return -1;
	json_object_set_new(r->request, "model", json_string(r->name));
	json_object_set_new(r->request, "priority", json_integer(r->priority));
	r->is_streaming = stream;
	r->affinity = compute_affinity(r);
	sse_init(&r->sse, r->id, resume_from, NULL, r);
	*tokens = max_tokens - resume_from + 1;
	return 0;
}

static void on_admission_decided(struct admission *a,
				 enum admit_outcome outcome, int retry_after_ms,
				 const char *reason)
{
	struct relay *r = a->arg;
	struct refusal why;

	if (outcome == ADMIT_GRANTED) {
		r->is_admitted = 1;
		relay_start_attempt(r);
		return;
	}
	refusal_set(&why,
		    outcome == ADMIT_LIMIT	? 429
		    : outcome == ADMIT_OVERLOAD ? 503
						: 403,
		    OUTCOME_NOT_RUN,
		    outcome == ADMIT_UNKNOWN_ACCOUNT ? AGAIN_NO : AGAIN_SAME,
		    outcome == ADMIT_LIMIT	? "account-limit"
		    : outcome == ADMIT_OVERLOAD ? "overload"
						: "no-such-account",
		    "admission", "%s", reason ? reason : "");
	why.retry_after_ms = retry_after_ms;
	relay_refuse(r, &why);
}

/* Registers the call and requests its admission.  The relay answers it. */
static void start_relay(struct relay *r, int tokens)
{
	struct entry *e = r->e;
	struct admission *a = &r->admission;
	size_t size;
	const void *body = http_call_body(r->call, &size);

	crash_fingerprint(r->account, http_call_path(r->call), body, size,
			  &r->fingerprint);

	table_lock(&e->relays);
	r->handle = table_add(&e->relays, &r);
	table_unlock(&e->relays);
	if (handle_is_none(r->handle)) {
		entry_refuse(r->call, 503, AGAIN_SAME, "entry-full",
			     "too many calls are under way here");
		relay_free(r);
		return;
	}
	snprintf(r->explain.id, sizeof(r->explain.id), "%s", r->id);
	snprintf(r->explain.account, sizeof(r->explain.account), "%s",
		 r->account);
	snprintf(r->explain.target, sizeof(r->explain.target), "%.40s/%.40s",
		 r->name, r->operation);
	r->explain.started_at = r->received_at;
	metric_add(e->calls_metric, 1);
	retry_budget_earn(&e->budget, r->account);
	snprintf(a->account, sizeof(a->account), "%s", r->account);
	snprintf(a->target, sizeof(a->target), "%s", r->name);
	a->priority = r->priority;
	a->tokens = tokens;
	a->deadline = r->deadline;
	a->is_plain = r->kind == UPSTREAM_PLAIN;
	a->decided = on_admission_decided;
	a->arg = r;
	r->fetch.fetcher = e->n->fetcher;
	r->fetch.is_done = 1; /* nothing to cancel yet */
	http_call_on_drain(r->call, relay_on_caller_drained, r);
	http_call_on_disconnect(r->call, relay_on_caller_disconnected, r);
	limits_request(e->limits, a, r->received_at);
}

static struct relay *create_relay(struct entry *e, struct http_call *c,
				  enum upstream_kind kind)
{
	struct relay *r = calloc(1, sizeof(*r));

	if (!r)
		abort();
	r->e = e;
	r->call = c;
	r->kind = kind;
	r->row = -1;
	r->received_at = clock_now();
	return r;
}

/*
 * Authenticates the caller and checks that the entry accepts calls now.
 * Returns the account's index, or -1 after a refusal.
 */
static int check_caller(struct entry *e, struct http_call *c,
			const struct document *d)
{
	int account;

	if (!d) {
		entry_refuse(c, 503, AGAIN_SAME, "no-configuration",
			     "no configuration is in force yet");
		return -1;
	}
	account = entry_authenticate(c, d);
	if (account < 0) {
		entry_refuse(c, 401, AGAIN_NO, "unauthorized",
			     "a valid bearer key is needed");
		return -1;
	}
	if (node_draining(e->n)) {
		entry_refuse(c, 503, AGAIN_SAME, "draining",
			     "this entry is leaving");
		return -1;
	}
	if (entry_is_paused(e, clock_now())) {
		entry_refuse(c, 503, AGAIN_SAME, "paused",
			     "this entry was stopped for a while");
		return -1;
	}
	return account;
}

static void start_model_call(struct relay *r, const struct document *d,
			     int account)
{
	const struct model_spec *m = document_find_model(d, r->name);
	const char *version = http_call_header(r->call, "X-Model-Version");
	int tokens = 0;

	if (!m || strcmp(r->operation, "generate") != 0) {
		entry_refuse(r->call, 404, AGAIN_NO, "no-such-model",
			     "the configuration has no such model");
		goto drop;
	}
	r->class = route_class_hash(UPSTREAM_MODEL, r->name);
	r->is_repeatable = 1;
	r->min_version_share = m->min_serving_ratio;
	snprintf(r->version, sizeof(r->version), "%s",
		 version ? version : m->version);
	r->is_version_required = version != NULL;
	if (read_call_headers(r, &d->accounts[account],
			      ENTRY_DEADLINE_DEFAULT_MS))
		goto drop;
	if (read_model_request(r, &tokens)) {
		entry_refuse(r->call, 400, AGAIN_NO, "bad-request",
			     "expected {\"prompt\":TEXT,\"max_tokens\":N,...}");
		goto drop;
	}
	start_relay(r, tokens);
	return;
drop:
	relay_free(r);
}

/* Serves POST /v1/models/<model>/generate. */
static void serve_models(struct http_call *c, void *arg)
{
	struct entry *e = arg;
	struct document *d = board_document(&e->n->board);
	int account = check_caller(e, c, d);
	struct relay *r;

	if (account >= 0) {
		r = create_relay(e, c, UPSTREAM_MODEL);
		if (split_path(http_call_path(c), MODELS_PREFIX, r->name,
			       r->operation))
			r->name[0] = '\0';
		start_model_call(r, d, account);
	}
	if (d)
		document_unref(d);
}

/*
 * Verifies the caller's ticket, if there is one.  If it is invalid or for
 * another account or service, refuses the call and returns -1.
 */
static int read_ticket(struct relay *r)
{
	const char *text = http_call_header(r->call, "X-Ticket");
	struct error err = ERROR_INIT;

	if (!text || r->is_repeatable)
		return 0;
	if (ticket_verify(text, &r->e->n->self.keys, &r->ticket, &err) ||
	    strcmp(r->ticket.account, r->account) != 0 ||
	    strcmp(r->ticket.service, r->name) != 0) {
		entry_refuse(r->call, 400, AGAIN_NO, "bad-ticket",
			     "the ticket is not for this account and service");
		return -1;
	}
	snprintf(r->ticket_text, sizeof(r->ticket_text), "%s", text);
	r->has_caller_ticket = 1;
	return 0;
}

static void start_service_call(struct relay *r, const struct document *d,
			       int account)
{
	const struct service_spec *s = document_find_service(d, r->name);
	const struct operation_spec *o =
		s ? service_find_operation(s, r->operation) : NULL;
	const char *body;

	if (!o) {
		entry_refuse(r->call, 404, AGAIN_NO, "no-such-operation",
			     "the configuration has no such operation");
		goto drop;
	}
	r->class = route_class_hash(UPSTREAM_PLAIN, r->name);
	r->is_repeatable = o->is_repeatable;
	r->lifetime_s =
		o->key_lifetime_s > 0 ? o->key_lifetime_s : TICKET_LIFETIME_S;
	if (read_call_headers(r, &d->accounts[account],
			      o->deadline_ms > 0 ? o->deadline_ms
						 : ENTRY_DEADLINE_DEFAULT_MS) ||
	    read_ticket(r))
		goto drop;
	body = http_call_body(r->call, &r->body_size);
	r->body = malloc(r->body_size + 1);
	if (!r->body)
		abort();
	memcpy(r->body, body, r->body_size);
	start_relay(r, 0);
	return;
drop:
	relay_free(r);
}

/* Serves POST /v1/services/<service>/<operation>. */
static void serve_services(struct http_call *c, void *arg)
{
	struct entry *e = arg;
	struct document *d = board_document(&e->n->board);
	int account = check_caller(e, c, d);
	struct relay *r;

	if (account >= 0) {
		r = create_relay(e, c, UPSTREAM_PLAIN);
		if (split_path(http_call_path(c), SERVICES_PREFIX, r->name,
			       r->operation))
			r->name[0] = '\0';
		start_service_call(r, d, account);
	}
	if (d)
		document_unref(d);
}

/* Adds the HTTP routes for model and service calls. */
void entry_add_routes(struct entry *e)
{
	node_add_route(e->n, "POST", MODELS_PREFIX, ENTRY_BODY_MAX_BYTES,
		       serve_models, e);
	node_add_route(e->n, "POST", SERVICES_PREFIX, ENTRY_BODY_MAX_BYTES,
		       serve_services, e);
}
