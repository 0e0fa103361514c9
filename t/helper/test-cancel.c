#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "t/helper/lib-unwired.h"

/*
 * Runs requests through the functions that send them, give their attempts up
 * and end them, without a network and with a clock of its own (lib-unwired.h). Times of a
 * script are in ms. Its commands, one a line:
 *
 * case TEXT                        starts anew, and prints the text
 * entries COUNT [DELAY...]         with the delay of each one's moves
 * budget SLACK
 * route stream|plain ATTEMPTS
 * upstream ID SLOTS RELEASE [draining|restarted|unlisted]
 * announced ID                     its end
 * pause ID TIME
 * full ID TIME
 * eject ID
 * release NUMBER TIME              is declared; older ones may begin until then
 * report ID RUNNING WAITING [busy] every 50 ms from now on
 * request NAME ENTRY UPSTREAM begun|waiting [TIME LEFT]
 * talks NAME, silent NAME          bytes of its answer every 50 ms, or none
 * unnumbered NAME                  an event of its answer without an id
 * tried NAME ID
 * attempts NAME COUNT              after COUNT earlier ones, none of which ran
 * runs NAME COUNT                  after COUNT earlier ones that ran
 * wait TIME
 * check                            prints the decision on each attempt
 * late NAME                        its first bytes, after it was canceled
 * blame NAME                       it crashes upstreams
 * refuse NAME                      its upstream has not run it
 * stall TIME                       this process is stopped for that long
 * next NAME                        its attempt has ended if it was canceled
 * unsent NAME                      the same, before a byte was sent
 * end NAME                         its answer is complete
 * counts                           prints retries left and requests in flight
 */

#define ENTRIES_MAX 8
#define UPSTREAMS_MAX 8
#define REQUESTS_MAX 32
#define WORDS_MAX 12
#define STEP_MS 50
#define START_US (1000 * APR_USEC_PER_SEC)
#define TIME_LEFT_MS 60000
#define MODEL "m"
#define SERVICE "llm"

struct reporter {
	int is_on;
	struct target_report report;
};

struct request {
	struct unwired_call call;
	int is_talking;
};

struct run {
	apr_time_t now;
	struct node node; /* without a fetcher */
	struct forwarder entries[ENTRIES_MAX];
	int entry_count;
	struct listed_upstream upstreams[UPSTREAMS_MAX];
	struct reporter reporters[UPSTREAMS_MAX];
	int upstream_count;
	uint64_t version;
	struct document document;
	struct route_spec route;
	struct service_limits service;
	struct request requests[REQUESTS_MAX];
	int request_count;
};

static const struct engine_spec engine = { .slots = 12,
					   .base_step_us = 7400,
					   .request_step_us = 40,
					   .context_step_us = 20,
					   .prefill_tokens_per_s = 31900,
					   .steps_per_pass = 6,
					   .typical_prompt_tokens = 970,
					   .typical_answer_tokens = 106 };

static const char *const cancel_words[] = { [CANCEL_NONE] = "goes on",
					    [CANCEL_UNRESPONSIVE] =
						    "given up as silent",
					    [CANCEL_MOVE] = "moved",
					    [CANCEL_WITHDRAWN] = "withdrawn",
					    [CANCEL_BLAMED] = "blamed" };

static void fail(const char *text)
{
	fprintf(stderr, "test-cancel: %s\n", text);
	exit(2);
}

static void set_time(struct run *r, apr_time_t now)
{
	r->now = now;
	unwired_set_time(now);
}

static int find_upstream(struct run *r, const char *id)
{
	int i;

	for (i = 0; i < r->upstream_count; i++)
		if (!strcmp(r->upstreams[i].id, id))
			return i;
	return -1;
}

static struct target *find_row(struct run *r, int entry, const char *id)
{
	struct target *u = target_find(&r->entries[entry].targets, id);

	if (!u)
		fail("no such upstream");
	return u;
}

static struct request *find_request(struct run *r, const char *name)
{
	int i;

	for (i = 0; i < r->request_count; i++)
		if (!strcmp(r->requests[i].call.name, name))
			return &r->requests[i];
	fail("no such request");
	return NULL;
}

static int write_headers(const struct upstream_head *h,
			 char lines[WIRE_LINES_MAX][WIRE_LINE_SIZE])
{
	return 0;
}

static void parse_answer_header(const char *name, const char *value,
				struct answer_head *out)
{
}

static const struct wire_ops wire = { .write_headers = write_headers,
				      .parse_answer_header =
					      parse_answer_header };

static void start_entries(struct run *r, int count, char **delays, int n)
{
	int i;

	for (i = 0; i < count; i++) {
		struct forwarder *w = &r->entries[i];

		memset(w, 0, sizeof(*w));
		pthread_mutex_init(&w->mutex, NULL);
		pthread_mutex_init(&w->watch_mutex, NULL);
		w->node = &r->node;
		w->wire = &wire;
		target_table_init(&w->targets);
		w->targets.entry_count = count;
		w->retry_budget.window_s = 30;
		w->retry_budget.entry_count = 1;
		random_seed(&w->random, 1);
		w->releases.started_at = r->now;
		w->move_delay_us = i < n ? atoi(delays[i]) * 1000LL : 0;
	}
	r->entry_count = count;
}

static void clear_run(struct run *r)
{
	int i;

	for (i = 0; i < r->request_count; i++)
		if (r->requests[i].call.f)
			forward_free(r->requests[i].call.f);
	for (i = 0; i < r->entry_count; i++) {
		target_table_destroy(&r->entries[i].targets);
		pthread_mutex_destroy(&r->entries[i].mutex);
	}
	memset(r, 0, sizeof(*r));
	unwired_blame(NULL);
	set_time(r, START_US);
	r->service.has_engine = 1;
	r->service.engine = engine;
	r->route.objective_ms = 400;
	r->document.ref_count = 1;
}

static void set_route(struct run *r, const char *kind, int attempts)
{
	r->route.kind = strcmp(kind, "plain") ? ROUTE_STREAM : ROUTE_IDEMPOTENT;
	r->route.is_resumable = !strcmp(kind, "stream");
	r->route.max_attempts = attempts;
	r->service.has_engine = r->route.kind == ROUTE_STREAM;
}

static void list_upstream(struct run *r, char **word, int n)
{
	const char *state = n > 4 ? word[4] : "";
	int at = find_upstream(r, word[1]), i;
	struct listing l = { .items = r->upstreams };
	struct listed_upstream *x;

	if (at < 0)
		at = r->upstream_count++;
	if (at == UPSTREAMS_MAX)
		fail("too many upstreams");
	x = &r->upstreams[at];
	snprintf(x->id, sizeof(x->id), "%s", word[1]);
	snprintf(x->service, sizeof(x->service), SERVICE);
	snprintf(x->address, sizeof(x->address), "%s:80", word[1]);
	snprintf(x->data_center, sizeof(x->data_center), "d1");
	x->slots = atoi(word[2]);
	x->model_count = atoi(word[3]) > 0;
	snprintf(x->models[0].name, sizeof(x->models[0].name), MODEL);
	x->models[0].release = (uint64_t)atoi(word[3]);
	x->is_draining = !strcmp(state, "draining");
	x->started_ms += !x->started_ms || !strcmp(state, "restarted");
	if (!strcmp(state, "unlisted")) {
		r->upstreams[at] = r->upstreams[--r->upstream_count];
		r->reporters[at] = r->reporters[r->upstream_count];
	}
	l.version = ++r->version;
	l.count = r->upstream_count;
	for (i = 0; i < r->entry_count; i++)
		target_apply_listing(&r->entries[i].targets, &l, "d1", r->now);
}

static void declare_release(struct run *r, int release, int ms)
{
	struct model_spec model = { .name = MODEL,
				    .release = (uint64_t)release,
				    .declared_at = r->now };
	struct document d = { .models = &model, .model_count = 1 };
	int i;

	for (i = 0; i < r->entry_count; i++)
		releases_apply_document(&r->entries[i].releases, &d, ms,
					r->now);
}

static void send_reports(struct run *r)
{
	int i, j;

	for (i = 0; i < r->upstream_count; i++) {
		struct target_report *x = &r->reporters[i].report;

		if (!r->reporters[i].is_on)
			continue;
		x->sequence++;
		x->sent_at = r->now;
		x->started_ms = r->upstreams[i].started_ms;
		for (j = 0; j < r->entry_count; j++)
			target_merge_report(&r->entries[j].targets, x, r->now);
	}
}

static void set_report(struct run *r, char **word, int n)
{
	int at = find_upstream(r, word[1]);
	struct target_report *x;

	if (at < 0)
		fail("no such upstream");
	x = &r->reporters[at].report;
	memcpy(x->address, r->upstreams[at].address, sizeof(x->address));
	x->agent_boot = 1;
	x->slowdown = 1;
	x->running = atoi(word[2]);
	x->waiting = atoi(word[3]);
	x->is_busy = n > 4;
	memcpy(x->models, r->upstreams[at].models, sizeof(x->models));
	x->model_count = r->upstreams[at].model_count;
	r->reporters[at].is_on = 1;
	send_reports(r);
}

static void receive_late(struct request *q)
{
	struct fetch *x = &q->call.f->fetch;

	x->never_sent = 0;
	x->status = 200;
	x->framing = FRAMING_CHUNKED;
	x->ops->status_line(x);
	if (x->ops->data(x, "a", 1))
		printf("  bytes for %s are not taken\n", q->call.name);
}

static void receive(struct request *q, const char *text)
{
	struct fetch *x = &q->call.f->fetch;

	if (!x->status) {
		x->never_sent = 0;
		x->status = 200;
		x->framing = FRAMING_CHUNKED;
		x->ops->status_line(x);
		x->ops->header(x, "Content-Type",
			       q->call.f->route->kind == ROUTE_STREAM
				       ? "text/event-stream"
				       : "text/plain");
	}
	if (x->ops->data(x, text, strlen(text)))
		fail("an answer was not taken");
}

/* Sends a request to one upstream: the others are full meanwhile. */
static void send_to(struct run *r, struct request *q, const char *upstream)
{
	struct target_table *t = &q->call.f->w->targets;
	apr_time_t full_until[UPSTREAMS_MAX];
	int i;

	for (i = 0; i < t->count; i++) {
		full_until[i] = t->rows[i].full_until;
		if (strcmp(t->rows[i].id, upstream))
			t->rows[i].full_until = r->now + 1;
	}
	forward_send(q->call.f, r->now);
	for (i = 0; i < t->count; i++)
		t->rows[i].full_until = full_until[i];
	if (!q->call.f)
		fail("a request was refused");
}

static void add_request(struct run *r, char **word, int n)
{
	struct request *q = &r->requests[r->request_count++];
	int left_ms = n > 5 ? atoi(word[5]) : TIME_LEFT_MS;
	struct forward *f = calloc(1, sizeof(*f));

	if (r->request_count == REQUESTS_MAX || !f)
		fail("too many requests");
	snprintf(q->call.name, sizeof(q->call.name), "%s", word[1]);
	q->call.f = f;
	f->w = &r->entries[atoi(word[2]) - 1];
	f->call = (struct http_call *)&q->call;
	f->document = document_ref(&r->document);
	f->route = &r->route;
	f->service = &r->service;
	f->method = strdup("POST");
	f->target = strdup("/");
	snprintf(f->service_name, sizeof(f->service_name), SERVICE);
	snprintf(f->head.model, sizeof(f->head.model), MODEL);
	f->expires_at = r->now + left_ms * 1000LL;
	events_init(&f->events);
	send_to(r, q, word[3]);
	if (!strcmp(word[4], "begun"))
		receive(q, "id: 1\ndata: a\n\n");
}

/* Adds attempts before the current one, each at an upstream that is gone. */
static void add_attempts(struct forward *f, int count, int runs)
{
	int i;

	for (i = 0; i < count; i++)
		snprintf(f->attempted_upstreams[f->attempts++],
			 SETTINGS_NAME_SIZE, "gone-%d", i);
	f->runs += runs;
}

static void check_requests(struct run *r)
{
	int was_canceled[REQUESTS_MAX] = { 0 };
	int i;

	for (i = 0; i < r->request_count; i++) {
		struct forward *f = r->requests[i].call.f;

		was_canceled[i] = !f || f->cancel_reason;
		if (f)
			f->no_place = NULL;
	}
	for (i = 0; i < r->entry_count; i++)
		forward_check_active(&r->entries[i], r->now);
	for (i = 0; i < r->entry_count; i++)
		forward_check_waiting(&r->entries[i], r->now);
	for (i = 0; i < r->request_count; i++) {
		struct forward *f = r->requests[i].call.f;

		if (was_canceled[i])
			continue;
		printf("  %s %s", r->requests[i].call.name,
		       cancel_words[f->cancel_reason]);
		if (!f->cancel_reason && f->no_place)
			printf(" (%s)", f->no_place);
		printf("\n");
	}
}

static void end_fetch(struct request *q, enum error_code code)
{
	struct fetch *x = &q->call.f->fetch;

	if (!code && !x->status)
		receive(q, "id: 2\ndata: b\n\n");
	x->error.code = code;
	if (!code)
		x->framing = FRAMING_CHUNKED;
	x->ops->done(x);
}

static void refuse(struct request *q)
{
	struct fetch *x = &q->call.f->fetch;

	x->never_sent = 0;
	x->status = 503;
	x->framing = FRAMING_LENGTH;
	x->ops->status_line(x);
	q->call.f->answer.is_not_run = 1;
	x->ops->done(x);
}

static void print_counts(struct run *r)
{
	int i, j;

	for (i = 0; i < r->entry_count; i++) {
		struct forwarder *w = &r->entries[i];

		printf("  entry %d: retries %d", i + 1,
		       retry_budget_remaining(&w->retry_budget, SERVICE,
					      r->now));
		for (j = 0; j < w->targets.count; j++)
			if (w->targets.rows[j].is_used)
				printf(", %s %d", w->targets.rows[j].id,
				       w->targets.rows[j].in_flight);
		printf("\n");
	}
}

static void wait_ms(struct run *r, int ms)
{
	int i;

	for (; ms > 0; ms -= STEP_MS) {
		set_time(r, r->now + STEP_MS * 1000);
		send_reports(r);
		for (i = 0; i < r->request_count; i++)
			if (r->requests[i].is_talking && r->requests[i].call.f)
				receive(&r->requests[i], ":.\n\n");
	}
}

static void change_health(struct run *r, char **word)
{
	struct notice_time at = { r->now, 0 };
	int i;

	for (i = 0; i < r->entry_count; i++) {
		struct target *u = find_row(r, i, word[1]);
		struct target_table *t = &r->entries[i].targets;

		if (!strcmp(word[0], "eject"))
			health_record_outcome(&u->health, HEALTH_UNRESPONSIVE,
					      r->now);
		else if (!strcmp(word[0], "full"))
			u->full_until = r->now + atoi(word[2]) * 1000LL;
		else if (!strcmp(word[0], "pause"))
			target_record_pause(t, u->id, u->started_ms,
					    atoi(word[2]) / 1e3, &at);
		else
			target_record_leaving(t, u->id, u->started_ms, &at);
	}
}

static int run_request_command(struct run *r, char **word)
{
	const char *c = word[0];
	struct request *q;

	if (strcmp(c, "talks") && strcmp(c, "silent") &&
	    strcmp(c, "unnumbered") && strcmp(c, "tried") &&
	    strcmp(c, "attempts") && strcmp(c, "runs") && strcmp(c, "next") &&
	    strcmp(c, "unsent") && strcmp(c, "end") && strcmp(c, "blame") &&
	    strcmp(c, "late") && strcmp(c, "refuse"))
		return 0;
	q = find_request(r, word[1]);
	if (!strcmp(c, "talks") || !strcmp(c, "silent"))
		q->is_talking = *c == 't';
	else if (!q->call.f)
		return 1;
	else if (!strcmp(c, "unnumbered"))
		receive(q, "data: b\n\n");
	else if (!strcmp(c, "tried"))
		snprintf(q->call.f->attempted_upstreams[q->call.f->attempts++],
			 SETTINGS_NAME_SIZE, "%s", word[2]);
	else if (!strcmp(c, "attempts"))
		add_attempts(q->call.f, atoi(word[2]), 0);
	else if (!strcmp(c, "runs"))
		add_attempts(q->call.f, atoi(word[2]), atoi(word[2]));
	else if (!strcmp(c, "late"))
		receive_late(q);
	else if (!strcmp(c, "blame"))
		unwired_blame(&q->call.f->items);
	else if (!strcmp(c, "refuse"))
		refuse(q);
	else if (!strcmp(c, "end"))
		end_fetch(q, ERROR_NONE);
	else if (q->call.f->cancel_reason) {
		if (!strcmp(c, "next"))
			q->call.f->fetch.never_sent = 0;
		end_fetch(q, ERROR_INTERNAL);
	}
	return 1;
}

static void run_command(struct run *r, char **word, int n)
{
	const char *c = word[0];
	int i;

	if (!strcmp(c, "entries")) {
		start_entries(r, atoi(word[1]), word + 2, n - 2);
	} else if (!strcmp(c, "budget")) {
		for (i = 0; i < r->entry_count; i++)
			r->entries[i].retry_budget.slack = atoi(word[1]);
	} else if (!strcmp(c, "route")) {
		set_route(r, word[1], atoi(word[2]));
	} else if (!strcmp(c, "upstream")) {
		list_upstream(r, word, n);
	} else if (!strcmp(c, "announced") || !strcmp(c, "pause") ||
		   !strcmp(c, "full") || !strcmp(c, "eject")) {
		change_health(r, word);
	} else if (!strcmp(c, "release")) {
		declare_release(r, atoi(word[1]), atoi(word[2]));
	} else if (!strcmp(c, "report")) {
		set_report(r, word, n);
	} else if (!strcmp(c, "request")) {
		add_request(r, word, n);
	} else if (!strcmp(c, "wait")) {
		wait_ms(r, atoi(word[1]));
	} else if (!strcmp(c, "stall")) {
		set_time(r, r->now + atoi(word[1]) * 1000LL);
		r->node.pause_end = r->now;
	} else if (!strcmp(c, "check")) {
		check_requests(r);
	} else if (!strcmp(c, "counts")) {
		print_counts(r);
	} else if (!run_request_command(r, word)) {
		fail(c);
	}
}

int main(int argc, char **argv)
{
	FILE *fp = argc == 2 ? fopen(argv[1], "r") : NULL;
	static struct run run;
	struct run *r = &run;
	char *word[WORDS_MAX];
	char line[256], none[] = "";

	if (!fp) {
		fprintf(stderr, "usage: test-cancel SCRIPT\n");
		return 2;
	}
	while (fgets(line, sizeof(line), fp)) {
		char *save = NULL, *p;
		int i, n = 0;

		for (i = 0; i < WORDS_MAX; i++)
			word[i] = none;
		line[strcspn(line, "#\n")] = '\0';
		if (!strncmp(line, "case ", 5)) {
			clear_run(r);
			printf("%s\n", line + 5);
			continue;
		}
		for (p = strtok_r(line, " ", &save); p && n < WORDS_MAX;
		     p = strtok_r(NULL, " ", &save))
			word[n++] = p;
		if (n)
			run_command(r, word, n);
	}
	clear_run(r);
	fclose(fp);
	return 0;
}
