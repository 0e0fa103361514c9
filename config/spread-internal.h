#ifndef CONFIG_SPREAD_INTERNAL_H
#define CONFIG_SPREAD_INTERNAL_H

#include "config/spread.h"

/* Shared by the parts of the spread's decisions. */

#define SPREAD_PLATFORM_AGE_UNKNOWN                                            \
	UINT32_MAX /* nobody heard the platform yet */

/*
 * A lone change goes on at once.  Versions that follow each other within
 * SPREAD_BURST_WINDOW_US are taken this far apart; the ones between are passed over.
 */
#define SPREAD_BURST_WINDOW_US (2 * APR_USEC_PER_SEC)
#define SPREAD_BURST_GAP_US (400 * 1000)

int spread_is_in_burst(const struct spread_value *v, apr_time_t now);
void spread_finish_pull(struct spread_value *v, const char *address,
			apr_time_t now);

#endif
