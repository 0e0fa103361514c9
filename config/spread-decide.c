#include <string.h>

#include "config/spread-internal.h"

#define EXCHANGE_US APR_USEC_PER_SEC /* between exchanges with anybody */
#define REMOTE_EVERY 4		     /* exchanges for one abroad */
#define BUSY_MAX 8		     /* neighbours told at once */

#define PULL_GAP_US (100 * 1000) /* between pulls of one value */

/* Watching. */
#define PLATFORM_CALLS_PER_SECOND 24 /* of all watchers, under any load */
#define WATCH_GAP_MIN_US (250 * 1000)
#define WATCH_IDLE_GAP_US APR_USEC_PER_SEC /* the platform did not hold */
#define WATCH_BACKOFF_US (100 * 1000)
#define WATCH_BACKOFF_MAX_US (2 * APR_USEC_PER_SEC)

/*
 * When nobody is known to have heard the platform for so long, processes of
 * further ranks try it, other ones each time.
 */
#define QUIET_US (15 * APR_USEC_PER_SEC)
#define QUIET_TURN_US (4 * APR_USEC_PER_SEC)
#define QUIET_RANKS 3

static struct spread_action *action_add(struct spread_actions *out,
					enum spread_action_kind kind)
{
	struct spread_action *a;

	if (out->count == SPREAD_ACTIONS_MAX)
		return NULL;
	a = &out->list[out->count++];
	memset(a, 0, sizeof(*a));
	a->kind = kind;
	a->want = -1;
	return a;
}

static struct spread_action *exchange_add(struct spread_actions *out,
					  const char *address)
{
	struct spread_action *a = action_add(out, SPREAD_EXCHANGE);

	if (a)
		memcpy(a->address, address, SETTINGS_ADDRESS_SIZE);
	return a;
}

/* Returns 1 if this rank stands in while the platform seems silent. */
static int stands_in(const struct spread *s, const struct spread_value *v,
		     apr_time_t now)
{
	apr_time_t heard = v->platform_heard ? v->platform_heard : s->began;
	int extra = s->overlay.local_count - OVERLAY_WATCHERS;
	int rank = s->overlay.watch_rank - OVERLAY_WATCHERS;
	long long first;

	if (now - heard < QUIET_US || extra <= 0)
		return 0;
	first = (now - heard - QUIET_US) / QUIET_TURN_US * QUIET_RANKS;
	first %= extra;
	return (rank - first + extra) % extra < QUIET_RANKS;
}

static int should_watch(const struct spread *s, const struct spread_value *v,
			apr_time_t now)
{
	if (!v->watch_answers)
		return 1; /* everybody asks once, at the start */
	if (!v->version && s->member_count < 2)
		return 1; /* alone and without anything */
	return s->overlay.watch_rank < OVERLAY_WATCHERS || stands_in(s, v, now);
}

static void watch_decide(struct spread *s, int value, apr_time_t now,
			 struct spread_actions *out)
{
	struct spread_value *v = &s->values[value];
	struct spread_action *a;

	if (v->watching || now < v->watch_after || !should_watch(s, v, now))
		return;
	a = action_add(out, SPREAD_WATCH);
	if (!a)
		return;
	a->value = value;
	a->after_version = v->version > v->refused ? v->version : v->refused;
	a->can_hold = v->watch_answers > 0;
	v->watching = 1;
}

static apr_interval_time_t spread_out(apr_interval_time_t gap, struct random *r)
{
	return gap * 3 / 4 + random_below(r, (uint32_t)(gap / 2 + 1));
}

static apr_interval_time_t
watch_gap(const struct spread *s, const struct spread_value *v, apr_time_t now)
{
	apr_interval_time_t gap = OVERLAY_WATCHERS * SPREAD_VALUE_COUNT *
				  s->overlay.data_center_count *
				  APR_USEC_PER_SEC / PLATFORM_CALLS_PER_SECOND;

	if (gap < WATCH_GAP_MIN_US)
		gap = WATCH_GAP_MIN_US;
	if (spread_is_in_burst(v, now) && gap < SPREAD_BURST_GAP_US)
		gap = SPREAD_BURST_GAP_US;
	return gap;
}

static apr_interval_time_t watch_backoff(int failures)
{
	apr_interval_time_t gap = WATCH_BACKOFF_US;

	while (--failures > 0 && gap < WATCH_BACKOFF_MAX_US)
		gap *= 2;
	return gap;
}

/*
 * Notes the end of a call to the platform.  ok: it answered; changed: with
 * a version that was news here.
 */
void spread_finish_watch(struct spread *s, int value, int ok, int changed,
			 apr_time_t asked, apr_time_t now, struct random *r)
{
	struct spread_value *v = &s->values[value];
	apr_interval_time_t held = now - asked;

	v->watching = 0;
	v->watch_answers++;
	if (!ok) {
		v->watch_failures++;
		v->watch_after =
			now + spread_out(watch_backoff(v->watch_failures), r);
		return;
	}
	v->watch_failures = 0;
	v->platform_heard = now;
	if (changed)
		v->watch_after = now + spread_out(watch_gap(s, v, now), r);
	else if (held >= s->watch_s * APR_USEC_PER_SEC / 2)
		v->watch_after = now;
	else
		v->watch_after = now + spread_out(WATCH_IDLE_GAP_US, r);
}

static struct spread_offer *offer_best(struct spread_value *v)
{
	struct spread_offer *best = NULL;
	int i;

	for (i = 0; i < SPREAD_OFFERS_MAX; i++) {
		struct spread_offer *o = &v->offers[i];

		if (o->version && (!best || o->version > best->version))
			best = o;
	}
	return best;
}

static void pull_decide(struct spread *s, int value, apr_time_t now,
			struct spread_actions *out)
{
	struct spread_value *v = &s->values[value];
	struct spread_offer *o = offer_best(v);
	struct spread_action *a;

	if (!o || v->pulling || now < v->pull_after)
		return;
	a = exchange_add(out, o->address);
	if (!a)
		return;
	a->want = value;
	v->pulling = 1;
}

/*
 * Notes the end of a pull.  The offer is dropped either way: it was taken,
 * or its source can't be relied on and the next one is tried.
 */
void spread_finish_pull(struct spread_value *v, const char *address,
			apr_time_t now)
{
	int i;

	v->pulling = 0;
	for (i = 0; i < SPREAD_OFFERS_MAX; i++) {
		if (!strcmp(v->offers[i].address, address))
			v->offers[i].version = 0;
	}
	if (v->pull_after < now + PULL_GAP_US)
		v->pull_after = now + PULL_GAP_US;
}

static void tell_decide(struct spread *s, struct spread_actions *out)
{
	int busy = 0, i;

	for (i = 0; i < s->peer_count; i++)
		busy += s->peers[i].busy;
	for (i = 0; i < s->peer_count && busy < BUSY_MAX; i++) {
		struct spread_peer *p = &s->peers[i];

		if (!p->pending || p->busy || !exchange_add(out, p->address))
			continue;
		p->pending = 0;
		p->busy = 1;
		busy++;
	}
}

/* Picks a random member of [from, to) other than this process, or NULL. */
static const char *member_draw(const struct spread *s, int from, int to,
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

static const char *partner_draw(struct spread *s, struct random *r)
{
	const char *a = NULL;
	int remote = s->exchange_turn++ % REMOTE_EVERY == REMOTE_EVERY - 1;

	if (remote || s->own_count < 2)
		a = member_draw(s, s->own_count, s->member_count, r);
	if (!a)
		a = member_draw(s, 0, s->own_count, r);
	if (!a && s->start_count)
		a = s->start_peers[random_below(r, (uint32_t)s->start_count)];
	return a;
}

/* Exchanges with anybody repair what telling the neighbours missed. */
static void exchange_decide(struct spread *s, apr_time_t now, struct random *r,
			    struct spread_actions *out)
{
	const char *address;

	if (now < s->exchange_due)
		return;
	s->exchange_due = now + spread_out(EXCHANGE_US, r);
	address = partner_draw(s, r);
	if (address)
		exchange_add(out, address);
}

static void start_decide(struct spread *s, struct spread_actions *out)
{
	struct spread_action *a;

	while (s->start_asked < s->start_count) {
		a = exchange_add(out, s->start_peers[s->start_asked]);
		if (!a)
			return;
		a->starting = 1;
		s->start_asked++;
	}
}

/*
 * Lists what is to be done at now.  Each action is reported back by
 * spread_finish_watch or spread_finish_exchange.
 */
void spread_decide(struct spread *s, apr_time_t now, struct random *r,
		   struct spread_actions *out)
{
	int i;

	out->count = 0;
	start_decide(s, out);
	for (i = 0; i < SPREAD_VALUE_COUNT; i++) {
		pull_decide(s, i, now, out);
		watch_decide(s, i, now, out);
	}
	tell_decide(s, out);
	exchange_decide(s, now, r, out);
}
