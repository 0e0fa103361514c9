#include <string.h>

#include "calls/crash-table.h"

/* Which entries are told of changed items, and how often. */

/*
 * Returns how often a change is sent on by each entry: so many times that with
 * CRASH_FANOUT receivers each, e^-(log2(n) + 4) of the entries miss it.
 */
static int compute_rounds(int entries)
{
	int sends = 4;

	if (entries - 1 <= CRASH_FANOUT_ALL)
		return CRASH_ROUNDS_MIN;
	while (entries >>= 1)
		sends++;
	return (sends + CRASH_FANOUT - 1) / CRASH_FANOUT;
}

/*
 * Sets the live entries, by the hashes of their ids, of which one is chosen
 * for each trial, and the number of all that changes are sent to.
 */
void crash_set_entries(struct crash_list *c, uint64_t self,
		       const uint64_t *live, int count, int total)
{
	table_lock(&c->rows);
	c->self = self;
	c->entry_count = count < CRASH_ENTRIES_MAX ? count : CRASH_ENTRIES_MAX;
	memcpy(c->entries, live, c->entry_count * sizeof(*live));
	c->rounds = compute_rounds(total);
	table_unlock(&c->rows);
}

/* Chooses up to max of those whose locals[i] is is_local.  Returns the count. */
static int choose_some(const int *locals, int count, int is_local, int max,
		       struct random *random, int *out)
{
	int i, at, seen = 0, n = 0;

	for (i = 0; i < count; i++) {
		if (locals[i] != is_local)
			continue;
		seen++;
		at = n < max ? n++ : (int)random_below(random, seen);
		if (at < max)
			out[at] = i;
	}
	return n;
}

/*
 * Chooses whom to send changes to, as indexes into locals: all if they are
 * few, else CRASH_FANOUT at random, most of them local.  Returns the count.
 */
int crash_choose_targets(const int *locals, int count, struct random *random,
			 int *out)
{
	int i, n, local_count = 0, remote;

	if (count <= CRASH_FANOUT_ALL) {
		for (i = 0; i < count; i++)
			out[i] = i;
		return count;
	}
	for (i = 0; i < count; i++)
		local_count += locals[i];
	remote = CRASH_FANOUT_REMOTE;
	if (count == local_count)
		remote = 0;
	if (local_count < CRASH_FANOUT - remote)
		remote = CRASH_FANOUT - local_count;
	n = choose_some(locals, count, 1, CRASH_FANOUT - remote, random, out);
	return n + choose_some(locals, count, 0, remote, random, out + n);
}
