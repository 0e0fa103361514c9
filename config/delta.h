#ifndef CONFIG_DELTA_H
#define CONFIG_DELTA_H

#include <stddef.h>

/*
 * The difference of two texts, so that a small change of a large document
 * is a small message.  A delta is a row of steps, each "copy so much from
 * there in the old text, then take so many bytes from here".
 */

char *delta_encode(const char *from, size_t from_size, const char *to,
		   size_t to_size, size_t *size);
char *delta_apply(const char *from, size_t from_size, const char *delta,
		  size_t delta_size, size_t size_max, size_t *size);

#endif
