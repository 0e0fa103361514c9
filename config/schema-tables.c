#include "config/schema-tables.h"

#define LOADERS_MAX 4096
#define URL_MAX 4096 /* characters */
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
	{ "manifest", SCHEMA_STRING, SCHEMA_HEX_DIGEST },
	{ "base", SCHEMA_STRING, SCHEMA_NAME },
	{ "upstreams", SCHEMA_STRINGS, SCHEMA_REQUIRED, 1, SCHEMA_UNBOUNDED,
	  NULL, NULL, NULL, "names of upstreams, or patterns with '*'" },
	{ "data_centers", SCHEMA_STRINGS, SCHEMA_NAME, 0, SCHEMA_UNBOUNDED },
	{ "priority", SCHEMA_INTEGER, 0, 0, 9, NULL },
	{ "time_weight", SCHEMA_REAL, 0, 0, 1, NULL },
	{ "origin_copies", SCHEMA_REAL, 0, 1, ORIGIN_COPIES_MAX, "copies" },
	{ "first_loaders", SCHEMA_INTEGER, 0, 1, LOADERS_MAX, "upstreams" },
	{ "min_serving", SCHEMA_REAL, 0, 0, 1, NULL },
	{ "release", SCHEMA_INTEGER, 0, 1, REVISION_MAX, NULL, NULL, NULL,
	  "the number under which the origin keeps the version" },
	{ "origin", SCHEMA_STRING, 0, 8, URL_MAX, NULL, NULL, NULL,
	  "http://ADDRESS:PORT of the origin of its weights" },
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
	{ "upstreams", SCHEMA_STRINGS, SCHEMA_REQUIRED, 1, SCHEMA_UNBOUNDED,
	  NULL, NULL, NULL, "names of upstreams, or patterns with '*'" },
	{ "operations", SCHEMA_ARRAY, SCHEMA_REQUIRED, 1, SCHEMA_UNBOUNDED,
	  NULL, operation_fields, NULL, "at least one" },
	SCHEMA_END
};

const struct schema_field account_fields[] = {
	{ "account", SCHEMA_STRING, SCHEMA_REQUIRED | SCHEMA_NAME },
	{ "keys", SCHEMA_STRINGS, 0, 0, SCHEMA_UNBOUNDED },
	{ "share", SCHEMA_REAL, 0, 0.001, 1000, NULL },
	{ "priority_min", SCHEMA_INTEGER, 0, 0, 9, NULL },
	{ "priority", SCHEMA_INTEGER, 0, 0, 1e6, NULL },
	{ "regions", SCHEMA_STRINGS, 0, 0, SCHEMA_UNBOUNDED },
	{ "limits", SCHEMA_OBJECT, 0, 0, 0, NULL, limit_fields },
	{ "models", SCHEMA_ARRAY, 0, 0, SCHEMA_UNBOUNDED, NULL, model_fields },
	{ "services", SCHEMA_ARRAY, 0, 0, SCHEMA_UNBOUNDED, NULL,
	  service_fields },
	SCHEMA_END
};

static const struct schema_field affinity_fields[] = {
	{ "lock_s", SCHEMA_INTEGER, 0, 0, WEEK_S, "s" },
	{ "idle_s", SCHEMA_INTEGER, 0, 0, WEEK_S, "s" },
	SCHEMA_END
};

const struct schema_field fleet_fields[] = {
	{ "budget", SCHEMA_OBJECT, 0, 0, 0, NULL, limit_fields },
	{ "fencing", SCHEMA_STRINGS, 0, 0, SCHEMA_UNBOUNDED },
	{ "affinity", SCHEMA_OBJECT, 0, 0, 0, NULL, affinity_fields },
	SCHEMA_END
};

static const char *const route_kinds[] = { "idempotent", "once", "stream",
					   NULL };

static const struct schema_field part_fields[] = {
	{ "service", SCHEMA_STRING, SCHEMA_REQUIRED | SCHEMA_NAME },
	{ "weight", SCHEMA_REAL, 0, 0, 1e9, NULL },
	SCHEMA_END
};

static const struct schema_field route_fields[] = {
	{ "name", SCHEMA_STRING, SCHEMA_REQUIRED, 1, 63 },
	{ "host", SCHEMA_STRING, SCHEMA_REQUIRED, 1, 255 },
	{ "prefix", SCHEMA_STRING, SCHEMA_REQUIRED, 1, 4096 },
	{ "kind", SCHEMA_STRING, SCHEMA_REQUIRED, 0, 0, NULL, NULL,
	  route_kinds },
	{ "services", SCHEMA_ARRAY, SCHEMA_REQUIRED, 0, SCHEMA_UNBOUNDED, NULL,
	  part_fields },
	{ "timeout_ms", SCHEMA_INTEGER, 0, 1, HOUR_MS, "ms" },
	{ "objective_ms", SCHEMA_INTEGER, 0, 0, HOUR_MS, "ms" },
	{ "gap_ms", SCHEMA_INTEGER, 0, 0, HOUR_MS, "ms" },
	{ "attempts", SCHEMA_INTEGER, 0, 1, 100, NULL },
	{ "priority", SCHEMA_INTEGER, 0, 0, 1e6, NULL },
	{ "public", SCHEMA_BOOLEAN },
	{ "resumable", SCHEMA_BOOLEAN },
	{ "regions", SCHEMA_STRINGS, 0, 0, SCHEMA_UNBOUNDED },
	SCHEMA_END
};

static const struct schema_field engine_fields[] = {
	{ "slots", SCHEMA_INTEGER, 0, 1, 1e6, NULL },
	{ "kv_tokens", SCHEMA_INTEGER, 0, 0, 1e12, "tokens" },
	{ "step_us", SCHEMA_REAL, 0, 0, 1e9, "us" },
	{ "running_us", SCHEMA_REAL, 0, 0, 1e9, "us" },
	{ "context_us", SCHEMA_REAL, 0, 0, 1e9, "us" },
	{ "read_per_s", SCHEMA_REAL, 0, 0, 1e12, "tokens a second" },
	{ "stride", SCHEMA_INTEGER, 0, 1, 1e6, "steps" },
	{ "usual_prompt", SCHEMA_REAL, 0, 0, 1e9, "tokens" },
	{ "usual_answer", SCHEMA_REAL, 0, 0, 1e9, "tokens" },
	SCHEMA_END
};

static const struct schema_field upstream_service_fields[] = {
	{ "name", SCHEMA_STRING, SCHEMA_REQUIRED | SCHEMA_NAME },
	{ "connections", SCHEMA_INTEGER, 0, 0, 1e6, NULL },
	{ "cold_per_s", SCHEMA_REAL, 0, 0, 1e6, "requests a second" },
	{ "cold_s", SCHEMA_REAL, 0, 0, 1e6, "s" },
	{ "engine", SCHEMA_OBJECT, 0, 0, 0, NULL, engine_fields },
	SCHEMA_END
};

static const struct schema_field caller_limit_fields[] = {
	{ "header_bytes", SCHEMA_INTEGER, 0, 1, 1e9, "bytes" },
	{ "body_bytes", SCHEMA_INTEGER, 0, 1, 1e9, "bytes" },
	{ "header_ms", SCHEMA_INTEGER, 0, 1, HOUR_MS, "ms" },
	{ "idle_ms", SCHEMA_INTEGER, 0, 1, HOUR_MS, "ms" },
	SCHEMA_END
};

const struct schema_field document_fields[] = {
	{ "revision", SCHEMA_INTEGER, SCHEMA_REQUIRED, 1, REVISION_MAX, NULL },
	{ "generation", SCHEMA_INTEGER, 0, 0, REVISION_MAX, NULL },
	{ "keys_required", SCHEMA_BOOLEAN },
	{ "origin", SCHEMA_STRING, 0, 8, URL_MAX, NULL, NULL, NULL,
	  "http://ADDRESS:PORT of the origin that numbers all releases" },
	{ "fleet", SCHEMA_OBJECT, 0, 0, 0, NULL, fleet_fields },
	{ "accounts", SCHEMA_ARRAY, SCHEMA_REQUIRED, 0, SCHEMA_UNBOUNDED, NULL,
	  account_fields, NULL, "the account files" },
	{ "routes", SCHEMA_ARRAY, 0, 0, SCHEMA_UNBOUNDED, NULL, route_fields },
	{ "upstream_services", SCHEMA_ARRAY, 0, 0, SCHEMA_UNBOUNDED, NULL,
	  upstream_service_fields },
	{ "caller_limits", SCHEMA_OBJECT, 0, 0, 0, NULL, caller_limit_fields },
	SCHEMA_END
};
