#ifndef MEMBER_REPORT_H
#define MEMBER_REPORT_H

#include <apr_time.h>
#include <stdint.h>

#include "base/digest.h"
#include "base/settings.h"

/*
 * What an agent tells of its upstream, and what entries route by.  On an
 * agent the board holds one row, written by the gate and by the weights; on
 * an entry one row for each agent in its subset, written by membership.
 */

#define REPORT_MODELS_MAX 16

struct report_model {
	char name[SETTINGS_NAME_SIZE];
	char version[DIGEST_HEX_SIZE]; /* whole and running */
};

struct upstream_report {
	char instance[SETTINGS_NAME_SIZE]; /* the agent's id */
	char upstream[SETTINGS_NAME_SIZE];
	char address[SETTINGS_ADDRESS_SIZE]; /* of the agent */
	char data_center[SETTINGS_NAME_SIZE];
	enum upstream_kind kind;
	uint64_t boot; /* of the agent */
	int is_draining;
	int is_reachable;	/* the agent reaches its upstream */
	int running;		/* calls in the upstream */
	int waiting;		/* calls queued in the upstream */
	int slots;		/* calls it runs at once */
	int token_us;		/* time for one token of one call */
	int load_age_ms;	/* age of the load figures when sent */
	apr_time_t received_at; /* local time of arrival */
	struct report_model models[REPORT_MODELS_MAX];
	int model_count;
};

#endif
