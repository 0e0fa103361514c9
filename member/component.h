#ifndef MEMBER_COMPONENT_H
#define MEMBER_COMPONENT_H

#include <pthread.h>

#include "base/pool.h"
#include "member/detect.h"
#include "member/member_proto.h"
#include "member/report.h"
#include "config/value.h"
#include "member/subset.h"
#include "net/node.h"

/* Internal declarations of the membership component, for member/ only. */

#define INBOX_MAX 1024
#define OUTBOX_MAX 64
#define REPORT_READERS_MAX 128
#define TARGETS_MAX 256

/*
 * Time limit of one poll of a local agent and of each hello, and time limit of
 * one poll of a remote agent.
 */
#define LOCAL_TIMEOUT_MS 500
#define REMOTE_TIMEOUT_MS 1000

/* Evidence that waits for the controller thread; excess is dropped. */
struct inbox {
	struct evidence list[INBOX_MAX];
	int count;
};

/* Instances whose change has to be sent to the neighbours. */
struct outbox {
	char ids[OUTBOX_MAX][SETTINGS_NAME_SIZE];
	int count;
};

/* An entry that requested the report of this agent. */
struct report_reader {
	char address[SETTINGS_ADDRESS_SIZE];
	apr_time_t requested_at;
};

/* An agent whose reports this entry polls. */
struct report_target {
	char id[SETTINGS_NAME_SIZE];
	char address[SETTINGS_ADDRESS_SIZE];
	int is_local;
	int is_busy;	      /* a poll is in flight */
	apr_time_t due;	      /* time of the next poll */
	uint64_t models_hash; /* of the models below, 0: none received */
	struct report_model models[REPORT_MODELS_MAX];
	int model_count;
};

struct member {
	struct node *node;
	struct worker_pool *pool;
	/* Innermost lock: no table is locked while it is held. */
	pthread_mutex_t mutex;
	struct inbox inbox;
	struct outbox outbox;
	struct report_reader report_readers[REPORT_READERS_MAX];
	struct report_target targets[TARGETS_MAX];
	int target_count;
	apr_interval_time_t report_period; /* of polls of local agents */
	/* Local agents, local entries with this one, local agents polled. */
	int local_agent_count;
	int local_entry_count;
	int subset_local_count;
	uint32_t incarnation;
	int has_announced_draining;
	int is_stopping;
	uint64_t list_version;
	/* The platform has no list: processes learn of each other by hellos. */
	int has_no_list;

	/* Members below belong to the controller thread, if not atomic. */
	struct random random;
	/* Atomic: incremented when the instance table changes. */
	unsigned instance_generation;
	/* Table generation and document revision the targets are based on. */
	unsigned targets_generation;
	uint64_t targets_revision;
	/* Atomic: the platform's list names this process. */
	int is_self_listed;
	apr_time_t join_due;
	unsigned join_count;
	apr_time_t hello_due;
	unsigned hello_count;
	apr_time_t retry_due;
	apr_time_t cleanup_due;
	apr_time_t notify_due;
	apr_time_t subset_due;
	struct handle own_report; /* agents only */
};

extern const struct rpc_kind member_kinds[];
#define KIND_HELLO 0
#define KIND_REPORT 1

int member_submit(struct member *m, struct job *j);
void member_post_evidence(struct member *m, const struct evidence *e);
void member_queue_notification(struct member *m, const char *id);

/* hello.c */
void fact_to_xdr(const struct fact *f, member_fact *w);
void fact_copy_to_xdr(const struct fact *f, member_fact *w);
void member_get_self_fact(struct member *m, struct fact *f);
void hello_send(struct member *m, const char *address, const char *id,
		int sends_outbox, const struct outbox *outbox);
void hello_send_join(struct member *m, const char *address);
int hello_serve(void *arg, const struct rpc_peer *from, const void *request,
		void *reply);

/* facts.c */
u_int member_list_facts(struct member *m, const char *excluded_id,
			member_fact **out);
void member_apply_facts(struct member *m, const member_hello *h);

/* poll.c */
void member_update_targets(struct member *m, apr_time_t now);
void member_poll_reports(struct member *m, apr_time_t now);
int report_serve(void *arg, const struct rpc_peer *from, const void *request,
		 void *reply);

/* status.c */
json_t *member_status(void *arg);

/* list.c */
extern const struct value_ops member_list_ops;

#endif
