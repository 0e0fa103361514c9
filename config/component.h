#ifndef CONFIG_COMPONENT_H
#define CONFIG_COMPONENT_H

#include <pthread.h>

#include "base/pool.h"
#include "config/spread.h"
#include "config/value.h"
#include "net/node.h"

/* The state of the configuration component; for config/ only. */

#define CHANGES_MAX 512
#define STATUS_CHANGES_MAX 64 /* in the status */
#define TEXTS_MAX 4	      /* the newest and those that deltas are made to */
#define STATUS_FAULTS_MAX 20
#define SOURCE_SIZE 80

/* A version that came into force. */
struct value_change {
	uint64_t version;
	apr_time_t at; /* wall clock, for operators */
};

/* The text of a value at one version. */
struct value_text {
	uint64_t version;
	struct digest digest;
	char *data;
	size_t size;
};

struct value_state {
	const struct value_ops *ops;
	void *arg;
	struct value_text texts[TEXTS_MAX]; /* the newest first */
	int whole; /* a delta failed: ask for the whole text next */
	char source[SOURCE_SIZE];
	struct value_change changes[CHANGES_MAX];
	unsigned change_count; /* ever */
	unsigned invalid;      /* texts refused */
	unsigned old;	       /* older texts passed over */
	int out_of_contact;    /* the platform did not answer last time */
};

struct config {
	struct node *node;
	const struct platform_ops *platform;
	struct worker_pool *pool;
	/*
	 * Guards what follows.  Rank RANK_CONFIG: no table of the board is
	 * locked before it, and none while it is held.
	 */
	pthread_mutex_t mutex;
	struct spread spread;
	struct random random;
	struct value_state values[SPREAD_VALUE_COUNT];
	struct fault_list faults; /* of the document refused last */
	uint64_t refused_revision;
	int ready; /* latched */
	int stopping;
	apr_time_t members_due;
};

extern const struct rpc_kind config_kinds[];

void config_run_decisions(struct config *c);
void config_start_actions(struct config *c, const struct spread_actions *list);
int config_apply_text(struct config *c, int value, const char *text,
		      size_t size, const char *source);
json_t *config_status(void *arg);
void config_serve_changes(struct http_call *h, void *arg);
void config_update_members(struct config *c, apr_time_t now);

#endif
