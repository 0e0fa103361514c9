#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "t/helper/lib-weights-run.h"

/*
 * Runs a script of the distribution and prints whether what it expects held.
 * Lines:
 *   fleet DATA_CENTERS EACH CHUNKS SEED
 *   rates MACHINE CROSS ORIGIN       bytes a second
 *   weight W                         time weight
 *   at MS kill|owner-kill|pause|cut|heal|corrupt|origin|origin-corrupt ARG [MS]
 *   run SECONDS
 *   expect whole | copies MOST | draws MOST | cross MOST | bound MOST |
 *          honest | not-above-naive
 * owner-kill ends the instance that ranks ARG'th for chunk 0 in the data
 * centre that draws it.
 */

#define EVENTS_MAX 256
#define LINE_MAX_SIZE 256

struct event {
	apr_time_t at;
	char what[32];
	char arg[SETTINGS_NAME_SIZE];
	long ms;
	int done;
};

static struct run run;
static struct event events[EVENTS_MAX];
static int event_count;

static int owner_find(int rank)
{
	const struct run_node *n = &run.nodes[0];
	const struct digest *c = &n->swarm->chunks[0].digest;
	int dc, at;

	for (dc = 0; dc < n->view.data_center_count; dc++) {
		if (place_data_center_rank(&n->view, dc, c))
			continue;
		at = place_member_at_rank(&n->view, dc, c, rank);
		return run_node_find(&run, n->view.members[at].id);
	}
	return -1;
}

/* "all-carriers DC": the carriers of a data centre die at once. */
static void carriers_kill(int dc)
{
	const struct place_view *v = &run.nodes[0].view;
	int i;

	for (i = 0; i < PLACE_CARRIERS_MAX; i++)
		run_kill(
			&run,
			run_node_find(&run, v->members[v->carriers[dc][i]].id));
}

static void origin_set(const char *mode)
{
	run.origin = !strcmp(mode, "429")    ? ORIGIN_429
		     : !strcmp(mode, "down") ? ORIGIN_DOWN
					     : ORIGIN_OK;
}

static void cut_set_dc(int dc, int cut)
{
	run.cut[dc] = cut;
	run.cut_at[dc] = run.now;
}

static void event_fire(const struct event *e)
{
	int node = run_node_find(&run, e->arg);

	if (!strcmp(e->what, "kill"))
		run_kill(&run, node);
	else if (!strcmp(e->what, "owner-kill"))
		run_kill(&run, owner_find(atoi(e->arg)));
	else if (!strcmp(e->what, "owner-pause"))
		run.nodes[owner_find(atoi(e->arg))].paused_until =
			run.now + e->ms * 1000;
	else if (!strcmp(e->what, "carriers-kill"))
		carriers_kill(atoi(e->arg));
	else if (!strcmp(e->what, "pause"))
		run.nodes[node].paused_until = run.now + e->ms * 1000;
	else if (!strcmp(e->what, "cut"))
		cut_set_dc(atoi(e->arg), 1);
	else if (!strcmp(e->what, "heal"))
		cut_set_dc(atoi(e->arg), 0);
	else if (!strcmp(e->what, "corrupt"))
		run.nodes[node].corrupt = 1;
	else if (!strcmp(e->what, "origin"))
		origin_set(e->arg);
	else if (!strcmp(e->what, "origin-corrupt"))
		run.origin_corrupt = atoi(e->arg);
	else
		printf("unknown event %s\n", e->what);
}

static void script_run(double seconds)
{
	apr_time_t start, end;
	int i;

	run_begin(&run);
	start = run.now;
	end = start + (apr_time_t)(seconds * 1e6);
	while (run.now < end && !run.finished) {
		run_step(&run);
		for (i = 0; i < event_count; i++) {
			if (events[i].done || run.now - start < events[i].at)
				continue;
			events[i].done = 1;
			event_fire(&events[i]);
		}
	}
	run.finished = run.finished ? run.finished - start : end - start;
}

static int draws_most(void)
{
	int i, most = 0;

	for (i = 0; i < run.chunks; i++)
		if (run.draws[i] > most)
			most = run.draws[i];
	return most;
}

static double cross_most(void)
{
	long most = 0;
	int i;

	for (i = 0; i < run.dcs; i++)
		if (run.cross_chunks[i] > most)
			most = run.cross_chunks[i];
	return (double)most / run.chunks;
}

/* Time against the slowest of one copy over each kind of link. */
static double bound_ratio(void)
{
	double rate = run.link_rate;

	if (run.cross_rate < rate)
		rate = run.cross_rate;
	if (run.origin_rate < rate)
		rate = run.origin_rate;
	return (double)run.finished / 1e6 /
	       ((double)run.chunks * RUN_CHUNK / rate);
}

/* The same script run by the naive version: is it never below it? */
static int above_naive(void)
{
	static struct run naive;
	int i, above = 0;

	naive.dcs = run.dcs;
	naive.per_dc = run.per_dc;
	naive.chunks = run.chunks;
	naive.seed = run.seed;
	naive.naive = 1;
	naive.link_rate = naive.cross_rate = naive.origin_rate = 1e6;
	run_begin(&naive);
	run_step(&naive);
	for (i = 0; i < run.chunks; i++)
		above += run.draws[i] > naive.draws[i];
	for (i = 0; i < run.count; i++)
		above += !run.nodes[i].dead &&
			 run.nodes[i].swarm->held_count !=
				 naive.nodes[i].swarm->held_count;
	run_end(&naive);
	return above;
}

static int expect_check(const char *what, double most, double *seen)
{
	if (!strcmp(what, "whole")) {
		*seen = run_whole(&run);
		return run_whole(&run) == run_living(&run);
	}
	if (!strcmp(what, "honest")) {
		*seen = (double)run.bad_staged;
		return !run.bad_staged;
	}
	if (!strcmp(what, "not-above-naive")) {
		*seen = above_naive();
		return !above_naive();
	}
	if (!strcmp(what, "copies"))
		*seen = (double)run.origin_chunks / run.chunks;
	else if (!strcmp(what, "draws"))
		*seen = draws_most();
	else if (!strcmp(what, "cross"))
		*seen = cross_most();
	else if (!strcmp(what, "bound"))
		*seen = bound_ratio();
	else
		return 0;
	return *seen <= most;
}

/* Returns 1 when an expectation did not hold. */
static int expect(const char *what, double most, int verbose)
{
	double seen = 0;
	int ok = expect_check(what, most, &seen);

	printf("%s %s", ok ? "holds:" : "FAILS:", what);
	if (most > 0)
		printf(" at most %g", most);
	if (verbose || !ok)
		printf(" (seen %.3f)", seen);
	printf("\n");
	return !ok;
}

static void event_add(long ms, const char *what, const char *arg, long length)
{
	struct event *e = &events[event_count++];

	e->at = ms * 1000;
	snprintf(e->what, sizeof(e->what), "%s", what);
	snprintf(e->arg, sizeof(e->arg), "%s", arg);
	e->ms = length;
}

static int line_take(char *line, int verbose)
{
	char what[32] = "", arg[32] = "";
	double a = 0, b = 0, c = 0;
	unsigned long long seed = 0;
	long ms = 0, length = 0;
	int each = 0, chunks = 0;

	if (sscanf(line, "fleet %lf %d %d %llu", &a, &each, &chunks, &seed) ==
	    4) {
		run.dcs = (int)a;
		run.per_dc = each;
		run.chunks = chunks;
		run.seed = seed;
	} else if (sscanf(line, "rates %lf %lf %lf", &a, &b, &c) == 3) {
		run.link_rate = a;
		run.cross_rate = b;
		run.origin_rate = c;
	} else if (sscanf(line, "weight %lf", &a) == 1) {
		run.time_weight = a;
	} else if (sscanf(line, "at %ld %31s %31s %ld", &ms, what, arg,
			  &length) >= 3) {
		event_add(ms, what, arg, length);
	} else if (sscanf(line, "run %lf", &a) == 1) {
		script_run(a);
	} else if (sscanf(line, "expect %31s %lf", what, &a) >= 1) {
		return expect(what, a, verbose);
	} else if (*line != '\n' && *line != '#') {
		printf("unknown line %s", line);
		return 1;
	}
	return 0;
}

int main(int argc, char **argv)
{
	char line[LINE_MAX_SIZE];
	int bad = 0;

	if (argc < 2 || !freopen(argv[1], "r", stdin))
		return 2;
	if (argc > 3)
		run.seed = strtoull(argv[3], NULL, 10);
	while (fgets(line, sizeof(line), stdin))
		bad += line_take(line, argc > 2);
	if (argc > 2)
		printf("exchanges %ld of %d instances in %.2f s\n",
		       run.exchanges, run.count, (double)run.finished / 1e6);
	run_end(&run);
	return bad != 0;
}
