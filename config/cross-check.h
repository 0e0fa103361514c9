#ifndef CONFIG_CROSS_CHECK_H
#define CONFIG_CROSS_CHECK_H

#include <jansson.h>

#include "base/schema.h"

/*
 * Checks across fields and accounts: each name and each key is declared once,
 * limits are within the fleet's budget, and the base of an adapter is a model
 * of the same account.  The fields must have passed the schema check.
 */

/* One account file and the prefix of its paths in fault messages. */
struct account_source {
	const json_t *account;
	const char *prefix; /* with its separator, such as "adubo.json: " */
};

void cross_check(const json_t *fleet, const struct account_source *accounts,
		 size_t count, struct fault_list *faults);

#endif
