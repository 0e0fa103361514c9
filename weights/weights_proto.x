/*
 * What two neighbours in the distribution of a version tell each other.  An
 * instance keeps a log of the chunks it holds, in the order in which it got
 * them; each message carries the entries that the other end lacks.
 */

const WEIGHTS_DIGEST_SIZE = 32;
const WEIGHTS_ENTRIES_MAX = 1024;
const WEIGHTS_GIVEN_UP_MAX = 16;

struct weights_have {
	opaque digest[WEIGHTS_DIGEST_SIZE];
	unsigned hyper revision;	/* of the configuration in force */
	unsigned int epoch;		/* changes when the log starts anew */
	unsigned int start;		/* position of the first entry */
	unsigned int entries<WEIGHTS_ENTRIES_MAX>;
	unsigned int total;		/* entries in the log */
	unsigned int received_epoch;	/* of the other end's log, */
	unsigned int received_count;		/* and how much of it is known here */
	unsigned int is_complete;		/* holds every chunk */
	unsigned int loaded_mask;		/* mask of first loaders that run it */
	unsigned int crashed_mask;		/* mask of those that it brought down */
	unsigned int origin_wait_ms;	/* told by the store to wait so long */
	unsigned int given_up<WEIGHTS_GIVEN_UP_MAX>; /* permits used up */
};
