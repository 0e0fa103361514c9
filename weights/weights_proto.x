/*
 * Message between two neighbours in the distribution of a version. Each
 * instance keeps a log of the chunks that it holds, in the order in which it
 * obtained them. A message carries the entries that the receiver has not
 * acknowledged.
 */

const WEIGHTS_DIGEST_SIZE = 32;
const WEIGHTS_ENTRIES_MAX = 1024;
const WEIGHTS_GIVEN_UP_MAX = 16;

struct weights_have {
	opaque digest[WEIGHTS_DIGEST_SIZE];
	unsigned hyper revision;	/* of the current configuration */
	unsigned int epoch;		/* changes when the log restarts */
	unsigned int start;		/* log position of the first entry */
	unsigned int entries<WEIGHTS_ENTRIES_MAX>;
	unsigned int total;		/* number of entries in the log */
	unsigned int received_epoch;	/* epoch of the receiver's log, */
	unsigned int received_count;	/* and entries merged by the sender */
	unsigned int is_complete;	/* the sender holds every chunk */
	unsigned int loaded_mask;	/* first loaders that run the version */
	unsigned int crashed_mask;	/* first loaders that it crashed */
	unsigned int origin_wait_ms;	/* wait that the origin asked for */
	unsigned int given_up<WEIGHTS_GIVEN_UP_MAX>; /* chunks; permit used */
};
