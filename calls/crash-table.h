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

struct crash_row {
	struct digest fp;
	struct crash_death deaths[CRASH_DEATHS_MAX];
	apr_time_t died_at[CRASH_DEATHS_MAX];
	int death_count;
	int is_certain;		  /* it caused the deaths */
	apr_time_t refused_until; /* 0: never in quarantine */
	int is_judged;		  /* no new death since the last judgement */
	int running_count;	  /* runs in progress at this gate */
	int is_published;	  /* no change left to send to the others */
	int is_cleared;		  /* it finished after its only death */
};

struct crash_list {
	struct table rows; /* struct crash_row, rank RANK_CRASH */
	struct node *node;
	apr_time_t last_compare; /* last exchange of the whole list */
};

void crash_init(struct crash_list *c);
void crash_destroy(struct crash_list *c);
int crash_collect_updates(struct crash_list *c, struct crash_message *m,
			  int all, apr_time_t now);
int crash_merge(struct crash_list *c, const struct crash_message *m,
		apr_time_t now);

#endif
