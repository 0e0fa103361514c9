#ifndef WEIGHTS_ACTIVATE_H
#define WEIGHTS_ACTIVATE_H

#include <apr_time.h>
#include <stdint.h>

#include "base/digest.h"

/*
 * When an engine is ordered to load a version, and whether what it runs may
 * take calls.  Pure.
 */

#define ACTIVATE_LOADERS_MAX 32 /* bits in the masks of first loaders */
#define ACTIVATE_NOT_LOADER (-1)

struct activation {
	char wanted_version[DIGEST_HEX_SIZE];
	uint64_t fence;	 /* revision of the configuration in force */
	int is_complete; /* every chunk is verified and staged */

	/* as read back from the engine */
	int is_running_known;
	char running_version
		[DIGEST_HEX_SIZE]; /* empty: the model isn't loaded */
	int is_running_ready;
	uint64_t running_fence;
	apr_time_t running_at;
	/* the last version seen to run as wanted */
	char confirmed_version[DIGEST_HEX_SIZE];

	int is_ordering;    /* an order is under way */
	int is_engine_busy; /* the engine carries one out */
	int failures;
	apr_time_t ordered_at;
	apr_time_t not_before;
	int has_crashed_here; /* the engine died of this version's load */
	uint32_t crash_expired_mask; /* crashes that no longer hold it back */
	apr_time_t halted_at;	     /* 0: not halted */

	apr_time_t pause_end;	    /* of this process, 0: never */
	apr_time_t view_checked_at; /* last word from the platform or a peer */
	uint64_t peer_revision;	    /* highest that a peer named */

	int loader_bit;	      /* this instance's bit, or ACTIVATE_NOT_LOADER */
	int loader_rank;      /* of this instance among the live ones */
	int loaders_required; /* how many run it before the rest may load */
	int live_count;	      /* instances that are to load it */
	apr_time_t first_seen_at; /* when the version was first seen here */
	/*
	 * All must run it so long after it was named: they load one after the
	 * other over that time instead of after the first loaders.  0: no bound.
	 */
	apr_interval_time_t load_time_limit;
	apr_time_t completed_at; /* when this instance got whole, 0: not yet */
	uint32_t loaded_mask;	 /* that are known to run it */
	uint32_t crashed_mask;	 /* that it brought down */
};

enum activation_state {
	ACTIVATION_FETCHING = 0,
	ACTIVATION_READY,    /* the order is due now */
	ACTIVATION_WAITING,  /* whole, waits for the first loaders */
	ACTIVATION_CHECKING, /* whole, must re-check its view first */
	ACTIVATION_STALE,    /* a peer knows of a newer configuration */
	ACTIVATION_ORDERED,  /* under way, or backing off */
	ACTIVATION_HALTED,   /* it crashed on a first loader */
	ACTIVATION_SERVING
};

int activation_is_loaded_first(const struct activation *a, double held,
			       apr_time_t now);
void activation_set_version(struct activation *a, const char *version);
enum activation_state activation_step(struct activation *a, apr_time_t now);
void activation_record_order(struct activation *a, int done, apr_time_t now);
void activation_record_running(struct activation *a, const char *version,
			       int ready, uint64_t fence, int rebooted,
			       apr_time_t now);
int activation_can_serve(const struct activation *a);
const char *activation_state_name(enum activation_state s);

#endif
