#include <apr_general.h>
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/random.h"
#include "config/spread.h"

/*
 * Runs the spread of one new document over a fleet without network, in simulated
 * time, while members are lost in one step of it.
 */

#define MS ((apr_time_t)1000)
#define STEP (5 * MS)

/* The time within which a change is in force: the least of all deployments. */
#define IN_FORCE_MS 2000

#define DATA_CENTERS 4
#define MEMBERS_MAX 260
#define OPERATIONS_MAX 16384

#define PUBLISHED_AT (5000 * MS)
#define ROUND_TRIP (6 * MS)
#define STORE_ANSWER (300 * MS) /* of a slow store */
#define TRANSFER (30 * MS)	/* of a text */
#define CHECK (20 * MS)
#define STALL_AFTER (20 * MS) /* from the new version until the stall */

#define OLD_VERSION 1
#define NEW_VERSION 2

enum loss {
	LOSS_NONE,
	LOSS_SOURCES,	 /* members offer the new version and answer no more */
	LOSS_PEERS,	 /* every fourth member is paused before the change */
	LOSS_WATCHERS,	 /* all watchers of one data centre are gone */
	LOSS_DELTAS,	 /* the first text that each member gets is unusable */
	LOSS_READS,	 /* the platform doesn't answer the watchers any more */
	LOSS_MORE_READS, /* nor the processes that they ask first */
	LOSS_FROZEN,	 /* all watchers stand still, membership unchanged */
	LOSS_MORE_FROZEN, /* their first substitutes as well, 1.2 s before */
	LOSS_BUT_ONE	  /* all entries but one of each data centre do */
};

#define FROZEN_EARLIER (1200 * MS)
#define HEARTBEAT_PERIOD (200 * MS)

/* Timeout of a watch beyond its hold. */
#define WATCH_TIMEOUT (1500 * MS)

/* Threads that run the exchanges of a process. */
enum pool { POOL_NOTICES, POOL_TEXTS, POOL_COUNT };

static const int thread_counts[POOL_COUNT] = { SPREAD_NOTICE_THREADS,
					       SPREAD_TEXT_THREADS };

struct process {
	struct spread spread;
	struct random random;
	int can_stall;
	int is_gone;
	int is_cut; /* from the platform, from cut_at on, without notice */
	apr_time_t frozen_at; /* 0: never */
	apr_time_t next_heartbeat_at;
	int unusable_texts; /* that this process has got */
	apr_time_t applied_at;
	int busy_threads[POOL_COUNT];
};

struct operation {
	int from; /* process, -1: unused */
	int to;	  /* process; not of a watch */
	struct spread_action action;
	apr_time_t started_at;
	apr_time_t due_at;
	int is_queued; /* until a thread is free */
	int was_answered;
};

struct fleet {
	enum loss loss;
	apr_time_t cut_at; /* of LOSS_READS */
	int count;
	struct process processes[MEMBERS_MAX];
	struct overlay_member members[MEMBERS_MAX];
	struct operation operations[OPERATIONS_MAX];
};

static int is_silent(const struct process *p, apr_time_t now)
{
	return p->is_gone || (p->frozen_at && now >= p->frozen_at) ||
	       (p->can_stall && p->applied_at &&
		now >= p->applied_at + STALL_AFTER);
}

static void apply_version(struct process *p, uint64_t version, apr_time_t now)
{
	struct digest digest;

	memset(&digest, (int)version, sizeof(digest));
	if (version > p->spread.values[SPREAD_DOCUMENT].version &&
	    version == NEW_VERSION)
		p->applied_at = now;
	spread_record_applied(&p->spread, SPREAD_DOCUMENT, version, &digest,
			      now);
}

static int find_process(const struct fleet *f, const char *address)
{
	int i;

	for (i = 0; i < f->count; i++)
		if (!strcmp(f->members[i].address, address))
			return i;
	ck_abort_msg("no member at %s", address);
	return -1;
}

static void make_members(struct fleet *f)
{
	int i;

	for (i = 0; i < f->count; i++) {
		struct overlay_member *m = &f->members[i];

		snprintf(m->id, sizeof(m->id), "member-%d", i);
		snprintf(m->data_center, sizeof(m->data_center), "dc%d",
			 i % DATA_CENTERS);
		snprintf(m->address, sizeof(m->address), "10.0.%d.%d", i / 250,
			 1 + i % 250);
		m->is_entry = i / DATA_CENTERS % 3 == 0;
		overlay_compute_scores(m);
	}
}

static void start_process(struct fleet *f, int i)
{
	struct overlay_member *copy = calloc((size_t)f->count, sizeof(*copy));
	struct process *p = &f->processes[i];
	struct overlay_member self = f->members[i];
	int j;

	memcpy(copy, f->members, (size_t)f->count * sizeof(*copy));
	random_seed(&p->random, (uint64_t)i + 17);
	spread_init(&p->spread, self.address, 0);
	p->spread.watch_hold_ms = SPREAD_WATCH_HOLD_SHORT_MS;
	spread_set_members(&p->spread, copy, f->count, &self, &p->random);
	p->spread.start_count = 0;
	for (j = 0; j < SPREAD_VALUE_COUNT; j++)
		p->spread.values[j].watches_finished = 1;
	apply_version(p, OLD_VERSION, 0);
	p->can_stall = f->loss == LOSS_SOURCES &&
		       (!p->spread.overlay.watch_rank || i % 8 == 0);
	p->is_cut = p->spread.overlay.watch_rank <
		    (f->loss == LOSS_READS	  ? OVERLAY_WATCHERS
		     : f->loss == LOSS_MORE_READS ? OVERLAY_WATCHERS + 2
						  : 0);
	p->is_gone = (f->loss == LOSS_WATCHERS &&
		      p->spread.overlay.watch_rank < OVERLAY_WATCHERS &&
		      !strcmp(self.data_center, "dc1")) ||
		     (f->loss == LOSS_PEERS && i / DATA_CENTERS % 4 == 3);
}

static void fleet_init(struct fleet *f, int count, enum loss loss)
{
	int i;

	memset(f, 0, sizeof(*f));
	f->loss = loss;
	f->count = count;
	for (i = 0; i < OPERATIONS_MAX; i++)
		f->operations[i].from = -1;
	make_members(f);
	for (i = 0; i < count; i++)
		start_process(f, i);
}

static void fleet_destroy(struct fleet *f)
{
	int i;

	for (i = 0; i < f->count; i++)
		spread_destroy(&f->processes[i].spread);
}

/* The peer learns the sender's versions, and answers unless it is silent. */
static void send_exchange(struct fleet *f, struct operation *o, apr_time_t now)
{
	struct spread_version versions[SPREAD_VALUE_COUNT];
	struct process *from = &f->processes[o->from];
	struct process *to;
	int is_pull = o->action.wanted_value >= 0;

	o->to = find_process(f, o->action.address);
	to = &f->processes[o->to];
	o->due_at = now + o->action.timeout_ms * MS;
	if (is_silent(to, now))
		return;
	if (o->action.asks_read)
		spread_record_asked(&to->spread, now);
	spread_get_versions(&from->spread, versions, now);
	spread_merge_versions(&to->spread, from->spread.self_address, versions,
			      SPREAD_VALUE_COUNT, now);
	if (is_silent(to, now + ROUND_TRIP + (is_pull ? TRANSFER : 0)))
		return;
	o->due_at = now + ROUND_TRIP + (is_pull ? TRANSFER + CHECK : 0);
	o->was_answered = 1;
}

static void send_watch(struct operation *o, apr_time_t now)
{
	apr_time_t hold = o->action.hold_ms * MS;
	apr_time_t from = now > PUBLISHED_AT ? now : PUBLISHED_AT;

	o->was_answered = 1;
	o->due_at = now + hold;
	if (o->action.value == SPREAD_DOCUMENT &&
	    o->action.after_version < NEW_VERSION && from <= now + hold)
		o->due_at = from + STORE_ANSWER + CHECK;
}

static enum pool find_pool(const struct spread_action *a)
{
	return a->wanted_value < 0 ? POOL_NOTICES : POOL_TEXTS;
}

/* Runs an exchange when a thread is free. */
static void run_exchange(struct fleet *f, struct operation *o, apr_time_t now)
{
	enum pool pool = find_pool(&o->action);
	int *busy = &f->processes[o->from].busy_threads[pool];

	o->is_queued = *busy == thread_counts[pool];
	if (o->is_queued)
		return;
	++*busy;
	send_exchange(f, o, now);
}

/* The order of the queue does not matter here. */
static void run_queued(struct fleet *f, int from, apr_time_t now)
{
	int i;

	for (i = 0; i < OPERATIONS_MAX; i++)
		if (f->operations[i].from == from && f->operations[i].is_queued)
			run_exchange(f, &f->operations[i], now);
}

static void start_operation(struct fleet *f, int from,
			    const struct spread_action *a, apr_time_t now)
{
	int i = 0;

	while (i < OPERATIONS_MAX && f->operations[i].from >= 0)
		i++;
	ck_assert_int_lt(i, OPERATIONS_MAX);
	memset(&f->operations[i], 0, sizeof(f->operations[i]));
	f->operations[i].from = from;
	f->operations[i].action = *a;
	f->operations[i].started_at = now;
	if (a->kind == SPREAD_WATCH)
		send_watch(&f->operations[i], now);
	else
		run_exchange(f, &f->operations[i], now);
}

/*
 * Returns 1 if the answer to a watch does not come, as the process has been cut
 * off from the platform; the watch ends with its timeout.
 */
static int is_answer_lost(const struct fleet *f, struct operation *o,
			  apr_time_t now)
{
	if (!f->processes[o->from].is_cut || now < f->cut_at ||
	    !o->was_answered)
		return 0;
	o->was_answered = 0;
	o->due_at = o->started_at + o->action.hold_ms * MS + WATCH_TIMEOUT;
	return 1;
}

static void send_heartbeats(struct fleet *f, int from, apr_time_t now)
{
	struct process *p = &f->processes[from];
	int is_watcher = p->spread.overlay.watch_rank < OVERLAY_WATCHERS;
	int i;

	if (now < p->next_heartbeat_at || !spread_is_reading(&p->spread, now))
		return;
	p->next_heartbeat_at = now + HEARTBEAT_PERIOD;
	for (i = 0; i < f->count; i++)
		if (i != from && f->members[i].is_entry &&
		    !strcmp(f->members[i].data_center,
			    f->members[from].data_center))
			spread_record_heartbeat(&f->processes[i].spread,
						is_watcher, now);
}

static void finish_watch(struct process *p, const struct operation *o,
			 apr_time_t now)
{
	int is_new = o->was_answered && o->action.value == SPREAD_DOCUMENT &&
		     now >= PUBLISHED_AT + STORE_ANSWER &&
		     p->spread.values[SPREAD_DOCUMENT].version < NEW_VERSION;

	if (is_new)
		apply_version(p, NEW_VERSION, now);
	spread_finish_watch(&p->spread, o->action.value, o->was_answered,
			    is_new, o->started_at, now, &p->random);
}

static int is_text_usable(struct fleet *f, struct process *p)
{
	return f->loss != LOSS_DELTAS || p->unusable_texts++;
}

static void finish_exchange(struct fleet *f, const struct operation *o,
			    apr_time_t now)
{
	struct spread_version versions[SPREAD_VALUE_COUNT];
	struct process *p = &f->processes[o->from];
	struct process *to = &f->processes[o->to];

	if (o->was_answered) {
		spread_get_versions(&to->spread, versions, now);
		if (o->action.wanted_value == SPREAD_DOCUMENT &&
		    is_text_usable(f, p))
			apply_version(p, versions[SPREAD_DOCUMENT].version,
				      now);
	}
	spread_finish_exchange(&p->spread, &o->action, o->was_answered, now);
	if (o->was_answered)
		spread_merge_versions(&p->spread, o->action.address, versions,
				      SPREAD_VALUE_COUNT, now);
}

static void finish_due_operations(struct fleet *f, apr_time_t now)
{
	int i;

	for (i = 0; i < OPERATIONS_MAX; i++) {
		struct operation o = f->operations[i];

		if (o.from < 0 || o.is_queued || o.due_at > now)
			continue;
		if (f->processes[o.from].frozen_at &&
		    now >= f->processes[o.from].frozen_at)
			continue;
		if (o.action.kind == SPREAD_WATCH &&
		    is_answer_lost(f, &f->operations[i], now))
			continue;
		f->operations[i].from = -1;
		if (o.action.kind == SPREAD_WATCH) {
			finish_watch(&f->processes[o.from], &o, now);
			continue;
		}
		f->processes[o.from].busy_threads[find_pool(&o.action)]--;
		finish_exchange(f, &o, now);
		run_queued(f, o.from, now);
	}
}

static void step_processes(struct fleet *f, apr_time_t now)
{
	struct spread_actions actions;
	int i, j;

	for (i = 0; i < f->count; i++) {
		struct process *p = &f->processes[i];

		if (is_silent(p, now))
			continue;
		send_heartbeats(f, i, now);
		spread_decide(&p->spread, now, &p->random, &actions);
		for (j = 0; j < actions.count; j++)
			start_operation(f, i, &actions.list[j], now);
	}
}

/* Sets when each process stands still: the watchers and more, from cut_at on. */
static void freeze(struct fleet *f)
{
	int i, rank;

	for (i = 0; i < f->count; i++) {
		struct process *p = &f->processes[i];

		rank = p->spread.overlay.watch_rank;
		if (f->loss == LOSS_BUT_ONE) {
			if (f->members[i].is_entry &&
			    i + 3 * DATA_CENTERS < f->count)
				p->frozen_at = f->cut_at;
		} else if (f->loss == LOSS_MORE_FROZEN) {
			if (rank < OVERLAY_WATCHERS)
				p->frozen_at = f->cut_at - FROZEN_EARLIER;
			else if (rank < OVERLAY_WATCHERS + 3)
				p->frozen_at = f->cut_at;
		} else if (f->loss == LOSS_FROZEN && rank < OVERLAY_WATCHERS) {
			p->frozen_at = f->cut_at;
		}
	}
}

/* Returns the ms until the new version was in force on the last process. */
static int measure_spread(int count, enum loss loss, apr_time_t cut_at)
{
	struct fleet *f = malloc(sizeof(*f));
	apr_time_t now, last = 0;
	int i;

	fleet_init(f, count, loss);
	f->cut_at = cut_at;
	freeze(f);
	for (now = STEP; now < PUBLISHED_AT + 8000 * MS; now += STEP) {
		finish_due_operations(f, now);
		step_processes(f, now);
	}
	for (i = 0; i < count; i++) {
		const struct process *p = &f->processes[i];

		if (p->is_gone || p->frozen_at)
			continue;
		ck_assert(p->applied_at);
		if (p->applied_at > last)
			last = p->applied_at;
	}
	fleet_destroy(f);
	free(f);
	return (int)((last - PUBLISHED_AT) / MS);
}

static const int counts[] = { 33, 98, 260 };

/* Guards against a change that is in force late on some process. */
START_TEST(change_is_in_force_in_time)
{
	ck_assert_int_le(measure_spread(counts[_i], LOSS_NONE, 0), IN_FORCE_MS);
}
END_TEST

/* Guards against a process that waits for one source which has fallen silent. */
START_TEST(change_is_in_force_in_time_though_sources_fall_silent)
{
	ck_assert_int_le(measure_spread(counts[_i], LOSS_SOURCES, 0),
			 IN_FORCE_MS);
}
END_TEST

/* Guards against threads that are all taken by peers which do not answer. */
START_TEST(change_is_in_force_in_time_though_peers_are_paused)
{
	ck_assert_int_le(measure_spread(counts[_i], LOSS_PEERS, 0),
			 IN_FORCE_MS);
}
END_TEST

START_TEST(change_is_in_force_in_time_without_the_watchers_of_a_data_center)
{
	ck_assert_int_le(measure_spread(counts[_i], LOSS_WATCHERS, 0),
			 IN_FORCE_MS);
}
END_TEST

START_TEST(change_is_in_force_in_time_though_deltas_fail)
{
	ck_assert_int_le(measure_spread(counts[_i], LOSS_DELTAS, 0),
			 IN_FORCE_MS);
}
END_TEST

/*
 * Guards against a change that nobody reads while its readers, alive and heard by
 * all, are cut off from the platform.  The cut begins up to 500 ms before.
 */
static void check_without_readers(int count, enum loss loss)
{
	int before;

	for (before = 0; before <= 500; before += 100)
		ck_assert_int_le(
			measure_spread(count, loss, PUBLISHED_AT - before * MS),
			IN_FORCE_MS);
}

START_TEST(change_is_in_force_in_time_though_its_readers_are_cut_off)
{
	check_without_readers(counts[_i], LOSS_READS);
}
END_TEST

START_TEST(change_is_in_force_in_time_though_substitutes_are_cut_off)
{
	check_without_readers(counts[_i], LOSS_MORE_READS);
}
END_TEST

/*
 * Guards against a change that nobody reads while its readers stand still: they
 * ask nobody, and membership takes longer to miss them.
 */
START_TEST(change_is_in_force_in_time_though_its_readers_are_frozen)
{
	check_without_readers(counts[_i], LOSS_FROZEN);
}
END_TEST

/* Not in the smallest fleet, which has three entries in a data centre. */
START_TEST(change_is_in_force_in_time_though_substitutes_are_frozen)
{
	check_without_readers(counts[_i], LOSS_MORE_FROZEN);
}
END_TEST

START_TEST(change_is_in_force_in_time_though_one_entry_is_left)
{
	check_without_readers(counts[_i], LOSS_BUT_ONE);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("config-fleet");
	TCase *t = tcase_create("config-fleet");
	SRunner *r;
	int failed;

	apr_initialize();
	tcase_add_loop_test(t, change_is_in_force_in_time, 0, 3);
	tcase_add_loop_test(
		t, change_is_in_force_in_time_though_sources_fall_silent, 0, 3);
	tcase_add_loop_test(
		t, change_is_in_force_in_time_though_peers_are_paused, 0, 3);
	tcase_add_loop_test(
		t,
		change_is_in_force_in_time_without_the_watchers_of_a_data_center,
		0, 3);
	tcase_add_loop_test(t, change_is_in_force_in_time_though_deltas_fail, 0,
			    3);
	tcase_add_loop_test(
		t, change_is_in_force_in_time_though_its_readers_are_cut_off, 0,
		3);
	tcase_add_loop_test(
		t, change_is_in_force_in_time_though_substitutes_are_cut_off, 0,
		3);
	tcase_add_loop_test(
		t, change_is_in_force_in_time_though_its_readers_are_frozen, 0,
		3);
	tcase_add_loop_test(
		t, change_is_in_force_in_time_though_substitutes_are_frozen, 1,
		3);
	tcase_add_loop_test(
		t, change_is_in_force_in_time_though_one_entry_is_left, 0, 3);
	tcase_set_timeout(t, 120);
	suite_add_tcase(s, t);
	r = srunner_create(s);
	srunner_run_all(r, CK_VERBOSE);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
