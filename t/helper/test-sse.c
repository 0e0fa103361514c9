#include <stdio.h>
#include <string.h>

#include "calls/sse.h"

/* Parses an event stream split into two pieces at every position. */

static int events_seen;

static int count_event(void *arg, const char *text, size_t size)
{
	(void)arg;
	(void)text;
	(void)size;
	events_seen++;
	return 0;
}

static enum sse_fault feed_stream(const char *text, size_t cut, int *done)
{
	struct sse s;
	size_t n = strlen(text);

	events_seen = 0;
	sse_init(&s, "r1", 0, count_event, NULL);
	if (!sse_feed(&s, text, cut))
		sse_feed(&s, text + cut, n - cut);
	*done = s.has_ended;
	sse_destroy(&s);
	return s.fault;
}

int main(void)
{
	static const struct {
		const char *text;
		enum sse_fault fault;
		int done;
	} cases[] = {
		{ "data: {\"id\":\"r1\",\"index\":0,\"token\":\"a\"}\n\n"
		  "data: {\"id\":\"r1\",\"index\":1,\"token\":\"b\"}\n\n"
		  "data: {\"id\":\"r1\",\"done\":true,\"tokens\":2,"
		  "\"version\":\"v\"}\n\n",
		  SSE_OK, 1 },
		{ "data: {\"id\":\"r1\",\"index\":0,\"token\":\"a\"}\n\n"
		  "data: {\"id\":\"r1\",\"index\":2,\"token\":\"b\"}\n\n",
		  SSE_GAP, 0 },
		{ "data: {\"id\":\"r1\",\"index\":0,\"token\":\"a\"}\n\n"
		  "data: {\"id\":\"r1\",\"done\":true,\"tokens\":2,"
		  "\"version\":\"v\"}\n\n",
		  SSE_GAP, 0 },
		{ "data: {\"id\":\"r2\",\"index\":0,\"token\":\"a\"}\n\n",
		  SSE_MISMATCHED, 0 },
		{ "data: {\"id\":\"r1\",\"index\":0\n\n", SSE_MALFORMED, 0 },
		{ "data: {\"id\":\"r1\",\"index\":0,\"token\":\"a\"}\n", SSE_OK,
		  0 },
	};
	size_t i, cut;
	int done;

	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		for (cut = 0; cut <= strlen(cases[i].text); cut++) {
			if (feed_stream(cases[i].text, cut, &done) ==
				    cases[i].fault &&
			    done == cases[i].done)
				continue;
			printf("case %zu: wrong when split at byte %zu\n", i,
			       cut);
			return 1;
		}
	}
	return 0;
}
