#ifndef CONFIG_SPREAD_H
#define CONFIG_SPREAD_H

#include <apr_time.h>
#include <pthread.h>

#include "base/digest.h"
#include "base/random.h"
#include "base/settings.h"
#include "config/overlay.h"

/*
 * Decides how the platform's values reach this process and go on from it:
 * when to watch the platform, from whom to pull a newer version and whom to
 * tell.  Everything here is deterministic: time and randomness are
 * arguments, and what is to be done comes back as a list of actions.
 *
 * A version never goes down: versions at or below the one held are passed
 * over wherever they come from.
 */

#define SPREAD_VALUE_COUNT 2
#define SPREAD_DOCUMENT 0
#define SPREAD_INSTANCES 1

#define SPREAD_OFFERS_MAX 4	  /* sources remembered for one value */
#define SPREAD_START_PEERS_MAX 20 /* peers asked before being ready */
#define SPREAD_ACTIONS_MAX 64
#define SPREAD_MEMBERS_MAX 4096

#define SPREAD_WATCH_HOLD_S 4 /* for how long the platform holds a call */

/*
 * The same where a watch may miss a change without a sign: the next one,
 * which finds it, must come within the bound on configurations.
 */
#define SPREAD_WATCH_HOLD_SHORT_S 2

enum spread_action_kind {
	SPREAD_WATCH = 1, /* ask the platform for a value */
	SPREAD_EXCHANGE	  /* exchange versions with a peer */
};

struct spread_action {
	enum spread_action_kind kind;
	int value;		/* SPREAD_WATCH: which */
	uint64_t after_version; /* SPREAD_WATCH: versions above this one */
	int can_hold; /* SPREAD_WATCH: may be held until there is one */
	int want;     /* SPREAD_EXCHANGE: value whose text is wanted, or -1 */
	int starting; /* SPREAD_EXCHANGE: one of those asked at the start */
	char address[SETTINGS_ADDRESS_SIZE];
};

struct spread_actions {
	int count;
	struct spread_action list[SPREAD_ACTIONS_MAX];
};

/* What a process says of one value. */
struct spread_version {
	uint64_t version;
	struct digest digest;
	uint32_t platform_age_ms;
};

struct spread_offer {
	uint64_t version;
	struct digest digest;
	char address[SETTINGS_ADDRESS_SIZE];
};

struct spread_value {
	uint64_t version; /* held here, 0 for none */
	struct digest digest;
	uint64_t refused; /* highest version refused as invalid */
	struct digest refused_digest;
	struct spread_offer offers[SPREAD_OFFERS_MAX]; /* version 0: free */
	int pulling;
	apr_time_t pull_after;
	apr_time_t taken;	 /* when the version held came into force */
	apr_time_t taken_before; /* same of the one before it */
	int watching;
	apr_time_t watch_after;
	int watch_failures;
	int watch_answers;	   /* answers of any kind since the start */
	apr_time_t platform_heard; /* by anybody, as far as known; 0: never */
};

/* A neighbour and whether it still has to be told. */
struct spread_peer {
	char address[SETTINGS_ADDRESS_SIZE];
	int pending;
	int busy;
};

#define SPREAD_PEERS_MAX (OVERLAY_DEGREE + OVERLAY_EXTRA_PEERS_MAX)

struct spread {
	struct spread_value values[SPREAD_VALUE_COUNT];
	struct overlay overlay;
	struct overlay_member *members; /* own data centre first */
	int member_count;
	int own_count;
	char self_address[SETTINGS_ADDRESS_SIZE];
	struct spread_peer peers[SPREAD_PEERS_MAX];
	int peer_count;
	apr_time_t exchange_due;
	unsigned exchange_turn;

	apr_time_t began;
	char start_peers[SPREAD_START_PEERS_MAX][SETTINGS_ADDRESS_SIZE];
	int watch_s;	   /* for how long the platform holds a call */
	int start_count;   /* peers to be asked */
	int start_asked;   /* of these, asked */
	int start_over;	   /* answered or failed */
	int start_replies; /* answered */
	int members_asked; /* peers from the instance list were added */
};

void spread_init(struct spread *s, const char *self_address, apr_time_t now);
void spread_destroy(struct spread *s);
void spread_add_start_peer(struct spread *s, const char *address);
void spread_set_members(struct spread *s, struct overlay_member *members,
			int count, const struct overlay_member *self,
			struct random *r);

void spread_decide(struct spread *s, apr_time_t now, struct random *r,
		   struct spread_actions *out);

void spread_record_applied(struct spread *s, int value, uint64_t version,
			   const struct digest *digest, apr_time_t now);
void spread_record_rejected(struct spread *s, int value, uint64_t version,
			    const struct digest *digest);
void spread_finish_watch(struct spread *s, int value, int ok, int changed,
			 apr_time_t asked, apr_time_t now, struct random *r);
void spread_finish_exchange(struct spread *s, const struct spread_action *a,
			    int ok, apr_time_t now);
void spread_merge_versions(struct spread *s, const char *address,
			   const struct spread_version *v, int count,
			   apr_time_t now);
void spread_get_versions(const struct spread *s, struct spread_version *v,
			 apr_time_t now);
int spread_is_ready(const struct spread *s, apr_time_t now);

#endif
