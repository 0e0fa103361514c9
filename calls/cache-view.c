#include "calls/cache-view.h"

#include <string.h>

#include "base/digest.h"

/*
 * Takes one event.  Prefixes that share a slot replace each other, which
 * makes the older one look absent.
 */
void cache_view_apply_event(struct cache_view *v, uint64_t sequence, int store,
			    uint64_t prefix)
{
	uint64_t *slot = &v->slots[prefix % CACHE_VIEW_SLOTS];

	if (v->next && sequence < v->next)
		return;
	if (v->next && sequence > v->next)
		memset(v->slots, 0, sizeof(v->slots));
	v->next = sequence + 1;
	if (store)
		*slot = prefix;
	else if (*slot == prefix)
		*slot = 0;
}

/*
 * Returns 1 if the beginning of a prompt is believed to be cached: its first
 * blocks, as far as there are that many.
 */
int cache_view_has_prefix(const struct cache_view *v, const char *model,
			  const char *prompt)
{
	size_t blocks = strlen(prompt) / CACHE_BLOCK_BYTES;
	uint64_t prefix;

	if (!blocks)
		return 0;
	if (blocks > CACHE_PREFIX_BLOCKS_MAX)
		blocks = CACHE_PREFIX_BLOCKS_MAX;
	prefix = place_hash(prompt, blocks * CACHE_BLOCK_BYTES,
			    place_hash_string(model, 0));
	return v->slots[prefix % CACHE_VIEW_SLOTS] == prefix;
}
