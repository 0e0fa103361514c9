#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <openssl/rand.h>

#include "t/standin/lib-engine.h"

#define RESTART_DELAY_MS 1000

struct engine_settings engine_settings;
struct engine_counts engine_counts;

/* Generates a new random boot ID. */
static void engine_new_boot_id(struct engine *engine)
{
	unsigned char raw[ENGINE_BOOT_LEN / 2];
	int i;

	RAND_bytes(raw, sizeof(raw));
	for (i = 0; i < ENGINE_BOOT_LEN / 2; i++)
		snprintf(engine->boot + (ptrdiff_t)2 * i, 3, "%02x", raw[i]);
}

/* Creates an engine without models; does not listen on its address yet. */
struct engine *engine_create(struct web_server *server, const char *address)
{
	struct engine *engine = calloc(1, sizeof(*engine));

	if (!engine)
		return NULL;
	if (apr_pool_create(&engine->pool, NULL)) {
		free(engine);
		return NULL;
	}
	snprintf(engine->address, sizeof(engine->address), "%s", address);
	engine->server = server;
	pthread_mutex_init(&engine->lock, NULL);
	engine->staged = apr_hash_make(engine->pool);
	engine->models = apr_hash_make(engine->pool);
	engine->blocks = apr_hash_make(engine->pool);
	engine->sessions = apr_hash_make(engine->pool);
	batch_init(engine);
	cache_init(engine);
	engine_new_boot_id(engine);
	return engine;
}

/*
 * Simulates a crash: drops all connections, models and staged chunks, and
 * refuses connections until the engine restarts.
 */
void engine_crash(struct engine *engine, int64_t now_ms)
{
	if (engine->restart_ms)
		return;
	engine_count(crashes, 1);
	engine->restart_ms = now_ms + RESTART_DELAY_MS;
	web_unlisten(engine->server, engine->address);
	batch_clear(engine);
	models_clear(engine);
	staging_clear(engine);
	cache_clear(engine);
	engine->event_count = 0;
	engine->fence = 0;
	free(engine->role);
	engine->role = NULL;
	web_drop_connections(engine->server, engine->address);
}

/* Restarts a crashed engine once its restart time has passed. */
static void engine_restart(struct engine *engine, int64_t now_ms)
{
	if (!engine->restart_ms || engine->restart_ms > now_ms)
		return;
	engine_new_boot_id(engine);
	if (!web_listen(engine->server, engine->address,
			(unsigned)engine_settings.port))
		engine->restart_ms = 0;
}

/* Runs periodic work: restart after a crash, decoding steps, load samples. */
void engine_tick(struct engine *engine, int64_t now_ms)
{
	pthread_mutex_lock(&engine->lock);
	engine_restart(engine, now_ms);
	batch_step(engine, now_ms);
	batch_sample(engine, now_ms);
	pthread_mutex_unlock(&engine->lock);
}

/*
 * Sets the fault mode.  A blackhole is not a mode: it affects the connections
 * that are open now and leaves the fault mode as it is.
 */
void engine_set_fault(struct engine *engine, enum engine_fault fault, int ms)
{
	pthread_mutex_lock(&engine->lock);
	if (fault == ENGINE_BLACKHOLE) {
		web_blackhole(engine->server, engine->address);
	} else {
		engine->fault = fault;
		engine->fault_ms = ms;
	}
	pthread_mutex_unlock(&engine->lock);
}
