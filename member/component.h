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

/* The state of the membership component; for member/ only. */

#define INBOX_MAX 1024
#define OUTBOX_MAX 64
#define REPORT_READERS_MAX 128
#define TARGETS_MAX 256

#define LOCAL_TIMEOUT_MS 500 /* timeout of one exchange inside a data centre */
#define REMOTE_TIMEOUT_MS 1000 /* same, with another data centre */

/* Something observed, waiting for the controller. */
struct inbox {
	struct evidence list[INBOX_MAX];
	int count;
};

/* Instances whose change has to be passed on. */
struct outbox {
	char ids[OUTBOX_MAX][SETTINGS_NAME_SIZE];
	int count;
};

/* An entry that asked this agent for its report. */
struct report_reader {
	char address[SETTINGS_ADDRESS_SIZE];
	apr_time_t at;
};

/* An agent that this entry asks for reports. */
struct target {
	char id[SETTINGS_NAME_SIZE];
	char address[SETTINGS_ADDRESS_SIZE];
	int near;
	int is_busy;
	apr_time_t due;
	uint64_t models_hash; /* of what the last report told */
	struct report_model models[REPORT_MODELS_MAX];
	int model_count;
};

struct member {
	struct node *node;
	struct worker_pool *pool;
	/* Innermost: no table is locked while it is held. */
	pthread_mutex_t mutex;
	struct inbox inbox;
	struct outbox outbox;
	struct report_reader askers[REPORT_READERS_MAX];
	struct target targets[TARGETS_MAX];
	int target_count;
	apr_interval_time_t report_period;
	int subset_agents; /* of this data centre */
	int subset_entries;
	int subset_near; /* agents of this data centre asked */
	uint32_t incarnation;
	int told_leaving;
	int stopping;
	uint64_t list_version;
	int unlisted; /* the platform has no list: processes tell each other */

	/* of the controller thread */
	struct random random;
	unsigned generation; /* raised when the instance table changed */
	unsigned subset_generation;
	uint64_t subset_revision;
	int self_listed; /* atomic: the platform's list names this process */
	apr_time_t join_due;
	unsigned join_turn;
	apr_time_t hello_due;
	unsigned hello_turn;
	apr_time_t retry_due;
	apr_time_t second_due;
	apr_time_t flood_due;
	apr_time_t subset_due;
	struct handle own_report; /* of an agent */
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
		int with_outbox, const struct outbox *facts);
void hello_send_join(struct member *m, const char *address);
int hello_serve(void *arg, const struct rpc_peer *from, const void *request,
		void *reply);

/* facts.c */
u_int member_list_facts(struct member *m, const char *but, member_fact **out);
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
