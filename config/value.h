#ifndef CONFIG_VALUE_H
#define CONFIG_VALUE_H

#include <stddef.h>
#include <stdint.h>

#include <apr_time.h>
#include <jansson.h>

#include "base/pool.h"
#include "config/overlay.h"
#include "net/node.h"
#include "config/spread.h"

/*
 * The operations that differ between the values that the platform
 * publishes: how a value is read, and how its text is checked and applied.
 */

/* Result of one read of a value from the platform. */
enum platform_answer {
	PLATFORM_FAILED = 0, /* no answer, or an unusable one */
	PLATFORM_UNCHANGED,  /* an answer: there is no newer version */
	PLATFORM_TEXT	     /* a text, possibly of a newer version */
};

/*
 * One read of a value from the platform.  The caller fills in the first
 * part.  The platform's read operation finishes it by one call of
 * platform_read_finish, on any thread.
 */
struct platform_read {
	struct node *node;
	int value;
	uint64_t after_version; /* current version of this process */
	/* time to wait for a newer version, 0: the answer did not wait */
	int hold_ms;
	int is_disputed; /* a peer has another text under the current version */
	void (*on_finish)(struct platform_read *r);

	/* the answer */
	/* when it began to arrive, or failed; early rather than late */
	apr_time_t answered_at;
	enum platform_answer answer;
	char *text; /* freed by the caller that started the read */
	size_t size;
	json_t *root; /* what the text was made of, or NULL; freed likewise */
};

/* Operations of one kind of platform. */
struct platform_ops {
	void (*read)(struct platform_read *r);
	/*
	 * Its operators are told that a value is accepted before it is read
	 * here: what has faults is left out, the rest is applied.
	 */
	int accepts_first;
};

/* The configuration service of docs/design/interfaces.md. */
extern const struct platform_ops platform_service_ops;

/* Sets the platform; to be called before node_run.  ops must stay valid. */
void config_set_platform(const struct platform_ops *ops);

int platform_read_submit(struct platform_read *r, struct job *job);
void platform_read_record_answer(struct platform_read *r);
uint64_t platform_read_current(struct platform_read *r, struct digest *digest);
void platform_read_finish(struct platform_read *r, enum platform_answer answer,
			  char *text, size_t size);

enum value_verdict {
	VALUE_APPLIED = 1, /* valid, newer than the current one and applied */
	VALUE_OLD,	   /* not newer than the current version */
	VALUE_INVALID	   /* rejected; no part of it was applied */
};

/* Where a text comes from. */
struct text_source {
	const char *name; /* for operators: "platform", or the address */
	const char *peer; /* address of the process that sent it, or NULL */
	/*
	 * A change that the current version does not contain was made at this
	 * time or later.
	 */
	apr_time_t earliest_change_at;
	int is_accepted;    /* the platform told its operators so */
	const json_t *root; /* the text as JSON, if it need not be parsed */
};

struct value_ops {
	const char *name;

	/*
	 * Checks a text and applies it if it is valid and newer.  *version
	 * receives its version, or 0 if the text does not contain one.
	 */
	enum value_verdict (*apply)(void *arg, const char *text, size_t size,
				    const struct text_source *source,
				    uint64_t *version);

	/*
	 * Returns an invalid text without the parts that have faults, or NULL if
	 * nothing is left.  The caller frees it.  NULL: never repaired.
	 */
	char *(*repair)(void *arg, const char *text, size_t size);
};

/*
 * Sets the operations of a value; to be called before node_run.  ops must
 * stay valid.
 */
void config_set_value_ops(int value, const struct value_ops *ops, void *arg);

/* Copies the current overlay.  May be called on any thread. */
void config_get_overlay(struct overlay *out);

#endif
