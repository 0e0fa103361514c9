#ifndef CALLS_CRASH_TABLE_H
#define CALLS_CRASH_TABLE_H

#include "calls/crash.h"
#include "calls/crash_proto.h"

/*
 * Table of suspects behind crash.h, and its exchange with other processes.
 * The functions do no I/O and take the time as an argument.
 */

#define CRASH_SUSPECTS_MAX 1024
/* How long a request stays suspect after a death. */
#define CRASH_SUSPICION_US (600 * APR_USEC_PER_SEC)
/* Time for others to receive a death before a suspect may run again. */
#define CRASH_PROPAGATION_US (250 * 1000)
/* How long after a death suspects run one at a time at an upstream. */
#define CRASH_ISOLATION_US (30 * APR_USEC_PER_SEC)
/*
 * Quarantine of a request that is certainly the cause: the only suspect at one
 * of its deaths.  Repeats renew it.
 */
#define CRASH_QUARANTINE_US (600 * APR_USEC_PER_SEC)
/* Quarantine of a request when others may have been the cause as well. */
#define CRASH_QUARANTINE_UNCERTAIN_US (60 * APR_USEC_PER_SEC)

/*
 * Time for the items that others had in flight at a death to arrive, before
 * the death counts.
 */
#define CRASH_SETTLE_US (400 * 1000)
/* The same for an item that had sound answers, of which others may know more. */
#define CRASH_SETTLE_SOUND_US APR_USEC_PER_SEC
/* Times told by others are later than the events by up to so much. */
#define CRASH_DELAY_US (250 * 1000)
/* A row without deaths and blames is kept for so long. */
#define CRASH_EMPTY_US (30 * APR_USEC_PER_SEC)
/* Deaths at which a blame is decided: of one row, and beyond any doubt. */
#define CRASH_SERIAL_MIN 3
/*
 * Same for an item that had sound answers before: where upstreams die often of
 * other causes, three in a row come by chance.
 */
#define CRASH_SERIAL_SOUND_MIN 5
#define CRASH_CERTAIN_MIN 5
#define CRASH_CERTAIN_SERIAL_MIN 2
#define CRASH_SUSPECT_MIN 2
/* Trials after a blame; if all fail it lasts until the row expires. */
#define CRASH_TRIALS_MAX 2
/* Longest trial; another one may start after it. */
#define CRASH_TRIAL_US (60 * APR_USEC_PER_SEC)
/* How long a blamed item is kept without a repeat. */
#define CRASH_BLAME_IDLE_US (24 * 3600 * APR_USEC_PER_SEC)
/* Share of the table that the items of one account may fill. */
#define CRASH_ACCOUNT_ROWS_MAX (CRASH_SUSPECTS_MAX / 4)
#define CRASH_BUCKETS 1024
#define CRASH_SOUND_SLOTS 16384
#define CRASH_EVENT_SLOTS 4096
#define CRASH_ENTRIES_MAX 512
#define CRASH_ROUNDS_DEFAULT 4
#define CRASH_ROUNDS_MIN 2
/* Entries that a change is sent to at a step, and those in other sites. */
#define CRASH_FANOUT 3
#define CRASH_FANOUT_REMOTE 1
/* Up to so many others all are sent each change. */
#define CRASH_FANOUT_ALL 7

struct crash_seen_death {
	uint64_t upstream; /* hash of its name */
	uint64_t boot;
	uint64_t request; /* hash of one that was in it; 0: not known */
	apr_time_t died_at;
	apr_time_t learned_at;	 /* by this process */
	apr_interval_time_t run; /* of the youngest run in it */
	int is_explained;	 /* a blamed item was in it too */
};

/* When a death or sound answer was, as far as is known here. */
struct crash_event {
	uint64_t id;
	apr_time_t at;
};

struct crash_row {
	unsigned char key[CRASH_KEY_SIZE];
	struct handle next; /* row of the same bucket */
	struct crash_seen_death deaths[CRASH_DEATHS_MAX];
	int death_count;
	int is_certain;		  /* it caused the deaths */
	apr_time_t refused_until; /* 0: never in quarantine */
	int is_judged;		  /* no new death since the last judgement */
	int running_count;	  /* runs in progress at this gate */
	int rounds_left;	  /* of sending the last change to others */
	int is_cleared;		  /* it finished after its only death */

	/* Members below are those of items. */
	int place; /* 0: the request; else of the part in its prompt */
	uint64_t account;
	uint32_t turns; /* blames and acquittals; odd: blamed */
	uint32_t logged_turns;
	apr_time_t changed_at;
	int failed_trials;
	uint64_t sound;	   /* names the last sound answer known; 0: none ever */
	int is_sound_told; /* the others have been told of it */
	apr_time_t sound_at;	 /* its time; deaths before don't count */
	int was_suspect;	 /* at the last judgement */
	apr_time_t own_sound_at; /* last one here; 0: none */
	apr_time_t trial_at;	 /* start of the trial run here; 0: none */
	apr_time_t refused_at;	 /* last refusal here; 0: none */
};

struct crash_list;

/* How a list judges its rows, and what it does with those of others. */
struct crash_rules {
	int deaths_max; /* of a row */
	int (*is_expired)(const struct crash_row *r, apr_time_t now);
	/* Returns 1 if there is room now for a row of this account. */
	int (*make_room)(struct crash_list *c, uint64_t account,
			 apr_time_t now);
	int (*merge)(struct crash_list *c, const struct crash_record *in,
		     apr_time_t now);
	/* Judges the rows after a message was merged; may be NULL. */
	void (*judge_merged)(struct crash_list *c, apr_time_t now);
};

extern const struct crash_rules crash_item_rules;

struct crash_list {
	struct table rows; /* struct crash_row, rank RANK_CRASH */
	struct handle buckets[CRASH_BUCKETS];
	const struct crash_rules *rules;
	struct node *node;
	apr_time_t last_compare; /* last exchange of the whole list */
	int row_count;		 /* atomic copy, read without the lock */
	int rounds;		 /* of sending a change */

	/* Members below are those of a list of items. */
	uint64_t *sound; /* recent sound answers, CRASH_SOUND_SLOTS, atomic */
	struct crash_event *events; /* CRASH_EVENT_SLOTS */
	uint32_t blames;	    /* atomic; counts new blames */
	apr_time_t judge_until; /* the last news are settled then; 0: judged */
	uint64_t self;		/* hash of this entry's id */
	uint64_t entries[CRASH_ENTRIES_MAX]; /* of the live ones */
	int entry_count;
	uint32_t cursor;	/* slot of the next row to compare */
	int has_compared;	/* atomic */
	apr_time_t started_at;	/* 0: at the first step */
	apr_time_t peers_since; /* atomic; first step with peers; 0: none */
};

void crash_init(struct crash_list *c);
void crash_init_items(struct crash_list *c);
void crash_destroy(struct crash_list *c);
int crash_collect_updates(struct crash_list *c, struct crash_message *m,
			  int all, apr_time_t now);
int crash_merge(struct crash_list *c, const struct crash_message *m,
		apr_time_t now);
void crash_judge(struct crash_list *c, apr_time_t now);
uint64_t crash_summary(struct crash_list *c, apr_time_t now);
int crash_is_worth_telling(const struct crash_row *r);
void crash_collect_page(struct crash_list *c, struct crash_message *m,
			apr_time_t now);
void crash_set_entries(struct crash_list *c, uint64_t self,
		       const uint64_t *live, int count, int total);
int crash_choose_targets(const int *locals, int count, struct random *random,
			 int *out);
void crash_purge(struct crash_list *c, apr_time_t now);
void crash_format_key(const unsigned char *key, char *hex);

/* Shared by the rules of requests and of items; the table is locked. */
struct crash_row *crash_find(struct crash_list *c, const unsigned char *key,
			     struct handle *h);
struct crash_row *crash_add(struct crash_list *c, const unsigned char *key,
			    uint64_t account, apr_time_t now);
void crash_remove(struct crash_list *c, struct handle h);
void crash_remove_expired(struct crash_list *c, apr_time_t now);
void crash_publish(struct crash_list *c, struct crash_row *r);
apr_time_t crash_last_death(const struct crash_row *r);

int crash_make_item_room(struct crash_list *c, uint64_t account,
			 apr_time_t now);
int crash_is_trial_due(const struct crash_row *r, apr_time_t now);

/* Inference, see crash-infer.c. */
int crash_is_suspect(const struct crash_row *r, apr_time_t now);
int crash_infer(struct crash_row *const *rows, int count, apr_time_t now,
		struct crash_row **out);

static inline int crash_is_blamed(const struct crash_row *r)
{
	return r->turns & 1;
}

#endif
