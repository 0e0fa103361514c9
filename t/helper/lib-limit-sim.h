#ifndef T_HELPER_LIB_LIMIT_SIM_H
#define T_HELPER_LIB_LIMIT_SIM_H

#include "base/random.h"
#include "calls/limit-core.h"

/*
 * Simulation of several limiters with one script of events at given times:
 * arrivals of calls, messages between entries that are delayed or lost in a
 * partition, entries that stop, pause and start, and one pool of upstreams
 * shared by all of them.  Time is simulated; equal seeds give equal runs.
 */

#define SIM_ENTRIES_MAX 64
#define SIM_ACCOUNTS_MAX 128
#define SIM_OFFERS_MAX 512
#define SIM_REFUSE_LATE_US (50 * 1000)
/* Latencies are counted per millisecond, up to this number. */
#define SIM_LATENCY_MAX 20000

struct sim_account {
	char name[DOCUMENT_NAME_SIZE];
	/* since the last report */
	int offered;
	int admitted;
	int limited;
	int overloaded;
	int finished;
	int refused_late;   /* refused more than 50 ms after arrival */
	int naive_admitted; /* admitted by the naive global limiter */
	int latency[SIM_LATENCY_MAX];
	/* of the naive limiter */
	double level;
	double steps[11]; /* arrivals in each tenth of a second */
	double rate;
};

struct sim_offer {
	int account;
	int first, last; /* entries, counted from 1 */
	double rate;
	int tokens;
	int hold_ms;
	int deadline_ms;
	int is_active;
};

struct sim_call {
	struct admission a; /* first */
	struct sim_call *next;
	struct sim_call *all_next, **all_link; /* list of all calls */
	int entry;
	int account;
	apr_time_t arrived;
	apr_interval_time_t run_time;
};

enum sim_kind {
	SIM_ARRIVE,
	SIM_STEP,
	SIM_REQUEST,
	SIM_REPLY,
	SIM_TIMEOUT,
	SIM_FINISHED
};

struct sim_event {
	apr_time_t at;
	uint64_t order;
	enum sim_kind kind;
	int entry; /* index of the offer for SIM_ARRIVE */
	int from;
	uint64_t boot; /* boot of the entry that the event is for */
	apr_time_t sent;
	struct limits_message message;
	struct sim_call *call;
};

struct sim_entry {
	struct limit_core core;
	char id[64];
	int is_running;
	int listed;
	int is_paused;
	int blind;     /* does not receive the platform's list */
	int partition; /* only entries with equal numbers reach each other */
	apr_time_t unlist_at;
	uint64_t boot;
	struct sim_call *held_calls; /* arrived while paused */
	struct sim_event **late;
	int late_count;
	long long bytes;
	int bytes_peak; /* in one second */
	long long bytes_second;
	int steps;
	apr_interval_time_t clock_offset; /* offset of its clock */
};

struct sim {
	apr_time_t now;
	uint64_t order;
	struct random random;
	struct sim_event *heap;
	int heap_count, heap_size;
	struct sim_entry *entries;
	int entry_count;
	apr_interval_time_t delay, jitter, list_lag;
	struct document document;
	struct sim_account accounts[SIM_ACCOUNTS_MAX];
	struct sim_offer offers[SIM_OFFERS_MAX];
	int offer_count;
	int slots, busy, pool_waiting;
	/* Values that the entries received in the last report. */
	int reported_busy, reported_waiting;
	apr_time_t reported_at;
	struct sim_call *waiting, **waiting_tail;
	struct sim_call *all_calls;
	/* Maximum ratio of the sum of all entries' slices to the limit. */
	double slices_peak;
	int trace; /* print each decision */
	apr_time_t stats_since;
	apr_time_t naive_at;
};

void sim_init(struct sim *s, int entries, uint64_t seed);
void sim_destroy(struct sim *s);
int sim_account(struct sim *s, const char *name);
void sim_entry_start(struct sim *s, int entry);
void sim_entry_stop(struct sim *s, int entry);
void sim_entry_resume(struct sim *s, int entry);
void sim_offer_start(struct sim *s, int offer);
void sim_run(struct sim *s, apr_time_t until);

/* lib-limit-naive.c: one limiter to which every arrival is visible at once. */
void naive_arrive(struct sim *s, int account);
void naive_step(struct sim *s);

#endif
