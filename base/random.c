#include "base/random.h"

#include <openssl/rand.h>
#include <stdlib.h>

/* Seeds the generator; equal seeds give equal sequences. */
void random_seed(struct random *r, uint64_t seed)
{
	/* Spreads small seeds over all bits; zero would be a fixed point. */
	seed += 0x9e3779b97f4a7c15ull;
	seed = (seed ^ (seed >> 30)) * 0xbf58476d1ce4e5b9ull;
	seed = (seed ^ (seed >> 27)) * 0x94d049bb133111ebull;
	r->state = seed ^ (seed >> 31);
	if (!r->state)
		r->state = 1;
}

/* Returns the next 64 bits. */
uint64_t random_next(struct random *r)
{
	r->state ^= r->state >> 12;
	r->state ^= r->state << 25;
	r->state ^= r->state >> 27;
	return r->state * 0x2545f4914f6cdd1dull;
}

/* Returns a number from 0 to bound - 1; bound must not be 0. */
uint32_t random_below(struct random *r, uint32_t bound)
{
	return (uint32_t)((random_next(r) >> 32) * bound >> 32);
}

/* Returns a number in [0, 1). */
double random_unit(struct random *r)
{
	return (double)(random_next(r) >> 11) / 9007199254740992.0;
}

/* Fills out from the system's cryptographic source; aborts on failure. */
void random_secure(void *out, size_t size)
{
	if (RAND_bytes(out, (int)size) != 1)
		abort();
}
