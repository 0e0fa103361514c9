#include "forward/admit.h"

#include <stdint.h>
#include <string.h>

#include "base/digest.h"

/*
 * Part of the objective kept free for network delays and for load that is in no
 * report yet.
 */
#define ADMIT_MARGIN_US (150 * 1000.0)

/* Slots that other entries may have filled since the upstream's report. */
#define GUARD_SLOTS 0

/* Share of the slots that late requests leave to others. */
#define FREE_SLOTS_SHARE 0.15

/*
 * Part of the bound on the backlog that each rank leaves to the more urgent
 * ones: a burst of these still starts in time where the rank is refused. The
 * last rank keeps half of the bound, so that none is shut out.
 */
#define RANK_RESERVE_SHARE 0.25

#define RETRY_MIN_MS 150
#define RETRY_SPREAD_MIN_MS 400

/*
 * Maximum spread of the client timeouts of one route, relative to the longest.
 */
#define CLIENT_TIMEOUT_SPREAD_MAX_RATIO 0.25
/* Attempts after which the spread is used. */
#define CLIENT_TIMEOUT_SAMPLES_MIN 20

/* Time after a refusal by which refused callers have retried or given up. */
#define RETRIES_SETTLED_US (3 * 1000 * 1000)

/* Maximum delay of a retry, relative to the time left to the caller. */
#define RETRY_TIME_LEFT_RATIO 0.3

/* Spread of retries while no upstream can serve, relative to that maximum. */
#define RETRY_UNKNOWN_WAIT_SPREAD_RATIO 0.15
/* The same while upstreams are paused, as a share of the time left. */
#define RETRY_PAUSE_SPREAD_RATIO 0.2

/*
 * Returns the rank of a request among those of its service, whose priorities are
 * from first to last: 0 for the most urgent, and for all where they are equal.
 */
int admit_rank(int priority, int first, int last)
{
	if (priority > last)
		priority = last;
	if (priority < first)
		priority = first;
	return priority - first < ADMIT_RANKS_MAX ? priority - first
						  : ADMIT_RANKS_MAX - 1;
}

/*
 * Returns the priority of a request at the engine, from 0 (first) to 9: what can
 * still be in time before what is late, then by rank. The last rank has the same
 * priority whether there are others or not.
 */
int admit_priority(enum admit_class c, int rank, int rank_last)
{
	if (c == ADMIT_REFUSED)
		return -1;
	return (c == ADMIT_LATE ? ADMIT_PRIORITY_LATE
				: ADMIT_PRIORITY_IN_TIME) -
	       (rank_last - rank);
}

/*
 * Decides whether a request is admitted, and in which class. The bound on the
 * backlog is the same for all requests of a service and a rank, whatever their
 * size and objective: a stricter one for some would leave them unserved.
 */
enum admit_class admit_decide(const struct admit_input *in)
{
	double backlog_max_us = in->service_objective_ms * 1000.0 -
				in->typical_first_event_us - ADMIT_MARGIN_US -
				in->elapsed_ms * 1000.0;
	int is_late = in->elapsed_ms * 1000.0 + in->first_event_us >=
		      in->route_objective_ms * 1000.0;

	if (!in->service_objective_ms)
		return ADMIT_IN_TIME;
	if (backlog_max_us > 0)
		backlog_max_us *= 1 - RANK_RESERVE_SHARE * in->rank;
	if (!is_late && (in->load + GUARD_SLOTS < in->slots ||
			 in->backlog_us <= backlog_max_us))
		return ADMIT_IN_TIME;
	if (in->load + 1 + (int)(FREE_SLOTS_SHARE * in->slots) <= in->slots)
		return ADMIT_LATE;
	return ADMIT_REFUSED;
}

/* Returns a class's name for log lines. */
const char *admit_class_name(enum admit_class c)
{
	static const char *const names[] = { "", "in-time", "late" };

	return names[c];
}

/*
 * No upstream can serve and the wait is unknown: the latest retry that the time
 * left allows.
 */
static int retry_after_unknown_wait_ms(int max_ms, struct random *r)
{
	int spread = (int)(RETRY_UNKNOWN_WAIT_SPREAD_RATIO * max_ms);

	if (max_ms < RETRY_MIN_MS)
		return RETRY_MIN_MS;
	return max_ms - (spread ? (int)random_below(r, (uint32_t)spread) : 0);
}

/*
 * Returns the delay in ms after which the caller of a request should retry that
 * was refused since no upstream accepts any for `left` us: the time left plus a
 * random spread. It may exceed the time left to the caller's deadline, as no
 * earlier retry can succeed.
 */
int admit_retry_after_pause_ms(apr_interval_time_t left, struct random *r)
{
	int ms = left > 0 ? (int)(left / 1000) : 0;
	int spread = (int)(RETRY_PAUSE_SPREAD_RATIO * ms);

	if (spread < RETRY_SPREAD_MIN_MS)
		spread = RETRY_SPREAD_MIN_MS;
	return RETRY_MIN_MS + ms + (int)random_below(r, (uint32_t)spread);
}

/*
 * Returns the delay in ms after which a refused caller should retry: the
 * estimated wait plus a random spread, so that refused callers do not retry all
 * at once, bounded by a share of the time left (us) to the caller's deadline.
 */
int admit_retry_after_ms(double wait_us, apr_interval_time_t left,
			 struct random *r)
{
	int max_ms = (int)(RETRY_TIME_LEFT_RATIO * (double)left / 1000);
	int spread = max_ms - RETRY_MIN_MS;
	int ms;

	if (wait_us == ADMIT_WAIT_UNKNOWN_US)
		return retry_after_unknown_wait_ms(max_ms, r);

	if (spread < RETRY_SPREAD_MIN_MS)
		spread = RETRY_SPREAD_MIN_MS;
	ms = RETRY_MIN_MS + (int)(wait_us / 1000) +
	     (int)random_below(r, (uint32_t)spread);
	return max_ms > RETRY_MIN_MS && ms > max_ms ? max_ms : ms;
}

/*
 * Returns the range of the time left, in ms, within which attempts count as
 * first attempts.
 */
static long update_spread_ms(struct deadline_table *d, struct route_deadline *s,
			     long elapsed_ms, apr_time_t now)
{
	long max_ms =
		(long)(CLIENT_TIMEOUT_SPREAD_MAX_RATIO * (double)s->longest_ms);

	if (!d->refused_at || now - d->refused_at > RETRIES_SETTLED_US) {
		if (elapsed_ms <= max_ms && elapsed_ms > s->spread_ms)
			s->spread_ms = elapsed_ms;
		s->unloaded_attempts++;
		return max_ms;
	}
	if (s->unloaded_attempts < CLIENT_TIMEOUT_SAMPLES_MIN)
		return max_ms;
	return s->spread_ms;
}

/*
 * Returns the estimated time in ms since the caller's first attempt, 0 for a
 * first attempt or when left_ms is negative (no deadline given). A retry within
 * the spread of client timeouts counts as a first attempt, too.
 */
int deadline_table_elapsed_ms(struct deadline_table *d, const char *route,
			      long left_ms, apr_time_t now)
{
	uint64_t hash = place_hash_string(route, 0);
	struct route_deadline *s = &d->rows[hash % ADMIT_ROUTES_MAX];
	long elapsed_ms;

	if (left_ms < 0)
		return 0;
	if (s->route != hash || now - s->updated_at > ADMIT_ROUTE_TTL_US) {
		memset(s, 0, sizeof(*s));
		s->route = hash;
	}
	if (left_ms >= s->longest_ms) {
		s->longest_ms = left_ms;
		s->updated_at = now;
	}
	elapsed_ms = s->longest_ms - left_ms;
	return elapsed_ms <= update_spread_ms(d, s, elapsed_ms, now)
		       ? 0
		       : (int)elapsed_ms;
}
