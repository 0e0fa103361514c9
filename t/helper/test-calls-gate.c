#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/random.h"
#include "calls/gate-table.h"
#include "calls/home.h"

/*
 * Reads commands for the gate's table from stdin and prints the decisions, or,
 * with a seed as argument, checks with random requests that no identity runs
 * twice.  See t/t0500.
 */

#define LIFETIME_US (10 * APR_USEC_PER_SEC)
#define WORDS_MAX 12
#define IDENTITIES_PER_KIND 12
#define RANDOM_STEPS 200000

static struct gate_table table;
static apr_time_t now;
static uint64_t wall_s;
static struct home_view view;

static const char *const verdict_names[] = {
	"",	   "run",     "join",	  "replay",
	"not-run", "unknown", "mismatch", "earlier-run-possible"
};

static void make_ticket(struct ticket *t, const char *name, int keyed)
{
	memset(t, 0, sizeof(*t));
	snprintf(t->agent, sizeof(t->agent), "a");
	snprintf(t->account, sizeof(t->account), "adubo");
	snprintf(t->service, sizeof(t->service), "billing");
	t->boot = 1;
	t->expiry = 100;
	ticket_set_key_identity(t, name);
	if (!keyed)
		t->identity[0] = 'n';
}

static int get_option(char **words, int count, const char *name,
		      int default_value)
{
	size_t n = strlen(name);
	int i;

	for (i = 2; i < count; i++)
		if (!strncmp(words[i], name, n) && words[i][n] == '=')
			return atoi(words[i] + n + 1);
	return default_value;
}

static void admit(char **words, int count)
{
	struct gate_request a = { 0 };
	struct gate_decision r;
	struct ticket t;
	int content = get_option(words, count, "content", 0);

	make_ticket(&t, words[1], get_option(words, count, "key", 0));
	t.boot = (uint64_t)get_option(words, count, "boot", 1);
	t.expiry = (uint64_t)get_option(words, count, "expiry", 100);
	t.generation = (uint32_t)get_option(words, count, "generation", 0);
	a.ticket = &t;
	a.has_ticket = get_option(words, count, "ticket", 1);
	a.agent_boot = 1;
	digest_of(&content, sizeof(content), &a.request_digest);
	a.is_exclusive_home = get_option(words, count, "exclusive_home", 1);
	a.may_run = get_option(words, count, "may_run", 1);
	a.key_lifetime = LIFETIME_US;
	gate_admit(&table, &a, now, wall_s, &r);
	printf("%s: %s", words[1], verdict_names[r.verdict]);
	if (r.verdict == GATE_REPLAY)
		printf(" %.*s", (int)r.answer->size, r.answer->body);
	else if (r.reason && *r.reason)
		printf(" %s", r.reason);
	if (r.verdict == GATE_NOT_RUN)
		printf(" generation %u", r.generation);
	printf("\n");
	gate_answer_release(r.answer);
}

static struct handle find_row(const char *name)
{
	struct handle cursor = HANDLE_NONE;
	struct gate_row *row;
	struct ticket t;

	make_ticket(&t, name, 0);
	while ((row = table_next(&table.rows, &cursor)))
		if (!strcmp(row->identity + 1, t.identity + 1))
			break;
	return cursor;
}

static void set_limits(char **words, int count)
{
	gate_table_destroy(&table);
	gate_table_init(&table, (uint32_t)atoi(words[1]),
			count > 2 ? (size_t)atoi(words[2]) : 0);
}

static void set_now(char **words, int count)
{
	(void)count;
	now = apr_time_from_msec(atoi(words[1]));
}

static void set_wall(char **words, int count)
{
	(void)count;
	wall_s = (uint64_t)atoi(words[1]);
}

static void finish_answered(char **words, int count)
{
	const char *text = count > 2 ? words[2] : "";

	gate_finish_run(
		&table, find_row(words[1]), GATE_ANSWERED,
		gate_answer_new(200, "text/plain", "", text, strlen(text)),
		now);
}

static void finish_answer_lost(char **words, int count)
{
	(void)count;
	gate_finish_run(&table, find_row(words[1]), GATE_ANSWER_LOST, NULL,
			now);
}

static void finish_not_run(char **words, int count)
{
	(void)count;
	gate_finish_run(&table, find_row(words[1]), GATE_MARKED_NOT_RUN, NULL,
			now);
}

static void remove_expired(char **words, int count)
{
	(void)words;
	(void)count;
	gate_remove_expired_rows(&table, now, wall_s);
}

/*
 * "view a b@11000": agents in the view; the number is the time since the last
 * contact, in milliseconds.
 */
static void set_view(char **words, int count)
{
	struct home_agent agents[WORDS_MAX] = { 0 };
	char *age;
	int i;

	for (i = 1; i < count; i++) {
		age = strchr(words[i], '@');
		agents[i - 1].last_contact = now;
		if (age) {
			*age++ = '\0';
			agents[i - 1].last_contact -=
				apr_time_from_msec(atoi(age));
		}
		snprintf(agents[i - 1].id, SETTINGS_NAME_SIZE, "%s", words[i]);
		agents[i - 1].rank_seed = place_hash_string(words[i], 0);
	}
	home_view_update(&view, agents, count - 1, now);
}

static void set_self(char **words, int count)
{
	(void)count;
	memset(&view, 0, sizeof(view));
	snprintf(view.self, sizeof(view.self), "%s", words[1]);
	view.tracked_since = now;
}

static void print_is_exclusive(char **words, int count)
{
	(void)count;
	printf("%s: %s\n", words[1],
	       home_is_exclusive(&view, words[1], LIFETIME_US, now)
		       ? "exclusive"
		       : "not-exclusive");
}

static const struct {
	const char *name;
	int words_min;
	void (*run)(char **words, int count);
} commands[] = {
	{ "limits", 3, set_limits },
	{ "now", 2, set_now },
	{ "wall", 2, set_wall },
	{ "admit", 2, admit },
	{ "answered", 3, finish_answered },
	{ "answer-lost", 2, finish_answer_lost },
	{ "not-run", 2, finish_not_run },
	{ "remove-expired", 1, remove_expired },
	{ "view", 2, set_view },
	{ "self", 2, set_self },
	{ "exclusive", 2, print_is_exclusive },
};

static void run_command(char **words, int count)
{
	size_t i;

	for (i = 0; i < sizeof(commands) / sizeof(*commands); i++) {
		if (!strcmp(words[0], commands[i].name) &&
		    count >= commands[i].words_min) {
			commands[i].run(words, count);
			return;
		}
	}
	printf("unknown command or too few arguments: %s\n", words[0]);
}

static int run_script(void)
{
	char line[256], *words[WORDS_MAX] = { NULL }, *rest;
	int n;

	gate_table_init(&table, 0, 1000);
	while (fgets(line, sizeof(line), stdin)) {
		line[strcspn(line, "#\n")] = '\0';
		rest = line;
		n = 0;
		while (n < WORDS_MAX && (words[n] = strsep(&rest, " ")))
			if (*words[n])
				n++;
		if (n)
			run_command(words, n);
	}
	gate_table_destroy(&table);
	return 0;
}

/* What the random test expects of each identity. */
struct expected_state {
	struct handle row;
	int is_running;
	int run_count;		      /* runs that may have happened */
	apr_time_t last_run_ended_at; /* the latest time at which it began */
	uint32_t generation;	      /* highest one minted so far */
	int incarnation;
	uint64_t expiry; /* of generation 0 */
};

static void finish_random(struct random *r, struct expected_state *state)
{
	uint32_t choice = random_below(r, 3);

	state->is_running = 0;
	state->last_run_ended_at = now;
	if (choice == 0) {
		gate_finish_run(&table, state->row, GATE_ANSWERED,
				gate_answer_new(200, "", "", "x", 1), now);
	} else if (choice == 1) {
		gate_finish_run(&table, state->row, GATE_ANSWER_LOST, NULL,
				now);
	} else {
		gate_finish_run(&table, state->row, GATE_MARKED_NOT_RUN, NULL,
				now);
		state->run_count--;
	}
}

static int admit_random(struct random *r, struct expected_state *state, int i,
			int keyed)
{
	struct gate_request a = { 0 };
	struct gate_decision decision;
	struct ticket t;
	char name[32];

	if (!state->is_running && !keyed && random_below(r, 200) == 0) {
		state->incarnation++;
		state->expiry = 0;
		state->run_count = 0;
		state->generation = 0;
	}
	if (!state->expiry)
		state->expiry = wall_s + random_below(r, 30);
	snprintf(name, sizeof(name), "%d-%d", i, state->incarnation);
	make_ticket(&t, name, keyed);
	t.expiry = state->expiry;
	ticket_set_generation(&t, random_below(r, state->generation + 1));
	a.ticket = &t;
	a.has_ticket = !keyed || random_below(r, 2);
	a.agent_boot = 1;
	a.is_exclusive_home = random_below(r, 10) > 0;
	a.may_run = random_below(r, 5) > 0;
	a.key_lifetime = LIFETIME_US;
	gate_admit(&table, &a, now, wall_s, &decision);
	gate_answer_release(decision.answer);
	if (decision.verdict == GATE_NOT_RUN &&
	    decision.generation >= state->generation)
		state->generation = decision.generation + 1;
	if (decision.verdict != GATE_RUN)
		return 0;
	if (keyed && state->run_count && !state->is_running &&
	    now - state->last_run_ended_at > LIFETIME_US)
		state->run_count = 0; /* the key has expired */
	if (state->run_count++) {
		printf("%s %d ran twice\n", keyed ? "key" : "ticket", i);
		return 1;
	}
	state->is_running = 1;
	state->row = decision.row;
	return 0;
}

/*
 * Random requests with a small table and a wall clock that jumps.  Returns 1
 * when an identity runs a second time.
 */
static int run_random(uint64_t seed)
{
	struct expected_state states[2 * IDENTITIES_PER_KIND] = { 0 };
	struct random r;
	int step, i, has_failed = 0;

	random_seed(&r, seed);
	gate_table_init(&table, 8, 4);
	wall_s = 1000;
	for (step = 0; step < RANDOM_STEPS && !has_failed; step++) {
		i = (int)random_below(&r, 2 * IDENTITIES_PER_KIND);
		now += random_below(&r, 100000);
		wall_s += random_below(&r, 50) == 0;
		if (random_below(&r, 500) == 0)
			wall_s += random_below(&r, 100) - 50;
		if (states[i].is_running && random_below(&r, 2))
			finish_random(&r, &states[i]);
		else
			has_failed = admit_random(&r, &states[i], i,
						  i >= IDENTITIES_PER_KIND);
		if (random_below(&r, 20) == 0)
			gate_remove_expired_rows(&table, now, wall_s);
	}
	gate_table_destroy(&table);
	return has_failed;
}

int main(int argc, const char **argv)
{
	if (argc == 2)
		return run_random(strtoull(argv[1], NULL, 10));
	return run_script();
}
