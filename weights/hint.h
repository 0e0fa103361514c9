#ifndef WEIGHTS_HINT_H
#define WEIGHTS_HINT_H

#include "weights/weights_proto.h"

/*
 * Encodes a weights_have message as an HTTP header of a request for a chunk
 * and of its answer, which saves separate messages. The content is only a hint
 * about which peer to request a chunk from; chunks are verified in any case.
 */

#define HINT_HEADER "X-Limpet-Have"
#define HINT_SENDER_HEADER "X-Limpet-Instance"
#define HINT_ENTRIES_MAX 16
#define HINT_SIZE 320 /* bytes, with the terminating NUL */

void hint_format(const struct weights_have *h, char out[HINT_SIZE]);
int hint_parse(const char *text, struct weights_have *out,
	       u_int entries[HINT_ENTRIES_MAX]);

#endif
