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

/* How a model says which version of its weights is wanted. */
enum version_form {
	VERSION_MANIFEST = 1, /* by the digest of its manifest */
	VERSION_ANY	      /* by that, or by the number of a release */
};

void cross_check(const json_t *fleet, enum version_form form,
		 const struct account_source *accounts, size_t count,
		 struct fault_list *faults);

#endif
