#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "base/digest.h"
#include "calls/problem.h"
#include "calls/sse.h"
#include "calls/ticket.h"
#include "t/helper/lib-fuzz.h"

/*
 * What calls read from the other end.  FUZZ_TARGET says which: 1 tickets
 * (with a valid authentication code, so that the fields are read), 2 event
 * streams, 3 refusals.
 */

#ifndef FUZZ_TARGET
#define FUZZ_TARGET 1
#endif

static void stream_read(const char *text, size_t size)
{
	size_t cut = size ? (unsigned char)text[0] % size : 0;
	struct sse s;

	sse_init(&s, "r1", 0, event_ignore, NULL);
	if (!sse_feed(&s, text, cut))
		sse_feed(&s, text + cut, size - cut);
	sse_destroy(&s);
}

static void ticket_read(const char *text, size_t size)
{
	struct rpc_keys keys = { "a key of the fuzzer", "a former key" };
	struct error err = ERROR_INIT;
	char copy[TICKET_TEXT_SIZE + DIGEST_HEX_SIZE + 1];
	struct digest mac;
	struct ticket t;

	if (size > TICKET_TEXT_SIZE)
		size = TICKET_TEXT_SIZE;
	memcpy(copy, text, size);
	digest_hmac(keys.current, copy, size, &mac);
	copy[size] = ':';
	digest_hex(&mac, copy + size + 1);
	ticket_verify(copy, &keys, &t, &err);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	const char *text = (const char *)data;
	struct refusal r;

	switch (FUZZ_TARGET) {
	case 1:
		ticket_read(text, size);
		break;
	case 2:
		stream_read(text, size);
		break;
	default:
		refusal_parse(text, size, &r);
	}
	return 0;
}
