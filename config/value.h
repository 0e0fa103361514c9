#ifndef CONFIG_VALUE_H
#define CONFIG_VALUE_H

#include <stddef.h>
#include <stdint.h>

#include "config/overlay.h"
#include "config/spread.h"

/*
 * What each value that the platform publishes brings of its own: where it
 * is read and how a text is checked and put in force.
 */

enum value_verdict {
	VALUE_TAKEN = 1, /* valid and above what was held: now in force */
	VALUE_OLD,	 /* not above what is held */
	VALUE_INVALID	 /* refused whole */
};

struct value_ops {
	const char *name;
	const char *path; /* at the platform */
	/* *version receives the version, 0 when the text doesn't tell. */
	enum value_verdict (*take)(void *arg, const char *text, size_t size,
				   uint64_t *version);
};

/* Before node_run; ops are kept by reference. */
void config_value_set(int value, const struct value_ops *ops, void *arg);

/* Copies the present neighbours; any thread. */
void config_overlay(struct overlay *out);

#endif
