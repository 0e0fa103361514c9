#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/random.h"
#include "calls/gate-table.h"
#include "calls/home.h"

/*
 * Runs a script of requests against the gate's table and prints what it
 * decides, or a long random run against its promise.  See t/t0500.
 */

#define LIFETIME_US (10 * APR_USEC_PER_SEC)
#define WORDS_MAX 12
#define NAMES 12
#define RANDOM_STEPS 200000

static struct gate_table table;
static apr_time_t now;
static uint64_t wall;
static struct home_view view;

static const char *const verdict_names[] = { "",	 "run",	    "join",
					     "replay",	 "not-run", "unknown",
					     "mismatch", "no-home" };

static void ticket_named(struct ticket *t, const char *name, int keyed)
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

static int option(char **words, int count, const char *name, int absent)
{
	size_t n = strlen(name);
	int i;

	for (i = 2; i < count; i++)
		if (!strncmp(words[i], name, n) && words[i][n] == '=')
			return atoi(words[i] + n + 1);
	return absent;
}

static void ask(char **words, int count)
{
	struct gate_request a = { 0 };
	struct gate_decision r;
	struct ticket t;
	int content = option(words, count, "content", 0);

	ticket_named(&t, words[1], option(words, count, "key", 0));
	t.boot = (uint64_t)option(words, count, "boot", 1);
	t.expiry = (uint64_t)option(words, count, "expiry", 100);
	t.generation = (uint32_t)option(words, count, "generation", 0);
	a.ticket = &t;
	a.ticketed = option(words, count, "ticket", 1);
	a.boot = 1;
	digest_of(&content, sizeof(content), &a.content);
	a.home = option(words, count, "home", 1);
	a.may_run = option(words, count, "may_run", 1);
	a.lifetime = LIFETIME_US;
	gate_admit(&table, &a, now, wall, &r);
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

static struct handle row_named(const char *name)
{
	struct handle cursor = HANDLE_NONE;
	struct gate_row *row;
	struct ticket t;

	ticket_named(&t, name, 0);
	while ((row = table_next(&table.rows, &cursor)))
		if (!strcmp(row->identity + 1, t.identity + 1))
			break;
	return cursor;
}

static void rows_limit(char **words, int count)
{
	gate_table_destroy(&table);
	gate_table_init(&table, (uint32_t)atoi(words[1]),
			count > 2 ? (size_t)atoi(words[2]) : 0);
}

static void time_set(char **words, int count)
{
	(void)count;
	now = apr_time_from_msec(atoi(words[1]));
}

static void wall_set(char **words, int count)
{
	(void)count;
	wall = (uint64_t)atoi(words[1]);
}

static void answer(char **words, int count)
{
	const char *text = count > 2 ? words[2] : "";

	gate_finish_run(
		&table, row_named(words[1]), GATE_ANSWERED,
		gate_answer_new(200, "text/plain", "", text, strlen(text)));
}

static void lose(char **words, int count)
{
	(void)count;
	gate_finish_run(&table, row_named(words[1]), GATE_ANSWER_LOST, NULL);
}

static void mark(char **words, int count)
{
	(void)count;
	gate_finish_run(&table, row_named(words[1]), GATE_MARKED_NOT_RUN, NULL);
}

static void sweep(char **words, int count)
{
	(void)words;
	(void)count;
	gate_remove_expired_rows(&table, now, wall);
}

/* "view a b@11000": who is in the view, and how long ago it was heard. */
static void view_set(char **words, int count)
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

static void self_set(char **words, int count)
{
	(void)count;
	memset(&view, 0, sizeof(view));
	snprintf(view.self, sizeof(view.self), "%s", words[1]);
	view.tracked_since = now;
}

static void sure(char **words, int count)
{
	(void)count;
	printf("%s: %s\n", words[1],
	       home_is_exclusive(&view, words[1], LIFETIME_US, now) ? "sure"
								    : "unsure");
}

static const struct {
	const char *name;
	int words_min;
	void (*run)(char **words, int count);
} commands[] = {
	{ "rows", 3, rows_limit }, { "at", 2, time_set },
	{ "wall", 2, wall_set },   { "ask", 2, ask },
	{ "answer", 3, answer },   { "lose", 2, lose },
	{ "mark", 2, mark },	   { "sweep", 1, sweep },
	{ "view", 2, view_set },   { "self", 2, self_set },
	{ "sure", 2, sure },
};

static void command(char **words, int count)
{
	size_t i;

	for (i = 0; i < sizeof(commands) / sizeof(*commands); i++) {
		if (!strcmp(words[0], commands[i].name) &&
		    count >= commands[i].words_min) {
			commands[i].run(words, count);
			return;
		}
	}
	printf("what is \"%s\"?\n", words[0]);
}

static int script_run(void)
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
			command(words, n);
	}
	gate_table_destroy(&table);
	return 0;
}

/* What the random run knows of each identity. */
struct model {
	struct handle row;
	int running;
	int ran; /* runs that were not proved not to have happened */
	apr_time_t ran_at;
	uint32_t generation; /* the highest that an entry has minted */
	int incarnation;
	uint64_t expiry; /* of generation 0 */
};

static void finish_one(struct random *r, struct model *m)
{
	uint32_t how = random_below(r, 3);

	m->running = 0;
	if (how == 0) {
		gate_finish_run(&table, m->row, GATE_ANSWERED,
				gate_answer_new(200, "", "", "x", 1));
	} else if (how == 1) {
		gate_finish_run(&table, m->row, GATE_ANSWER_LOST, NULL);
	} else {
		gate_finish_run(&table, m->row, GATE_MARKED_NOT_RUN, NULL);
		m->ran--;
	}
}

static int ask_one(struct random *r, struct model *m, int i, int keyed)
{
	struct gate_request a = { 0 };
	struct gate_decision rep;
	struct ticket t;
	char name[32];

	if (!m->running && !keyed && random_below(r, 200) == 0) {
		m->incarnation++;
		m->expiry = 0;
		m->ran = 0;
		m->generation = 0;
	}
	if (!m->expiry)
		m->expiry = wall + random_below(r, 30);
	snprintf(name, sizeof(name), "%d-%d", i, m->incarnation);
	ticket_named(&t, name, keyed);
	t.expiry = m->expiry;
	ticket_set_generation(&t, random_below(r, m->generation + 1));
	a.ticket = &t;
	a.ticketed = !keyed || random_below(r, 2);
	a.boot = 1;
	a.home = random_below(r, 10) > 0;
	a.may_run = random_below(r, 5) > 0;
	a.lifetime = LIFETIME_US;
	gate_admit(&table, &a, now, wall, &rep);
	gate_answer_release(rep.answer);
	if (rep.verdict == GATE_NOT_RUN && rep.generation >= m->generation)
		m->generation = rep.generation + 1;
	if (rep.verdict != GATE_RUN)
		return 0;
	if (keyed && m->ran && now - m->ran_at > LIFETIME_US)
		m->ran = 0; /* the key's lifetime is over */
	if (m->ran++) {
		printf("%s %d ran twice\n", keyed ? "key" : "ticket", i);
		return 1;
	}
	m->ran_at = now;
	m->running = 1;
	m->row = rep.row;
	return 0;
}

/* Few rows, clocks that jump: no identity may run a second time. */
static int random_run(uint64_t seed)
{
	struct model models[2 * NAMES] = { 0 };
	struct random r;
	int step, i, bad = 0;

	random_seed(&r, seed);
	gate_table_init(&table, 8, 4);
	wall = 1000;
	for (step = 0; step < RANDOM_STEPS && !bad; step++) {
		i = (int)random_below(&r, 2 * NAMES);
		now += random_below(&r, 100000);
		wall += random_below(&r, 50) == 0;
		if (random_below(&r, 500) == 0)
			wall += random_below(&r, 100) - 50;
		if (models[i].running && random_below(&r, 2))
			finish_one(&r, &models[i]);
		else
			bad = ask_one(&r, &models[i], i, i >= NAMES);
		if (random_below(&r, 20) == 0)
			gate_remove_expired_rows(&table, now, wall);
	}
	gate_table_destroy(&table);
	return bad;
}

int main(int argc, const char **argv)
{
	if (argc == 2)
		return random_run(strtoull(argv[1], NULL, 10));
	return script_run();
}
