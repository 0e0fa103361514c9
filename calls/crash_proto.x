/*
 * Fingerprints of requests that were in flight when an upstream died, as
 * entries and agents of a data center exchange them.
 */

const CRASH_RECORDS_MAX = 256;
const CRASH_DEATHS_MAX = 2;
const CRASH_FINGERPRINT_SIZE = 32;

struct crash_death {
	unsigned hyper upstream;	/* hash of its name */
	unsigned hyper boot;
	unsigned int age_ms;
};

struct crash_record {
	opaque fingerprint[CRASH_FINGERPRINT_SIZE];
	crash_death deaths<CRASH_DEATHS_MAX>;
	unsigned int refused_ms;	/* remaining; 0: not refused */
	int is_certain;			/* it caused the deaths */
	int is_cleared;			/* it finished after its only death */
};

struct crash_message {
	crash_record records<CRASH_RECORDS_MAX>;
};
