#ifndef MEMBER_REPORT_H
#define MEMBER_REPORT_H

#include <apr_time.h>
#include <stdint.h>

#include "base/digest.h"
#include "base/settings.h"

/*
 * Rows of the board's upstream table: an agent's report on its upstream, on
 * which entries base their routing.  On an agent the table has one row,
 * written by the gate and the weights component; on an entry it has one row
 * for each agent in the entry's subset, written by the membership component.
 */

#define REPORT_MODELS_MAX 16

struct report_model {
	char name[SETTINGS_NAME_SIZE];
	char version[DIGEST_HEX_SIZE]; /* complete and running */
};

struct upstream_report {
	char instance[SETTINGS_NAME_SIZE]; /* the agent's id */
	char upstream[SETTINGS_NAME_SIZE];
	char address[SETTINGS_ADDRESS_SIZE]; /* the agent's */
	char data_center[SETTINGS_NAME_SIZE];
	enum upstream_kind kind;
	uint64_t boot; /* the agent's */
	int is_draining;
	int is_reachable;	/* the agent can reach its upstream */
	int running;		/* requests the upstream is running */
	int waiting;		/* requests queued in the upstream */
	int slots;		/* requests it can run concurrently */
	int token_us;		/* time per token of one request */
	int load_age_ms;	/* age of the load when sent */
	apr_time_t received_at; /* local monotonic clock */
	struct report_model models[REPORT_MODELS_MAX];
	int model_count;
};

#endif
