#include "base/error.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

/*
 * Fills in err and always returns -1, so that a failing function can end with
 * "return error_set(...)".  err may be NULL if the caller does not need the
 * details; step and peer may be NULL.  Texts that are too long are truncated.
 */
int error_set(struct error *err, enum error_code code, const char *step,
	      const char *peer, const char *fmt, ...)
{
	va_list ap;

	if (!err)
		return -1;
	err->code = code;
	snprintf(err->step, sizeof(err->step), "%s", step ? step : "");
	snprintf(err->peer, sizeof(err->peer), "%s", peer ? peer : "");
	va_start(ap, fmt);
	vsnprintf(err->text, sizeof(err->text), fmt, ap);
	va_end(ap);
	return -1;
}

/* Resets err to "no error". */
void error_clear(struct error *err)
{
	memset(err, 0, sizeof(*err));
}

/* Returns the stable lower-case name of an error code for logs and JSON. */
const char *error_code_name(enum error_code code)
{
	static const char *const names[] = {
		[ERROR_NONE] = "none",
		[ERROR_INVALID] = "invalid",
		[ERROR_MISSING] = "missing",
		[ERROR_REFUSED] = "refused",
		[ERROR_TIMEOUT] = "timeout",
		[ERROR_UNREACHABLE] = "unreachable",
		[ERROR_CORRUPT] = "corrupt",
		[ERROR_STALE] = "stale",
		[ERROR_FULL] = "full",
		[ERROR_AUTH] = "auth",
		[ERROR_INTERNAL] = "internal",
	};

	if ((unsigned)code >= sizeof(names) / sizeof(names[0]))
		return "unknown";
	return names[code];
}
