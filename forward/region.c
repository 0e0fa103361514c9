#include "forward/region.h"

#include <string.h>

/* Returns the number of a region's first data centre, which stands for it. */
static int number_of(const struct settings_region *list, int count,
		     const char *region)
{
	int i;

	for (i = 0; i < count; i++)
		if (!strcmp(list[i].region, region))
			return i;
	return REGION_UNKNOWN;
}

/* Returns the number of a data centre's region, or REGION_UNKNOWN. */
int region_of_data_center(const struct settings_region *list, int count,
			  const char *data_center)
{
	int i;

	for (i = 0; i < count; i++)
		if (!strcmp(list[i].data_center, data_center))
			return number_of(list, count, list[i].region);
	return REGION_UNKNOWN;
}

/*
 * Returns the mask of the regions that a list of allowed ones excludes. An empty
 * list allows all. Names that the settings don't have allow nothing, so that a
 * list of only these excludes all.
 */
uint64_t region_excluded(const struct settings_region *list, int count,
			 char *const *names, int name_count)
{
	uint64_t excluded = REGIONS_ALL;
	int i;

	if (!name_count)
		return 0;
	for (i = 0; i < name_count; i++) {
		int n = number_of(list, count, names[i]);

		if (n != REGION_UNKNOWN)
			excluded &= ~(UINT64_C(1) << n);
	}
	return excluded;
}

/* Returns 1 when no request with these exclusions may go to the region. */
int region_is_excluded(uint64_t excluded, int region)
{
	return (int)(excluded >> region & 1);
}
