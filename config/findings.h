#ifndef CONFIG_FINDINGS_H
#define CONFIG_FINDINGS_H

#include "config/document.h"

/*
 * Finds in a valid document what its author can't have meant: entries that never
 * take effect, and limits that contradict each other.
 */

void document_find(const struct document *d, struct fault_list *out);

#endif
