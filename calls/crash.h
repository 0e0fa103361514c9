#ifndef CALLS_CRASH_H
#define CALLS_CRASH_H

#include <apr_time.h>
#include <stddef.h>

#include "base/digest.h"
#include "net/node.h"

/*
 * Requests that crash the upstream that runs them.  Entries and gates keep
 * a list of fingerprints that were in flight when an upstream died, and
 * spread it in their data center.
 *
 * Rules that keep the damage to two upstreams in a data center:
 * - each request may run only at its pair, two upstreams that every entry
 *   derives alike from the request (crash_choose_pair), so that repeats through
 *   all entries at once meet two upstreams at most;
 * - one death seen: it runs only where it was not seen to die, after the
 *   others had time to learn, and one suspect at a time (crash_begin_run), so
 *   that the second death tells who it was;
 * - two deaths seen: refused, not run, for a while.
 *
 * An entry asks crash_is_allowed before it hands over, a gate crash_begin_run and
 * crash_end_run around the run.  The gate calls crash_record_death for a death with all
 * that was in flight.  An entry that calls it too for its own calls that were
 * cut must state the same boot, or one death counts as two; otherwise it waits
 * CRASH_PROPAGATION_US before it sends a cut call again.
 */

struct crash_list;

enum crash_verdict {
	CRASH_CLEAR = 0,
	CRASH_SUSPECT,	  /* runs only where crash_begin_run lets it */
	CRASH_QUARANTINED /* refused: not run */
};

int crash_start(struct node *n, struct crash_list **out, struct error *err);

void crash_fingerprint(const char *account, const char *path, const void *body,
		       size_t size, struct digest *out);
void crash_choose_pair(const struct digest *key, const char *const *upstreams,
		       int count, int pair[2]);

enum crash_verdict crash_verdict(struct crash_list *c, const struct digest *fp,
				 apr_time_t now, int *retry_after_s);
int crash_is_quarantined(struct crash_list *c, const struct digest *fp,
			 apr_time_t now, int *retry_after_s);
int crash_is_allowed(struct crash_list *c, const struct digest *fp,
		     const char *upstream, apr_time_t now, int *retry_after_s);
int crash_begin_run(struct crash_list *c, const struct digest *fp,
		    const char *upstream, apr_time_t now, int *retry_after_s);
void crash_end_run(struct crash_list *c, const struct digest *fp,
		   const char *upstream, int finished, apr_time_t now);
void crash_record_death(struct crash_list *c, const char *upstream,
			uint64_t boot, const struct digest *fps, int count,
			apr_time_t now);

#endif
