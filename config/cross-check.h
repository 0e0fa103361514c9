#ifndef CONFIG_CROSS_CHECK_H
#define CONFIG_CROSS_CHECK_H

#include <jansson.h>

#include "base/schema.h"

/*
 * Checks that reach across fields and accounts: names declared once, keys
 * held once, limits within the fleet's budget, adapters on a model of the
 * same account.  The fields have passed the schema before.
 */

/* One account file, and what its paths in faults begin with. */
struct account_source {
	const json_t *account;
	const char *prefix; /* with its separator, such as "adubo.json: " */
};

void cross_check(const json_t *fleet, const struct account_source *accounts,
		 size_t count, struct fault_list *faults);

#endif
