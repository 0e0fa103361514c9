#ifndef CALLS_CACHE_VIEW_H
#define CALLS_CACHE_VIEW_H

#include <stdint.h>

/*
 * What a gate believes to be in its engine's prefix cache, from events that
 * come late and with gaps.  After a gap everything is forgotten, so a gap
 * can only make a prefix look absent.
 */

#define CACHE_VIEW_SLOTS 16384
#define CACHE_BLOCK_BYTES 64 /* engines hash whole blocks of a prompt */
#define CACHE_PREFIX_BLOCKS_MAX 4

struct cache_view {
	uint64_t next; /* sequence number expected, 0 before the first */
	uint64_t slots[CACHE_VIEW_SLOTS];
};

void cache_view_apply_event(struct cache_view *v, uint64_t sequence, int store,
			    uint64_t prefix);
int cache_view_has_prefix(const struct cache_view *v, const char *model,
			  const char *prompt);

#endif
