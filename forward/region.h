#ifndef FORWARD_REGION_H
#define FORWARD_REGION_H

#include <stdint.h>

#include "base/settings.h"

/*
 * Regions in which a request may be served. A region is a bit in a mask; its
 * number is the place of its name in the settings.
 */

/* Number of a region that no settings name. */
#define REGION_UNKNOWN SETTINGS_REGIONS_MAX

/* Excludes every region, also unknown ones. */
#define REGIONS_ALL UINT64_MAX

int region_of_data_center(const struct settings_region *list, int count,
			  const char *data_center);
uint64_t region_excluded(const struct settings_region *list, int count,
			 char *const *names, int name_count);
int region_is_excluded(uint64_t excluded, int region);

#endif
