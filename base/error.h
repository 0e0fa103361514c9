#ifndef BASE_ERROR_H
#define BASE_ERROR_H

/*
 * Typed errors.  An error carries what kind it is, the step at which it
 * arose and the peer it concerns, so that one log line names the place.
 */

enum error_code {
	ERROR_NONE = 0,
	ERROR_INVALID,	   /* malformed or out-of-range input */
	ERROR_MISSING,	   /* the named thing does not exist */
	ERROR_REFUSED,	   /* the peer or the policy said no */
	ERROR_TIMEOUT,	   /* no answer in time */
	ERROR_UNREACHABLE, /* no connection to the peer */
	ERROR_CORRUPT,	   /* bytes do not match their digest */
	ERROR_STALE,	   /* older than what is known */
	ERROR_FULL,	   /* a bound was reached */
	ERROR_AUTH,	   /* a credential did not verify */
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
