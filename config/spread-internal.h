#ifndef CONFIG_SPREAD_INTERNAL_H
#define CONFIG_SPREAD_INTERNAL_H

#include "config/spread.h"

/* Shared by the parts of the spread's decisions. */

#define SPREAD_AGE_NEVER UINT32_MAX /* nobody heard the platform yet */

/*
 * A lone change goes on at once.  Versions that follow each other within
 * SPREAD_BUSY_US are taken this far apart; the ones between are passed over.
 */
#define SPREAD_BUSY_US (2 * APR_USEC_PER_SEC)
#define SPREAD_BUSY_GAP_US (400 * 1000)

int spread_is_busy(const struct spread_value *v, apr_time_t now);
void spread_pull_done(struct spread_value *v, const char *address,
		      apr_time_t now);

#endif
