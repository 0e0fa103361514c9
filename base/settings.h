#ifndef BASE_SETTINGS_H
#define BASE_SETTINGS_H

#include <jansson.h>

#include "base/schema.h"

/*
 * Settings of one process, loaded from a JSON file.  Both daemons use the
 * same format; docs/configuration.md lists the fields.
 */

#define SETTINGS_NAME_SIZE 64
#define SETTINGS_ADDRESS_SIZE 64
#define SETTINGS_URL_SIZE 256
#define SETTINGS_KEY_SIZE 128
#define SETTINGS_SEEDS_MAX 16
/* Bits of a mask of regions, one of which stands for unknown ones. */
#define SETTINGS_REGIONS_MAX 63

/* Bytes of the longest value that the platform accepts, if it does not say. */
#define SETTINGS_VALUE_BYTES (1024 * 1024)

/*
 * By how much a value of the platform grows at most when it is converted to the
 * text that the processes pass on.  The worst is a list of models with names of
 * few letters, in a service with a long name; keys grow by 4.5, routes by less
 * than 2 (test-platform-document).
 */
#define SETTINGS_TEXT_GROWTH 8

enum role { ROLE_ENTRY = 1, ROLE_AGENT = 2 };

/* External systems that a process uses, and their protocol. */
enum platform_kind {
	PLATFORM_SERVICE = 1, /* configuration service and instance list */
	PLATFORM_STORE = 2    /* metadata store, see platform/ */
};

enum upstream_kind {
	UPSTREAM_MODEL = 1, /* a model engine */
	UPSTREAM_PLAIN = 2  /* a plain service */
};

/* A data centre and the region that it is in. */
struct settings_region {
	char data_center[SETTINGS_NAME_SIZE];
	char region[SETTINGS_NAME_SIZE];
};

struct settings {
	char instance[SETTINGS_NAME_SIZE];
	char data_center[SETTINGS_NAME_SIZE];
	char region[SETTINGS_NAME_SIZE];
	char address[SETTINGS_ADDRESS_SIZE]; /* IPv4, without port */
	int http_port;
	int rpc_port;
	int operator_port;
	int report_port; /* UDP port for reports from upstreams */
	/* endpoint of the load balancer's readiness check; port 0: none */
	char ready_address[SETTINGS_ADDRESS_SIZE];
	int ready_port;
	enum platform_kind platform;
	char platform_url[SETTINGS_URL_SIZE];
	size_t value_max; /* bytes of the platform's longest value */
	size_t text_max;  /* of what it converts to and processes pass on */
	char store_url[SETTINGS_URL_SIZE];
	char key[SETTINGS_KEY_SIZE];	      /* shared by all instances */
	char key_previous[SETTINGS_KEY_SIZE]; /* also accepted, for rotation */
	char seeds[SETTINGS_SEEDS_MAX][SETTINGS_ADDRESS_SIZE];
	int seed_count; /* seeds: peers used until the instance list arrives */

	/* settings of an agent */
	char upstream_url[SETTINGS_URL_SIZE];
	char upstream_name[SETTINGS_NAME_SIZE];
	enum upstream_kind upstream_kind;
	int upstream_fencing;	/* upstream checks fencing numbers */
	long long link_rate;	/* of the machine's link, bytes/s */
	long long cross_rate;	/* between data centres, bytes/s */
	double transfer_share;	/* share of a link usable for chunks */
	long long memory_limit; /* of this process, bytes */
	int machine_memory_mb;	/* what callers may hold follows from it */

	/* settings of an entry that forwards to upstreams itself */
	int release_ms;	    /* time until only the new release may be served */
	int stop_grace_s;   /* from SIGTERM to SIGKILL */
	double retry_ratio; /* retries per request, over all entries */
	int retry_window_s; /* sliding window of retry_ratio */
	int retry_slack;    /* retries allowed in addition per window */
	int evacuate_ms; /* until an evacuation is in force, 0: there are none */
	double cold_ratio; /* allowed over the rate that cold upstreams bear */
	int cold_slack;	   /* requests allowed in addition per second */
	struct settings_region regions[SETTINGS_REGIONS_MAX];
	int region_count;

	/* settings of both daemons */
	int worker_threads;
	int log_debug;
	int fault_injection; /* allows operators to inject a partition */
	unsigned long long random_seed;
};

int settings_load(const char *file, enum role role, struct settings *s,
		  struct fault_list *faults);
int settings_has_seeds(const struct settings *s);

#endif
