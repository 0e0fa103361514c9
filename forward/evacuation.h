#ifndef FORWARD_EVACUATION_H
#define FORWARD_EVACUATION_H

#include <stddef.h>
#include <stdint.h>

#include "base/schema.h"
#include "base/settings.h"

/*
 * Data centres whose upstreams get no new requests, by order of the operator.
 * One version of this set is a text that spreads like the list of upstreams.
 */

#define EVACUATIONS_MAX 64

struct evacuations {
	uint64_t version; /* 0: none is known yet */
	char data_centers[EVACUATIONS_MAX][SETTINGS_NAME_SIZE];
	int count;
};

int evacuations_parse(const char *text, size_t size, struct evacuations *out,
		      struct fault_list *faults);
int evacuations_contain(const struct evacuations *e, const char *data_center);

struct value_ops;
extern const struct value_ops evacuation_ops;

/* Copies the current set. May be called by any thread. */
void evacuations_get_current(struct evacuations *out);

#endif
