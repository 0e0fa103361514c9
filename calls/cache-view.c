#include "calls/cache-view.h"

#include <string.h>

#include "base/digest.h"

/*
 * Applies one event: prefix was stored, or else removed.  Events that were
 * applied already are ignored.  Prefixes that share a slot replace each other,
 * which makes the older one look absent.
 */
void cache_view_apply_event(struct cache_view *v, uint64_t sequence, int store,
			    uint64_t prefix)
{
	uint64_t *slot = &v->slots[prefix % CACHE_VIEW_SLOTS];

	if (v->next_sequence && sequence < v->next_sequence)
		return;
	if (v->next_sequence && sequence > v->next_sequence)
		memset(v->slots, 0, sizeof(v->slots));
	v->next_sequence = sequence + 1;
	if (store)
		*slot = prefix;
	else if (*slot == prefix)
		*slot = 0;
}

/*
 * Returns 1 if the first complete blocks of the prompt, at most
 * CACHE_PREFIX_BLOCKS_MAX, are probably cached.  Prompts shorter than one block
 * never are.
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
