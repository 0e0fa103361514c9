/*
 * Stand-in of a model engine with simulated weights: staging memory, orders,
 * continuous batching, prefix cache and load reports.  One process runs any
 * number of engines, each on its own address.
 *
 * Lock order: the engine's lock before any lock of lib-web.h and lib-blob.h.
 */
#ifndef STANDIN_LIB_ENGINE_H
#define STANDIN_LIB_ENGINE_H

#include <apr_hash.h>
#include <apr_pools.h>
#include <pthread.h>

#include "t/standin/lib-blob.h"
#include "t/standin/lib-web.h"

#define ENGINE_PRIORITIES 10
#define ENGINE_VERSION_MAX 128
#define ENGINE_BOOT_LEN 32
#define ENGINE_LOAD_SAMPLES 1024
#define ENGINE_LOAD_SAMPLE_MS 10
#define ENGINE_EVENTS 4096

enum engine_fault {
	ENGINE_OK,
	ENGINE_BLACKHOLE,
	ENGINE_REFUSE_ORDERS,
	ENGINE_CRASH_ON_LOAD,
	ENGINE_IGNORE_FENCE,
	ENGINE_SLOW,
	ENGINE_FAULT_COUNT
};

struct engine_settings {
	int port;
	int fencing;
	int slots;
	int token_ms;
	int load_lag_ms;
	int load_ms;	  /* duration of a load order */
	int prefill_us;	  /* prefill time per uncached block */
	int cache_blocks; /* capacity of the prefix cache */
	int event_lag_ms;
	int event_gap; /* every event_gap-th event is lost, 0 for none */
	long long staging_bytes;
};

extern struct engine_settings engine_settings;

struct staged_chunk {
	char digest[BLOB_HEX_LEN + 1];
	struct blob *blob;
};

struct engine_model {
	char *name;
	char version[ENGINE_VERSION_MAX + 1];
	char content[BLOB_HEX_LEN + 1];
	json_int_t fence;
	int64_t ready_ms;
};

enum call_state {
	CALL_WAITING,
	CALL_RUNNING,
	CALL_DONE,
	CALL_CANCELLED,
};

struct engine_call {
	struct engine_call *next;
	struct engine_call *prev;
	struct engine *engine;
	struct web_request *req;
	enum call_state state;
	char *id;
	char *id_json; /* id as a JSON string */
	char *model;
	char *prompt;
	char *session;
	char version[ENGINE_VERSION_MAX + 1];
	char content[BLOB_HEX_LEN + 1];
	int priority;
	bool is_streamed;
	int first;	 /* index of the first token to send */
	int end;	 /* one past the index of the last token */
	int generated;	 /* index of the next token to generate */
	int sent_tokens; /* index of the next token to send */
	bool has_sent_end;
	int64_t prefill_end_ms;
	char *out; /* formatted event, out_sent of out_len bytes sent */
	size_t out_len;
	size_t out_sent;
};

struct cache_block {
	struct cache_block *next;
	struct cache_block *prev;
	uint64_t hash;
};

struct cache_event {
	int64_t at_ms;
	uint64_t hash;
	bool is_store; /* else an eviction */
};

struct kv_session {
	char *name;
	char content[BLOB_HEX_LEN + 1];
	int blocks;
	uint64_t hashes[];
};

struct load_sample {
	int64_t at_ms;
	int running;
	int waiting;
};

struct engine {
	char address[WEB_ADDRESS_MAX];
	struct web_server *server;
	pthread_mutex_t lock;
	apr_pool_t *pool;
	char boot[ENGINE_BOOT_LEN + 1];
	int64_t restart_ms; /* restart time after a crash, 0 if not crashed */
	enum engine_fault fault;
	int fault_ms;

	apr_hash_t *staged;
	size_t used;
	apr_hash_t *models;
	json_int_t fence;
	char *role;

	struct engine_call running; /* heads of circular lists */
	struct engine_call waiting[ENGINE_PRIORITIES];
	int running_count;
	int waiting_count;
	int64_t step_ms; /* time of the next decoding step */
	struct load_sample samples[ENGINE_LOAD_SAMPLES];
	long sample_count;

	apr_hash_t *blocks;
	struct cache_block lru; /* circular list, most recently used first */
	int block_count;
	struct cache_event events[ENGINE_EVENTS];
	long event_count;
	apr_hash_t *sessions;
};

/* Counters summed over all engines of the process, updated atomically. */
struct engine_counts {
	long calls;
	long tokens;
	long cancelled;
	long orders;
	long crashes;
	long staged_bytes;
	long read_bytes;
};

extern struct engine_counts engine_counts;

#define engine_count(member, n)                                                \
	__atomic_fetch_add(&engine_counts.member, (n), __ATOMIC_RELAXED)

struct engine *engine_create(struct web_server *server, const char *address);
void engine_crash(struct engine *engine, int64_t now_ms);
void engine_tick(struct engine *engine, int64_t now_ms);
void engine_set_fault(struct engine *engine, enum engine_fault fault, int ms);

/* Callers of the functions below, except handlers, hold the engine's lock. */

/* lib-engine-staging.c */
enum web_result staging_handle(struct engine *engine, struct web_request *req);
void staging_clear(struct engine *engine);

/* lib-engine-orders.c */
enum web_result orders_handle(struct engine *engine, struct web_request *req);
enum web_result running_handle(struct engine *engine, struct web_request *req);
const struct engine_model *models_find_ready(struct engine *engine,
					     const char *name, int64_t now_ms);
void models_clear(struct engine *engine);

/* lib-engine-calls.c */
enum web_result generate_handle(struct engine *engine, struct web_request *req);
enum web_result cancel_handle(struct engine *engine, struct web_request *req);
void call_close(struct web_request *req);

/* lib-engine-batch.c */
void batch_init(struct engine *engine);
void batch_add(struct engine_call *call);
void batch_remove(struct engine_call *call, enum call_state state);
void batch_clear(struct engine *engine);
void batch_step(struct engine *engine, int64_t now_ms);
struct engine_call *batch_find(struct engine *engine, const char *id);
void batch_sample(struct engine *engine, int64_t now_ms);
json_t *batch_runs(void);
enum web_result load_handle(struct engine *engine, struct web_request *req);

/* lib-engine-cache.c */
void cache_init(struct engine *engine);
int cache_lookup(struct engine *engine, const struct engine_call *call,
		 int64_t now_ms);
void cache_clear(struct engine *engine);
enum web_result events_handle(struct engine *engine, struct web_request *req);
enum web_result kv_handle(struct engine *engine, struct web_request *req);

#endif
