#include "base/random.h"

#include <openssl/rand.h>
#include <stdlib.h>

/* Seeds the generator; equal seeds produce equal sequences. */
void random_seed(struct random *r, uint64_t seed)
{
	/*
	 * Spread small seeds over all bits.  A state of zero must be avoided:
	 * the generator would return only zeros.
	 */
	seed += 0x9e3779b97f4a7c15ull;
	seed = (seed ^ (seed >> 30)) * 0xbf58476d1ce4e5b9ull;
	seed = (seed ^ (seed >> 27)) * 0x94d049bb133111ebull;
	r->state = seed ^ (seed >> 31);
	if (!r->state)
		r->state = 1;
}

/* Returns the next 64 pseudo-random bits. */
uint64_t random_next(struct random *r)
{
	r->state ^= r->state >> 12;
	r->state ^= r->state << 25;
	r->state ^= r->state >> 27;
	return r->state * 0x2545f4914f6cdd1dull;
}

/* Returns an integer from 0 to bound - 1; bound must not be 0. */
uint32_t random_below(struct random *r, uint32_t bound)
{
	return (uint32_t)((random_next(r) >> 32) * bound >> 32);
}

/* Returns a real number in [0, 1). */
double random_unit(struct random *r)
{
	return (double)(random_next(r) >> 11) / 9007199254740992.0;
}

/*
 * Fills out with size bytes from the cryptographic random generator.  Aborts
 * the process on failure.
 */
void random_secure(void *out, size_t size)
{
	if (RAND_bytes(out, (int)size) != 1)
		abort();
}
