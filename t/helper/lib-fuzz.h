#ifndef T_HELPER_LIB_FUZZ_H
#define T_HELPER_LIB_FUZZ_H

#include <stddef.h>
#include <stdint.h>

/* What the fuzz programs share. */

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* Takes the events of a stream and does nothing with them. */
static inline int event_ignore(void *arg, const char *text, size_t size)
{
	(void)arg;
	(void)text;
	(void)size;
	return 0;
}

#endif
