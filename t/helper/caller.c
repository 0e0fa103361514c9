#include <apr_general.h>
#include <math.h>
#include <popt.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/clock.h"
#include "t/helper/lib-attempt.h"
#include "t/helper/lib-history.h"

#define ENTRY_PORT 7100
#define UPSTREAM_PORT 7200
#define THREADS_MAX 8
#define TICK_US 500
#define US_PER_S 1000000
#define US_PER_MS 1000
#define MS_PER_S 1000.0

/* Load generator: sends calls to entries or upstreams, records the answers. */
static struct {
	pthread_mutex_t lock;
	struct plan_settings set;
	struct history history;
	struct random random;
	struct fetcher *fetchers[THREADS_MAX];
	struct load_call *retry_queue; /* calls waiting for a retry */
	apr_time_t end_us;	       /* no call starts later; 0: no limit */
	long started;
	long in_flight;
	int port;
	int threads;
	int concurrency;
	double rate;
	long calls;
	double seconds;
	int attempts;
	int retry_delay_ms;
	int retries_not_run;
	int timeout_ms;
	int uses_new_connections;
} load = { .lock = PTHREAD_MUTEX_INITIALIZER };

static void call_finished(struct load_call *call);

/* Returns whether another call may start. */
static bool load_can_start(apr_time_t now)
{
	if (load.calls && load.started >= load.calls)
		return false;
	return !load.end_us || now < load.end_us;
}

/* Creates a call to a randomly chosen entry.  The caller holds the lock. */
static struct load_call *call_create(const struct plan *plan)
{
	struct load_call *call = calloc(1, sizeof(*call));

	if (!call)
		abort();
	call->plan = *plan;
	call->set = &load.set;
	call->on_finished = call_finished;
	call->timeout_ms = load.timeout_ms;
	call->uses_new_connection = load.uses_new_connections || plan->is_plain;
	call->fetcher = load.fetchers[load.started % load.threads];
	call->entry =
		(int)random_below(&load.random, (uint32_t)load.set.entry_count);
	answer_init(&call->answer);
	load.in_flight++;
	return call;
}

/* Copies a plan for a duplicate with the same request id and key. */
static struct plan plan_copy(const struct plan *plan)
{
	struct plan copy = *plan;

	copy.prompt = plan->prompt ? strdup(plan->prompt) : NULL;
	copy.body = strdup(plan->body);
	copy.echo = json_incref(plan->echo);
	return copy;
}

/* Starts the next call and its duplicate.  The caller holds the lock. */
static void load_start_call(void)
{
	struct load_call *call;
	struct plan plan;
	struct plan copy;

	plan_draw(&plan, &load.set, &load.random, load.started);
	call = call_create(&plan);
	if (plan.is_duplicated) {
		copy = plan_copy(&plan);
		call->duplicate = call_create(&copy);
		call->duplicate->entry =
			(call->entry + 1) % load.set.entry_count;
		call->duplicate->is_double = true;
		call->is_double = true;
	}
	load.started++;
	attempt_start(call);
}

/* Returns whether the answer violates what callers are guaranteed. */
static bool call_is_violation(const struct load_call *call)
{
	const struct answer *ans = &call->answer;

	return ans->is_mismatched || ans->is_version_mixed ||
	       (ans->outcome == OUTCOME_ANSWER && !ans->is_complete);
}

/* Returns whether a call is retried after its outcome. */
static bool call_can_retry(const struct load_call *call)
{
	enum answer_outcome outcome = call->answer.outcome;

	if (call->attempts >= load.attempts || outcome == OUTCOME_ANSWER ||
	    !attempt_can_retry(call))
		return false;
	return outcome != OUTCOME_NOT_RUN || load.retries_not_run;
}

/* Adds a finished call to the history.  The caller holds the lock. */
static void call_record(struct load_call *call)
{
	struct history *history = &load.history;
	const struct answer *ans = &call->answer;

	history->calls++;
	history->outcomes[ans->outcome]++;
	history->attempts += call->attempts;
	history->events += ans->token_count;
	if (ans->outcome == OUTCOME_ANSWER) {
		samples_add(&history->complete,
			    (double)(call->end_us - call->begin_us) /
				    US_PER_MS);
		if (ans->first_us)
			samples_add(&history->first_token,
				    (double)(ans->first_us - call->begin_us) /
					    US_PER_MS);
	}
	history_write_call(history, attempt_history_line(call));
}

static void call_free(struct load_call *call)
{
	plan_release(&call->plan);
	answer_release(&call->answer);
	json_decref(call->earlier_outcomes);
	free(call);
}

/* Retries a call or ends it; in a closed loop, starts the next one. */
static void call_finished(struct load_call *call)
{
	pthread_mutex_lock(&load.lock);
	load.history.violations += call_is_violation(call);
	if (call_can_retry(call)) {
		attempt_prepare_retry(call);
		call->entry = (call->entry + 1) % load.set.entry_count;
		call->retry_at_us =
			clock_now() + load.retry_delay_ms * US_PER_MS;
		call->next = load.retry_queue;
		load.retry_queue = call;
		pthread_mutex_unlock(&load.lock);
		return;
	}
	call_record(call);
	load.in_flight--;
	if (call->duplicate) {
		/* No ticket was received, so the duplicate cannot be sent. */
		load.in_flight--;
		call_free(call->duplicate);
	}
	if (load.rate <= 0 && load.in_flight < load.concurrency &&
	    load_can_start(clock_now()))
		load_start_call();
	pthread_mutex_unlock(&load.lock);
	call_free(call);
}

/* Starts the retries that are due.  The caller holds the lock. */
static void load_start_retries(apr_time_t now)
{
	struct load_call **link = &load.retry_queue;
	struct load_call *call;

	while ((call = *link)) {
		if (call->retry_at_us > now) {
			link = &call->next;
			continue;
		}
		*link = call->next;
		attempt_start(call);
	}
}

/*
 * Open loop: starts the calls that are due, with exponentially distributed gaps
 * and load.rate calls per second on average.  The caller holds the lock.
 */
static void load_start_arrivals(apr_time_t *due_us, apr_time_t now)
{
	double gap;

	while (*due_us <= now && load_can_start(now)) {
		if (load.in_flight < load.concurrency) {
			load_start_call();
		} else {
			load.started++;
			load.history.skipped++;
		}
		gap = -log(1 - random_unit(&load.random)) / load.rate;
		*due_us += (apr_time_t)(gap * US_PER_S);
	}
}

/* Runs the load until its last call has finished. */
static void load_run(void)
{
	apr_time_t now = clock_now();
	apr_time_t due_us = now;
	bool is_done = false;

	load.history.started_us = now;
	if (load.seconds > 0)
		load.end_us = now + (apr_time_t)(load.seconds * US_PER_S);
	pthread_mutex_lock(&load.lock);
	while (load.rate <= 0 && load.in_flight < load.concurrency &&
	       load_can_start(now))
		load_start_call();
	pthread_mutex_unlock(&load.lock);
	while (!is_done) {
		now = clock_now();
		pthread_mutex_lock(&load.lock);
		if (load.rate > 0)
			load_start_arrivals(&due_us, now);
		load_start_retries(now);
		is_done = !load.in_flight && !load_can_start(now);
		pthread_mutex_unlock(&load.lock);
		if (!is_done)
			usleep(TICK_US);
	}
}

/* Prints an error to stderr and exits with status 2. */
static void exit_with_error(const char *what, const char *text)
{
	fprintf(stderr, "caller: %s: %s\n", what, text ? text : "");
	exit(2);
}

/* Returns an address with the default port added if it has none. */
static char *address_with_port(char *text)
{
	char *name;

	if (strchr(text, ':'))
		return text;
	if (asprintf(&name, "%s:%d", text, load.port) < 0)
		abort();
	free(text);
	return name;
}

/* Parses "VERSION=SHA" and adds it to the known contents. */
static void add_content(const char *text)
{
	const char *split = strchr(text, '=');
	char version[ANSWER_VERSION_MAX + 1];

	if (!split || split - text > ANSWER_VERSION_MAX)
		exit_with_error("expected VERSION=SHA", text);
	snprintf(version, sizeof(version), "%.*s", (int)(split - text), text);
	json_object_set_new(load.set.contents, version, json_string(split + 1));
}

/* Appends an option's text to a list, which takes ownership of it. */
static void add_text(char **list, int *count, int max, char *text)
{
	if (*count == max)
		exit_with_error("too many values for an option", text);
	list[(*count)++] = text;
}

/* Handles an option that has no variable of its own.  Frees or keeps text. */
static void handle_option(int option, char *text)
{
	struct plan_settings *set = &load.set;

	switch (option) {
	case 'e':
		add_text(set->entries, &set->entry_count, PLAN_ENTRIES_MAX,
			 text);
		return;
	case 'a':
		add_text(set->accounts, &set->account_count, PLAN_ACCOUNTS_MAX,
			 text);
		return;
	case 'c':
		add_content(text);
		break;
	case 'h':
		load.history.file = fopen(text, "w");
		if (!load.history.file)
			exit_with_error("cannot write", text);
		break;
	}
	free(text);
}

/* Sets the defaults of all options. */
static void options_set_defaults(struct plan_settings *set)
{
	load.threads = 1;
	load.concurrency = 16;
	load.attempts = 1;
	load.timeout_ms = 30000;
	set->model = "quotes";
	set->service = "billing";
	set->operation = "charge";
	set->stream_share = 1;
	set->key_share = 1;
	set->tokens = 16;
	set->prompts = 16;
	set->prompt_bytes = 256;
	set->priority = -1;
	set->contents = json_object();
}

/* Checks the options and sets values that depend on others. */
static void options_complete(struct plan_settings *set, int seed)
{
	char *name;
	int i;

	if (!set->entry_count)
		exit_with_error("missing option", "--entry");
	if (load.calls <= 0 && load.seconds <= 0)
		exit_with_error("missing option", "--calls or --seconds");
	if (load.threads < 1 || load.threads > THREADS_MAX)
		exit_with_error("out of range", "--threads");
	if (set->prompts < 1 || set->prompt_bytes < 0)
		exit_with_error("out of range", "--prompts, --prompt-bytes");
	if (!load.port)
		load.port = set->direct ? UPSTREAM_PORT : ENTRY_PORT;
	for (i = 0; i < set->entry_count; i++)
		set->entries[i] = address_with_port(set->entries[i]);
	if (!set->name) {
		if (asprintf(&name, "c%d", seed) < 0)
			abort();
		set->name = name;
	}
	random_seed(&load.random, (uint64_t)seed);
}

/* Parses the command line. */
static void options_read(int argc, const char **argv)
{
	struct plan_settings *set = &load.set;
	int seed = 1;
	const struct poptOption options[] = {
		{ "entry", 'e', POPT_ARG_STRING, NULL, 'e',
		  "address or address:port, may be repeated", "ADDRESS" },
		{ "account", 'a', POPT_ARG_STRING, NULL, 'a',
		  "account and its bearer token, may be repeated",
		  "NAME=TOKEN" },
		{ "content", 0, POPT_ARG_STRING, NULL, 'c',
		  "SHA-256 of a version's weights, may be repeated",
		  "VERSION=SHA" },
		{ "history", 0, POPT_ARG_STRING, NULL, 'h',
		  "output file with a JSON line for each call", "FILE" },
		{ "direct", 0, POPT_ARG_NONE, &set->direct, 0,
		  "the addresses are those of upstreams", NULL },
		{ "port", 0, POPT_ARG_INT, &load.port, 0, "TCP port", "PORT" },
		{ "seed", 0, POPT_ARG_INT, &seed, 0,
		  "seed of the random generator", "N" },
		{ "name", 0, POPT_ARG_STRING, &set->name, 0,
		  "prefix of every request id", "NAME" },
		{ "calls", 0, POPT_ARG_LONG, &load.calls, 0,
		  "total number of calls", "N" },
		{ "seconds", 0, POPT_ARG_DOUBLE, &load.seconds, 0,
		  "period in which calls start", "S" },
		{ "concurrency", 0, POPT_ARG_INT, &load.concurrency, 0,
		  "calls in flight; the maximum with --rate", "N" },
		{ "rate", 0, POPT_ARG_DOUBLE, &load.rate, 0,
		  "open loop: calls per second", "R" },
		{ "threads", 0, POPT_ARG_INT, &load.threads, 0,
		  "client threads", "N" },
		{ "timeout-ms", 0, POPT_ARG_INT, &load.timeout_ms, 0,
		  "time limit of one attempt", "MS" },
		{ "attempts", 0, POPT_ARG_INT, &load.attempts, 0,
		  "maximum attempts after unknown or error", "N" },
		{ "repeat-ms", 0, POPT_ARG_INT, &load.retry_delay_ms, 0,
		  "delay before a retry", "MS" },
		{ "repeat-not-run", 0, POPT_ARG_NONE, &load.retries_not_run, 0,
		  "retry also after not-run", NULL },
		{ "fresh", 0, POPT_ARG_NONE, &load.uses_new_connections, 0,
		  "new connections for model calls as well", NULL },
		{ "model", 0, POPT_ARG_STRING, &set->model, 0, "model", "M" },
		{ "service", 0, POPT_ARG_STRING, &set->service, 0,
		  "plain service", "S" },
		{ "operation", 0, POPT_ARG_STRING, &set->operation, 0,
		  "operation of the service", "O" },
		{ "plain-share", 0, POPT_ARG_DOUBLE, &set->plain_share, 0,
		  "share of calls to the plain service", "0..1" },
		{ "stream-share", 0, POPT_ARG_DOUBLE, &set->stream_share, 0,
		  "share of model calls that are streamed", "0..1" },
		{ "ticket-share", 0, POPT_ARG_DOUBLE, &set->ticket_share, 0,
		  "share of plain calls with a ticket", "0..1" },
		{ "key-share", 0, POPT_ARG_DOUBLE, &set->key_share, 0,
		  "share of plain calls with a key", "0..1" },
		{ "double-share", 0, POPT_ARG_DOUBLE, &set->double_share, 0,
		  "share of plain calls sent through two entries", "0..1" },
		{ "crash-share", 0, POPT_ARG_DOUBLE, &set->crash_share, 0,
		  "share of calls that crash their upstream", "0..1" },
		{ "repeatable", 0, POPT_ARG_NONE, &set->repeatable, 0,
		  "the operation may run more than once", NULL },
		{ "tokens", 0, POPT_ARG_INT, &set->tokens, 0,
		  "tokens per answer", "N" },
		{ "prompts", 0, POPT_ARG_INT, &set->prompts, 0,
		  "number of distinct prompt prefixes", "N" },
		{ "prompt-bytes", 0, POPT_ARG_INT, &set->prompt_bytes, 0,
		  "length of a prompt prefix", "BYTES" },
		{ "sessions", 0, POPT_ARG_INT, &set->sessions, 0,
		  "number of distinct sessions; 0: none", "N" },
		{ "priority", 0, POPT_ARG_INT, &set->priority, 0,
		  "priority of each call", "0..9" },
		{ "deadline-ms", 0, POPT_ARG_INT, &set->deadline_ms, 0,
		  "deadline sent with each call", "MS" },
		POPT_AUTOHELP POPT_TABLEEND
	};
	poptContext ctx = poptGetContext(NULL, argc, argv, options, 0);
	int option;

	options_set_defaults(set);
	while ((option = poptGetNextOpt(ctx)) > 0)
		handle_option(option, poptGetOptArg(ctx));
	if (option < -1)
		exit_with_error(poptBadOption(ctx, 0), poptStrerror(option));
	if (poptPeekArg(ctx))
		exit_with_error("not an option", poptPeekArg(ctx));
	poptFreeContext(ctx);
	options_complete(set, seed);
}

/* Exits with 1 if an answer was incomplete, mixed or of another request. */
int main(int argc, const char **argv)
{
	struct error err = ERROR_INIT;
	json_t *summary;
	int i;

	options_read(argc, argv);
	apr_initialize();
	for (i = 0; i < load.threads; i++) {
		load.fetchers[i] = fetcher_start(NULL, &err);
		if (!load.fetchers[i])
			exit_with_error(err.step, err.text);
	}
	load_run();
	summary = history_summarize(&load.history, clock_now());
	json_dumpf(summary, stdout, JSON_REAL_PRECISION(6) | JSON_INDENT(1));
	putchar('\n');
	json_decref(summary);
	if (load.history.file && fclose(load.history.file))
		exit_with_error("cannot write", "history");
	return load.history.violations ? 1 : 0;
}
