#ifndef CONFIG_COMPONENT_H
#define CONFIG_COMPONENT_H

#include <pthread.h>

#include "base/pause.h"
#include "base/pool.h"
#include "config/document.h"
#include "config/spread.h"
#include "config/texts.h"
#include "config/value.h"
#include "net/node.h"

/* State of the configuration component, private to config/. */

/* Number of applied versions kept per value, for operators. */
#define CHANGES_MAX 512

/* Number of these shown in the status. */
#define STATUS_CHANGES_MAX 64

/* Number of faults of a rejected document shown in the status. */
#define STATUS_FAULTS_MAX 20

#define SOURCE_SIZE 80

/* A version that was applied. */
struct value_change {
	uint64_t version;
	apr_time_t at; /* wall clock, for operators */
};

struct value_state {
	const struct value_ops *ops;
	void *arg;
	/*
	 * Held while a text is checked and applied, so that one that arrives
	 * twice is checked once.  Taken before the component's mutex.
	 */
	pthread_mutex_t apply_mutex;
	struct texts texts;
	int needs_full_text; /* a delta failed; request no delta next */
	char source[SOURCE_SIZE];
	struct value_change changes[CHANGES_MAX];
	unsigned change_count;	 /* since process start */
	unsigned invalid_count;	 /* texts rejected */
	unsigned old_count;	 /* texts ignored as not newer */
	int is_platform_failing; /* the last read failed */
	/* By how much the platform answered its last full hold too late. */
	apr_interval_time_t answer_delay;
};

struct config {
	struct node *node;
	const struct platform_ops *platform;
	/*
	 * Notices wait for peers that may be paused, so texts have threads of
	 * their own.
	 */
	struct worker_pool *notice_pool;
	struct worker_pool *text_pool;
	/*
	 * Guards the members below.  Rank RANK_CONFIG: no table of the board
	 * may be locked when it is taken or while it is held.
	 */
	pthread_mutex_t mutex;
	struct spread spread;
	struct random random;
	struct pause_watch pauses;
	struct value_state values[SPREAD_VALUE_COUNT];
	struct fault_list faults; /* of the last rejected document */
	uint64_t rejected_revision;
	size_t left_out_count; /* parts of documents, since process start */
	int is_ready;	       /* never reset once set */
	int is_stopping;
	apr_time_t next_members_update_at;
};

/* Indexes into config_kinds. */
enum { KIND_EXCHANGE, KIND_AGES, KIND_READ };

extern const struct rpc_kind config_kinds[];

void config_run_decisions(struct config *c);
void config_start_actions(struct config *c, const struct spread_actions *list);
int config_apply_text(struct config *c, int value, const char *text,
		      size_t size, const struct text_source *source);
void config_fetch_ages(struct config *c, struct document *d,
		       const char *sender);
json_t *config_status(void *arg);
void config_serve_changes(struct http_call *h, void *arg);
void config_update_members(struct config *c, apr_time_t now);

#endif
