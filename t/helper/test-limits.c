#include <apr_general.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "t/helper/lib-limit-sim.h"

/*
 * test-limits <SCRIPT: simulates several limiters with one script.
 *
 *	entries N SEED
 *	delay MS JITTER_MS
 *	list_lag SECONDS
 *	fleet RPS CONCURRENT CUT_OFF
 *	pool SLOTS
 *	account NAME SHARE RPS CONCURRENT CUT_OFF
 *	offer ACCOUNT FIRST LAST RPS TOKENS HOLD_MS DEADLINE_MS
 *	until SECONDS		runs until a time, counted from the start
 *	stop ACCOUNT		stops its offers
 *	die N			stops an entry
 *	start N			starts an entry
 *	pause N, wake N		pauses and resumes an entry
 *	cut FIRST LAST		partitions these entries from all others
 *	heal			ends all partitions
 *	blind N 0|1		1: entry N receives no list of entries
 *	skew N SECONDS		sets its clock offset, before the first step
 *	trace 0|1		prints each decision
 *	report			prints rates since the last report
 *	total			the same, added up over the accounts
 *	slices			maximum that all entries could use of a limit
 *	claims			claimed demand and slices of all entries
 *	clear			resets the counters
 */

struct command {
	const char *name;
	void (*run)(struct sim *s, char **arg);
	int args;
};

static void do_entries(struct sim *s, char **arg)
{
	sim_init(s, atoi(arg[0]), strtoull(arg[1], NULL, 10));
}

static void do_delay(struct sim *s, char **arg)
{
	s->delay = atoi(arg[0]) * 1000;
	s->jitter = atoi(arg[1]) * 1000;
}

static void do_list_lag(struct sim *s, char **arg)
{
	s->list_lag = (apr_time_t)(atof(arg[0]) * APR_USEC_PER_SEC);
}

static void read_limit(struct limit_spec *l, char **arg)
{
	l->requests_per_second = atof(arg[0]);
	l->concurrent = atoi(arg[1]);
	l->partitioned_share = atof(arg[2]);
}

static void do_fleet(struct sim *s, char **arg)
{
	read_limit(&s->document.fleet.budget, arg);
	s->document.revision++;
}

static void do_pool(struct sim *s, char **arg)
{
	s->slots = atoi(arg[0]);
}

static void do_account(struct sim *s, char **arg)
{
	struct account_spec *spec =
		&s->document.accounts[sim_account(s, arg[0])];

	spec->share = atof(arg[1]);
	read_limit(&spec->limit, arg + 2);
	s->document.revision++;
}

static void do_offer(struct sim *s, char **arg)
{
	struct sim_offer *o = &s->offers[s->offer_count];

	o->account = sim_account(s, arg[0]);
	o->first = atoi(arg[1]);
	o->last = atoi(arg[2]);
	o->rate = atof(arg[3]);
	o->tokens = atoi(arg[4]);
	o->hold_ms = atoi(arg[5]);
	o->deadline_ms = atoi(arg[6]);
	sim_offer_start(s, s->offer_count++);
}

static void do_stop(struct sim *s, char **arg)
{
	int i, account = sim_account(s, arg[0]);

	for (i = 0; i < s->offer_count; i++)
		if (s->offers[i].account == account)
			s->offers[i].is_active = 0;
}

static void do_until(struct sim *s, char **arg)
{
	sim_run(s, (apr_time_t)((1000 + atof(arg[0])) * APR_USEC_PER_SEC));
}

static void do_die(struct sim *s, char **arg)
{
	sim_entry_stop(s, atoi(arg[0]) - 1);
}

static void do_start(struct sim *s, char **arg)
{
	sim_entry_start(s, atoi(arg[0]) - 1);
}

static void do_pause(struct sim *s, char **arg)
{
	s->entries[atoi(arg[0]) - 1].is_paused = 1;
}

/* With 1, the entry does not receive the platform's list until a later 0. */
static void do_blind(struct sim *s, char **arg)
{
	s->entries[atoi(arg[0]) - 1].blind = atoi(arg[1]);
}

static void do_wake(struct sim *s, char **arg)
{
	sim_entry_resume(s, atoi(arg[0]) - 1);
}

static void do_skew(struct sim *s, char **arg)
{
	s->entries[atoi(arg[0]) - 1].clock_offset =
		(apr_interval_time_t)(atof(arg[1]) * APR_USEC_PER_SEC);
}

static void do_trace(struct sim *s, char **arg)
{
	s->trace = atoi(arg[0]);
}

static void do_cut(struct sim *s, char **arg)
{
	static int side;
	int i;

	side++;
	for (i = atoi(arg[0]) - 1; i < atoi(arg[1]); i++)
		s->entries[i].partition = side;
}

static void do_heal(struct sim *s, char **arg)
{
	int i;

	for (i = 0; i < s->entry_count; i++)
		s->entries[i].partition = 0;
}

static int latency_quantile(const struct sim_account *a, double quantile)
{
	long all = 0, seen = 0;
	int i;

	for (i = 0; i < SIM_LATENCY_MAX; i++)
		all += a->latency[i];
	for (i = 0; i < SIM_LATENCY_MAX; i++) {
		seen += a->latency[i];
		if (all && seen >= quantile * all)
			break;
	}
	return all ? i : 0;
}

static void clear_account(struct sim_account *a)
{
	a->offered = a->admitted = a->limited = a->overloaded = 0;
	a->finished = a->naive_admitted = a->refused_late = 0;
	memset(a->latency, 0, sizeof(a->latency));
}

static void do_clear(struct sim *s, char **arg)
{
	int i;

	for (i = 0; i < s->document.account_count; i++)
		clear_account(&s->accounts[i]);
	for (i = 0; i < s->entry_count; i++)
		s->entries[i].bytes = s->entries[i].bytes_peak = 0;
	s->slices_peak = 0;
	s->stats_since = s->now;
}

static void do_report(struct sim *s, char **arg)
{
	double span = (double)(s->now - s->stats_since) / APR_USEC_PER_SEC;
	struct sim_account *a;
	int i;

	for (i = 0; i < s->document.account_count; i++) {
		a = &s->accounts[i];
		printf("%.1f %s offered %.1f admitted %.1f due %.1f "
		       "limited %.1f overloaded %.1f finished %.1f p99 %d late %d\n",
		       (double)s->now / APR_USEC_PER_SEC - 1000, a->name,
		       a->offered / span, a->admitted / span,
		       a->naive_admitted / span, a->limited / span,
		       a->overloaded / span, a->finished / span,
		       latency_quantile(a, 0.99), a->refused_late);
	}
	do_clear(s, arg);
}

static void do_total(struct sim *s, char **arg)
{
	double span = (double)(s->now - s->stats_since) / APR_USEC_PER_SEC;
	int i, offered = 0, admitted = 0, finished = 0, peak = 0;
	long long bytes = 0;

	for (i = 0; i < s->document.account_count; i++) {
		offered += s->accounts[i].offered;
		admitted += s->accounts[i].admitted;
		finished += s->accounts[i].finished;
	}
	for (i = 0; i < s->entry_count; i++) {
		if (s->entries[i].bytes > bytes)
			bytes = s->entries[i].bytes;
		if (s->entries[i].bytes_peak > peak)
			peak = s->entries[i].bytes_peak;
	}
	printf("%.1f total offered %.1f admitted %.1f finished %.1f "
	       "bytes_per_second %.0f bytes_peak %d\n",
	       (double)s->now / APR_USEC_PER_SEC - 1000, offered / span,
	       admitted / span, finished / span, (double)bytes / span, peak);
}

static void do_slices(struct sim *s, char **arg)
{
	printf("%.1f slices %.4f\n", (double)s->now / APR_USEC_PER_SEC - 1000,
	       s->slices_peak);
	s->slices_peak = 0;
}

/*
 * Prints the sums of all entries' claimed demands, counted own demands and
 * slices.
 */
static void do_claims(struct sim *s, char **arg)
{
	struct limit_account *a;
	struct limit_core *c;
	double claimed, own, slices;
	struct handle h;
	int i, k;

	for (k = 0; k < s->document.account_count; k++) {
		claimed = own = slices = 0;
		for (i = 0; i < s->entry_count; i++) {
			c = &s->entries[i].core;
			h = HANDLE_NONE;
			while (s->entries[i].is_running &&
			       (a = table_next(&c->accounts, &h))) {
				if (strcmp(a->name, s->accounts[k].name))
					continue;
				claimed += a->demand[0].claimed;
				own += limit_peers_own_demand(&c->peers,
							      a->demand_key, 0);
				slices += a->request_bucket.rate;
			}
		}
		printf("%s claimed %.1f own %.1f slices %.1f\n",
		       s->accounts[k].name, claimed, own, slices);
	}
}

static const struct command commands[] = {
	{ "entries", do_entries, 2 },	{ "delay", do_delay, 2 },
	{ "list_lag", do_list_lag, 1 }, { "fleet", do_fleet, 3 },
	{ "pool", do_pool, 1 },		{ "account", do_account, 5 },
	{ "offer", do_offer, 7 },	{ "stop", do_stop, 1 },
	{ "until", do_until, 1 },	{ "die", do_die, 1 },
	{ "start", do_start, 1 },	{ "pause", do_pause, 1 },
	{ "wake", do_wake, 1 },		{ "cut", do_cut, 2 },
	{ "heal", do_heal, 0 },		{ "report", do_report, 0 },
	{ "total", do_total, 0 },	{ "slices", do_slices, 0 },
	{ "clear", do_clear, 0 },	{ "claims", do_claims, 0 },
	{ "blind", do_blind, 2 },	{ "skew", do_skew, 2 },
	{ "trace", do_trace, 1 },
};

static int run_line(struct sim *s, char *line)
{
	char *word[10] = { NULL };
	size_t i;
	int count = 0;

	line[strcspn(line, "#\n")] = 0;
	for (word[0] = strtok(line, " \t"); word[count] && count < 8;)
		word[++count] = strtok(NULL, " \t");
	if (!count)
		return 0;
	for (i = 0; i < sizeof(commands) / sizeof(commands[0]); i++)
		if (!strcmp(commands[i].name, word[0]) &&
		    commands[i].args == count - 1) {
			commands[i].run(s, word + 1);
			return 0;
		}
	fprintf(stderr,
		"test-limits: unknown command or wrong number of "
		"arguments: %s\n",
		word[0]);
	return -1;
}

int main(void)
{
	static struct sim s;
	char line[256];
	int ret = 0;

	apr_initialize();
	log_init("test-limits", "sim", LOG_SEV_ERROR);
	while (!ret && fgets(line, sizeof(line), stdin))
		ret = run_line(&s, line);
	sim_destroy(&s);
	return ret ? 1 : 0;
}
