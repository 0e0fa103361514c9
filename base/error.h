#ifndef BASE_ERROR_H
#define BASE_ERROR_H

/*
 * Typed errors.  An error holds its code, the step that failed and the peer
 * involved, so that a single log line identifies where it occurred.
 */

enum error_code {
	ERROR_NONE = 0,
	ERROR_INVALID,	   /* malformed or out-of-range input */
	ERROR_MISSING,	   /* the named object does not exist */
	ERROR_REFUSED,	   /* refused by the peer or by policy */
	ERROR_TIMEOUT,	   /* no answer within the time limit */
	ERROR_UNREACHABLE, /* no connection to the peer */
	ERROR_CORRUPT,	   /* bytes do not match their digest */
	ERROR_STALE,	   /* older than the current state */
	ERROR_FULL,	   /* a capacity limit was reached */
	ERROR_AUTH,	   /* a credential failed verification */
	ERROR_INTERNAL	   /* a library call failed */
};

#define ERROR_STEP_SIZE 32
#define ERROR_PEER_SIZE 64
#define ERROR_TEXT_SIZE 256

struct error {
	enum error_code code;
	char step[ERROR_STEP_SIZE];
	char peer[ERROR_PEER_SIZE];
	char text[ERROR_TEXT_SIZE];
};

#define ERROR_INIT                                                             \
	{                                                                      \
		ERROR_NONE, "", "", ""                                         \
	}

int error_set(struct error *err, enum error_code code, const char *step,
	      const char *peer, const char *fmt, ...)
	__attribute__((format(printf, 5, 6)));
void error_clear(struct error *err);
const char *error_code_name(enum error_code code);

#endif
