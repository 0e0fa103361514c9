#ifndef CONFIG_SPREAD_H
#define CONFIG_SPREAD_H

#include <apr_time.h>
#include <pthread.h>

#include "base/digest.h"
#include "base/random.h"
#include "base/settings.h"
#include "config/overlay.h"

/*
 * Decides how the values that the platform publishes reach this process and
 * its peers: when to call the platform, from which peer to pull a newer
 * version, and which peers to notify.  The functions are deterministic:
 * time and randomness are arguments, and spread_decide returns the work to
 * be done as a list of actions.
 *
 * The version of a value is the revision of the document or instance list.
 * It never decreases: a version at or below the current one is ignored,
 * whichever source it comes from.
 */

#define SPREAD_VALUE_COUNT 3
#define SPREAD_DOCUMENT 0
#define SPREAD_INSTANCES 1
#define SPREAD_EVACUATIONS 2

/* Values of a platform without evacuations. */
#define SPREAD_VALUE_COUNT_BASE 2

/* Maximum number of sources stored for one value. */
#define SPREAD_OFFERS_MAX 4

/*
 * Maximum number of sources asked for one value at the same time.  Another one
 * is asked when the last has not answered in the usual time.
 */
#define SPREAD_PULLS_MAX 4

/*
 * Threads that run the exchanges.  Every pull and the platform's answer of each
 * value may run at once; notices wait for peers that may be paused, so they
 * have threads of their own.
 */
#define SPREAD_TEXT_THREADS (SPREAD_VALUE_COUNT * (SPREAD_PULLS_MAX + 1))
#define SPREAD_NOTICE_THREADS 4

/* Maximum number of peers asked before this process becomes ready. */
#define SPREAD_START_PEERS_MAX 20

#define SPREAD_ACTIONS_MAX 64
#define SPREAD_MEMBERS_MAX 4096

/* Time for which the platform may hold a watch (a long poll) open. */
#define SPREAD_WATCH_HOLD_MS 4000

/*
 * Hold time of a watch on a platform that may miss a change without any
 * error.  The next watch finds the change, and must do so within the time
 * limit for a configuration change to reach every process.
 */
#define SPREAD_WATCH_HOLD_SHORT_MS 2000

/*
 * Hold time of the first watcher's watch of the document on such a platform: it
 * notices the loss of the platform by the answer that is missing, and others
 * have to read a change and pass it on before it must be in force everywhere.
 */
#define SPREAD_WATCH_HOLD_PROMPT_MS 600

enum spread_action_kind {
	SPREAD_WATCH = 1, /* ask the platform for a value */
	SPREAD_EXCHANGE	  /* exchange versions with a peer */
};

struct spread_action {
	enum spread_action_kind kind;

	/* SPREAD_WATCH only */
	int value;		/* SPREAD_DOCUMENT and so on */
	uint64_t after_version; /* ask for versions above this one */
	int can_hold; /* the platform may wait until there is such a version */
	int hold_ms;  /* for which it may wait, 0 unless can_hold */
	int is_disputed; /* a peer has another text under the version */

	/* SPREAD_EXCHANGE only */
	int wanted_value;      /* value whose text is requested, or -1 */
	int is_start_exchange; /* must end before this process is ready */
	int is_random;	       /* with a random member */
	int asks_read;	       /* the peer is to read the platform as well */
	int timeout_ms;
	char address[SETTINGS_ADDRESS_SIZE];
};

struct spread_actions {
	int count;
	struct spread_action list[SPREAD_ACTIONS_MAX];
};

/* What one process reports to a peer about one value. */
struct spread_version {
	uint64_t version;
	struct digest digest;
	uint32_t platform_age_ms; /* since the last contact with the platform */
};

/* A peer that has a version newer than the current one. */
struct spread_offer {
	uint64_t version;
	struct digest digest;
	char address[SETTINGS_ADDRESS_SIZE];
};

/* A request for a text that has not been answered yet. */
struct spread_pull {
	char address[SETTINGS_ADDRESS_SIZE]; /* empty: unused */
	apr_time_t started_at;
};

struct spread_value {
	uint64_t version; /* current version, 0 for none */
	struct digest digest;
	uint64_t rejected_version; /* highest version rejected as invalid */
	struct digest rejected_digest;
	struct spread_offer offers[SPREAD_OFFERS_MAX]; /* version 0: unused */
	uint64_t offered_version; /* highest one that is not rejected */
	apr_time_t offered_at;	  /* last time that a peer had it */
	struct spread_pull pulls[SPREAD_PULLS_MAX];
	int pull_failures; /* in a row */
	apr_time_t pull_after;
	apr_time_t applied_at; /* when the current version was applied */
	apr_time_t previous_applied_at; /* same for the version before it */
	int is_watching;
	apr_time_t watch_started_at;
	/* 0: not yet; what follows is this process's own time. */
	apr_time_t answer_begun_at;
	int watch_hold_ms;
	/* By how much the platform answered the last full hold too late. */
	apr_interval_time_t answer_delay;
	int is_probe_due; /* the next watch is not held */
	/* A peer has another text under the current version, 0: none has. */
	apr_time_t disputed_at;
	apr_time_t dispute_after; /* no dispute is taken up before */
	int is_settling;	  /* the read in progress is for a dispute */
	apr_time_t watch_after;
	int watch_failures;
	int watches_finished; /* since process start, including failures */

	/*
	 * Time of the last answer of the platform to any process, as far as
	 * reported to this one; 0: none.
	 */
	apr_time_t platform_last_contact;

	/*
	 * Latest time at which the platform is known to have had no version
	 * above the current one, 0: none.  Unlike platform_last_contact it is
	 * never too late.
	 */
	apr_time_t known_current_at;
};

/* A neighbour and the state of its notification. */
struct spread_peer {
	char address[SETTINGS_ADDRESS_SIZE];
	int is_notify_pending;
	int is_in_exchange;
};

#define SPREAD_PEERS_MAX (OVERLAY_DEGREE + OVERLAY_EXTRA_PEERS_MAX)

struct spread {
	struct spread_value values[SPREAD_VALUE_COUNT];
	int value_count; /* of values, the first ones, that are in use */
	struct overlay overlay;
	struct overlay_member *members; /* local data centre first */
	int member_count;
	int local_count; /* members in the local data centre */
	char self_address[SETTINGS_ADDRESS_SIZE];
	struct spread_peer peers[SPREAD_PEERS_MAX];
	int peer_count;
	apr_time_t next_exchange_at;
	int random_in_exchange;	 /* exchanges with random peers under way */
	unsigned exchange_count; /* exchanges with random peers */

	apr_time_t started_at;
	char start_peers[SPREAD_START_PEERS_MAX][SETTINGS_ADDRESS_SIZE];
	int watch_hold_ms; /* time for which the platform may hold a watch */
	/* This process watches in place of the watchers: asked, or by silence. */
	apr_time_t fallback_until;
	int is_entry;		     /* of this process */
	apr_time_t reader_heard_at;  /* last heartbeat of any reader, 0: none */
	apr_time_t watcher_heard_at; /* the same of a watcher */
	apr_time_t resumed_at;	     /* end of the last pause of this process */
	apr_time_t next_ask_at;	     /* as a watcher without the platform */
	int ask_round;		     /* since it lost the platform */
	int start_count;	     /* entries of start_peers */
	int start_sent;		     /* start exchanges sent */
	int start_finished;	     /* start exchanges answered or failed */
	int start_replies;	     /* start exchanges answered */
	int has_member_start_peers;  /* the instance list has added peers */
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
			 apr_time_t started, apr_time_t now, struct random *r);
void spread_record_answer(struct spread *s, int value, apr_time_t now);
void spread_record_asked(struct spread *s, apr_time_t now);
int spread_is_reading(const struct spread *s, apr_time_t now);
void spread_record_heartbeat(struct spread *s, int is_watcher, apr_time_t now);
void spread_record_pause(struct spread *s, apr_time_t ended_at);
void spread_finish_exchange(struct spread *s, const struct spread_action *a,
			    int ok, apr_time_t now);
void spread_merge_versions(struct spread *s, const char *address,
			   const struct spread_version *v, int count,
			   apr_time_t now);
void spread_record_current(struct spread *s, int value, apr_time_t at);
void spread_confirm_versions(struct spread *s, const struct spread_version *v,
			     int count, apr_time_t asked_at);
void spread_get_versions(const struct spread *s, struct spread_version *v,
			 apr_time_t now);
int spread_pick_peers(const struct spread *s, const char *except,
		      char (*out)[SETTINGS_ADDRESS_SIZE], int max,
		      struct random *r);
int spread_is_ready(const struct spread *s, apr_time_t now);

#endif
