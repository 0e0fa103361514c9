#ifndef CALLS_CRASH_H
#define CALLS_CRASH_H

#include <apr_time.h>
#include <stddef.h>

#include "base/digest.h"
#include "net/node.h"

/*
 * Containment of requests that crash the upstream that runs them.  Entries and
 * gates keep a list of the fingerprints that were in flight when an upstream
 * died, and exchange it within their data center.
 *
 * Three rules limit the damage to two upstreams in a data center:
 * - Each request may run only at its pair: two upstreams that every entry
 *   derives from the request in the same way (crash_choose_pair), so that
 *   repeats through all entries at once reach at most two upstreams.
 * - After one death a request runs only at an upstream where it was not in
 *   flight at a death, after the other processes have had time to receive the
 *   death, and one suspect at a time (crash_begin_run), so that a second death
 *   identifies the cause.
 * - After two deaths it is refused and not run, for a limited time.
 *
 * An entry calls crash_is_allowed before it sends a request.  A gate calls
 * crash_begin_run before and crash_end_run after the run, and
 * crash_record_death for a death, with all requests that were in flight.  An
 * entry that also calls crash_record_death, for its own truncated calls, must
 * pass the same boot, or one death counts as two; otherwise it waits
 * CRASH_PROPAGATION_US before it retries a truncated call.
 *
 * The list of crash_start_entries is that of all entries and has the items of
 * requests: themselves and the parts that they share with others.  An entry
 * calls crash_check_items before each attempt, crash_record_runs for a death,
 * with those of its own runs that it ended, and crash_record_sound for each
 * complete, sound answer.  Items that explain the deaths are refused; a suspect
 * may run at a pair of upstreams.  See docs/design/overload.md.
 */

struct crash_list;

enum crash_verdict {
	CRASH_CLEAR = 0,
	CRASH_SUSPECT,	  /* runs only where crash_begin_run allows it */
	CRASH_QUARANTINED /* refused: not run */
};

/* Items of a request: itself and the parts that it shares with others. */
#define CRASH_ITEMS_MAX 16

enum crash_item_kind { CRASH_ITEM_REQUEST = 1, CRASH_ITEM_PART };

struct crash_items {
	struct digest keys[CRASH_ITEMS_MAX];
	enum crash_item_kind kinds[CRASH_ITEMS_MAX];
	int count;
	uint64_t account; /* hash, 0: none */
};

/* A run that its upstream's death ended. */
struct crash_run {
	struct crash_items items;
	apr_time_t sent_at;
	apr_time_t broken_at; /* 0: at the time it is recorded */
};

/* Why a request was found suspect or refused. */
struct crash_finding {
	enum crash_item_kind kind;
	struct digest key;
	int retry_after_ms;
	int is_trial; /* may run here to find out whether it still crashes */
};

int crash_start(struct node *n, struct crash_list **out, struct error *err);
int crash_start_entries(struct node *n, struct crash_list **out,
			struct error *err);

void crash_items_init(struct crash_items *s, const char *account);
void crash_items_add_request(struct crash_items *s, const char *account,
			     const char *path, const void *body, size_t size);
void crash_items_add_part(struct crash_items *s, const char *part, size_t size);
enum crash_verdict crash_check_items(struct crash_list *c,
				     const struct crash_items *s,
				     apr_time_t now, struct crash_finding *out);
void crash_record_runs(struct crash_list *c, const char *upstream,
		       uint64_t boot, const struct crash_run *runs, int count,
		       apr_time_t now);
void crash_record_sound(struct crash_list *c, const struct crash_items *s,
			apr_time_t now);
uint32_t crash_count_blames(struct crash_list *c);
int crash_is_refused(struct crash_list *c, const struct crash_items *s,
		     apr_time_t now);

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
