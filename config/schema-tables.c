#include "config/schema-tables.h"

#define LIST_MAX 4096 /* elements in any one list */
#define RATE_MAX 1e9
#define WEEK_S (7 * 24 * 3600)
#define HOUR_MS (3600 * 1000)

static const struct schema_field limit_fields[] = {
	{ "requests_per_second", SCHEMA_REAL, 0, 0, RATE_MAX,
	  "requests a second" },
	{ "tokens_per_second", SCHEMA_REAL, 0, 0, RATE_MAX, "tokens a second" },
	{ "concurrent", SCHEMA_INTEGER, 0, 0, 1e6, "calls" },
	{ "cut_off_share", SCHEMA_REAL, 0, 0, 1, NULL },
	SCHEMA_END
};

static const struct schema_field model_fields[] = {
	{ "name", SCHEMA_STRING, SCHEMA_REQUIRED | SCHEMA_NAME },
	{ "manifest", SCHEMA_STRING, SCHEMA_REQUIRED | SCHEMA_HEX_DIGEST, 0, 0,
	  NULL, NULL, NULL, "the digest that limpetctl manifest prints" },
	{ "base", SCHEMA_STRING, SCHEMA_NAME },
	{ "upstreams", SCHEMA_STRINGS, SCHEMA_REQUIRED, 1, LIST_MAX, NULL, NULL,
	  NULL, "names of upstreams, or patterns with '*'" },
	{ "data_centers", SCHEMA_STRINGS, SCHEMA_NAME, 0, LIST_MAX },
	{ "priority", SCHEMA_INTEGER, 0, 0, 9, NULL },
	{ "time_weight", SCHEMA_REAL, 0, 0, 1, NULL },
	{ "origin_copies", SCHEMA_REAL, 0, 1, ORIGIN_COPIES_MAX, "copies" },
	{ "first_loaders", SCHEMA_INTEGER, 0, 1, LIST_MAX, "upstreams" },
	{ "min_serving", SCHEMA_REAL, 0, 0, 1, NULL },
	SCHEMA_END
};

static const struct schema_field operation_fields[] = {
	{ "name", SCHEMA_STRING, SCHEMA_REQUIRED | SCHEMA_NAME },
	{ "repeatable", SCHEMA_BOOLEAN },
	{ "deadline_ms", SCHEMA_INTEGER, 0, 1, HOUR_MS, "ms" },
	{ "key_lifetime_s", SCHEMA_INTEGER, 0, 1, WEEK_S, "s" },
	SCHEMA_END
};

static const struct schema_field service_fields[] = {
	{ "name", SCHEMA_STRING, SCHEMA_REQUIRED | SCHEMA_NAME },
	{ "upstreams", SCHEMA_STRINGS, SCHEMA_REQUIRED, 1, LIST_MAX, NULL, NULL,
	  NULL, "names of upstreams, or patterns with '*'" },
	{ "operations", SCHEMA_ARRAY, SCHEMA_REQUIRED, 1, LIST_MAX, NULL,
	  operation_fields, NULL, "at least one" },
	SCHEMA_END
};

const struct schema_field account_fields[] = {
	{ "account", SCHEMA_STRING, SCHEMA_REQUIRED | SCHEMA_NAME },
	{ "keys", SCHEMA_STRINGS, 0, 0, LIST_MAX },
	{ "share", SCHEMA_REAL, 0, 0.001, 1000, NULL },
	{ "priority_min", SCHEMA_INTEGER, 0, 0, 9, NULL },
	{ "limits", SCHEMA_OBJECT, 0, 0, 0, NULL, limit_fields },
	{ "models", SCHEMA_ARRAY, 0, 0, LIST_MAX, NULL, model_fields },
	{ "services", SCHEMA_ARRAY, 0, 0, LIST_MAX, NULL, service_fields },
	SCHEMA_END
};

static const struct schema_field affinity_fields[] = {
	{ "lock_s", SCHEMA_INTEGER, 0, 0, WEEK_S, "s" },
	{ "idle_s", SCHEMA_INTEGER, 0, 0, WEEK_S, "s" },
	SCHEMA_END
};

const struct schema_field fleet_fields[] = {
	{ "budget", SCHEMA_OBJECT, 0, 0, 0, NULL, limit_fields },
	{ "fencing", SCHEMA_STRINGS, 0, 0, LIST_MAX },
	{ "affinity", SCHEMA_OBJECT, 0, 0, 0, NULL, affinity_fields },
	SCHEMA_END
};

const struct schema_field document_fields[] = {
	{ "revision", SCHEMA_INTEGER, SCHEMA_REQUIRED, 1, REVISION_MAX, NULL },
	{ "fleet", SCHEMA_OBJECT, 0, 0, 0, NULL, fleet_fields },
	{ "accounts", SCHEMA_ARRAY, SCHEMA_REQUIRED, 0, LIST_MAX, NULL,
	  account_fields, NULL, "the account files" },
	SCHEMA_END
};
