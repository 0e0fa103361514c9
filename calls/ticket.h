#ifndef CALLS_TICKET_H
#define CALLS_TICKET_H

#include <apr_time.h>
#include <stdint.h>

#include "base/error.h"
#include "base/settings.h"
#include "net/rpc.h"

/*
 * A ticket binds one call that may not be repeated to one upstream and one
 * boot of its agent.  Any entry can mint one; the authentication code keeps
 * callers from changing it.  The agent that it names decides everything
 * else, so safety rests on no clock: see docs/design/at-most-once.md.
 */

#define TICKET_IDENTITY_SIZE 34 /* 'n' or 'k', 32 hex digits, NUL */
#define TICKET_TEXT_SIZE 512
#define TICKET_LIFETIME_S 600 /* of each generation */

struct ticket {
	char agent[SETTINGS_NAME_SIZE]; /* instance id */
	uint64_t boot;			/* of that agent */
	uint64_t expiry;     /* wall-clock seconds by the entry that minted */
	uint32_t generation; /* raised each time the agent said not run */
	char account[SETTINGS_NAME_SIZE];
	char service[SETTINGS_NAME_SIZE];
	/*
	 * 'n' and a random number, or 'k' and the digest of the caller's key
	 * together with account and service.
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
