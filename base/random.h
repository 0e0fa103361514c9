#ifndef BASE_RANDOM_H
#define BASE_RANDOM_H

#include <stddef.h>
#include <stdint.h>

/*
 * Seeded pseudo-random generator (xorshift64*).  Decision functions take it as
 * an argument, so that their results can be reproduced.
 */
struct random {
	uint64_t state;
};

void random_seed(struct random *r, uint64_t seed);
uint64_t random_next(struct random *r);
uint32_t random_below(struct random *r, uint32_t bound);
double random_unit(struct random *r);
void random_secure(void *out, size_t size);

#endif
