#ifndef T_HELPER_LIB_FUZZ_H
#define T_HELPER_LIB_FUZZ_H

#include <stddef.h>
#include <stdint.h>

/* Declarations shared by the fuzz targets. */

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* Event callback that discards the event. */
static inline int event_ignore(void *arg, const char *text, size_t size)
{
	(void)arg;
	(void)text;
	(void)size;
	return 0;
}

#endif
