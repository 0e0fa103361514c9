#include "weights/activate.h"

#include <stdio.h>
#include <string.h>

/* Time after which a partitioned instance orders without a confirmed view. */
#define VIEW_CHECK_MAX_US (5 * APR_USEC_PER_SEC)
#define ORDER_BACKOFF_US (500 * 1000)
#define ORDER_BACKOFF_SHIFT_MAX 5
/* Time between an order and reading the state back. */
#define ORDER_SETTLE_US (300 * 1000)
#define LOADER_WAIT_US (10 * APR_USEC_PER_SEC)
#define CRASH_WINDOW_US (10 * APR_USEC_PER_SEC)

/*
 * Time for which a crash stops the loading of a version. Then the first
 * loaders try again.
 */
#define HALT_US (30 * APR_USEC_PER_SEC)

/*
 * Shares of the time limit between which engines load in turn. Before
 * TURN_FIRST_SHARE, chunks are still being transferred. After TURN_LAST_SHARE,
 * an engine needs the time to finish the requests that it runs.
 */
#define TURN_FIRST_SHARE 0.42
#define TURN_LAST_SHARE 0.80

/*
 * Sets the version that the configuration names, and resets the state of the
 * one before it.
 */
void activation_set_version(struct activation *a, const char *version,
			    apr_time_t declared_at)
{
	if (!strcmp(a->wanted_version, version))
		return;
	if (!strcmp(a->wanted_version, a->confirmed_version))
		a->outdated_at = declared_at;
	a->declared_at = declared_at;
	snprintf(a->wanted_version, sizeof(a->wanted_version), "%s", version);
	a->is_complete = 0;
	a->completed_at = 0;
	a->failures = 0;
	a->not_before = 0;
	a->has_crashed_here = 0;
	a->crash_expired_mask = 0;
	a->halted_at = 0;
	a->loaded_mask = 0;
	a->crashed_mask = 0;
}

static int is_running_wanted(const struct activation *a)
{
	return a->is_running_known && a->is_running_ready &&
	       !strcmp(a->running_version, a->wanted_version);
}

/*
 * Returns 1 while a process that was paused may have an outdated view. It
 * waits for contact with the platform or a peer, or for VIEW_CHECK_MAX_US,
 * after which it is considered partitioned.
 */
static int is_view_outdated(const struct activation *a, apr_time_t now)
{
	return a->pause_end && a->view_checked_at <= a->pause_end &&
	       now - a->pause_end < VIEW_CHECK_MAX_US;
}

/*
 * Returns 1 when the turn of this instance to load under a time limit has
 * come. Engines that run nothing load at once, the others in the order of
 * their ranks, so that few are unavailable at the same time. The limit of an
 * engine that did not load the version before counts from that one.
 */
static int is_timed_turn(const struct activation *a, apr_time_t now)
{
	double limit = (double)a->load_time_limit;
	double first = (double)(a->declared_at - a->outdated_at) +
		       TURN_FIRST_SHARE * limit;
	double last = TURN_LAST_SHARE * limit;

	if (!*a->running_version)
		return 1;
	if (first > last)
		first = last;
	if (a->live_count > 1)
		first += (last - first) * a->loader_rank / (a->live_count - 1);
	return now - a->outdated_at >= (apr_interval_time_t)first;
}

/* Returns 1 while a crash caused by this version prevents its loading. */
static int is_halted(struct activation *a, apr_time_t now)
{
	uint32_t fresh = a->crashed_mask & ~a->crash_expired_mask;

	if (!fresh && !a->has_crashed_here) {
		a->halted_at = 0;
		return 0;
	}
	if (!a->halted_at)
		a->halted_at = now;
	if (now - a->halted_at < HALT_US)
		return 1;
	a->halted_at = 0;
	a->crash_expired_mask |= fresh;
	a->has_crashed_here = 0;
	return 0;
}

/*
 * Returns 1 when this instance may load the version. The first loaders go
 * first; the rest follow once enough instances are known to run the version.
 * When a first loader does not succeed (its engine refuses, or it is dead but
 * not yet detected as such), the next instance may load too after
 * LOADER_WAIT_US.
 */
static int is_load_turn(const struct activation *a, apr_time_t now)
{
	apr_interval_time_t waited =
		a->completed_at ? now - a->completed_at : 0;

	if (a->load_time_limit)
		return is_timed_turn(a, now);
	if (__builtin_popcount(a->loaded_mask) >= a->loaders_required)
		return 1;
	return a->loader_rank <
	       a->loaders_required + (int)(waited / LOADER_WAIT_US);
}

/*
 * Returns the state at now. For ACTIVATION_READY the caller gives the order to
 * load, sets is_ordering and reports the result with activation_record_order.
 */
enum activation_state activation_step(struct activation *a, apr_time_t now)
{
	if (is_running_wanted(a)) {
		snprintf(a->confirmed_version, sizeof(a->confirmed_version),
			 "%s", a->wanted_version);
		if (a->loader_bit != ACTIVATE_NOT_LOADER)
			a->loaded_mask |= 1u << a->loader_bit;
		return ACTIVATION_SERVING;
	}
	if (!a->is_complete)
		return ACTIVATION_FETCHING;
	if (is_halted(a, now))
		return ACTIVATION_HALTED;
	if (a->peer_revision > a->fence || a->running_fence > a->fence)
		return ACTIVATION_STALE;
	if (is_view_outdated(a, now))
		return ACTIVATION_CHECKING;
	if (a->is_ordering || a->is_engine_busy || now < a->not_before ||
	    !a->is_running_known)
		return ACTIVATION_ORDERED;
	if (!is_load_turn(a, now))
		return ACTIVATION_WAITING;
	return ACTIVATION_READY;
}

/* Records the result of an order. done is 1 when it succeeded. */
void activation_record_order(struct activation *a, int done, apr_time_t now)
{
	int shift = a->failures < ORDER_BACKOFF_SHIFT_MAX
			    ? a->failures
			    : ORDER_BACKOFF_SHIFT_MAX;

	a->is_ordering = 0;
	a->ordered_at = now;
	a->not_before = now + ORDER_SETTLE_US;
	/* The running version is unknown until it is read back. */
	a->is_running_known = 0;
	if (done) {
		a->failures = 0;
		return;
	}
	a->failures++;
	a->not_before = now + (ORDER_BACKOFF_US << shift);
}

/*
 * Records that an order was not sent, as it waited too long or no connection
 * was made. It has changed nothing, so a restart of the engine is no evidence
 * against the version.
 */
void activation_record_unsent_order(struct activation *a, apr_time_t now)
{
	a->is_ordering = 0;
	a->not_before = now + ORDER_BACKOFF_US;
}

/*
 * Records the end of an order to load a version that is not wanted any more.
 * It may have taken effect, so no calls are taken until the running version is
 * read back.
 */
void activation_record_replaced_order(struct activation *a)
{
	a->is_ordering = 0;
	a->is_running_known = 0;
}

/*
 * Records the version of this model that the engine runs. rebooted is 1 when
 * the engine restarted since the last read.
 */
void activation_record_running(struct activation *a, const char *version,
			       int ready, uint64_t fence, int rebooted,
			       apr_time_t now)
{
	if (rebooted && a->failures && a->ordered_at &&
	    now - a->ordered_at < CRASH_WINDOW_US && !is_running_wanted(a)) {
		a->has_crashed_here = 1;
		if (a->loader_bit != ACTIVATE_NOT_LOADER)
			a->crashed_mask |= 1u << a->loader_bit;
	}
	a->is_running_known = 1;
	a->is_running_ready = ready;
	a->running_fence = fence;
	a->running_at = now;
	snprintf(a->running_version, sizeof(a->running_version), "%s", version);
}

/* Returns 1 when the running version may serve calls. */
int activation_can_serve(const struct activation *a)
{
	if (!a->is_running_known || !a->is_running_ready ||
	    !*a->running_version)
		return 0;
	if (a->running_at <= a->pause_end)
		return 0;
	return !*a->confirmed_version ||
	       !strcmp(a->running_version, a->confirmed_version) ||
	       !strcmp(a->running_version, a->wanted_version);
}

/* Returns the name of a state for status output. */
const char *activation_state_name(enum activation_state s)
{
	static const char *const names[] = { "fetching", "ready",  "waiting",
					     "checking", "stale",  "ordered",
					     "halted",	 "serving" };

	return names[s];
}
