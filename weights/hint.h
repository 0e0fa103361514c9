#ifndef WEIGHTS_HINT_H
#define WEIGHTS_HINT_H

#include "weights/weights_proto.h"

/*
 * The same news as in messages between neighbours, as one HTTP header that
 * travels with a request for a chunk and its answer.  It saves messages; what
 * it says is only a hint about whom to ask, chunks are verified in any case.
 */

#define HINT_HEADER "X-Limpet-Have"
#define HINT_SENDER_HEADER "X-Limpet-Instance"
#define HINT_ENTRIES_MAX 16
#define HINT_SIZE 320 /* bytes of text */

void hint_format(const struct weights_have *h, char out[HINT_SIZE]);
int hint_parse(const char *text, struct weights_have *out,
	       u_int entries[HINT_ENTRIES_MAX]);

#endif
