/*
 * Requests, or items of requests, that were in flight when an upstream died, as
 * entries and agents exchange them.
 */

const CRASH_RECORDS_MAX = 256;
const CRASH_DEATHS_MAX = 64;
const CRASH_KEY_SIZE = 16;

struct crash_death {
	unsigned hyper upstream;	/* hash of its name */
	unsigned hyper boot;
	unsigned int age_ms;
	unsigned int run_ms;		/* of the youngest run in it */
	unsigned hyper request;		/* hash of one of them, or 0 */
};

struct crash_record {
	opaque key[CRASH_KEY_SIZE];
	crash_death deaths<CRASH_DEATHS_MAX>;
	unsigned int refused_ms;	/* remaining; 0: not refused */
	int is_certain;			/* it caused the deaths */
	int is_cleared;			/* it finished after its only death */

	/* Members below are those of items. */
	int place;			/* 0: the request; else the part */
	unsigned hyper account;
	unsigned int turns;		/* odd: blamed */
	int failed_trials;
	unsigned hyper sound;		/* names the last sound answer, or 0 */
	unsigned int sound_ms;		/* since then */
	unsigned int idle_ms;		/* since the last death or refusal */
};

struct crash_message {
	unsigned hyper summary;		/* of the whole list */
	crash_record records<CRASH_RECORDS_MAX>;
};
