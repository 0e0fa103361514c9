#include <string.h>

#include "config/spread-internal.h"

/* Mean time between two exchanges with random peers. */
#define EXCHANGE_PERIOD_US APR_USEC_PER_SEC

/* The same while a newer version is known and no source of it answers. */
#define SOURCE_SEARCH_US (100 * 1000)

/* Maximum number of such exchanges under way: paused peers answer late. */
#define RANDOM_CONCURRENT_MAX SPREAD_NOTICE_THREADS

/* End of that search, when no peer has the version any more. */
#define SOURCE_SEARCH_MAX_US (5 * APR_USEC_PER_SEC)

/* Every EXCHANGES_PER_REMOTE-th random exchange is with a remote member. */
#define EXCHANGES_PER_REMOTE 4

/* Maximum number of neighbours notified at the same time. */
#define NOTIFY_CONCURRENT_MAX 8

/* Minimum time between two pulls of the same value. */
#define PULL_GAP_MIN_US (100 * 1000)

/* Time within which a source usually answers; after it, another is asked. */
#define PULL_PATIENCE_US (300 * 1000)

/* Timeout of a pull: one of SPREAD_PULLS_MAX ends when the next is due. */
#define PULL_TIMEOUT_MS (SPREAD_PULLS_MAX * PULL_PATIENCE_US / 1000)

/*
 * Timeout after PULL_FAILURES_MAX failures in a row, and twice that after each
 * further so many: the text may be large, or all sources slow.  The longest text
 * takes about 3 s over the slowest link.
 */
#define PULL_FAILURES_MAX (2 * SPREAD_PULLS_MAX)
#define PULL_TIMEOUT_LONG_MS 3000
#define PULL_DOUBLINGS_MAX 2

/* Timeout of an exchange of versions, without a text in the reply. */
#define EXCHANGE_TIMEOUT_MS 800

/* Timeout of an exchange that must end before this process is ready. */
#define START_EXCHANGE_TIMEOUT_MS 250

/* Limit on the platform calls of all watchers, at any rate of changes. */
#define PLATFORM_CALLS_MAX_PER_S 24

/* Minimum mean time between a watch that found a change and the next one. */
#define WATCH_GAP_MIN_US (250 * 1000)

/* Mean time to the next watch if the platform answered without holding. */
#define WATCH_UNHELD_GAP_US APR_USEC_PER_SEC

/* Mean time to the next watch after one failure; doubled for each further. */
#define WATCH_BACKOFF_US (100 * 1000)
#define WATCH_BACKOFF_MAX_US (2 * APR_USEC_PER_SEC)

/*
 * When no process is known to have been in contact with the platform for
 * PLATFORM_SILENT_US, SUBSTITUTE_RANKS processes that are not watchers try
 * it as well.  Every SUBSTITUTE_PERIOD_US, the next ranks take their place.
 */
#define PLATFORM_SILENT_US (15 * APR_USEC_PER_SEC)
#define SUBSTITUTE_PERIOD_US (4 * APR_USEC_PER_SEC)
#define SUBSTITUTE_RANKS 3

/*
 * A process that is not a watcher settles a dispute by a read of its own after
 * DISPUTE_WAIT_US, and DISPUTE_STEP_US for each watch rank, if no newer version
 * came; the time until a further one is taken up.
 */
#define DISPUTE_WAIT_US (1500 * 1000)
#define DISPUTE_STEP_US (100 * 1000)
#define DISPUTE_PERIOD_US (10 * APR_USEC_PER_SEC)

static struct spread_action *add_action(struct spread_actions *out,
					enum spread_action_kind kind)
{
	struct spread_action *a;

	if (out->count == SPREAD_ACTIONS_MAX)
		return NULL;
	a = &out->list[out->count++];
	memset(a, 0, sizeof(*a));
	a->kind = kind;
	a->wanted_value = -1;
	return a;
}

/* Adds an exchange of versions.  Returns NULL if there is no room for it. */
struct spread_action *spread_add_exchange(struct spread_actions *out,
					  const char *address)
{
	struct spread_action *a = add_action(out, SPREAD_EXCHANGE);

	if (!a)
		return NULL;
	memcpy(a->address, address, SETTINGS_ADDRESS_SIZE);
	a->timeout_ms = EXCHANGE_TIMEOUT_MS;
	return a;
}

/* Returns 1 if this process has to watch in place of silent watchers. */
static int is_substitute_watcher(const struct spread *s,
				 const struct spread_value *v, apr_time_t now)
{
	apr_time_t last_contact = v->platform_last_contact
					  ? v->platform_last_contact
					  : s->started_at;
	int substitutes = s->overlay.local_count - OVERLAY_WATCHERS;
	int rank = s->overlay.watch_rank - OVERLAY_WATCHERS;
	long long first;

	if (now - last_contact < PLATFORM_SILENT_US || substitutes <= 0)
		return 0;
	first = (now - last_contact - PLATFORM_SILENT_US) /
		SUBSTITUTE_PERIOD_US * SUBSTITUTE_RANKS;
	first %= substitutes;
	return (rank - first + substitutes) % substitutes < SUBSTITUTE_RANKS;
}

/* Returns 1 if this process is to settle a dispute over the current version. */
static int is_dispute_due(const struct spread *s, const struct spread_value *v,
			  apr_time_t now)
{
	int rank = s->overlay.watch_rank - OVERLAY_WATCHERS;
	apr_interval_time_t wait =
		rank < 0 ? 0 : DISPUTE_WAIT_US + rank * DISPUTE_STEP_US;

	return v->disputed_at && now - v->disputed_at >= wait;
}

static int should_watch(const struct spread *s, const struct spread_value *v,
			apr_time_t now)
{
	if (!v->watches_finished)
		return 1; /* each process asks once at its start */
	if (!v->version && s->member_count < 2)
		return 1; /* no version, and no other member */
	return s->overlay.watch_rank < OVERLAY_WATCHERS ||
	       now < s->fallback_until || is_substitute_watcher(s, v, now) ||
	       is_dispute_due(s, v, now);
}

/*
 * Returns the time for which the platform may hold a watch.  A watch after a
 * failure is not held, as its answer tells at once whether the platform is back.
 */
static int compute_hold_ms(const struct spread *s, int value, apr_time_t now)
{
	const struct spread_value *v = &s->values[value];
	int is_first = !s->overlay.watch_rank || now < s->fallback_until;

	if (!v->watches_finished || v->watch_failures || v->is_probe_due ||
	    is_dispute_due(s, v, now))
		return 0;
	if (value == SPREAD_DOCUMENT && is_first &&
	    s->watch_hold_ms == SPREAD_WATCH_HOLD_SHORT_MS)
		return SPREAD_WATCH_HOLD_PROMPT_MS;
	return s->watch_hold_ms;
}

static void decide_watch(struct spread *s, int value, apr_time_t now,
			 struct spread_actions *out)
{
	struct spread_value *v = &s->values[value];
	struct spread_action *a;

	if (v->is_watching || now < v->watch_after || !should_watch(s, v, now))
		return;
	a = add_action(out, SPREAD_WATCH);
	if (!a)
		return;
	a->value = value;
	a->after_version = v->version > v->rejected_version
				   ? v->version
				   : v->rejected_version;
	a->hold_ms = compute_hold_ms(s, value, now);
	a->can_hold = a->hold_ms > 0;
	a->is_disputed = is_dispute_due(s, v, now);
	v->is_settling = a->is_disputed;
	if (a->is_disputed)
		v->dispute_after = now + DISPUTE_PERIOD_US;
	v->is_watching = 1;
	v->watch_started_at = now;
	v->answer_begun_at = 0;
	v->watch_hold_ms = a->hold_ms;
}

/* Returns a random time of 75 % to 125 % of gap. */
static apr_interval_time_t randomize_gap(apr_interval_time_t gap,
					 struct random *r)
{
	return gap * 3 / 4 + random_below(r, (uint32_t)(gap / 2 + 1));
}

/*
 * Returns the mean time to the next watch after a change, such that all
 * watchers together stay within PLATFORM_CALLS_MAX_PER_S.
 */
static apr_interval_time_t compute_watch_gap(const struct spread *s,
					     const struct spread_value *v,
					     apr_time_t now)
{
	apr_interval_time_t gap = OVERLAY_WATCHERS * s->value_count *
				  s->overlay.data_center_count *
				  APR_USEC_PER_SEC / PLATFORM_CALLS_MAX_PER_S;

	if (gap < WATCH_GAP_MIN_US)
		gap = WATCH_GAP_MIN_US;
	if (spread_is_in_burst(v, now) && gap < SPREAD_BURST_GAP_US)
		gap = SPREAD_BURST_GAP_US;
	return gap;
}

static apr_interval_time_t compute_watch_backoff(int failures)
{
	apr_interval_time_t gap = WATCH_BACKOFF_US;

	while (--failures > 0 && gap < WATCH_BACKOFF_MAX_US)
		gap *= 2;
	return gap;
}

/*
 * Records the end of a watch that began at started, and schedules the next
 * one.  ok: the platform answered; changed: its answer held a version that
 * was applied here.
 */
void spread_finish_watch(struct spread *s, int value, int ok, int changed,
			 apr_time_t started, apr_time_t now, struct random *r)
{
	struct spread_value *v = &s->values[value];
	apr_interval_time_t hold = v->watch_hold_ms * 1000LL;
	apr_interval_time_t duration = now - started;
	int was_probe;

	v->is_watching = 0;
	v->watches_finished++;
	if (!ok) {
		v->watch_failures++;
		v->watch_after =
			now +
			randomize_gap(compute_watch_backoff(v->watch_failures),
				      r);
		return;
	}
	/* A read that began before the dispute does not settle it. */
	if (v->is_settling)
		v->disputed_at = 0;
	was_probe = v->watch_failures || v->is_probe_due;
	v->watch_failures = 0;
	v->is_probe_due = 0;
	v->platform_last_contact = now;
	if (!changed && v->watch_hold_ms && duration >= hold)
		v->answer_delay = duration - hold;
	if (changed)
		v->watch_after =
			now + randomize_gap(compute_watch_gap(s, v, now), r);
	else if (was_probe || (hold && duration >= hold / 2))
		v->watch_after = now;
	else
		v->watch_after = now + randomize_gap(WATCH_UNHELD_GAP_US, r);
}

/* Returns the pull from a source, or an unused one for an empty address. */
static struct spread_pull *find_pull(struct spread_value *v,
				     const char *address)
{
	int i;

	for (i = 0; i < SPREAD_PULLS_MAX; i++)
		if (!strcmp(v->pulls[i].address, address))
			return &v->pulls[i];
	return NULL;
}

/* Returns the newest version offered by a source that is not being asked. */
static struct spread_offer *find_best_offer(struct spread_value *v)
{
	struct spread_offer *best = NULL;
	int i;

	for (i = 0; i < SPREAD_OFFERS_MAX; i++) {
		struct spread_offer *o = &v->offers[i];

		if (o->version && (!best || o->version > best->version) &&
		    !find_pull(v, o->address))
			best = o;
	}
	return best;
}

/* Returns 1 if a source that was asked may still answer in the usual time. */
static int is_answer_expected(const struct spread_value *v, apr_time_t now)
{
	int i;

	for (i = 0; i < SPREAD_PULLS_MAX; i++)
		if (*v->pulls[i].address &&
		    now - v->pulls[i].started_at < PULL_PATIENCE_US)
			return 1;
	return 0;
}

static int compute_pull_timeout_ms(int failures)
{
	int doublings = failures / PULL_FAILURES_MAX - 1;

	if (doublings < 0)
		return PULL_TIMEOUT_MS;
	if (doublings > PULL_DOUBLINGS_MAX)
		doublings = PULL_DOUBLINGS_MAX;
	return PULL_TIMEOUT_LONG_MS << doublings;
}

static void decide_pull(struct spread *s, int value, apr_time_t now,
			struct spread_actions *out)
{
	struct spread_value *v = &s->values[value];
	struct spread_offer *o = find_best_offer(v);
	struct spread_pull *pull = find_pull(v, "");
	struct spread_action *a;

	if (!o || !pull || now < v->pull_after || is_answer_expected(v, now))
		return;
	a = spread_add_exchange(out, o->address);
	if (!a)
		return;
	a->wanted_value = value;
	a->timeout_ms = compute_pull_timeout_ms(v->pull_failures);
	pull->started_at = now;
	memcpy(pull->address, o->address, sizeof(pull->address));
}

/*
 * Records the end of a pull.  The offer is dropped in any case: its version
 * was applied, or the pull failed and the next source is to be tried.
 */
void spread_finish_pull(struct spread_value *v, const char *address, int ok,
			apr_time_t now)
{
	struct spread_pull *pull = find_pull(v, address);
	int i;

	v->pull_failures = ok ? 0 : v->pull_failures + 1;
	if (pull)
		*pull->address = '\0';
	for (i = 0; i < SPREAD_OFFERS_MAX; i++) {
		if (!strcmp(v->offers[i].address, address))
			v->offers[i].version = 0;
	}
	if (v->pull_after < now + PULL_GAP_MIN_US)
		v->pull_after = now + PULL_GAP_MIN_US;
}

static void decide_notify(struct spread *s, struct spread_actions *out)
{
	int in_exchange = 0, i;

	for (i = 0; i < s->peer_count; i++)
		in_exchange += s->peers[i].is_in_exchange;
	for (i = 0; i < s->peer_count && in_exchange < NOTIFY_CONCURRENT_MAX;
	     i++) {
		struct spread_peer *p = &s->peers[i];

		if (!p->is_notify_pending || p->is_in_exchange ||
		    !spread_add_exchange(out, p->address))
			continue;
		p->is_notify_pending = 0;
		p->is_in_exchange = 1;
		in_exchange++;
	}
}

/*
 * Returns the address of a random member in [from, to), or NULL if four
 * tries yield none other than this process.
 */
static const char *pick_random_member(const struct spread *s, int from, int to,
				      struct random *r)
{
	const char *address;
	int tries;

	for (tries = 0; tries < 4 && to > from; tries++) {
		address = s->members[from + (int)random_below(
						    r, (uint32_t)(to - from))]
				  .address;
		if (strcmp(address, s->self_address))
			return address;
	}
	return NULL;
}

static const char *pick_exchange_peer(struct spread *s, struct random *r)
{
	const char *a = NULL;
	int remote = s->exchange_count++ % EXCHANGES_PER_REMOTE ==
		     EXCHANGES_PER_REMOTE - 1;

	if (remote || s->local_count < 2)
		a = pick_random_member(s, s->local_count, s->member_count, r);
	if (!a)
		a = pick_random_member(s, 0, s->local_count, r);
	if (!a && s->start_count)
		a = s->start_peers[random_below(r, (uint32_t)s->start_count)];
	return a;
}

/* Returns 1 if a newer version is known, but from no source that answers. */
static int lacks_source(struct spread *s, apr_time_t now)
{
	int i;

	for (i = 0; i < s->value_count; i++) {
		struct spread_value *v = &s->values[i];

		if (v->offered_version > v->version &&
		    now - v->offered_at < SOURCE_SEARCH_MAX_US &&
		    !find_best_offer(v) && !is_answer_expected(v, now))
			return 1;
	}
	return 0;
}

/*
 * Exchanges with random peers deliver the versions that notifications of
 * the neighbours missed.
 */
static void decide_exchange(struct spread *s, apr_time_t now, struct random *r,
			    struct spread_actions *out)
{
	apr_interval_time_t period =
		lacks_source(s, now) ? SOURCE_SEARCH_US : EXCHANGE_PERIOD_US;
	struct spread_action *a = NULL;
	const char *address;

	if (s->next_exchange_at > now + period)
		s->next_exchange_at = now + randomize_gap(period, r);
	if (now < s->next_exchange_at ||
	    s->random_in_exchange >= RANDOM_CONCURRENT_MAX)
		return;
	s->next_exchange_at = now + randomize_gap(period, r);
	address = pick_exchange_peer(s, r);
	if (address)
		a = spread_add_exchange(out, address);
	if (!a)
		return;
	a->is_random = 1;
	s->random_in_exchange++;
}

static void decide_start_exchanges(struct spread *s, struct spread_actions *out)
{
	struct spread_action *a;

	while (s->start_sent < s->start_count) {
		a = spread_add_exchange(out, s->start_peers[s->start_sent]);
		if (!a)
			return;
		a->is_start_exchange = 1;
		a->timeout_ms = START_EXCHANGE_TIMEOUT_MS;
		s->start_sent++;
	}
}

/*
 * Fills in the actions to be started at now.  The caller reports the end of
 * each by spread_finish_watch or spread_finish_exchange.
 */
void spread_decide(struct spread *s, apr_time_t now, struct random *r,
		   struct spread_actions *out)
{
	int i;

	out->count = 0;
	decide_start_exchanges(s, out);
	spread_check_heartbeats(s, now);
	for (i = 0; i < s->value_count; i++) {
		decide_pull(s, i, now, out);
		decide_watch(s, i, now, out);
	}
	decide_notify(s, out);
	spread_decide_asks(s, now, out);
	decide_exchange(s, now, r, out);
}
