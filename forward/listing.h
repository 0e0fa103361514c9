#ifndef FORWARD_LISTING_H
#define FORWARD_LISTING_H

#include <stdint.h>

#include "base/schema.h"
#include "base/settings.h"

/*
 * One version of the platform's list of upstreams. A listing is immutable once
 * parsed and is shared by reference count.
 */

#define LISTED_MODELS_MAX 4

struct listed_model {
	char name[SETTINGS_NAME_SIZE];
	uint64_t release;
};

struct listed_upstream {
	char id[SETTINGS_NAME_SIZE];
	char service[SETTINGS_NAME_SIZE];
	char address[SETTINGS_ADDRESS_SIZE]; /* ADDRESS:PORT */
	char data_center[SETTINGS_NAME_SIZE];
	int slots;
	int is_draining;
	int64_t started_ms; /* start of its process, Unix time */
	int64_t cold_ms;    /* for which it stays cold, from its entry on */
	uint64_t sequence;  /* rises with each entry that the process writes */
	struct listed_model models[LISTED_MODELS_MAX];
	int model_count;
};

struct listing {
	uint64_t version;
	uint64_t epoch; /* rises when the store returns from an older copy */
	struct listed_upstream *items; /* ordered by id */
	int count;
	int refs; /* atomic */
};

struct listing *listing_parse(const char *text, size_t size,
			      struct fault_list *faults);
struct listing *listing_retain(struct listing *l);
void listing_release(struct listing *l);
const struct listed_upstream *listing_find(const struct listing *l,
					   const char *id);

struct value_ops;
extern const struct value_ops listing_ops;

/*
 * Returns a reference to the current list, or NULL. May be called by any
 * thread.
 */
struct listing *listing_get_current(void);

#endif
