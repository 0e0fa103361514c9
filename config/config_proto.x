/*
 * Exchange of versions and texts between processes, for the values that the
 * platform publishes: 0 is the configuration document, 1 the list of
 * instances, 2 the evacuations, where the settings have them.
 */

#ifdef RPC_HDR
%#include "net/envelope_proto.h"
#endif

const CONFIG_VALUES = 3;
const CONFIG_DIGEST_SIZE = 32;

struct config_version {
	unsigned hyper revision;	/* 0: none yet */
	opaque digest[CONFIG_DIGEST_SIZE];
	unsigned int platform_age_ms;	/* since last contact of any process */
};

struct config_request {
	config_version have<CONFIG_VALUES>;
	unsigned int wanted;	/* number of the value plus one, 0: none */
	int full_text;		/* 1: the reply must not hold a delta */
};

struct config_reply {
	config_version have<CONFIG_VALUES>;
	/* Revision that the delta in text applies to; 0: text is complete. */
	unsigned hyper base_revision;

	/* Bytes of text before it was deflated; 0: it is not deflated. */
	unsigned int unpacked_size;

	opaque text<envelope_reply_max>;	/* of the wanted value */
};

const CONFIG_MODELS_MAX = 64;
const CONFIG_MODEL_NAME_MAX = 128;

/* How long ago a release of a model was declared, for a document with it. */
struct config_release_age {
	string model<CONFIG_MODEL_NAME_MAX>;
	unsigned hyper release;
	unsigned hyper age_us;
};

struct config_ages_request {
	unsigned hyper revision;	/* of the requester's document */
};

/*
 * The releases of the current document whose age is known, then superseded
 * ones.  Builds that don't know of these ignore them.
 */
struct config_ages_reply {
	config_release_age ages<CONFIG_MODELS_MAX>;
};

/*
 * Sent by a process that reads the platform to the entries of its data centre,
 * in one datagram (net/datagram.h).
 */
struct config_heartbeat {
	unsigned hyper boot;		/* of the sender's process */
	unsigned hyper sequence;
	int is_watcher;			/* 0: reads in place of the watchers */
};
