/*
 * What an agent tells the entries of the upstream beside it, in one datagram:
 * the XDR form of a report, followed by its HMAC-SHA-256.
 */

const LOAD_NAME_MAX = 63;
const LOAD_MODELS_MAX = 4;

struct load_model {
	string name<LOAD_NAME_MAX>;
	unsigned hyper release;
};

struct load_report {
	string address<LOAD_NAME_MAX>;	/* of the upstream, ADDRESS:PORT */
	hyper started_ms;			/* start of the upstream's process */
	unsigned hyper agent_boot;		/* of the agent */
	unsigned hyper sequence;
	hyper sent_us;			/* agent's steady clock */
	int is_busy;
	int running;
	int waiting;
	int slowdown_percent;
	load_model models<LOAD_MODELS_MAX>;
};
