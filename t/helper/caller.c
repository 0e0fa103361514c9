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

/* Calls entries or upstreams and records what came back. */
static struct {
	pthread_mutex_t lock;
	struct plan_settings set;
	struct history history;
	struct random random;
	struct fetcher *fetchers[THREADS_MAX];
	struct load_call *again; /* calls that wait for their next attempt */
	apr_time_t end_us;	 /* no call starts later, 0 for no limit */
	long started;
	long open;
	int port;
	int threads;
	int concurrency;
	double rate;
	long calls;
	double seconds;
	int attempts;
	int repeat_ms;
	int repeat_not_run;
	int timeout_ms;
	int fresh;
} load = { .lock = PTHREAD_MUTEX_INITIALIZER };

static void call_over(struct load_call *call);

/* Whether another call may start. */
static bool load_goes_on(apr_time_t now)
{
	if (load.calls && load.started >= load.calls)
		return false;
	return !load.end_us || now < load.end_us;
}

/* Creates a call at an entry that is drawn.  The lock is held. */
static struct load_call *call_create(const struct plan *plan)
{
	struct load_call *call = calloc(1, sizeof(*call));

	if (!call)
		abort();
	call->plan = *plan;
	call->set = &load.set;
	call->on_finished = call_over;
	call->timeout_ms = load.timeout_ms;
	call->uses_new_connection = load.fresh || plan->is_plain;
	call->fetcher = load.fetchers[load.started % load.threads];
	call->entry =
		(int)random_below(&load.random, (uint32_t)load.set.entry_count);
	answer_init(&call->answer);
	load.open++;
	return call;
}

/* Copies a plan for a second call with the same identity and key. */
static struct plan plan_copy(const struct plan *plan)
{
	struct plan copy = *plan;

	copy.prompt = plan->prompt ? strdup(plan->prompt) : NULL;
	copy.body = strdup(plan->body);
	copy.echo = json_incref(plan->echo);
	return copy;
}

/* Starts the next call.  The lock is held. */
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

/* Whether a call got what no caller may get. */
static bool call_is_violation(const struct load_call *call)
{
	const struct answer *ans = &call->answer;

	return ans->is_mismatched || ans->is_version_mixed ||
	       (ans->outcome == OUTCOME_ANSWER && !ans->is_complete);
}

/* Whether a call is sent again after the outcome that it had. */
static bool call_is_repeated(const struct load_call *call)
{
	enum answer_outcome outcome = call->answer.outcome;

	if (call->attempts >= load.attempts || outcome == OUTCOME_ANSWER ||
	    !attempt_can_retry(call))
		return false;
	return outcome != OUTCOME_NOT_RUN || load.repeat_not_run;
}

/* Enters a finished call into the history.  The lock is held. */
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

/* Frees a call that is over. */
static void call_free(struct load_call *call)
{
	plan_release(&call->plan);
	answer_release(&call->answer);
	json_decref(call->earlier_outcomes);
	free(call);
}

/* Repeats a call or ends it; in a closed loop the next one starts. */
static void call_over(struct load_call *call)
{
	pthread_mutex_lock(&load.lock);
	load.history.violations += call_is_violation(call);
	if (call_is_repeated(call)) {
		attempt_prepare_retry(call);
		call->entry = (call->entry + 1) % load.set.entry_count;
		call->retry_at_us = clock_now() + load.repeat_ms * US_PER_MS;
		call->next = load.again;
		load.again = call;
		pthread_mutex_unlock(&load.lock);
		return;
	}
	call_record(call);
	load.open--;
	if (call->duplicate) {
		/* The call never got the ticket that its double needs too. */
		load.open--;
		call_free(call->duplicate);
	}
	if (load.rate <= 0 && load.open < load.concurrency &&
	    load_goes_on(clock_now()))
		load_start_call();
	pthread_mutex_unlock(&load.lock);
	call_free(call);
}

/* Sends the calls again whose time has come.  The lock is held. */
static void load_repeat(apr_time_t now)
{
	struct load_call **link = &load.again;
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

/* Starts calls at random times with a mean rate.  The lock is held. */
static void load_arrivals(apr_time_t *due_us, apr_time_t now)
{
	double gap;

	while (*due_us <= now && load_goes_on(now)) {
		if (load.open < load.concurrency) {
			load_start_call();
		} else {
			load.started++;
			load.history.skipped++;
		}
		gap = -log(1 - random_unit(&load.random)) / load.rate;
		*due_us += (apr_time_t)(gap * US_PER_S);
	}
}

/* Runs the load until its last call is over. */
static void load_run(void)
{
	apr_time_t now = clock_now();
	apr_time_t due_us = now;
	bool over = false;

	load.history.started_us = now;
	if (load.seconds > 0)
		load.end_us = now + (apr_time_t)(load.seconds * US_PER_S);
	pthread_mutex_lock(&load.lock);
	while (load.rate <= 0 && load.open < load.concurrency &&
	       load_goes_on(now))
		load_start_call();
	pthread_mutex_unlock(&load.lock);
	while (!over) {
		now = clock_now();
		pthread_mutex_lock(&load.lock);
		if (load.rate > 0)
			load_arrivals(&due_us, now);
		load_repeat(now);
		over = !load.open && !load_goes_on(now);
		pthread_mutex_unlock(&load.lock);
		if (!over)
			usleep(TICK_US);
	}
}

/* Reports what is wrong with the command line and exits. */
static void fail(const char *what, const char *text)
{
	fprintf(stderr, "caller: %s: %s\n", what, text ? text : "");
	exit(2);
}

/* Adds the port to an address that comes without one, in its place. */
static char *entry_name(char *text)
{
	char *name;

	if (strchr(text, ':'))
		return text;
	if (asprintf(&name, "%s:%d", text, load.port) < 0)
		abort();
	free(text);
	return name;
}

/* Reads "VERSION=SHA". */
static void add_content(const char *text)
{
	const char *split = strchr(text, '=');
	char version[ANSWER_VERSION_MAX + 1];

	if (!split || split - text > ANSWER_VERSION_MAX)
		fail("not VERSION=SHA", text);
	snprintf(version, sizeof(version), "%.*s", (int)(split - text), text);
	json_object_set_new(load.set.contents, version, json_string(split + 1));
}

/* Adds an option's text to a list that keeps it. */
static void add_text(char **list, int *count, int max, char *text)
{
	if (*count == max)
		fail("too many, at", text);
	list[(*count)++] = text;
}

/* Takes an option that may be repeated, and its text. */
static void option_seen(int option, char *text)
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
			fail("cannot write", text);
		break;
	}
	free(text);
}

/* Sets what an option leaves out. */
static void options_default(struct plan_settings *set)
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

/* Checks the options and completes what depends on others. */
static void options_complete(struct plan_settings *set, int seed)
{
	char *name;
	int i;

	if (!set->entry_count)
		fail("needs", "--entry");
	if (load.calls <= 0 && load.seconds <= 0)
		fail("needs", "--calls or --seconds");
	if (load.threads < 1 || load.threads > THREADS_MAX)
		fail("out of range", "--threads");
	if (set->prompts < 1 || set->prompt_bytes < 0)
		fail("out of range", "--prompts, --prompt-bytes");
	if (!load.port)
		load.port = set->direct ? UPSTREAM_PORT : ENTRY_PORT;
	for (i = 0; i < set->entry_count; i++)
		set->entries[i] = entry_name(set->entries[i]);
	if (!set->name) {
		if (asprintf(&name, "c%d", seed) < 0)
			abort();
		set->name = name;
	}
	random_seed(&load.random, (uint64_t)seed);
}

/* Reads the command line. */
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
		  "digest of a version's content, may be repeated",
		  "VERSION=SHA" },
		{ "history", 0, POPT_ARG_STRING, NULL, 'h',
		  "file with a line for each call", "FILE" },
		{ "direct", 0, POPT_ARG_NONE, &set->direct, 0,
		  "the addresses are of upstreams", NULL },
		{ "port", 0, POPT_ARG_INT, &load.port, 0, "TCP port", "PORT" },
		{ "seed", 0, POPT_ARG_INT, &seed, 0, "seed of the load", "N" },
		{ "name", 0, POPT_ARG_STRING, &set->name, 0,
		  "first part of every identity", "NAME" },
		{ "calls", 0, POPT_ARG_LONG, &load.calls, 0, "calls in all",
		  "N" },
		{ "seconds", 0, POPT_ARG_DOUBLE, &load.seconds, 0,
		  "time in which calls start", "S" },
		{ "concurrency", 0, POPT_ARG_INT, &load.concurrency, 0,
		  "open calls, at most with --rate", "N" },
		{ "rate", 0, POPT_ARG_DOUBLE, &load.rate, 0,
		  "open loop: calls a second", "R" },
		{ "threads", 0, POPT_ARG_INT, &load.threads, 0,
		  "client threads", "N" },
		{ "timeout-ms", 0, POPT_ARG_INT, &load.timeout_ms, 0,
		  "limit of one attempt", "MS" },
		{ "attempts", 0, POPT_ARG_INT, &load.attempts, 0,
		  "attempts at most after unknown or error", "N" },
		{ "repeat-ms", 0, POPT_ARG_INT, &load.repeat_ms, 0,
		  "pause before the next attempt", "MS" },
		{ "repeat-not-run", 0, POPT_ARG_NONE, &load.repeat_not_run, 0,
		  "repeat also after not-run", NULL },
		{ "fresh", 0, POPT_ARG_NONE, &load.fresh, 0,
		  "model calls on new connections too, as plain calls", NULL },
		{ "model", 0, POPT_ARG_STRING, &set->model, 0, "model", "M" },
		{ "service", 0, POPT_ARG_STRING, &set->service, 0,
		  "plain service", "S" },
		{ "operation", 0, POPT_ARG_STRING, &set->operation, 0,
		  "operation of the service", "O" },
		{ "plain-share", 0, POPT_ARG_DOUBLE, &set->plain_share, 0,
		  "part of calls to the plain service", "0..1" },
		{ "stream-share", 0, POPT_ARG_DOUBLE, &set->stream_share, 0,
		  "part of model calls that are streamed", "0..1" },
		{ "ticket-share", 0, POPT_ARG_DOUBLE, &set->ticket_share, 0,
		  "part of plain calls with a ticket", "0..1" },
		{ "key-share", 0, POPT_ARG_DOUBLE, &set->key_share, 0,
		  "part of plain calls with a key", "0..1" },
		{ "double-share", 0, POPT_ARG_DOUBLE, &set->double_share, 0,
		  "part of plain calls sent through two entries", "0..1" },
		{ "crash-share", 0, POPT_ARG_DOUBLE, &set->crash_share, 0,
		  "part of calls that crash their upstream", "0..1" },
		{ "repeatable", 0, POPT_ARG_NONE, &set->repeatable, 0,
		  "the operation may run more than once", NULL },
		{ "tokens", 0, POPT_ARG_INT, &set->tokens, 0,
		  "tokens of an answer", "N" },
		{ "prompts", 0, POPT_ARG_INT, &set->prompts, 0,
		  "distinct beginnings of prompts", "N" },
		{ "prompt-bytes", 0, POPT_ARG_INT, &set->prompt_bytes, 0,
		  "length of a prompt's beginning", "BYTES" },
		{ "sessions", 0, POPT_ARG_INT, &set->sessions, 0,
		  "distinct sessions, 0 for none", "N" },
		{ "priority", 0, POPT_ARG_INT, &set->priority, 0,
		  "priority of each call", "0..9" },
		{ "deadline-ms", 0, POPT_ARG_INT, &set->deadline_ms, 0,
		  "deadline that is stated", "MS" },
		POPT_AUTOHELP POPT_TABLEEND
	};
	poptContext ctx = poptGetContext(NULL, argc, argv, options, 0);
	int option;

	options_default(set);
	while ((option = poptGetNextOpt(ctx)) > 0)
		option_seen(option, poptGetOptArg(ctx));
	if (option < -1)
		fail(poptBadOption(ctx, 0), poptStrerror(option));
	if (poptPeekArg(ctx))
		fail("not an option", poptPeekArg(ctx));
	poptFreeContext(ctx);
	options_complete(set, seed);
}

/* Exits with 1 when an answer wasn't whole or not its caller's own. */
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
			fail(err.step, err.text);
	}
	load_run();
	summary = history_summarize(&load.history, clock_now());
	json_dumpf(summary, stdout, JSON_REAL_PRECISION(6) | JSON_INDENT(1));
	putchar('\n');
	if (load.history.file && fclose(load.history.file))
		fail("cannot write", "history");
	return load.history.violations ? 1 : 0;
}
