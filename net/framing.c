#include "net/framing.h"

#include <string.h>

/* Returns the name of a framing, for log lines and metrics. */
const char *framing_name(enum framing framing)
{
	static const char *const names[] = {
		[FRAMING_NONE] = "none",
		[FRAMING_LENGTH] = "length",
		[FRAMING_CHUNKED] = "chunked",
		[FRAMING_CLOSE] = "close",
	};

	return names[framing];
}

/* Copies a Content-Type; one that is too long becomes "", which is no type. */
void content_type_copy(char out[CONTENT_TYPE_SIZE], const char *value)
{
	size_t size = strlen(value) + 1;

	if (size > CONTENT_TYPE_SIZE)
		*out = '\0';
	else
		memcpy(out, value, size);
}
