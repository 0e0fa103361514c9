#ifndef FORWARD_COLD_H
#define FORWARD_COLD_H

#include <apr_time.h>

/*
 * How often an entry may send to an upstream that is cold, or may become so at
 * any moment. The entries share what a cold upstream bears without messages:
 * each knows how many others there are.
 */

/* What the upstreams of a service bear while they are cold. */
struct cold_spec {
	double per_s;	   /* requests a second of all entries, 0: any */
	double window_max; /* most requests in any one second */
	apr_interval_time_t lasts_us; /* from a start, or an evacuation's end */
};

/* What an entry assumes of the others, and its place among them. */
struct cold_entries {
	int local;	/* entries in the upstream's data centre */
	int remote;	/* other entries */
	int assumed;	/* least number in a data centre, while unsure */
	int local_rank; /* of this one among the local ones, -1: it is remote */
	int remote_rank; /* of this one among the remote ones */
};

int cold_count_users(const struct cold_spec *c, int entries);
apr_interval_time_t cold_spacing(const struct cold_spec *c,
				 const struct cold_entries *e, int is_cold);

#endif
