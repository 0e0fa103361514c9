#include <apr_general.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/random.h"
#include "calls/crash-table.h"

/*
 * test-crash ENTRIES UPSTREAMS SECONDS DELAY_MS SEED [naive|stagger]
 *
 * Callers repeat one request that crashes its upstream, through all entries at
 * once, beside other requests that finish.  Each entry and each gate has its
 * own list of crash suspects; a message between them takes DELAY_MS.  naive:
 * without lists, at any upstream.  stagger: the entries receive the request
 * one after another.  Prints which upstreams the request took down, and how
 * long the other requests waited.
 */

#define STEP_US 1000
#define NODES_MAX 64
#define CALLS_MAX 4096
#define MESSAGES_MAX 65536
#define CRASH_AFTER_US (20 * 1000)
#define OTHER_CALL_US (60 * 1000)
#define RESTART_US APR_USEC_PER_SEC
#define SEND_INTERVAL_US (20 * 1000)
#define CRASHING_INTERVAL_US (40 * 1000) /* crashing request, at each entry */
#define ENTRY_STAGGER_US (5 * 1000)
#define OTHER_INTERVAL_US (15 * 1000)
#define RETRY_INTERVAL_US (100 * 1000)

struct call {
	int is_used;
	int is_crashing;
	int entry;
	int upstream; /* index; -1: not running */
	apr_time_t first_sent_at;
	apr_time_t next_attempt_at;
	apr_time_t finishes_at;
	struct digest fp;
};

struct message {
	int to;
	apr_time_t at;
	struct crash_message body;
};

static struct {
	int entries, upstreams, has_no_lists, stagger_us;
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
	int deaths, refused_crashing, finished, serial;
	apr_interval_time_t longest_wait;
} sim;

static struct crash_list *gate_list(int upstream)
{
	return &sim.lists[sim.entries + upstream];
}

static void send_updates(int from, apr_time_t now)
{
	struct crash_message m;
	struct message *out;
	int to;

	if (!crash_collect_updates(&sim.lists[from], &m, 0, now)) {
		xdr_free((xdrproc_t)xdr_crash_message, &m);
		return;
	}
	for (to = 0; to < sim.entries + sim.upstreams; to++) {
		char *data;
		XDR x;
		u_int size = xdr_sizeof((xdrproc_t)xdr_crash_message, &m);

		if (to == from || sim.message_count == MESSAGES_MAX)
			continue;
		out = &sim.messages[sim.message_count++];
		memset(out, 0, sizeof(*out));
		out->to = to;
		out->at = now + sim.delay;
		data = malloc(size);
		xdrmem_create(&x, data, size, XDR_ENCODE);
		xdr_crash_message(&x, &m);
		xdrmem_create(&x, data, size, XDR_DECODE);
		xdr_crash_message(&x, &out->body);
		free(data);
	}
	xdr_free((xdrproc_t)xdr_crash_message, &m);
}

static void deliver_messages(apr_time_t now)
{
	struct message *m;

	while (sim.first_message < sim.message_count &&
	       sim.messages[sim.first_message].at <= now) {
		m = &sim.messages[sim.first_message++];
		crash_merge(&sim.lists[m->to], &m->body, now);
		xdr_free((xdrproc_t)xdr_crash_message, &m->body);
	}
}

/*
 * Stops the upstream: all its calls fail, and the entries and its gate record
 * the death.
 */
static void kill_upstream(int upstream, apr_time_t now)
{
	struct digest fps[CALLS_MAX];
	struct call *c;
	int count = 0;

	sim.deaths++;
	sim.taken_down[upstream] = 1;
	sim.down_until[upstream] = now + RESTART_US;
	for (c = sim.calls; c < sim.calls + CALLS_MAX; c++) {
		if (!c->is_used || c->upstream != upstream)
			continue;
		fps[count++] = c->fp;
		crash_end_run(gate_list(upstream), &c->fp, sim.names[upstream],
			      0, now);
		crash_record_death(&sim.lists[c->entry], sim.names[upstream],
				   sim.boot[upstream], &c->fp, 1, now);
		c->upstream = -1;
		c->next_attempt_at = now;
		if (c->is_crashing)
			c->is_used = 0; /* its caller sends it again */
	}
	crash_record_death(gate_list(upstream), sim.names[upstream],
			   sim.boot[upstream], fps, count, now);
	sim.boot[upstream]++;
}

static int start_at(struct call *c, int upstream, apr_time_t now)
{
	if (upstream < 0 || now < sim.down_until[upstream])
		return 0;
	if (!sim.has_no_lists &&
	    (!crash_is_allowed(&sim.lists[c->entry], &c->fp,
			       sim.names[upstream], now, NULL) ||
	     !crash_begin_run(gate_list(upstream), &c->fp, sim.names[upstream],
			      now, NULL)))
		return 0;
	c->upstream = upstream;
	c->finishes_at =
		now + (c->is_crashing ? CRASH_AFTER_US : OTHER_CALL_US);
	return 1;
}

static void try_call(struct call *c, apr_time_t now)
{
	int pair[2], first;

	if (!sim.has_no_lists &&
	    crash_is_quarantined(&sim.lists[c->entry], &c->fp, now, NULL)) {
		sim.refused_crashing += c->is_crashing;
		c->next_attempt_at = now + RETRY_INTERVAL_US;
		if (c->is_crashing)
			c->is_used = 0;
		return;
	}
	crash_choose_pair(&c->fp, sim.name_list, sim.upstreams, pair);
	if (sim.has_no_lists) {
		pair[0] = (int)random_below(&sim.random, sim.upstreams);
		pair[1] = (int)random_below(&sim.random, sim.upstreams);
	}
	first = (int)random_below(&sim.random, 2);
	if (start_at(c, pair[first], now) || start_at(c, pair[!first], now))
		return;
	c->next_attempt_at = now + RETRY_INTERVAL_US;
	if (c->is_crashing)
		c->is_used = 0;
}

static void add_call(int is_crashing, int entry, apr_time_t now)
{
	struct call *c = sim.calls;
	char body[32];

	while (c < sim.calls + CALLS_MAX && c->is_used)
		c++;
	if (c == sim.calls + CALLS_MAX)
		return;
	memset(c, 0, sizeof(*c));
	c->is_used = 1;
	c->is_crashing = is_crashing;
	c->entry = entry;
	c->upstream = -1;
	c->first_sent_at = now;
	snprintf(body, sizeof(body), "%d", is_crashing ? -1 : sim.serial++);
	crash_fingerprint("account", "/generate", body, strlen(body), &c->fp);
	try_call(c, now);
}

static void step_call(struct call *c, apr_time_t now)
{
	if (c->upstream < 0) {
		if (now >= c->next_attempt_at)
			try_call(c, now);
		return;
	}
	if (now < c->finishes_at)
		return;
	if (c->is_crashing) {
		kill_upstream(c->upstream, now);
		return;
	}
	crash_end_run(gate_list(c->upstream), &c->fp, sim.names[c->upstream], 1,
		      now);
	if (now - c->first_sent_at > sim.longest_wait)
		sim.longest_wait = now - c->first_sent_at;
	sim.finished++;
	c->is_used = 0;
}

static void step(apr_time_t now)
{
	struct call *c;
	int i;

	deliver_messages(now);
	for (c = sim.calls; c < sim.calls + CALLS_MAX; c++)
		if (c->is_used)
			step_call(c, now);
	for (i = 0; i < sim.entries; i++) {
		if ((now - i * sim.stagger_us) % CRASHING_INTERVAL_US == 0)
			add_call(1, i, now);
		if (now % OTHER_INTERVAL_US == 0)
			add_call(0, i, now);
	}
	for (i = 0; i < sim.entries + sim.upstreams; i++)
		if ((now + i * STEP_US) % SEND_INTERVAL_US == 0)
			send_updates(i, now);
}

int main(int argc, char **argv)
{
	apr_time_t now, start = 100 * APR_USEC_PER_SEC;
	int i, taken = 0;

	if (argc < 6)
		return 2;
	apr_initialize();
	sim.entries = atoi(argv[1]);
	sim.upstreams = atoi(argv[2]);
	sim.delay = atoi(argv[4]) * 1000;
	sim.has_no_lists = argc > 6 && !strcmp(argv[6], "naive");
	sim.stagger_us = argc > 6 && !sim.has_no_lists ? ENTRY_STAGGER_US : 0;
	random_seed(&sim.random, strtoull(argv[5], NULL, 10));
	for (i = 0; i < sim.entries + sim.upstreams; i++)
		crash_init(&sim.lists[i]);
	for (i = 0; i < sim.upstreams; i++) {
		snprintf(sim.names[i], sizeof(sim.names[i]), "engine-%d", i);
		sim.name_list[i] = sim.names[i];
		sim.boot[i] = 1000 * (i + 1);
	}
	for (now = start; now < start + atoi(argv[3]) * APR_USEC_PER_SEC;
	     now += STEP_US)
		step(now);
	/* Calls that still wait are counted too. */
	for (i = 0; i < CALLS_MAX; i++)
		if (sim.calls[i].is_used && !sim.calls[i].is_crashing &&
		    now - sim.calls[i].first_sent_at > sim.longest_wait)
			sim.longest_wait = now - sim.calls[i].first_sent_at;
	for (i = 0; i < sim.upstreams; i++)
		taken += sim.taken_down[i];
	printf("upstreams_taken_down %d deaths %d guilty_refused %d "
	       "others_ended %d others_longest_ms %d\n",
	       taken, sim.deaths, sim.refused_crashing, sim.finished,
	       (int)(sim.longest_wait / 1000));
	for (i = 0; i < sim.entries + sim.upstreams; i++)
		crash_destroy(&sim.lists[i]);
	while (sim.first_message < sim.message_count)
		xdr_free((xdrproc_t)xdr_crash_message,
			 &sim.messages[sim.first_message++].body);
	return 0;
}
