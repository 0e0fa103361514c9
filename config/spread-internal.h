#ifndef CONFIG_SPREAD_INTERNAL_H
#define CONFIG_SPREAD_INTERNAL_H

#include "config/spread.h"

/* Shared by the parts of the spread's decisions. */

#define SPREAD_AGE_NEVER UINT32_MAX /* nobody heard the platform yet */

void spread_pull_done(struct spread_value *v, const char *address,
		      apr_time_t now);

#endif
