#ifndef CONFIG_DELTA_H
#define CONFIG_DELTA_H

#include <stddef.h>

/*
 * Binary deltas, so that a small change of a large document is sent as a
 * small message.  A delta is a sequence of operations.  Each copies a range
 * of the old text and then appends literal bytes that follow in the delta.
 */

char *delta_encode(const char *from, size_t from_size, const char *to,
		   size_t to_size, size_t *size);
char *delta_apply(const char *from, size_t from_size, const char *delta,
		  size_t delta_size, size_t size_max, size_t *size);

#endif
