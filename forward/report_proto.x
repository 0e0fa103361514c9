/*
 * Load report of an agent to the entries about the upstream beside it, sent in
 * one datagram: the XDR form of load_report, followed by its HMAC-SHA-256.
 */

const LOAD_NAME_MAX = 63;
const LOAD_MODELS_MAX = 4;

struct load_model {
	string name<LOAD_NAME_MAX>;
	unsigned hyper release;
};

struct load_report {
	string address<LOAD_NAME_MAX>;	/* of the upstream, ADDRESS:PORT */
	hyper started_ms;		/* start of the upstream's process */
	unsigned hyper agent_boot;
	unsigned hyper sequence;
	hyper sent_us;			/* on the agent's monotonic clock */
	int is_busy;
	int running;
	int waiting;
	int slowdown_percent;
	load_model models<LOAD_MODELS_MAX>;
};
