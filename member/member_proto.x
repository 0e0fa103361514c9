/* Messages of the membership component: hellos and reports. */

const MEMBER_NAME_MAX = 63;
const MEMBER_FACTS_MAX = 128;
const MEMBER_MODELS_MAX = 16;
const MEMBER_VERSION_MAX = 64;

struct member_fact {
	string id<MEMBER_NAME_MAX>;
	unsigned int role;
	string data_center<MEMBER_NAME_MAX>;
	string address<MEMBER_NAME_MAX>;
	string upstream<MEMBER_NAME_MAX>;
	unsigned hyper boot;
	unsigned int boot_age_ms;	/* time since the boot started */
	unsigned int incarnation;	/* raised to refute a report of death */
	unsigned int state;
};

struct member_hello {
	member_fact self;
	member_fact facts<MEMBER_FACTS_MAX>;
	unsigned int wants_all;		/* reply with all known instances */
};

struct member_report_request {
	unsigned hyper models_hash;	/* of the models last received; 0: none */
};

struct member_model {
	string name<MEMBER_NAME_MAX>;
	string manifest<MEMBER_VERSION_MAX>;
};

struct member_report {
	string id<MEMBER_NAME_MAX>;
	string upstream<MEMBER_NAME_MAX>;
	unsigned hyper boot;
	unsigned int kind;
	int is_draining;
	int is_reachable;
	int running;
	int waiting;
	int slots;
	int token_us;
	int load_age_ms;
	unsigned hyper models_hash;
	int has_models;		/* 0: unchanged since the request's hash */
	member_model models<MEMBER_MODELS_MAX>;
};
