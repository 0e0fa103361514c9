#include <apr_general.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/random.h"
#include "calls/crash-table.h"

/*
 * test-crash-items ENTRIES UPSTREAMS DELAY_MS LOSS_PERCENT SEED [two] [causes]
 *                  [alone]
 *
 * Requests with a part that crashes its upstream come at any entry, no two
 * alike, beside sound ones of the same account and first part.  Each entry has
 * its own list; messages between them take DELAY_MS and some are lost.  two:
 * two such parts.  causes: upstreams also die of other causes, one by one and a
 * quarter at once.  alone: all messages are lost.  Prints what the fleet did, and
 * the largest numbers of messages and bytes that an entry sent in a second.
 */

#define ENTRIES_MAX 260
#define UPSTREAMS_MAX 100
#define RUNS_MAX 8192
#define BROKEN_MAX 512
#define CLOCK_MS 4096
#define WARM_UP_MS 5000
#define END_MS 14000
#define STABLE_MS 3000
#define RESTART_MS 3000
#define STEP_MS 100
#define PULL_MS 1000
#define REMOTE_DELAY_MS 40
#define PROOF_MS_MAX 150
#define CRASH_AFTER_MS 20
#define CRASH_SPREAD_MS 130
#define SOUND_RUN_MS 400
#define ATTEMPTS_MAX 2
#define COMMON_PARTS 12
#define RARE_PARTS 400
#define BAD_PARTS_MAX 2
#define BOUND_DEATHS 5

struct run {
	int is_used;
	int bad; /* bad part, 1 and up; 0: sound */
	int entry, upstream, attempt;
	int ends_at;
	int waits_until; /* next attempt; 0: running */
	struct crash_run run;
};

struct broken {
	int upstream;
	uint64_t boot;
	int proved_at;
	struct crash_run run;
};

struct message {
	struct message *next;
	int from, to;
	enum { NEWS, PULL, PAGE } kind;
	uint64_t summary;
	u_int size;
	char data[];
};

struct entry {
	struct crash_list list;
	struct broken broken[BROKEN_MAX];
	int broken_count;
	uint32_t blames;
	int messages, bytes; /* in this second */
};

static struct {
	int entries, upstreams, delay, loss, bad_parts, has_causes, is_alone;
	int now; /* ms since the start */
	struct random random;
	struct entry *e;
	struct run runs[RUNS_MAX];
	struct message *due[CLOCK_MS];
	uint64_t boots[UPSTREAMS_MAX];
	int down_until[UPSTREAMS_MAX];
	/* bound_at: the fifth death, or the last if there are fewer */
	int deaths[BAD_PARTS_MAX + 1], bound_at[BAD_PARTS_MAX + 1];
	int late_runs[BAD_PARTS_MAX + 1], refused_at[BAD_PARTS_MAX + 1];
	int sound_refused, sound_suspect, sound_ended, bad_refused, serial;
	int messages_max, bytes_max;
	int rows_max;
} sim;

static apr_time_t to_time(int ms)
{
	return 100 * APR_USEC_PER_SEC + (apr_time_t)ms * 1000;
}

static int below(int n)
{
	return (int)random_below(&sim.random, n);
}

static void add_part(struct crash_items *s, const char *kind, int number)
{
	char part[32];

	snprintf(part, sizeof(part), "%s-%d", kind, number);
	crash_items_add_part(s, part, strlen(part));
}

static void make_items(struct crash_items *s, int bad)
{
	char body[32];

	crash_items_init(s, "account");
	snprintf(body, sizeof(body), "%d", sim.serial++);
	crash_items_add_request(s, "account", "/generate", body, strlen(body));
	add_part(s, "first", 0);
	add_part(s, "common", below(COMMON_PARTS));
	if (bad)
		add_part(s, "bad", bad);
	else if (!below(3))
		add_part(s, "rare", below(RARE_PARTS));
}

static void post(int from, int to, int kind, uint64_t summary,
		 struct crash_message *m)
{
	u_int size = m ? (u_int)xdr_sizeof((xdrproc_t)xdr_crash_message, m) : 0;
	struct message *out = calloc(1, sizeof(*out) + size);
	int at = sim.now + 1 + sim.delay / 2 + below(sim.delay + 1);
	XDR x;

	if (!out)
		abort();
	sim.e[from].messages++;
	sim.e[from].bytes += (int)size;
	if (from % 2 != to % 2)
		at += REMOTE_DELAY_MS;
	out->from = from;
	out->to = to;
	out->kind = kind;
	out->summary = summary;
	out->size = size;
	if (m) {
		xdrmem_create(&x, out->data, size, XDR_ENCODE);
		xdr_crash_message(&x, m);
	}
	if (sim.is_alone || below(100) < sim.loss) {
		free(out);
		return;
	}
	out->next = sim.due[at % CLOCK_MS];
	sim.due[at % CLOCK_MS] = out;
}

static void receive(struct message *in)
{
	struct crash_list *c = &sim.e[in->to].list;
	apr_time_t now = to_time(sim.now);
	struct crash_message m;
	XDR x;

	memset(&m, 0, sizeof(m));
	if (in->kind == PULL) {
		if (crash_summary(c, now) == in->summary)
			return;
		crash_collect_page(c, &m, now);
		post(in->to, in->from, PAGE, 0, &m);
	} else {
		xdrmem_create(&x, in->data, in->size, XDR_DECODE);
		xdr_crash_message(&x, &m);
		crash_merge(c, &m, now);
	}
	xdr_free((xdrproc_t)xdr_crash_message, &m);
}

static void deliver(void)
{
	struct message *m, *next = sim.due[sim.now % CLOCK_MS];

	sim.due[sim.now % CLOCK_MS] = NULL;
	while ((m = next)) {
		next = m->next;
		receive(m);
		free(m);
	}
}

static void gossip(int entry)
{
	int locals[ENTRIES_MAX], chosen[ENTRIES_MAX], ids[ENTRIES_MAX];
	apr_time_t now = to_time(sim.now);
	struct crash_list *c = &sim.e[entry].list;
	struct crash_message m;
	int i, n = 0;

	if (!c->row_count)
		return;
	crash_judge(c, now);
	for (i = 0; i < sim.entries; i++) {
		if (i == entry)
			continue;
		ids[n] = i;
		locals[n++] = i % 2 == entry % 2;
	}
	if (crash_collect_updates(c, &m, 0, now)) {
		n = crash_choose_targets(locals, n, &sim.random, chosen);
		for (i = 0; i < n; i++)
			post(entry, ids[chosen[i]], NEWS, 0, &m);
	}
	xdr_free((xdrproc_t)xdr_crash_message, &m);
	if ((sim.now + entry * 7) / STEP_MS % (PULL_MS / STEP_MS) == 0)
		post(entry, ids[below(sim.entries - 1)], PULL,
		     crash_summary(c, now), NULL);
}

static int is_up(int upstream)
{
	return sim.now >= sim.down_until[upstream];
}

/* Chooses an upstream that is up; one of a pair for a suspected item. */
static int choose_upstream(const struct crash_finding *suspect)
{
	static char names[UPSTREAMS_MAX][16];
	const char *up[UPSTREAMS_MAX];
	int i, n = 0, at[UPSTREAMS_MAX], pair[2];

	for (i = 0; i < sim.upstreams; i++) {
		if (!is_up(i))
			continue;
		snprintf(names[i], sizeof(names[i]), "u-%d", i);
		up[n] = names[i];
		at[n++] = i;
	}
	if (!n)
		return -1;
	if (!suspect)
		return at[below(n)];
	crash_choose_pair(&suspect->key, up, n, pair);
	return at[pair[1] < 0 || below(2) ? pair[0] : pair[1]];
}

/* Sends a run to an upstream, or refuses it. */
static void attempt(struct run *r)
{
	struct crash_finding f;
	enum crash_verdict v;

	v = crash_check_items(&sim.e[r->entry].list, &r->run.items,
			      to_time(sim.now), &f);
	if (v == CRASH_QUARANTINED) {
		sim.sound_refused += !r->bad;
		sim.bad_refused += r->bad != 0;
		r->is_used = 0;
		return;
	}
	sim.sound_suspect += !r->bad && v == CRASH_SUSPECT;
	r->upstream = choose_upstream(v == CRASH_SUSPECT ? &f : NULL);
	r->waits_until = 0;
	if (r->upstream < 0) {
		r->is_used = 0;
		return;
	}
	r->run.sent_at = to_time(sim.now);
	r->ends_at = sim.now + (r->bad ? CRASH_AFTER_MS + below(CRASH_SPREAD_MS)
				       : 1 + below(SOUND_RUN_MS));
	if (r->bad && sim.bound_at[r->bad] &&
	    sim.now > sim.bound_at[r->bad] + STABLE_MS)
		sim.late_runs[r->bad]++;
}

static void add_run(int bad)
{
	struct run *r = sim.runs;

	while (r < sim.runs + RUNS_MAX && r->is_used)
		r++;
	if (r == sim.runs + RUNS_MAX)
		return;
	memset(r, 0, sizeof(*r));
	r->is_used = 1;
	r->bad = bad;
	r->entry = below(sim.entries);
	make_items(&r->run.items, bad);
	attempt(r);
}

/* An upstream dies; the entries find out one after another. */
static void kill_upstream(int upstream)
{
	int proof[ENTRIES_MAX] = { 0 };
	struct broken *b;
	struct entry *e;
	struct run *r;

	for (r = sim.runs; r < sim.runs + RUNS_MAX; r++) {
		if (!r->is_used || r->waits_until || r->upstream != upstream)
			continue;
		e = &sim.e[r->entry];
		if (!proof[r->entry])
			proof[r->entry] = sim.now + 1 + below(PROOF_MS_MAX);
		r->run.broken_at = to_time(sim.now + below(3));
		if (e->broken_count < BROKEN_MAX) {
			b = &e->broken[e->broken_count++];
			b->upstream = upstream;
			b->boot = sim.boots[upstream];
			b->proved_at = proof[r->entry];
			b->run = r->run;
		}
		if (++r->attempt < ATTEMPTS_MAX)
			r->waits_until = proof[r->entry] + 1;
		else
			r->is_used = 0;
	}
	sim.boots[upstream]++;
	sim.down_until[upstream] = sim.now + RESTART_MS;
}

static void record_deaths(struct entry *e)
{
	struct crash_run runs[BROKEN_MAX];
	char name[32];
	uint64_t boot;
	int i, left, count, upstream;

	while (1) {
		count = left = 0;
		upstream = -1;
		for (i = 0; i < e->broken_count; i++) {
			struct broken *b = &e->broken[i];

			if (upstream < 0 && b->proved_at <= sim.now) {
				upstream = b->upstream;
				boot = b->boot;
			}
			if (b->proved_at <= sim.now &&
			    b->upstream == upstream && b->boot == boot)
				runs[count++] = b->run;
			else
				e->broken[left++] = *b;
		}
		if (!count)
			return;
		e->broken_count = left;
		snprintf(name, sizeof(name), "u-%d", upstream);
		crash_record_runs(&e->list, name, boot, runs, count,
				  to_time(sim.now));
	}
}

/* Ends the runs that a new blame forbids. */
static void cancel_refused(int entry)
{
	struct entry *e = &sim.e[entry];
	uint32_t blames = crash_count_blames(&e->list);
	struct run *r;

	if (blames == e->blames)
		return;
	e->blames = blames;
	for (r = sim.runs; r < sim.runs + RUNS_MAX; r++)
		if (r->is_used && r->entry == entry && !r->waits_until &&
		    crash_is_refused(&e->list, &r->run.items,
				     to_time(sim.now))) {
			sim.sound_refused += !r->bad;
			r->is_used = 0;
		}
}

static void step_run(struct run *r)
{
	if (r->waits_until) {
		if (sim.now >= r->waits_until)
			attempt(r);
		return;
	}
	if (sim.now < r->ends_at)
		return;
	if (r->bad) {
		if (++sim.deaths[r->bad] <= BOUND_DEATHS)
			sim.bound_at[r->bad] = sim.now;
		kill_upstream(r->upstream);
		return;
	}
	crash_record_sound(&sim.e[r->entry].list, &r->run.items,
			   to_time(sim.now));
	sim.sound_ended++;
	r->is_used = 0;
}

/* Sets refused_at when all entries refuse the bad part. */
static void check_refused(int bad)
{
	struct crash_items s;
	int i;

	if (sim.refused_at[bad])
		return;
	crash_items_init(&s, "account");
	add_part(&s, "bad", bad);
	for (i = 0; i < sim.entries; i++)
		if (!crash_is_refused(&sim.e[i].list, &s, to_time(sim.now)))
			return;
	sim.refused_at[bad] = sim.now;
}

static void count_second(void)
{
	struct entry *e;

	for (e = sim.e; e < sim.e + sim.entries; e++) {
		if (e->messages > sim.messages_max)
			sim.messages_max = e->messages;
		if (e->bytes > sim.bytes_max)
			sim.bytes_max = e->bytes;
		if (e->list.row_count > sim.rows_max)
			sim.rows_max = e->list.row_count;
		e->messages = e->bytes = 0;
	}
}

static void step(void)
{
	int i, quarter;

	deliver();
	for (i = 0; i < RUNS_MAX; i++)
		if (sim.runs[i].is_used)
			step_run(&sim.runs[i]);
	for (i = 0; i < sim.entries; i++) {
		record_deaths(&sim.e[i]);
		cancel_refused(i);
		if ((sim.now + i * 7) % STEP_MS == 0)
			gossip(i);
	}
	for (i = 0; i < sim.upstreams; i++)
		if (below(100) < 1)
			add_run(0);
	for (i = 1; i <= sim.bad_parts; i++) {
		if (sim.now >= WARM_UP_MS &&
		    below(1000) < 10 + sim.upstreams / 4)
			add_run(i);
		check_refused(i);
	}
	if (sim.has_causes && sim.now % 700 == 0 && sim.now > 2000)
		kill_upstream(below(sim.upstreams));
	quarter = sim.upstreams / 4;
	for (i = 0;
	     sim.has_causes && sim.now == WARM_UP_MS + 200 && i < quarter; i++)
		kill_upstream(i);
	if (sim.now % 1000 == 0)
		count_second();
}

static void start(void)
{
	uint64_t ids[ENTRIES_MAX];
	int i;

	sim.e = calloc(sim.entries, sizeof(*sim.e));
	if (!sim.e)
		abort();
	for (i = 0; i < sim.entries; i++)
		ids[i] = i + 1;
	for (i = 0; i < sim.entries; i++) {
		crash_init_items(&sim.e[i].list);
		crash_set_entries(&sim.e[i].list, i + 1, ids, sim.entries,
				  sim.entries);
	}
}

/* Counts the items other than the bad parts that any entry blames. */
static int count_wrong(void)
{
	struct crash_items s;
	struct crash_row *r;
	struct handle h;
	int i, bad, is_bad, wrong = 0;

	crash_items_init(&s, "account");
	for (bad = 1; bad <= sim.bad_parts; bad++)
		add_part(&s, "bad", bad);
	for (i = 0; i < sim.entries; i++) {
		h = HANDLE_NONE;
		while ((r = table_next(&sim.e[i].list.rows, &h))) {
			is_bad = 0;
			for (bad = 0; bad < s.count; bad++)
				is_bad |= !memcmp(r->key, s.keys[bad].bytes,
						  sizeof(r->key));
			wrong += crash_is_blamed(r) && !is_bad;
		}
	}
	return wrong;
}

int main(int argc, char **argv)
{
	int i;

	if (argc < 6)
		return 2;
	apr_initialize();
	sim.entries = atoi(argv[1]);
	sim.upstreams = atoi(argv[2]);
	sim.delay = atoi(argv[3]);
	sim.loss = atoi(argv[4]);
	random_seed(&sim.random, strtoull(argv[5], NULL, 10));
	sim.bad_parts = 1;
	for (i = 6; i < argc; i++) {
		if (!strcmp(argv[i], "two"))
			sim.bad_parts = 2;
		else if (!strcmp(argv[i], "causes"))
			sim.has_causes = 1;
		else if (!strcmp(argv[i], "alone"))
			sim.is_alone = 1;
	}
	start();
	for (sim.now = 0; sim.now < END_MS; sim.now++)
		step();
	for (i = 1; i <= sim.bad_parts; i++)
		printf("part %d deaths %d refused_after_ms %d late_runs %d\n",
		       i, sim.deaths[i],
		       sim.refused_at[i] ? sim.refused_at[i] - sim.bound_at[i]
					 : END_MS,
		       sim.late_runs[i]);
	printf("fleet bad_refused %d sound_ended %d sound_refused %d "
	       "wrongly_blamed %d messages_s %d bytes_s %d rows %d "
	       "sound_suspect %d\n",
	       sim.bad_refused, sim.sound_ended, sim.sound_refused,
	       count_wrong(), sim.messages_max, sim.bytes_max, sim.rows_max,
	       sim.sound_suspect);
	return 0;
}
