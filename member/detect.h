#ifndef MEMBER_DETECT_H
#define MEMBER_DETECT_H

#include <apr_time.h>

#include "member/instance.h"

/*
 * Failure detection.  Decides the state of an instance from the results of
 * exchanges with it and from the facts that other processes report.
 * Silence makes an instance suspect; only a failure on a new connection
 * makes it dead.  Timeouts that overlap a pause of this process itself are
 * not evidence.
 */

/*
 * Silence after which an instance is dead although a new connection to it
 * can be opened.
 */
#define DEAD_AFTER_SILENT_US (8 * APR_USEC_PER_SEC)

enum evidence_kind {
	EVIDENCE_ANSWER = 1,	      /* answered, or sent a message itself */
	EVIDENCE_NO_ANSWER,	      /* none on a reused connection */
	EVIDENCE_RECONNECT_NO_ANSWER, /* none on a new connection */
	EVIDENCE_RECONNECT_FAILED,    /* no new connection opened */
	EVIDENCE_OTHER_INSTANCE	      /* its address answers with another id */
};

/* The result of one exchange with an instance. */
struct evidence {
	char id[SETTINGS_NAME_SIZE];
	enum evidence_kind kind;
	apr_time_t started_at; /* start of the exchange */
	apr_time_t finished_at;
	apr_interval_time_t max_duration; /* of the exchange, us */
	/* Members below are set for EVIDENCE_ANSWER only. */
	uint64_t boot;
	uint32_t boot_age_ms;
	uint32_t incarnation;
	int is_draining;
};

/* What one process reports about itself or another one. */
struct fact {
	char id[SETTINGS_NAME_SIZE];
	enum role role;
	char data_center[SETTINGS_NAME_SIZE];
	char address[SETTINGS_ADDRESS_SIZE];
	char upstream[SETTINGS_NAME_SIZE];
	uint64_t boot;
	uint32_t boot_age_ms;
	uint32_t incarnation;
	enum instance_state state;
};

int instance_is_present(const struct instance *row, apr_time_t now);
const char *instance_state_name(enum instance_state s);
int evidence_is_invalid(const struct evidence *e, apr_time_t pause_end);
int instance_apply_evidence(struct instance *row, const struct evidence *e,
			    apr_time_t pause_end, apr_time_t now);
int instance_apply_fact(struct instance *row, const struct fact *f,
			apr_time_t now);
void instance_init_from_fact(struct instance *row, const struct fact *f,
			     apr_time_t now);
void fact_from_instance(struct fact *f, const struct instance *row,
			apr_time_t now);

#endif
