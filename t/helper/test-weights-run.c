#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "t/helper/lib-weights-run.h"

/*
 * Runs a script that simulates the distribution of a version, and prints
 * whether its expectations held. Usage: test-weights-run SCRIPT [VERBOSE
 * [SEED]]. Lines of a script:
 *   fleet DATA_CENTERS EACH CHUNKS SEED
 *   rates MACHINE CROSS ORIGIN       bytes per second
 *   weight W                         weight of time
 *   limit MS                         time limit within which engines load
 *   at MS EVENT ARG [MS]
 *   run SECONDS
 *   expect whole | copies MAX | draws MAX | cross MAX | bound MAX |
 *          honest | not-above-naive
 *   expect superseded-starts | superseded-loads | expired | newest MAX_MS
 *                                    with a time limit: transfers and loads of
 *                                    a superseded release, engines whose
 *                                    release expired, and the time from the
 *                                    last naming until all run the newest
 * EVENT is name (of a newer release; ARG is not used), kill, owner-kill, owner-pause, carriers-kill, pause, cut, heal,
 * corrupt, origin or origin-corrupt. owner-kill and owner-pause act on the
 * instance with rank ARG for chunk 0 in the data centre that fetches this
 * chunk from the origin.
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

static int find_owner(int rank)
{
	const struct run_node *n = &run.nodes[0];
	const struct digest *c = &n->swarm->chunks[0].digest;
	int dc, at;

	for (dc = 0; dc < n->view.data_center_count; dc++) {
		if (place_data_center_rank(&n->view, dc, c))
			continue;
		at = place_member_at_rank(&n->view, dc, c, rank);
		return run_find_node(&run, n->view.members[at].id);
	}
	return -1;
}

/* carriers-kill: crashes all carriers of a data centre at once. */
static void kill_carriers(int dc)
{
	const struct place_view *v = &run.nodes[0].view;
	int i;

	for (i = 0; i < PLACE_CARRIERS_MAX; i++)
		run_kill(
			&run,
			run_find_node(&run, v->members[v->carriers[dc][i]].id));
}

static void set_origin(const char *mode)
{
	run.origin_mode = !strcmp(mode, "429")	  ? ORIGIN_429
			  : !strcmp(mode, "down") ? ORIGIN_DOWN
						  : ORIGIN_OK;
}

static void set_partitioned(int dc, int is_partitioned)
{
	run.partitioned[dc] = is_partitioned;
	run.partitioned_at[dc] = run.now;
}

static void run_event(const struct event *e)
{
	int node = run_find_node(&run, e->arg);

	if (!strcmp(e->what, "kill"))
		run_kill(&run, node);
	else if (!strcmp(e->what, "name"))
		run_name_release(&run);
	else if (!strcmp(e->what, "owner-kill"))
		run_kill(&run, find_owner(atoi(e->arg)));
	else if (!strcmp(e->what, "owner-pause"))
		run.nodes[find_owner(atoi(e->arg))].paused_until =
			run.now + e->ms * 1000;
	else if (!strcmp(e->what, "carriers-kill"))
		kill_carriers(atoi(e->arg));
	else if (!strcmp(e->what, "pause"))
		run.nodes[node].paused_until = run.now + e->ms * 1000;
	else if (!strcmp(e->what, "cut"))
		set_partitioned(atoi(e->arg), 1);
	else if (!strcmp(e->what, "heal"))
		set_partitioned(atoi(e->arg), 0);
	else if (!strcmp(e->what, "corrupt"))
		run.nodes[node].corrupt = 1;
	else if (!strcmp(e->what, "origin"))
		set_origin(e->arg);
	else if (!strcmp(e->what, "origin-corrupt"))
		run.origin_corrupt = atoi(e->arg);
	else
		printf("unknown event %s\n", e->what);
}

static void run_script(double seconds)
{
	apr_time_t start, end;
	int i;

	run_begin(&run);
	start = run.now;
	end = start + (apr_time_t)(seconds * 1e6);
	while (run.now < end && !run.finished_at) {
		run_step(&run);
		for (i = 0; i < event_count; i++) {
			if (events[i].done || run.now - start < events[i].at)
				continue;
			events[i].done = 1;
			run_event(&events[i]);
		}
	}
	run.finished_at =
		run.finished_at ? run.finished_at - start : end - start;
}

static int max_origin_fetches(void)
{
	int i, max = 0;

	for (i = 0; i < run.chunks; i++)
		if (run.origin_fetches[i] > max)
			max = run.origin_fetches[i];
	return max;
}

static double max_cross_copies(void)
{
	long max = 0;
	int i;

	for (i = 0; i < run.dcs; i++)
		if (run.cross_chunks[i] > max)
			max = run.cross_chunks[i];
	return (double)max / run.chunks;
}

/*
 * Returns the time of the run divided by the time of one copy over the slowest
 * kind of link.
 */
static double bound_ratio(void)
{
	double rate = run.link_rate;

	if (run.cross_rate < rate)
		rate = run.cross_rate;
	if (run.origin_rate < rate)
		rate = run.origin_rate;
	return (double)run.finished_at / 1e6 /
	       ((double)run.chunks * RUN_CHUNK_BYTES / rate);
}

/*
 * Returns how many chunks were fetched from the origin more often, and how
 * many live instances hold a different number of chunks, than when every
 * instance fetches every chunk.
 */
static int count_above_naive(void)
{
	static struct run naive;
	int i, above = 0;

	naive.dcs = run.dcs;
	naive.nodes_per_dc = run.nodes_per_dc;
	naive.chunks = run.chunks;
	naive.seed = run.seed;
	naive.naive = 1;
	naive.link_rate = naive.cross_rate = naive.origin_rate = 1e6;
	run_begin(&naive);
	run_step(&naive);
	for (i = 0; i < run.chunks; i++)
		above += run.origin_fetches[i] > naive.origin_fetches[i];
	for (i = 0; i < run.count; i++)
		above += !run.nodes[i].dead &&
			 run.nodes[i].swarm->held_count !=
				 naive.nodes[i].swarm->held_count;
	run_end(&naive);
	return above;
}

static int check_expectation(const char *what, double max, double *seen)
{
	if (!strcmp(what, "whole")) {
		*seen = run_count_complete(&run);
		return run_count_complete(&run) == run_count_live(&run);
	}
	if (!strcmp(what, "honest")) {
		*seen = (double)run.corrupt_staged;
		return !run.corrupt_staged;
	}
	if (!strcmp(what, "not-above-naive")) {
		*seen = count_above_naive();
		return !count_above_naive();
	}
	if (!strcmp(what, "superseded-starts"))
		*seen = (double)run.superseded_starts;
	else if (!strcmp(what, "superseded-loads"))
		*seen = (double)run.superseded_loads;
	else if (!strcmp(what, "expired"))
		*seen = (double)run.expired_steps;
	else if (!strcmp(what, "newest"))
		*seen = (double)(run.named_at[1] + run.finished_at -
				 run.named_at[run.release]) /
			1e3;
	else if (!strcmp(what, "copies"))
		*seen = (double)run.origin_chunks / run.chunks;
	else if (!strcmp(what, "draws"))
		*seen = max_origin_fetches();
	else if (!strcmp(what, "cross"))
		*seen = max_cross_copies();
	else if (!strcmp(what, "bound"))
		*seen = bound_ratio();
	else
		return 0;
	return *seen <= max;
}

/*
 * Checks an expectation and prints the result. Returns 1 when it did not hold.
 */
static int expect(const char *what, double max, int verbose)
{
	double seen = 0;
	int ok = check_expectation(what, max, &seen);

	printf("%s %s", ok ? "holds:" : "FAILS:", what);
	if (max > 0)
		printf(" at most %g", max);
	if (verbose || !ok)
		printf(" (seen %.3f)", seen);
	printf("\n");
	return !ok;
}

static void add_event(long ms, const char *what, const char *arg, long length)
{
	struct event *e = &events[event_count++];

	e->at = ms * 1000;
	snprintf(e->what, sizeof(e->what), "%s", what);
	snprintf(e->arg, sizeof(e->arg), "%s", arg);
	e->ms = length;
}

static int parse_line(char *line, int verbose)
{
	char what[32] = "", arg[32] = "";
	double a = 0, b = 0, c = 0;
	unsigned long long seed = 0;
	long ms = 0, length = 0;
	int each = 0, chunks = 0;

	if (sscanf(line, "fleet %lf %d %d %llu", &a, &each, &chunks, &seed) ==
	    4) {
		run.dcs = (int)a;
		run.nodes_per_dc = each;
		run.chunks = chunks;
		run.seed = seed;
	} else if (sscanf(line, "rates %lf %lf %lf", &a, &b, &c) == 3) {
		run.link_rate = a;
		run.cross_rate = b;
		run.origin_rate = c;
	} else if (sscanf(line, "weight %lf", &a) == 1) {
		run.time_weight = a;
	} else if (sscanf(line, "limit %ld", &ms) == 1) {
		run.load_time_limit = ms * 1000;
	} else if (sscanf(line, "at %ld %31s %31s %ld", &ms, what, arg,
			  &length) >= 3) {
		add_event(ms, what, arg, length);
	} else if (sscanf(line, "run %lf", &a) == 1) {
		run_script(a);
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
		bad += parse_line(line, argc > 2);
	if (argc > 2)
		printf("exchanges %ld of %d instances in %.2f s\n",
		       run.exchanges, run.count, (double)run.finished_at / 1e6);
	run_end(&run);
	return bad != 0;
}
