#include <apr_general.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "calls/crash-table.h"

/*
 * test-crash-infer SCRIPT
 *
 * Runs a script on the lists of crash suspects of some entries, in simulated
 * time, and prints whom they blame, acquit, refuse and try again.
 *
 * entries N                  that many entries; first line
 * at MS                      goes on to this time; every 100 ms each entry
 *                            judges and sends its news to the others
 * send RUN ENTRY UPSTREAM ITEM...
 *                            starts a run unless it is refused.  ITEM is r:NAME
 *                            (the request), p:NAME (a part) or a:ACCOUNT
 * sound RUN [MS]             ends it with a sound answer, or finds out that it
 *                            ended so long ago
 * reset RUN                  ends it without one
 * die UPSTREAM...            ends these processes and the runs there
 * cut ENTRY, join ENTRY      nothing is exchanged with this entry meanwhile
 * restart ENTRY [FROM]       with an empty list, or with a page of FROM's
 * invent COUNT ENTRY UPSTREAM ACCOUNT
 *                            starts as many runs, each with invented parts
 * answer COUNT ENTRY ACCOUNT as many sound answers with invented parts
 * show ENTRY                 prints the number of rows and the suspects
 */

#define ENTRIES_MAX 8
#define RUNS_MAX 2048
#define NAMES_MAX 64
#define UPSTREAMS_MAX 32
#define WORDS_MAX 24
#define PULL_INTERVAL_MS 1000
#define STEP_US (100 * 1000)
/* Nothing is under way after so long without an event. */
#define SETTLED_US (3 * APR_USEC_PER_SEC)
#define LONG_STEP_US APR_USEC_PER_SEC
#define START_US (100 * APR_USEC_PER_SEC)

struct run {
	char name[32]; /* empty: not in flight */
	int entry, upstream;
	struct crash_run run;
};

struct item_name {
	char name[32];
	struct digest key;
	int is_blamed[ENTRIES_MAX];
};

static struct {
	int entries;
	apr_time_t now;
	struct crash_list lists[ENTRIES_MAX];
	int is_cut[ENTRIES_MAX];
	struct run runs[RUNS_MAX];
	struct item_name names[NAMES_MAX];
	int name_count;
	char upstreams[UPSTREAMS_MAX][32];
	uint64_t boots[UPSTREAMS_MAX];
	int upstream_count, serial;
} sim;

static int to_ms(apr_time_t t)
{
	return (int)((t - START_US) / 1000);
}

static int find_upstream(const char *name)
{
	int i;

	for (i = 0; i < sim.upstream_count; i++)
		if (!strcmp(sim.upstreams[i], name))
			return i;
	snprintf(sim.upstreams[i], sizeof(sim.upstreams[i]), "%s", name);
	return sim.upstream_count++;
}

static void name_item(const char *name, const struct digest *key)
{
	int i;

	for (i = 0; i < sim.name_count; i++)
		if (digest_equal(&sim.names[i].key, key))
			return;
	snprintf(sim.names[i].name, sizeof(sim.names[i].name), "%s", name);
	sim.names[i].key = *key;
	sim.name_count++;
}

static const char *item_name(const struct digest *key)
{
	int i;

	for (i = 0; i < sim.name_count; i++)
		if (digest_equal(&sim.names[i].key, key))
			return sim.names[i].name;
	return "?";
}

static void read_items(char **words, int count, struct crash_items *s)
{
	const char *account = "some";
	int i;

	for (i = 0; i < count; i++)
		if (words[i][0] == 'a')
			account = words[i] + 2;
	crash_items_init(s, account);
	for (i = 0; i < count; i++) {
		if (words[i][0] == 'r')
			crash_items_add_request(s, account, "/generate",
						words[i], strlen(words[i]));
		else if (words[i][0] == 'p')
			crash_items_add_part(s, words[i] + 2,
					     strlen(words[i] + 2));
		else
			continue;
		name_item(words[i], &s->keys[s->count - 1]);
	}
}

static struct crash_row *find_item(int entry, const struct digest *key)
{
	struct handle h;

	return crash_find(&sim.lists[entry], key->bytes, &h);
}

/* Prints which entries changed their mind on an item. */
static void print_turns(void)
{
	struct item_name *n;
	struct crash_row *r;
	int i, is_blamed;

	for (n = sim.names; n < sim.names + sim.name_count; n++)
		for (i = 0; i < sim.entries; i++) {
			r = find_item(i, &n->key);
			is_blamed = r && crash_is_blamed(r);
			if (is_blamed != n->is_blamed[i])
				printf("%d entry %d %s %s\n", to_ms(sim.now), i,
				       is_blamed ? "blames" : "acquits",
				       n->name);
			n->is_blamed[i] = is_blamed;
		}
}

static void exchange(int from)
{
	struct crash_message m;
	int to;

	if (sim.is_cut[from])
		return;
	crash_collect_updates(&sim.lists[from], &m, 0, sim.now);
	for (to = 0; to < sim.entries; to++)
		if (to != from && !sim.is_cut[to])
			crash_merge(&sim.lists[to], &m, sim.now);
	xdr_free((xdrproc_t)xdr_crash_message, &m);
}

static void pull(int to, int from)
{
	struct crash_message m;

	crash_purge(&sim.lists[to], sim.now);
	if (sim.is_cut[to] || sim.is_cut[from] ||
	    crash_summary(&sim.lists[to], sim.now) ==
		    crash_summary(&sim.lists[from], sim.now))
		return;
	crash_collect_page(&sim.lists[from], &m, sim.now);
	crash_merge(&sim.lists[to], &m, sim.now);
	xdr_free((xdrproc_t)xdr_crash_message, &m);
}

static void step(void)
{
	int i;

	for (i = 0; i < sim.entries; i++)
		crash_judge(&sim.lists[i], sim.now);
	for (i = 0; i < sim.entries; i++)
		exchange(i);
	if (!(to_ms(sim.now) % PULL_INTERVAL_MS))
		for (i = 0; i < sim.entries; i++)
			pull(i, (i + 1) % sim.entries);
	print_turns();
}

static void go_on(apr_time_t until)
{
	apr_time_t from = sim.now;

	while (sim.now < until) {
		sim.now += sim.now - from < SETTLED_US ? STEP_US : LONG_STEP_US;
		if (sim.now > until)
			sim.now = until;
		step();
	}
}

static void update_entries(void)
{
	uint64_t hashes[ENTRIES_MAX];
	int i;

	for (i = 0; i < sim.entries; i++)
		hashes[i] = i + 1;
	for (i = 0; i < sim.entries; i++)
		crash_set_entries(&sim.lists[i], i + 1, hashes, sim.entries,
				  sim.entries);
}

static struct run *find_run(const char *name)
{
	struct run *r;

	for (r = sim.runs; r < sim.runs + RUNS_MAX; r++)
		if (!strcmp(r->name, name))
			return r;
	return NULL;
}

static void send_run(const char *name, int entry, const char *upstream,
		     const struct crash_items *s)
{
	struct run *r = find_run("");
	struct crash_finding f;
	enum crash_verdict v =
		crash_check_items(&sim.lists[entry], s, sim.now, &f);

	if (v == CRASH_QUARANTINED) {
		printf("%d %s refused at entry %d for %s %s, retry after %d s\n",
		       to_ms(sim.now), name, entry,
		       f.kind == CRASH_ITEM_PART ? "part" : "request",
		       item_name(&f.key), f.retry_after_ms / 1000);
		return;
	}
	if (v == CRASH_SUSPECT)
		printf("%d %s %s at entry %d for %s\n", to_ms(sim.now), name,
		       f.is_trial ? "is a trial" : "is suspect", entry,
		       item_name(&f.key));
	snprintf(r->name, sizeof(r->name), "%s", name);
	r->entry = entry;
	r->upstream = find_upstream(upstream);
	r->run.items = *s;
	r->run.sent_at = sim.now;
	r->run.broken_at = 0;
}

static void end_run(const char *name, int is_sound, int ago_ms)
{
	struct run *r = find_run(name);

	if (!r)
		return;
	if (is_sound)
		crash_record_sound(&sim.lists[r->entry], &r->run.items,
				   sim.now - ago_ms * 1000);
	r->name[0] = 0;
	print_turns();
}

static void die(const char *name)
{
	static struct crash_run runs[RUNS_MAX];
	int entry, count, u = find_upstream(name);
	struct run *r;

	sim.boots[u]++;
	for (entry = 0; entry < sim.entries; entry++) {
		count = 0;
		for (r = sim.runs; r < sim.runs + RUNS_MAX; r++) {
			if (!r->name[0] || r->upstream != u ||
			    r->entry != entry)
				continue;
			runs[count++] = r->run;
			r->name[0] = 0;
		}
		crash_record_runs(&sim.lists[entry], name, sim.boots[u], runs,
				  count, sim.now);
	}
	print_turns();
}

static void invent_items(const char *account, struct crash_items *s)
{
	char part[32];

	crash_items_init(s, account);
	while (s->count < CRASH_ITEMS_MAX) {
		snprintf(part, sizeof(part), "invented %d", sim.serial++);
		crash_items_add_part(s, part, strlen(part));
	}
}

static void restart(int entry, int from)
{
	crash_destroy(&sim.lists[entry]);
	crash_init_items(&sim.lists[entry]);
	update_entries();
	if (from >= 0)
		pull(entry, from);
}

static void show(int entry)
{
	struct crash_row *r;
	int i;

	printf("%d entry %d has %d rows, suspects", to_ms(sim.now), entry,
	       sim.lists[entry].row_count);
	for (i = 0; i < sim.name_count; i++) {
		r = find_item(entry, &sim.names[i].key);
		if (r && crash_is_suspect(r, sim.now))
			printf(" %s", sim.names[i].name);
	}
	printf("\n");
}

static void start(int entries)
{
	int i;

	sim.entries = entries;
	for (i = 0; i < entries; i++)
		crash_init_items(&sim.lists[i]);
	update_entries();
}

static int run_line(char **w, int count)
{
	struct crash_items s;
	char name[32];
	int i;

	if (!strcmp(w[0], "entries") && count == 2) {
		start(atoi(w[1]));
	} else if (!strcmp(w[0], "at") && count == 2) {
		go_on(START_US + atoll(w[1]) * 1000);
	} else if (!strcmp(w[0], "send") && count > 4) {
		read_items(w + 4, count - 4, &s);
		send_run(w[1], atoi(w[2]), w[3], &s);
	} else if (!strcmp(w[0], "sound") && count > 1) {
		end_run(w[1], 1, count > 2 ? atoi(w[2]) : 0);
	} else if (!strcmp(w[0], "reset") && count == 2) {
		end_run(w[1], 0, 0);
	} else if (!strcmp(w[0], "die")) {
		for (i = 1; i < count; i++)
			die(w[i]);
	} else if (!strcmp(w[0], "cut") && count == 2) {
		sim.is_cut[atoi(w[1])] = 1;
	} else if (!strcmp(w[0], "join") && count == 2) {
		sim.is_cut[atoi(w[1])] = 0;
	} else if (!strcmp(w[0], "restart") && count > 1) {
		restart(atoi(w[1]), count > 2 ? atoi(w[2]) : -1);
	} else if (!strcmp(w[0], "invent") && count == 5) {
		for (i = 0; i < atoi(w[1]); i++) {
			invent_items(w[4], &s);
			snprintf(name, sizeof(name), "invented-%d", i);
			send_run(name, atoi(w[2]), w[3], &s);
		}
	} else if (!strcmp(w[0], "answer") && count == 4) {
		for (i = 0; i < atoi(w[1]); i++) {
			invent_items(w[3], &s);
			crash_record_sound(&sim.lists[atoi(w[2])], &s, sim.now);
		}
	} else if (!strcmp(w[0], "show") && count == 2) {
		show(atoi(w[1]));
	} else {
		return -1;
	}
	return 0;
}

int main(int argc, char **argv)
{
	FILE *f = argc == 2 ? fopen(argv[1], "r") : NULL;
	char line[512], *words[WORDS_MAX], *save;
	int n;

	if (!f)
		return 2;
	apr_initialize();
	sim.now = START_US;
	while (fgets(line, sizeof(line), f)) {
		n = 0;
		words[n] = strtok_r(line, " \t\n", &save);
		while (words[n] && n < WORDS_MAX - 1)
			words[++n] = strtok_r(NULL, " \t\n", &save);
		if (!n || words[0][0] == '#')
			continue;
		if (run_line(words, n)) {
			fprintf(stderr, "cannot run line %s\n", words[0]);
			return 2;
		}
	}
	fclose(f);
	return 0;
}
