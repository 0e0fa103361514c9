#include "net/framing.h"

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
