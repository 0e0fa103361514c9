#ifndef CALLS_TICKET_H
#define CALLS_TICKET_H

#include <apr_time.h>
#include <stdint.h>

#include "base/error.h"
#include "base/settings.h"
#include "net/rpc.h"

/*
 * A ticket binds one call that must run at most once to one agent and one boot
 * of that agent.  Any entry can mint tickets; the authentication code keeps
 * callers from changing them.  Whether the call runs is decided by the named
 * agent alone, so at-most-once execution does not depend on clocks: see
 * docs/design/at-most-once.md.
 */

#define TICKET_IDENTITY_SIZE 34 /* 'n' or 'k', 32 hex digits, NUL */
#define TICKET_TEXT_SIZE 512
#define TICKET_LIFETIME_S 600 /* added for each generation */

struct ticket {
	char agent[SETTINGS_NAME_SIZE]; /* instance id */
	uint64_t boot;			/* of that agent */
	uint64_t expiry;     /* wall clock of the minting entry, in seconds */
	uint32_t generation; /* raised after each outcome "not run" */
	char account[SETTINGS_NAME_SIZE];
	char service[SETTINGS_NAME_SIZE];
	/*
	 * 'n' and a random number, or 'k' and a digest of account, service and
	 * the caller's key.
	 */
	char identity[TICKET_IDENTITY_SIZE];
};

void ticket_set_random_identity(struct ticket *t);
void ticket_set_key_identity(struct ticket *t, const char *key);
int ticket_is_keyed(const struct ticket *t);
void ticket_set_generation(struct ticket *t, uint32_t generation);
void ticket_mint(const struct ticket *t, const char *key,
		 char out[TICKET_TEXT_SIZE]);
int ticket_verify(const char *text, const struct rpc_keys *keys,
		  struct ticket *t, struct error *err);

#endif
