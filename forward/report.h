#ifndef FORWARD_REPORT_H
#define FORWARD_REPORT_H

#include "forward/target.h"
#include "net/node.h"

/*
 * Load reports of agents to entries, sent as datagrams without acknowledgement:
 * a lost report is replaced by the next one.
 */

/* On an agent: sends reports about the engine beside it. */
int report_send_start(struct node *n, struct error *err);

/*
 * On an entry: passes each valid report to on_report, on a thread of its own.
 */
int report_receive_start(struct node *n,
			 void (*on_report)(void *arg,
					   const struct target_report *r),
			 void *arg, struct error *err);

/*
 * Returns the interval in us between an agent's reports to the entries of its
 * data centre or of all others, while the load changes or not.
 */
apr_interval_time_t report_period(int is_remote, int has_changed, int entries);

#endif
