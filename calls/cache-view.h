#ifndef CALLS_CACHE_VIEW_H
#define CALLS_CACHE_VIEW_H

#include <stdint.h>

/*
 * Estimated contents of an engine's prefix cache, derived from the engine's
 * cache events.  Events arrive late, and some may be missing.  A gap in the
 * sequence numbers clears the view, so that a missed event can only make a
 * cached prefix look absent.
 */

#define CACHE_VIEW_SLOTS 16384
#define CACHE_BLOCK_BYTES 64 /* engines hash complete blocks of a prompt */
#define CACHE_PREFIX_BLOCKS_MAX 4

struct cache_view {
	uint64_t next_sequence; /* of the next event; 0 at the start */
	uint64_t slots[CACHE_VIEW_SLOTS];
};

void cache_view_apply_event(struct cache_view *v, uint64_t sequence, int store,
			    uint64_t prefix);
int cache_view_has_prefix(const struct cache_view *v, const char *model,
			  const char *prompt);

#endif
