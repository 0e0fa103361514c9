#include "forward/admit.h"

#include <stdint.h>
#include <string.h>

#include "base/digest.h"

/* Kept free of the objective for trips and for what reports don't tell yet. */
#define ADMIT_MARGIN_US (150 * 1000.0)

/* Slots that other entries may have filled since the upstream's report. */
#define ADMIT_GUARD_SLOTS 0

/* Part of the slots that late requests leave to others. */
#define ADMIT_FREE_PART 0.15

#define RETRY_MIN_MS 150
#define RETRY_SPREAD_MIN_MS 400

/* Callers of one route differ at most by this part in how long they wait. */
#define PATIENCE_MAX 0.25
#define PATIENCE_SAMPLES 20 /* attempts after which the spread is known */

/* The refused have returned or given up so long after a refusal. */
#define RETURNS_OVER_US (3 * 1000 * 1000)

/* Callers wait at most this part of the time that they have left. */
#define RETRY_LEFT_PART 0.3

/* Of that, by how much returns are spread while no upstream can serve. */
#define RETRY_NOWHERE_SPREAD 0.15

/*
 * Decides on one request.  The bound on the backlog is the same for all
 * requests of a service, whatever their size and objective: a stricter one
 * for some would leave them unserved.
 */
enum admit_class admit_decide(const struct admit_input *in)
{
	double bound = in->service_objective_ms * 1000.0 -
		       in->typical_first_event_us - ADMIT_MARGIN_US -
		       in->elapsed_ms * 1000.0;
	int late = in->elapsed_ms * 1000.0 + in->first_event_us >=
		   in->route_objective_ms * 1000.0;

	if (!in->service_objective_ms)
		return ADMIT_IN_TIME;
	if (!late && (in->load + ADMIT_GUARD_SLOTS < in->slots ||
		      in->backlog_us <= bound))
		return ADMIT_IN_TIME;
	if (in->load + 1 + (int)(ADMIT_FREE_PART * in->slots) <= in->slots)
		return ADMIT_LATE;
	return ADMIT_REFUSED;
}

/* Returns a class's name for log lines. */
const char *admit_class_name(enum admit_class c)
{
	static const char *const names[] = { "", "in-time", "late" };

	return names[c];
}

/* Nothing can serve yet and nobody knows when: as late as the caller may. */
static int nowhere_ms(int most, struct random *r)
{
	int spread = (int)(RETRY_NOWHERE_SPREAD * most);

	if (most < RETRY_MIN_MS)
		return RETRY_MIN_MS;
	return most - (spread ? (int)random_below(r, (uint32_t)spread) : 0);
}

/*
 * Returns when a refused caller should come back: after the wait that there
 * is now, spread so that the refused do not return as one, and soon enough
 * for the time that they have left.
 */
int admit_retry_after_ms(double wait_us, apr_interval_time_t left,
			 struct random *r)
{
	int most = (int)(RETRY_LEFT_PART * (double)left / 1000);
	int spread = most - RETRY_MIN_MS;
	int ms;

	if (wait_us == ADMIT_WAIT_UNKNOWN_US)
		return nowhere_ms(most, r);

	if (spread < RETRY_SPREAD_MIN_MS)
		spread = RETRY_SPREAD_MIN_MS;
	ms = RETRY_MIN_MS + (int)(wait_us / 1000) +
	     (int)random_below(r, (uint32_t)spread);
	return most > RETRY_MIN_MS && ms > most ? most : ms;
}

/* Returns the part of the callers' time by which first attempts differ. */
static long spread_ms(struct deadline_table *d, struct route_deadline *s,
		      long gone_ms, apr_time_t now)
{
	long most = (long)(PATIENCE_MAX * (double)s->longest_ms);

	if (!d->refused_at || now - d->refused_at > RETURNS_OVER_US) {
		if (gone_ms <= most && gone_ms > s->spread_ms)
			s->spread_ms = gone_ms;
		s->unloaded_attempts++;
		return most;
	}
	if (s->unloaded_attempts < PATIENCE_SAMPLES)
		return most;
	return s->spread_ms;
}

/*
 * Returns the time since the first attempt, 0 for what looks like one.  One
 * that came back within the time by which callers differ in patience looks
 * like a first one, too.
 */
int deadline_table_elapsed_ms(struct deadline_table *d, const char *route,
			      long left_ms, apr_time_t now)
{
	uint64_t hash = place_hash_string(route, 0);
	struct route_deadline *s = &d->rows[hash % ADMIT_ROUTES_MAX];
	long gone_ms;

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
	gone_ms = s->longest_ms - left_ms;
	return gone_ms <= spread_ms(d, s, gone_ms, now) ? 0 : (int)gone_ms;
}
