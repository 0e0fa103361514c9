#include <jansson.h>
#include <stdint.h>
#include <stdlib.h>

#include "forward/events.h"
#include "platform/document.h"
#include "platform/platform.h"
#include "t/helper/lib-fuzz.h"

/*
 * What the users' platform sends.  FUZZ_TARGET says which: 1 the operator's
 * items, 2 the servers' items, 3 an engine's report, 4 the origin's manifest,
 * 5 the events of a stream that breaks off and goes on.
 */

#ifndef FUZZ_TARGET
#define FUZZ_TARGET 1
#endif

static void events_read(const char *text, size_t size)
{
	size_t cut = size ? (unsigned char)text[0] % size : 0;
	struct event_splitter e;

	events_init(&e);
	if (!events_feed(&e, text, cut, event_ignore, NULL)) {
		events_resume(&e);
		events_feed(&e, text + cut, size - cut, event_ignore, NULL);
	}
	events_destroy(&e);
}

static void manifest_read(const char *text, size_t size)
{
	struct error err = ERROR_INIT;

	free(platform_engine_ops.make_manifest_text(text, size, &err));
}

static void json_read(const char *text, size_t size)
{
	json_t *o = json_loadb(text, size, 0, NULL);
	struct engine_state state;

	if (!json_is_object(o)) {
		json_decref(o);
		return;
	}
	if (FUZZ_TARGET == 1)
		json_decref(platform_document(o, 7));
	else if (FUZZ_TARGET == 2)
		json_decref(platform_upstreams(o, 7));
	else
		platform_engine_ops.parse_state(o, &state);
	json_decref(o);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	const char *text = (const char *)data;

	if (FUZZ_TARGET == 5)
		events_read(text, size);
	else if (FUZZ_TARGET == 4)
		manifest_read(text, size);
	else
		json_read(text, size);
	return 0;
}
