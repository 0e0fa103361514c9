#ifndef CALLS_CRASH_TABLE_H
#define CALLS_CRASH_TABLE_H

#include "calls/crash.h"
#include "calls/crash_proto.h"

/* The decisions of crash.h, and what is told to others.  Pure. */

#define CRASH_SUSPECTS_MAX 1024
#define CRASH_SUSPICION_US                                                     \
	(600 * APR_USEC_PER_SEC) /* suspicion, since a death */
/* Time for the others to learn of a death before a suspect runs again. */
#define CRASH_PROPAGATION_US (250 * 1000)
/* For so long after a death suspects run one at a time at an upstream. */
#define CRASH_ISOLATION_US (30 * APR_USEC_PER_SEC)
/* Refused when it alone was suspect at both deaths, renewed by repeats. */
#define CRASH_QUARANTINE_US (600 * APR_USEC_PER_SEC)
/* Refused when others may have been the cause as well. */
#define CRASH_QUARANTINE_UNCERTAIN_US (60 * APR_USEC_PER_SEC)

struct crash_row {
	struct digest fp;
	struct crash_death deaths[CRASH_DEATHS_MAX];
	apr_time_t died_at[CRASH_DEATHS_MAX];
	int death_count;
	int is_certain;
	apr_time_t refused_until; /* 0: not refused */
	int is_judged;		  /* no death since the last judgement */
	int running_count;	  /* runs at this gate */
	int is_published;	  /* the others know of the row as it is */
	int is_cleared;		  /* to be told, then removed */
};

struct crash_list {
	struct table rows; /* struct crash_row, rank RANK_CRASH */
	struct node *node;
	apr_time_t last_compare; /* last comparison with another process */
};

void crash_init(struct crash_list *c);
void crash_destroy(struct crash_list *c);
int crash_collect_updates(struct crash_list *c, struct crash_message *m,
			  int all, apr_time_t now);
int crash_merge(struct crash_list *c, const struct crash_message *m,
		apr_time_t now);

#endif
