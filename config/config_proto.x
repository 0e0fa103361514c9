/*
 * Exchange of versions and texts between processes, for the values that the
 * platform publishes: 0 is the configuration document, 1 the list of
 * instances.
 */

const CONFIG_VALUES = 2;
const CONFIG_TEXT_MAX = 1200000;
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

	opaque text<CONFIG_TEXT_MAX>;	/* of the wanted value */
};
