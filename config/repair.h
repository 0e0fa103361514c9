#ifndef CONFIG_REPAIR_H
#define CONFIG_REPAIR_H

#include <stddef.h>

#include "base/schema.h"

/*
 * Makes a valid document of one with faults, for platforms whose operators are
 * told that a configuration is accepted before the processes read it.
 */

char *document_repair(const char *text, size_t size,
		      struct fault_list *removed);

#endif
