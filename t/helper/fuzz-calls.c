#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "base/digest.h"
#include "calls/problem.h"
#include "calls/sse.h"
#include "calls/ticket.h"
#include "t/helper/lib-fuzz.h"

/*
 * Fuzzes the parsers of data that calls receive from peers.  FUZZ_TARGET is 1
 * for tickets, 2 for event streams, 3 for refusals.  Tickets get a valid
 * message authentication code, as their fields are not parsed otherwise.
 */

#ifndef FUZZ_TARGET
#define FUZZ_TARGET 1
#endif

static void fuzz_stream(const char *text, size_t size)
{
	size_t first_size = size ? (unsigned char)text[0] % size : 0;
	struct sse s;

	sse_init(&s, "r1", 0, event_ignore, NULL);
	if (!sse_feed(&s, text, first_size))
		sse_feed(&s, text + first_size, size - first_size);
	sse_destroy(&s);
}

static void fuzz_ticket(const char *text, size_t size)
{
	struct rpc_keys keys = { "a key of the fuzzer", "a former key" };
	struct error err = ERROR_INIT;
	char signed_text[TICKET_TEXT_SIZE + DIGEST_HEX_SIZE + 1];
	struct digest mac;
	struct ticket t;

	if (size > TICKET_TEXT_SIZE)
		size = TICKET_TEXT_SIZE;
	memcpy(signed_text, text, size);
	digest_hmac(keys.current, signed_text, size, &mac);
	signed_text[size] = ':';
	digest_hex(&mac, signed_text + size + 1);
	ticket_verify(signed_text, &keys, &t, &err);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	const char *text = (const char *)data;
	struct refusal r;

	switch (FUZZ_TARGET) {
	case 1:
		fuzz_ticket(text, size);
		break;
	case 2:
		fuzz_stream(text, size);
		break;
	default:
		refusal_parse(text, size, &r);
	}
	return 0;
}
