#include <jansson.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "config/document.h"
#include "config/repair.h"
#include "forward/events.h"
#include "platform/document.h"
#include "platform/platform.h"
#include "t/helper/lib-fuzz.h"

/*
 * Fuzzes the parsers of data that the users' platform sends.  FUZZ_TARGET is 1
 * for the operator's items, 2 for the servers' items, 3 for an engine's report,
 * 4 for the origin's manifest, 5 for the events of a stream that is truncated
 * and then resumed.
 */

#ifndef FUZZ_TARGET
#define FUZZ_TARGET 1
#endif

static void fuzz_events(const char *text, size_t size)
{
	size_t first_size = size ? (unsigned char)text[0] % size : 0;
	struct event_splitter e;

	events_init(&e);
	if (!events_feed(&e, text, first_size, event_ignore, NULL)) {
		events_resume(&e);
		events_feed(&e, text + first_size, size - first_size,
			    event_ignore, NULL);
	}
	events_destroy(&e);
}

static void fuzz_manifest(const char *text, size_t size)
{
	struct error err = ERROR_INIT;

	free(platform_engine_ops.make_manifest_text(text, size, &err));
}

/* Whatever the operator writes, something of it is in force. */
static void check_document(json_t *root)
{
	char *text = json_dumps(root, JSON_COMPACT | JSON_SORT_KEYS);
	struct fault_list faults = { 0 };
	char *repaired =
		text ? document_repair(text, strlen(text), &faults) : NULL;
	struct document *d = NULL;

	fault_list_clear(&faults);
	if (repaired)
		d = document_parse(repaired, strlen(repaired), &faults);
	if (text && !d)
		abort();
	fault_list_clear(&faults);
	document_unref(d);
	free(repaired);
	free(text);
	json_decref(root);
}

static void fuzz_json(const char *text, size_t size)
{
	json_t *o = json_loadb(text, size, 0, NULL);
	struct engine_state state;

	if (!json_is_object(o)) {
		json_decref(o);
		return;
	}
	if (FUZZ_TARGET == 1)
		check_document(platform_make_document(o, 1, 7));
	else if (FUZZ_TARGET == 2)
		json_decref(platform_make_upstreams(o, 1, 7));
	else
		platform_engine_ops.parse_state(o, &state);
	json_decref(o);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	const char *text = (const char *)data;

	if (FUZZ_TARGET == 5)
		fuzz_events(text, size);
	else if (FUZZ_TARGET == 4)
		fuzz_manifest(text, size);
	else
		fuzz_json(text, size);
	return 0;
}
