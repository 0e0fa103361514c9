#ifndef WEIGHTS_ENGINE_OPS_H
#define WEIGHTS_ENGINE_OPS_H

#include <jansson.h>
#include <stdint.h>

#include "base/digest.h"
#include "base/error.h"
#include "weights/manifest.h"

/*
 * Protocol between an agent and its engine, and between an agent and the
 * origin of weights. Each kind of engine has one table of operations. Paths are
 * relative to the address of the engine or the origin.
 */

#define ENGINE_PATH_SIZE 384
#define ENGINE_BOOT_SIZE 64
#define ENGINE_MODELS_MAX 16

/* The terms by which an engine or the origin may address a chunk. */
struct chunk_location {
	const char *model;
	uint64_t release; /* the origin's number of the version, 0: none */
	const struct digest *digest;
	uint32_t position;  /* first position in the manifest */
	const char *source; /* the origin's file, from the manifest */
};

struct engine_model {
	char name[MANIFEST_NAME_SIZE];
	char version[DIGEST_HEX_SIZE];
	uint64_t release; /* the origin's number of it, 0: none */
	int is_ready;
	uint64_t fence;
};

/* State that an engine reports. */
struct engine_state {
	char boot[ENGINE_BOOT_SIZE]; /* changes with each start */
	int is_order_running;	     /* a load order is in progress */
	int running_count;	     /* running requests */
	int waiting_count;	     /* queued requests */
	int slowdown_percent; /* above 100: slower than typical, 0: not reported */
	int64_t order_count; /* orders begun since its start, -1: not reported */
	struct engine_model models[ENGINE_MODELS_MAX];
	int model_count;
};

/* An order to load a version. */
struct load_order {
	const char *model;
	uint64_t release;
	const char *version;
	uint64_t fence;
	/*
	 * The engine must refuse the order once it has begun another one than
	 * this many, -1: it is not told.
	 */
	int64_t order_count;
	const struct manifest *manifest;
};

enum order_result {
	ORDER_ACCEPTED = 1,  /* the order was carried out or is in progress */
	ORDER_CHUNK_MISSING, /* the engine lacks a chunk */
	ORDER_FAILED
};

struct engine_ops {
	const char *state_path;
	/* Returns -1 if the answer is not a valid state. */
	int (*parse_state)(const json_t *o, struct engine_state *out);

	int reports_load; /* the state has the counts of requests */

	/* 1: staging is by digest; 0: by position in one model's manifest */
	int has_digest_staging;
	void (*make_list_path)(const char *model, char *out);
	const json_t *(*get_staged_chunks)(const json_t *o);
	void (*make_read_path)(const struct chunk_location *c, char *out);
	void (*make_write_path)(const struct chunk_location *c, char *out);

	const char *order_path;
	/*
	 * Time limit of the answer to an order. An engine that answers when it
	 * has loaded needs more than one that answers when it begins.
	 */
	long order_timeout_ms;
	char *(*make_order_body)(const struct load_order *o);
	enum order_result (*classify_order_status)(int status);

	/* The origin supports byte ranges. */
	int has_origin_ranges;
	void (*make_manifest_path)(const char *model, uint64_t release,
				   const char *version, char *out);
	/*
	 * Converts the origin's answer to the text of a manifest, which the
	 * caller frees. NULL: the answer is the manifest itself.
	 */
	char *(*make_manifest_text)(const char *answer, size_t size,
				    struct error *err);
	void (*make_origin_path)(const struct chunk_location *c, char *out);
};

/* The engines and the weight store of docs/design/interfaces.md. */
extern const struct engine_ops engine_service_ops;

#endif
