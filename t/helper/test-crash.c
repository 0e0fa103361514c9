#include <apr_general.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/random.h"
#include "calls/crash-table.h"

/*
 * test-crash ENTRIES UPSTREAMS SECONDS DELAY_MS SEED [naive|stagger]
 *
 * Callers repeat one request that crashes what runs it through all entries
 * at once, beside others that end well.  Each entry and each gate has its
 * list; what they tell each other takes DELAY_MS.  naive: no lists, any
 * upstream.  stagger: the entries get the request one after another.  Prints what the crashing request took down and how the others
 * fared.
 */

#define STEP_US 1000
#define NODES_MAX 64
#define CALLS_MAX 4096
#define MESSAGES_MAX 65536
#define CRASH_AFTER_US (20 * 1000)
#define INNOCENT_US (60 * 1000)
#define RESTART_US APR_USEC_PER_SEC
#define TELL_US (20 * 1000)
#define REPEAT_US (40 * 1000) /* the crashing one, at each entry */
#define STAGGER_US (5 * 1000)
#define INNOCENT_EVERY_US (15 * 1000)
#define RETRY_US (100 * 1000)

struct call {
	int used;
	int guilty;
	int entry;
	int upstream; /* where it runs, -1: not running */
	apr_time_t first;
	apr_time_t next_try;
	apr_time_t ends;
	struct digest fp;
};

struct message {
	int to;
	apr_time_t at;
	struct crash_message body;
};

static struct {
	int entries, upstreams, naive, stagger;
	apr_interval_time_t delay;
	struct random random;
	struct crash_list lists[NODES_MAX]; /* entries, then gates */
	char names[NODES_MAX][64];
	const char *name_list[NODES_MAX];
	uint64_t boot[NODES_MAX];
	apr_time_t down_until[NODES_MAX];
	int taken_down[NODES_MAX];
	struct call calls[CALLS_MAX];
	struct message messages[MESSAGES_MAX];
	int first_message, message_count;
	int deaths, refused_guilty, ended, serial;
	apr_interval_time_t longest;
} w;

static struct crash_list *gate(int upstream)
{
	return &w.lists[w.entries + upstream];
}

static void tell(int from, apr_time_t now)
{
	struct crash_message m;
	struct message *out;
	int to;

	if (!crash_collect_updates(&w.lists[from], &m, 0, now)) {
		xdr_free((xdrproc_t)xdr_crash_message, &m);
		return;
	}
	for (to = 0; to < w.entries + w.upstreams; to++) {
		char *data;
		XDR x;
		u_int size = xdr_sizeof((xdrproc_t)xdr_crash_message, &m);

		if (to == from || w.message_count == MESSAGES_MAX)
			continue;
		out = &w.messages[w.message_count++];
		memset(out, 0, sizeof(*out));
		out->to = to;
		out->at = now + w.delay;
		data = malloc(size);
		xdrmem_create(&x, data, size, XDR_ENCODE);
		xdr_crash_message(&x, &m);
		xdrmem_create(&x, data, size, XDR_DECODE);
		xdr_crash_message(&x, &out->body);
		free(data);
	}
	xdr_free((xdrproc_t)xdr_crash_message, &m);
}

static void deliver(apr_time_t now)
{
	struct message *m;

	while (w.first_message < w.message_count &&
	       w.messages[w.first_message].at <= now) {
		m = &w.messages[w.first_message++];
		crash_merge(&w.lists[m->to], &m->body, now);
		xdr_free((xdrproc_t)xdr_crash_message, &m->body);
	}
}

/* The upstream dies: all calls in it are cut, and both ends note it. */
static void upstream_die(int upstream, apr_time_t now)
{
	struct digest fps[CALLS_MAX];
	struct call *c;
	int count = 0;

	w.deaths++;
	w.taken_down[upstream] = 1;
	w.down_until[upstream] = now + RESTART_US;
	for (c = w.calls; c < w.calls + CALLS_MAX; c++) {
		if (!c->used || c->upstream != upstream)
			continue;
		fps[count++] = c->fp;
		crash_end_run(gate(upstream), &c->fp, w.names[upstream], 0,
			      now);
		crash_record_death(&w.lists[c->entry], w.names[upstream],
				   w.boot[upstream], &c->fp, 1, now);
		c->upstream = -1;
		c->next_try = now;
		if (c->guilty)
			c->used = 0; /* its caller repeats it anyhow */
	}
	crash_record_death(gate(upstream), w.names[upstream], w.boot[upstream],
			   fps, count, now);
	w.boot[upstream]++;
}

static int run_at(struct call *c, int upstream, apr_time_t now)
{
	if (upstream < 0 || now < w.down_until[upstream])
		return 0;
	if (!w.naive && (!crash_is_allowed(&w.lists[c->entry], &c->fp,
					   w.names[upstream], now, NULL) ||
			 !crash_begin_run(gate(upstream), &c->fp,
					  w.names[upstream], now, NULL)))
		return 0;
	c->upstream = upstream;
	c->ends = now + (c->guilty ? CRASH_AFTER_US : INNOCENT_US);
	return 1;
}

static void call_try(struct call *c, apr_time_t now)
{
	int pair[2], first;

	if (!w.naive &&
	    crash_is_quarantined(&w.lists[c->entry], &c->fp, now, NULL)) {
		w.refused_guilty += c->guilty;
		c->next_try = now + RETRY_US;
		if (c->guilty)
			c->used = 0;
		return;
	}
	crash_choose_pair(&c->fp, w.name_list, w.upstreams, pair);
	if (w.naive) {
		pair[0] = (int)random_below(&w.random, w.upstreams);
		pair[1] = (int)random_below(&w.random, w.upstreams);
	}
	first = (int)random_below(&w.random, 2);
	if (run_at(c, pair[first], now) || run_at(c, pair[!first], now))
		return;
	c->next_try = now + RETRY_US;
	if (c->guilty)
		c->used = 0;
}

static void call_new(int guilty, int entry, apr_time_t now)
{
	struct call *c = w.calls;
	char body[32];

	while (c < w.calls + CALLS_MAX && c->used)
		c++;
	if (c == w.calls + CALLS_MAX)
		return;
	memset(c, 0, sizeof(*c));
	c->used = 1;
	c->guilty = guilty;
	c->entry = entry;
	c->upstream = -1;
	c->first = now;
	snprintf(body, sizeof(body), "%d", guilty ? -1 : w.serial++);
	crash_fingerprint("account", "/generate", body, strlen(body), &c->fp);
	call_try(c, now);
}

static void call_step(struct call *c, apr_time_t now)
{
	if (c->upstream < 0) {
		if (now >= c->next_try)
			call_try(c, now);
		return;
	}
	if (now < c->ends)
		return;
	if (c->guilty) {
		upstream_die(c->upstream, now);
		return;
	}
	crash_end_run(gate(c->upstream), &c->fp, w.names[c->upstream], 1, now);
	if (now - c->first > w.longest)
		w.longest = now - c->first;
	w.ended++;
	c->used = 0;
}

static void step(apr_time_t now)
{
	struct call *c;
	int i;

	deliver(now);
	for (c = w.calls; c < w.calls + CALLS_MAX; c++)
		if (c->used)
			call_step(c, now);
	for (i = 0; i < w.entries; i++) {
		if ((now - i * w.stagger) % REPEAT_US == 0)
			call_new(1, i, now);
		if (now % INNOCENT_EVERY_US == 0)
			call_new(0, i, now);
	}
	for (i = 0; i < w.entries + w.upstreams; i++)
		if ((now + i * STEP_US) % TELL_US == 0)
			tell(i, now);
}

int main(int argc, char **argv)
{
	apr_time_t now, start = 100 * APR_USEC_PER_SEC;
	int i, taken = 0;

	if (argc < 6)
		return 2;
	apr_initialize();
	w.entries = atoi(argv[1]);
	w.upstreams = atoi(argv[2]);
	w.delay = atoi(argv[4]) * 1000;
	w.naive = argc > 6 && !strcmp(argv[6], "naive");
	w.stagger = argc > 6 && !w.naive ? STAGGER_US : 0;
	random_seed(&w.random, strtoull(argv[5], NULL, 10));
	for (i = 0; i < w.entries + w.upstreams; i++)
		crash_init(&w.lists[i]);
	for (i = 0; i < w.upstreams; i++) {
		snprintf(w.names[i], sizeof(w.names[i]), "engine-%d", i);
		w.name_list[i] = w.names[i];
		w.boot[i] = 1000 * (i + 1);
	}
	for (now = start; now < start + atoi(argv[3]) * APR_USEC_PER_SEC;
	     now += STEP_US)
		step(now);
	/* Those that still wait count as well. */
	for (i = 0; i < CALLS_MAX; i++)
		if (w.calls[i].used && !w.calls[i].guilty &&
		    now - w.calls[i].first > w.longest)
			w.longest = now - w.calls[i].first;
	for (i = 0; i < w.upstreams; i++)
		taken += w.taken_down[i];
	printf("upstreams_taken_down %d deaths %d guilty_refused %d "
	       "others_ended %d others_longest_ms %d\n",
	       taken, w.deaths, w.refused_guilty, w.ended,
	       (int)(w.longest / 1000));
	for (i = 0; i < w.entries + w.upstreams; i++)
		crash_destroy(&w.lists[i]);
	while (w.first_message < w.message_count)
		xdr_free((xdrproc_t)xdr_crash_message,
			 &w.messages[w.first_message++].body);
	return 0;
}
