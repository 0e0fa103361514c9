#ifndef CONFIG_VALUE_H
#define CONFIG_VALUE_H

#include <stddef.h>
#include <stdint.h>

#include "config/overlay.h"
#include "net/node.h"
#include "config/spread.h"

/*
 * What each value that the platform publishes brings of its own: where it
 * is read and how a text is checked and put in force.
 */

/*
 * One read of a value at the platform.  The reader fills in the first part;
 * the platform's side answers by platform_read_finish, once, on any thread.
 */
enum platform_answer {
	PLATFORM_FAILED = 0, /* no answer, or none that can be used */
	PLATFORM_UNCHANGED,  /* it answered; there is nothing newer */
	PLATFORM_TEXT	     /* a text, which may be newer */
};

struct platform_read {
	struct node *node;
	int value;
	uint64_t after_version; /* version held here */
	int hold_s; /* the answer may wait so long for news, 0: not */
	void (*on_finish)(struct platform_read *r);

	/* the answer */
	enum platform_answer answer;
	char *text; /* freed by the reader */
	size_t size;
};

/* How the values of one kind of platform are read. */
struct platform_ops {
	void (*read)(struct platform_read *r);
};

/* The configuration service of docs/design/interfaces.md. */
extern const struct platform_ops platform_service_ops;

/* Before node_run; kept by reference. */
void config_set_platform(const struct platform_ops *ops);

void platform_read_finish(struct platform_read *r, enum platform_answer answer,
			  char *text, size_t size);

enum value_verdict {
	VALUE_APPLIED = 1, /* valid and above what was held: now in force */
	VALUE_OLD,	   /* not above what is held */
	VALUE_INVALID	   /* refused whole */
};

struct value_ops {
	const char *name;
	/* *version receives the version, 0 when the text doesn't tell. */
	enum value_verdict (*apply)(void *arg, const char *text, size_t size,
				    uint64_t *version);
};

/* Before node_run; ops are kept by reference. */
void config_set_value_ops(int value, const struct value_ops *ops, void *arg);

/* Copies the present neighbours; any thread. */
void config_get_overlay(struct overlay *out);

#endif
