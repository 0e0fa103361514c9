#ifndef WEIGHTS_ACTIVATE_H
#define WEIGHTS_ACTIVATE_H

#include <apr_time.h>
#include <stdint.h>

#include "base/digest.h"

/*
 * Decides when an engine is ordered to load a version, and whether the version
 * that it runs may serve calls. Nothing here reads a clock or does I/O.
 */

#define ACTIVATE_LOADERS_MAX 32 /* bits in the masks of first loaders */
#define ACTIVATE_NOT_LOADER (-1)

struct activation {
	char wanted_version[DIGEST_HEX_SIZE];
	uint64_t fence;	 /* revision of the current configuration */
	int is_complete; /* every chunk is verified and staged */

	/* State as last read from the engine. */
	int is_running_known;
	char running_version
		[DIGEST_HEX_SIZE]; /* empty: the model is not loaded */
	int is_running_ready;
	uint64_t running_fence;
	apr_time_t running_at;
	/* the last wanted version that the engine was seen to run */
	char confirmed_version[DIGEST_HEX_SIZE];

	int is_ordering;    /* an order to the engine is in flight */
	int is_engine_busy; /* the engine is executing an order */
	int failures;
	apr_time_t ordered_at;
	apr_time_t not_before;
	/* the engine crashed while loading this version */
	int has_crashed_here;
	/* Mask of the crashes whose halt has expired. */
	uint32_t crash_expired_mask;
	apr_time_t halted_at; /* start of the halt, 0: not halted */

	/* end of the last pause of this process, 0: never paused */
	apr_time_t pause_end;
	/* time of the last contact with the platform or a peer */
	apr_time_t view_checked_at;
	uint64_t peer_revision; /* highest revision that a peer reported */

	int loader_bit;	 /* bit of this instance, or ACTIVATE_NOT_LOADER */
	int loader_rank; /* rank of this instance among the live ones */
	/* Instances that must run the version before the rest may load it. */
	int loaders_required;
	int live_count; /* live instances that are to load the version */
	/* When the version was declared, or first seen if that is not known. */
	apr_time_t declared_at;
	/* declaration of the first version after the one that the engine ran */
	apr_time_t outdated_at;
	/*
	 * Time limit from declared_at until all instances run the version.
	 * When it is set, they load one after the other over that time instead
	 * of after the first loaders. 0: no limit.
	 */
	apr_interval_time_t load_time_limit;
	/* time at which every chunk was staged, 0: not yet */
	apr_time_t completed_at;
	/* mask of the first loaders that run the version */
	uint32_t loaded_mask;
	/* mask of the first loaders that the version crashed */
	uint32_t crashed_mask;
};

enum activation_state {
	ACTIVATION_FETCHING = 0,
	ACTIVATION_READY,    /* the order is due now */
	ACTIVATION_WAITING,  /* complete, waits for the first loaders */
	ACTIVATION_CHECKING, /* complete, must confirm its view first */
	/* a peer or the engine has a newer configuration */
	ACTIVATION_STALE,
	/* an order is in flight, or the next one is delayed */
	ACTIVATION_ORDERED,
	ACTIVATION_HALTED, /* the version crashed an engine */
	ACTIVATION_SERVING
};

void activation_set_version(struct activation *a, const char *version,
			    apr_time_t declared_at);
enum activation_state activation_step(struct activation *a, apr_time_t now);
void activation_record_order(struct activation *a, int done, apr_time_t now);
void activation_record_unsent_order(struct activation *a, apr_time_t now);
void activation_record_replaced_order(struct activation *a);
void activation_record_running(struct activation *a, const char *version,
			       int ready, uint64_t fence, int rebooted,
			       apr_time_t now);
int activation_can_serve(const struct activation *a);
const char *activation_state_name(enum activation_state s);

#endif
