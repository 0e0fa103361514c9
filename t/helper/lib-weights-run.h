#ifndef T_HELPER_LIB_WEIGHTS_RUN_H
#define T_HELPER_LIB_WEIGHTS_RUN_H

#include "weights/swarm.h"

/*
 * A scripted run of the pure controllers of many instances: each has its own
 * swarm, and time, links, deaths and partitions are the script's.
 */

#define RUN_NODES_MAX 400
#define RUN_TRANSFERS_MAX 8192
#define RUN_CHUNK 262144 /* bytes */
#define RUN_STEP_US (20 * 1000)
#define RUN_QUEUE_MAX 16
#define RUN_NOTICE_US (2 * APR_USEC_PER_SEC) /* until a death is seen */

enum run_origin { ORIGIN_OK, ORIGIN_429, ORIGIN_DOWN };

struct run_transfer;

struct run_node {
	char id[SETTINGS_NAME_SIZE];
	int dc;
	int dead;
	int corrupt; /* sends bytes that don't verify */
	apr_time_t dead_at;
	apr_time_t paused_until;
	struct swarm *swarm;
	struct place_view view;
	struct pace receive, cross;
	apr_time_t send_free;
	struct run_transfer *sending;
	struct run_transfer *queue[RUN_QUEUE_MAX]; /* asked of it */
	int queued;
};

struct run_transfer {
	int used;
	int node;
	int peer; /* node, -1 for the origin */
	struct swarm_action action;
	apr_time_t end;
	enum swarm_record_result result;
	apr_interval_time_t wait;
};

struct run {
	int dcs, per_dc, count, chunks;
	uint64_t seed;
	double link_rate, cross_rate, origin_rate; /* bytes a second */
	double time_weight;
	int naive; /* every instance draws every chunk from the origin */
	apr_time_t now;
	apr_time_t origin_free;
	enum run_origin origin;
	int origin_corrupt; /* of 1000 draws */
	int cut[PLACE_DATA_CENTERS_MAX];
	apr_time_t cut_at[PLACE_DATA_CENTERS_MAX];
	apr_time_t placed_at;
	struct random random;
	struct run_node nodes[RUN_NODES_MAX];
	struct run_transfer transfers[RUN_TRANSFERS_MAX];
	int *draws; /* of each chunk */
	long origin_chunks;
	long cross_chunks[PLACE_DATA_CENTERS_MAX];
	long bad_staged; /* corrupt chunks taken as good */
	long exchanges;
	apr_time_t finished;
};

void run_begin(struct run *r);
void run_step(struct run *r);
int run_whole(const struct run *r);
int run_living(const struct run *r);
int run_node_find(const struct run *r, const char *id);
void run_kill(struct run *r, int node);
void run_end(struct run *r);

#endif
