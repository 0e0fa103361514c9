#ifndef CONFIG_SPREAD_INTERNAL_H
#define CONFIG_SPREAD_INTERNAL_H

#include "config/spread.h"

/* Declarations shared by spread.c, spread-decide.c and fallback.c. */

/* No process is known to have been in contact with the platform yet. */
#define SPREAD_PLATFORM_AGE_UNKNOWN UINT32_MAX

/*
 * A single change is passed on at once.  When versions follow each other
 * within SPREAD_BURST_WINDOW_US, they are pulled at intervals of
 * SPREAD_BURST_GAP_US, and the versions in between are skipped.
 */
#define SPREAD_BURST_WINDOW_US (2 * APR_USEC_PER_SEC)
#define SPREAD_BURST_GAP_US (400 * 1000)

struct spread_action *spread_add_exchange(struct spread_actions *out,
					  const char *address);
void spread_decide_asks(struct spread *s, apr_time_t now,
			struct spread_actions *out);
void spread_check_heartbeats(struct spread *s, apr_time_t now);
int spread_is_in_burst(const struct spread_value *v, apr_time_t now);
void spread_finish_pull(struct spread_value *v, const char *address, int ok,
			apr_time_t now);

#endif
