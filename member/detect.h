#ifndef MEMBER_DETECT_H
#define MEMBER_DETECT_H

#include <apr_time.h>

#include "member/instance.h"

/*
 * Decides from the outcome of exchanges, and from what others say, in what
 * state an instance is.  Graded: silence makes it suspect; only a fresh
 * connection that fails makes it dead.  A process that was itself paused
 * takes none of its own timeouts from that time for evidence.
 */

/* A fresh connection opens but nothing is answered for so long: dead. */
#define DEAD_AFTER_SILENT_US (8 * APR_USEC_PER_SEC)

enum evidence_kind {
	EVIDENCE_ANSWER = 1, /* it answered, or sent a message itself */
	EVIDENCE_NO_ANSWER,  /* no answer on a connection used before */
	EVIDENCE_RECONNECT_NO_ANSWER, /* a fresh connection opened, no answer */
	EVIDENCE_RECONNECT_FAILED,    /* no fresh connection could be opened */
	EVIDENCE_OTHER_INSTANCE	      /* its address answers with another id */
};

struct evidence {
	char id[SETTINGS_NAME_SIZE];
	enum evidence_kind kind;
	apr_time_t started_at; /* of the exchange */
	apr_time_t finished_at;
	apr_interval_time_t max_duration; /* what the exchange may take */
	/* of an answer */
	uint64_t boot;
	uint32_t boot_age_ms;
	uint32_t incarnation;
	int is_draining;
};

/* What one process says of another one. */
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
