#ifndef T_HELPER_LIB_LIMIT_SIM_H
#define T_HELPER_LIB_LIMIT_SIM_H

#include "base/random.h"
#include "calls/limit-core.h"

/*
 * Several limiters fed with one script of events at stated times: arrivals
 * of calls, messages between entries that take a while or are cut, entries
 * that die, pause and come, and one pool of upstreams behind all of them.
 * Time is the script's; equal seeds give equal runs.
 */

#define SIM_ENTRIES_MAX 64
#define SIM_ACCOUNTS_MAX 128
#define SIM_OFFERS_MAX 512
#define SIM_REFUSE_LATE_US (50 * 1000)
#define SIM_LATENCY_MAX 20000 /* milliseconds that are told apart */

struct sim_account {
	char name[DOCUMENT_NAME_SIZE];
	/* since the last report */
	int offered;
	int admitted;
	int limited;
	int overloaded;
	int finished;
	int refused_late; /* more than 50 ms after they came */
	int naive;	  /* what the naive global limiter admitted */
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
	int on;
};

struct sim_call {
	struct admission a; /* first */
	struct sim_call *next;
	struct sim_call *all_next, **all_link; /* of all calls there are */
	int entry;
	int account;
	apr_time_t arrived;
	apr_interval_time_t hold;
};

enum sim_kind { SIM_ARRIVE, SIM_STEP, SIM_ASK, SIM_ANSWER, SIM_LOST, SIM_DONE };

struct sim_event {
	apr_time_t at;
	uint64_t order;
	enum sim_kind kind;
	int entry; /* offer, of an arrival */
	int from;
	uint64_t boot; /* of the entry that it was for */
	apr_time_t sent;
	struct limits_message message;
	struct sim_call *call;
};

struct sim_entry {
	struct limit_core core;
	char id[64];
	int alive;
	int listed;
	int paused;
	int blind; /* has not seen the platform's list */
	int side;  /* entries of one side reach each other */
	apr_time_t unlist_at;
	uint64_t boot;
	struct sim_call *held; /* arrived while paused */
	struct sim_event **late;
	int late_count;
	long long bytes;
	int bytes_peak; /* in one second */
	long long bytes_second;
	int steps;
	apr_interval_time_t skew; /* of its clock */
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
	int told_busy, told_waiting; /* as reported, late */
	apr_time_t told_at;
	struct sim_call *waiting, **waiting_tail;
	struct sim_call *all;
	double slices_peak; /* most of all entries' slices, of the limit */
	int trace;	    /* print each decision */
	apr_time_t reported;
	apr_time_t naive_at;
};

void sim_init(struct sim *s, int entries, uint64_t seed);
void sim_destroy(struct sim *s);
int sim_account(struct sim *s, const char *name);
void sim_entry_start(struct sim *s, int entry);
void sim_entry_die(struct sim *s, int entry);
void sim_entry_wake(struct sim *s, int entry);
void sim_offer_start(struct sim *s, int offer);
void sim_run(struct sim *s, apr_time_t until);

/* lib-limit-naive.c: one limiter that sees everything at once. */
void naive_arrive(struct sim *s, int account);
void naive_step(struct sim *s);

#endif
