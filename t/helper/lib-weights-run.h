#ifndef T_HELPER_LIB_WEIGHTS_RUN_H
#define T_HELPER_LIB_WEIGHTS_RUN_H

#include "weights/activate.h"
#include "weights/swarm.h"

/*
 * Simulates the distribution of a version among many instances. Each instance
 * has its own swarm. The script sets the time, the links, the crashes and the
 * partitions.
 */

#define RUN_NODES_MAX 400
#define RUN_TRANSFERS_MAX 8192
#define RUN_CHUNK_BYTES 262144
#define RUN_STEP_US (20 * 1000)
#define RUN_QUEUE_MAX 16
/* time until a crash or a partition is detected */
#define RUN_DETECTION_US (2 * APR_USEC_PER_SEC)
#define RUN_RELEASES_MAX 8
/* time for which an engine loads a release */
#define RUN_LOAD_US (300 * 1000)

enum run_origin { ORIGIN_OK, ORIGIN_429, ORIGIN_DOWN };

struct run_transfer;

struct run_node {
	char id[SETTINGS_NAME_SIZE];
	int dc;
	int dead;
	int corrupt; /* sends bytes that do not match the digest */
	apr_time_t dead_at;
	apr_time_t paused_until;
	struct swarm *swarm;
	int release; /* the one that the swarm distributes */
	/* the following apply to a run with a time limit */
	int running_release; /* of the engine */
	int loading_release;
	apr_time_t loaded_at; /* end of the load in progress, 0: none */
	struct activation activation;
	struct place_view view;
	struct pace receive, cross;
	apr_time_t send_free_at;
	struct run_transfer *sending;
	/* requests that wait at this node */
	struct run_transfer *queue[RUN_QUEUE_MAX];
	int queued;
};

struct run_transfer {
	int is_used;
	int node;
	int release;
	int peer; /* index of the sending node, -1 for the origin */
	struct swarm_action action;
	apr_time_t end;
	enum transfer_result result;
	apr_interval_time_t wait;
};

struct run {
	int dcs, nodes_per_dc, count, chunks;
	uint64_t seed;
	double link_rate, cross_rate, origin_rate; /* bytes per second */
	double time_weight;
	int naive; /* every instance fetches every chunk from the origin */
	/*
	 * Time limit of a release. Engines that run release 0 load the named
	 * ones in turn within it. 0: chunks are distributed only.
	 */
	apr_interval_time_t load_time_limit;
	int release; /* the newest one, named at named_at[release] */
	apr_time_t named_at[RUN_RELEASES_MAX];
	long superseded_starts; /* transfers of a release that is superseded */
	long superseded_loads;
	/* steps of an engine whose release was superseded too long ago */
	long expired_steps;
	apr_time_t now;
	apr_time_t origin_free_at;
	enum run_origin origin_mode;
	int origin_corrupt; /* corrupt answers per 1000 origin fetches */
	int partitioned[PLACE_DATA_CENTERS_MAX];
	apr_time_t partitioned_at[PLACE_DATA_CENTERS_MAX];
	apr_time_t placed_at;
	struct random random;
	struct run_node nodes[RUN_NODES_MAX];
	struct run_transfer transfers[RUN_TRANSFERS_MAX];
	int *origin_fetches; /* origin fetches of each chunk */
	long origin_chunks;
	long cross_chunks[PLACE_DATA_CENTERS_MAX];
	long corrupt_staged; /* corrupt chunks accepted as valid */
	long exchanges;
	apr_time_t finished_at;
};

void run_begin(struct run *r);
void run_step(struct run *r);
int run_count_complete(const struct run *r);
int run_count_live(const struct run *r);
int run_find_node(const struct run *r, const char *id);
int run_count_loaded(const struct run *r);
void run_name_release(struct run *r);
void run_kill(struct run *r, int node);
void run_end(struct run *r);

#endif
