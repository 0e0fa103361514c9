#ifndef BASE_LOG_H
#define BASE_LOG_H

#include <jansson.h>

#include "base/error.h"

/*
 * Structured logging to standard output: each line is one JSON object with a
 * syslog severity.  Logging never blocks the caller.  Two limits apply:
 *
 * - Lines without a request: after LOG_BURST lines with the same format
 *   string within LOG_WINDOW_US, further ones are suppressed and counted; the
 *   first line after the window reports the count.
 *
 * - Lines that name a request are limited in bytes per second: severity
 *   warning or worse by LOG_FAILURE_BYTES_PER_S, all others by
 *   LOG_PLAIN_BYTES_PER_S.
 */

enum log_severity {
	LOG_SEV_ERROR = 3,
	LOG_SEV_WARNING = 4,
	LOG_SEV_NOTICE = 5,
	LOG_SEV_INFO = 6,
	LOG_SEV_DEBUG = 7
};

struct log_place {
	const char *step;    /* operation in progress */
	const char *peer;    /* id or address of the remote end, or NULL */
	const char *request; /* request id, or NULL */
};

void log_init(const char *program, const char *instance,
	      enum log_severity min_severity);
void log_level_set(enum log_severity min_severity);
void log_write(enum log_severity sev, const struct log_place *at,
	       const char *fmt, ...) __attribute__((format(printf, 3, 4)));
/* Like log_write(), with additional members; takes over the reference. */
void log_fields(enum log_severity sev, const struct log_place *at,
		json_t *fields, const char *fmt, ...)
	__attribute__((format(printf, 4, 5)));
int log_is_enabled(enum log_severity sev, int names_request);
void log_error_value(enum log_severity sev, const struct error *err);

#define log_error(s, p, ...)                                                   \
	log_write(LOG_SEV_ERROR, &(struct log_place){ s, p, NULL }, __VA_ARGS__)
#define log_warning(s, p, ...)                                                 \
	log_write(LOG_SEV_WARNING, &(struct log_place){ s, p, NULL },          \
		  __VA_ARGS__)
#define log_notice(s, p, ...)                                                  \
	log_write(LOG_SEV_NOTICE, &(struct log_place){ s, p, NULL },           \
		  __VA_ARGS__)
#define log_info(s, p, ...)                                                    \
	log_write(LOG_SEV_INFO, &(struct log_place){ s, p, NULL }, __VA_ARGS__)
#define log_debug(s, p, ...)                                                   \
	log_write(LOG_SEV_DEBUG, &(struct log_place){ s, p, NULL }, __VA_ARGS__)

#endif
