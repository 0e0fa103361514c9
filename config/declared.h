#ifndef CONFIG_DECLARED_H
#define CONFIG_DECLARED_H

#include "config/config_proto.h"
#include "config/document.h"

/*
 * When the releases named by a document were declared, on the monotonic clock
 * of this process.  A limit on a release counts from there, not from when a
 * process happens to learn of it.  The text of a document can't hold these
 * times, as clocks differ between machines: processes tell each other ages.
 *
 * The superseded releases are told as well, since each limits the ones before
 * it, and a process may miss the documents in between.
 */

void document_keep_releases(struct document *d, const struct document *old);
int document_copy_declared(struct document *d, const struct document *old);
void document_set_ages(struct document *d, const config_ages_reply *rep,
		       apr_time_t asked_at);
/*
 * Least time for which older releases may still begin requests when it is not
 * known when a newer one was declared.
 */
#define DECLARED_UNKNOWN_LEFT_US (3700 * 1000LL)

apr_time_t document_bound_unknown(apr_time_t earliest_at, int release_ms,
				  apr_time_t now);
void document_set_unknown_declared(struct document *d,
				   const struct document *old,
				   apr_time_t earliest_at);
void document_fill_ages(const struct document *d, config_ages_reply *rep,
			apr_time_t now);

#endif
