#include "weights/swarm.h"

#include <string.h>

#define HEDGE_BASE_US (2 * APR_USEC_PER_SEC)
/*
 * Multiple of the typical origin fetch time that is added to the hedge delay.
 */
#define HEDGE_FETCH_TIMES 3
/*
 * Hedge delays until another data centre takes over for one without live
 * instances.
 */
#define LOST_HEDGE_DELAYS 2
/* Chunks that one step examines for hedged origin fetches. */
#define HEDGE_CHUNKS_PER_STEP 64
#define PERMIT_RENEW_US (120 * APR_USEC_PER_SEC)
#define PEER_FAILURES_LATE 2
#define PEER_FAILURES_AVOID 3
#define BACKOFF_BASE_US (250 * 1000)
#define BACKOFF_MAX_US (8 * APR_USEC_PER_SEC)
#define PEER_BACKOFF_US (500 * 1000)
#define AVOID_CORRUPT_US (60 * APR_USEC_PER_SEC)
#define ENGINE_BACKOFF_US APR_USEC_PER_SEC
#define EXCHANGE_MIN_US (400 * 1000)
/*
 * Interval between exchanges for each neighbour; bounds the control traffic.
 */
#define EXCHANGE_SPACING_US (66 * 1000)
#define EXCHANGE_KEEPALIVE_US (2 * APR_USEC_PER_SEC)
#define EXCHANGE_BACKOFF_SHIFT_MAX 4

/* Scales a default interval to the time limit of the distribution. */
static apr_interval_time_t scale_interval(const struct swarm *s,
					  double default_us)
{
	return (apr_interval_time_t)(s->policy.scale > 0
					     ? default_us * s->policy.scale
					     : default_us);
}

/*
 * Returns how long a carrier may make no progress before the next one takes
 * over. A higher weight of time shortens the delay and costs more origin
 * bytes.
 */
apr_interval_time_t swarm_hedge_delay(const struct swarm *s)
{
	double default_us = (double)scale_interval(s, HEDGE_BASE_US) +
			    HEDGE_FETCH_TIMES * (double)s->origin_fetch_time;

	return (apr_interval_time_t)(default_us *
				     (1.5 - s->policy.time_weight));
}

static int has_given_up(const struct swarm_peer *p, uint32_t chunk)
{
	int i;

	for (i = 0; i < p->given_up_count; i++)
		if (p->given_up[i] == chunk)
			return 1;
	return 0;
}

/*
 * Returns 1 when a data centre has had no live instance for so long that
 * another one may take over its chunks. Such a data centre is more likely
 * partitioned than down: taking over after a short partition would cost a copy
 * on each side.
 */
static int is_takeover_due(const struct swarm *s, int dc, apr_time_t now)
{
	apr_time_t since = s->lost_since[dc];

	return !since || now - since > LOST_HEDGE_DELAYS * swarm_hedge_delay(s);
}

/* Returns 1 when a member is not expected to bring a chunk soon. */
static int is_member_late(struct swarm *s, int member, uint32_t chunk,
			  apr_time_t now)
{
	const struct swarm_peer *p;
	apr_time_t since;

	if (member < 0)
		return 1;
	if (!s->view->members[member].is_live)
		return is_takeover_due(s, s->view->members[member].data_center,
				       now);
	p = swarm_find_peer(s, s->view->members[member].id);
	if (!p)
		return now - s->started_at > 4 * swarm_hedge_delay(s);
	if (!p->is_live || p->failures >= PEER_FAILURES_LATE ||
	    p->avoid_until > now || has_given_up(p, chunk))
		return 1;
	if (p->origin_wait_until > now)
		return 0;
	since = p->progress_at > s->started_at ? p->progress_at : s->started_at;
	return now - since > swarm_hedge_delay(s);
}

/*
 * Returns 1 when all members with a lower rank in this data centre are late.
 */
static int are_lower_ranks_late(struct swarm *s, uint32_t chunk, apr_time_t now)
{
	const struct place_view *v = s->view;
	const struct swarm_chunk *c = &s->chunks[chunk];
	int dc = v->members[v->self].data_center;
	int rank;

	for (rank = 0; rank < c->carrier_rank; rank++)
		if (!is_member_late(
			    s, place_member_at_rank(v, dc, &c->digest, rank),
			    chunk, now))
			return 0;
	return 1;
}

static int data_center_at_rank(const struct place_view *v,
			       const struct digest *chunk, int rank)
{
	int dc;

	for (dc = 0; dc < v->data_center_count; dc++)
		if (place_data_center_rank(v, dc, chunk) == rank)
			return dc;
	return -1;
}

/* Returns 1 when the holders of all lower permits are late. */
static int are_lower_permits_late(struct swarm *s, uint32_t chunk,
				  apr_time_t now)
{
	const struct place_view *v = s->view;
	const struct swarm_chunk *c = &s->chunks[chunk];
	int permit, dc, member;

	for (permit = 0; permit < c->permit; permit++) {
		dc = data_center_at_rank(v, &c->digest,
					 permit % v->data_center_count);
		member = place_member_at_rank(v, dc, &c->digest,
					      permit / v->data_center_count);
		if (!is_member_late(s, member, chunk, now))
			return 0;
	}
	return 1;
}

static int can_request(const struct swarm_peer *p, uint32_t chunk,
		       apr_time_t now)
{
	return p->is_live && bit_get(p->chunk_bits, chunk) &&
	       p->busy_until <= now && p->avoid_until <= now &&
	       p->requests_in_flight < SWARM_PEER_REQUESTS_MAX &&
	       p->failures < PEER_FAILURES_AVOID;
}

static uint64_t hash_chunk(const struct swarm *s, uint32_t chunk, uint32_t salt)
{
	uint32_t in[2] = { chunk, salt };

	return place_hash(in, sizeof(in), s->seed);
}

/* Cost of a request to a peer. The links of carriers cost the most. */
static int peer_cost(const struct swarm_peer *p)
{
	return 2 * p->requests_in_flight + (p->is_local && p->is_carrier);
}

/*
 * Returns the cheapest peer to request a chunk from, or SWARM_NO_PEER. Ties
 * are broken by hash.
 */
static int choose_peer(const struct swarm *s, uint32_t chunk, int same,
		       apr_time_t now)
{
	uint64_t best_hash = 0;
	int i, cost, best_cost = 0, best = SWARM_NO_PEER;

	for (i = 0; i < s->peer_count; i++) {
		const struct swarm_peer *p = &s->peers[i];
		uint64_t h;

		if (p->is_local != same || !can_request(p, chunk, now))
			continue;
		cost = peer_cost(p);
		h = hash_chunk(s, chunk, (uint32_t)i + 1);
		if (best != SWARM_NO_PEER &&
		    (cost > best_cost || (cost == best_cost && h < best_hash)))
			continue;
		best = i;
		best_cost = cost;
		best_hash = h;
	}
	return best;
}

static int is_held_locally(const struct swarm *s, uint32_t chunk,
			   apr_time_t now)
{
	int i;

	for (i = 0; i < s->peer_count; i++)
		if (s->peers[i].is_local && s->peers[i].is_live &&
		    s->peers[i].avoid_until <= now &&
		    bit_get(s->peers[i].chunk_bits, chunk))
			return 1;
	return 0;
}

static int is_chunk_startable(const struct swarm_chunk *c, apr_time_t now)
{
	return c->status == CHUNK_MISSING && c->not_before <= now;
}

static void start_transfer(struct swarm *s, struct swarm_action *a,
			   enum swarm_transfer_kind kind, uint32_t chunk,
			   int peer, apr_time_t now)
{
	a->kind = kind;
	a->chunk = chunk;
	a->peer = peer;
	a->started_at = now;
	s->chunks[chunk].status = CHUNK_REQUESTED;
	if (peer != SWARM_NO_PEER)
		s->peers[peer].requests_in_flight++;
	s->pulls += kind == TRANSFER_PULL;
	s->carries += kind == TRANSFER_CARRY;
	s->origin_fetches += kind == TRANSFER_ORIGIN_FETCH;
}

/*
 * Starts a pull of the rarest chunk that a neighbour in the same data centre
 * can send now. Equally rare chunks are ordered by a hash that differs between
 * instances.
 */
static int choose_pull(struct swarm *s, apr_time_t now, struct swarm_action *a)
{
	uint64_t best_hash = 0;
	uint32_t i, best = 0;
	int best_peer = SWARM_NO_PEER;

	for (i = 0; i < s->chunk_count; i++) {
		const struct swarm_chunk *c = &s->chunks[i];
		uint64_t h;
		int peer;

		if (!c->holders || !is_chunk_startable(c, now))
			continue;
		h = hash_chunk(s, i, 0);
		if (best_peer != SWARM_NO_PEER &&
		    (c->holders > s->chunks[best].holders ||
		     (c->holders == s->chunks[best].holders && h < best_hash)))
			continue;
		peer = choose_peer(s, i, 1, now);
		if (peer == SWARM_NO_PEER)
			continue;
		best = i;
		best_hash = h;
		best_peer = peer;
	}
	if (best_peer == SWARM_NO_PEER)
		return 0;
	start_transfer(s, a, TRANSFER_PULL, best, best_peer, now);
	return 1;
}

static int choose_carry(struct swarm *s, apr_time_t now, struct swarm_action *a)
{
	uint32_t n, i;

	for (n = 0; n < s->chunk_count; n++) {
		const struct swarm_chunk *c;
		int peer;

		i = (n + (uint32_t)s->seed) % s->chunk_count;
		c = &s->chunks[i];
		if (!c->holders || c->carrier_rank < 0 ||
		    !is_chunk_startable(c, now))
			continue;
		peer = choose_peer(s, i, 0, now);
		if (peer == SWARM_NO_PEER || is_held_locally(s, i, now) ||
		    !are_lower_ranks_late(s, i, now))
			continue;
		start_transfer(s, a, TRANSFER_CARRY, i, peer, now);
		return 1;
	}
	return 0;
}

/* Returns 1 when a live neighbour that is not avoided holds the chunk. */
static int is_held_by_neighbour(const struct swarm *s, uint32_t chunk,
				apr_time_t now)
{
	int i;

	if (!s->chunks[chunk].holders)
		return 0;
	for (i = 0; i < s->peer_count; i++)
		if (s->peers[i].is_live && s->peers[i].avoid_until <= now &&
		    bit_get(s->peers[i].chunk_bits, chunk))
			return 1;
	return 0;
}

static int is_origin_fetch_allowed(const struct swarm *s, uint32_t chunk,
				   apr_time_t now)
{
	const struct swarm_chunk *c = &s->chunks[chunk];

	return c->permit != PLACE_NO_PERMIT && is_chunk_startable(c, now) &&
	       !is_held_by_neighbour(s, chunk, now) &&
	       (!c->is_permit_used ||
		now - c->permit_used_at > PERMIT_RENEW_US);
}

/*
 * Starts an origin fetch: first of a chunk with the lowest permit, then, for
 * at most HEDGE_CHUNKS_PER_STEP chunks, of one whose lower permits belong to
 * late members.
 */
static int choose_origin_fetch(struct swarm *s, apr_time_t now,
			       struct swarm_action *a)
{
	uint32_t n, i;

	for (n = 0; n < s->chunk_count; n++) {
		i = (n + (uint32_t)s->seed) % s->chunk_count;
		if (s->chunks[i].permit || !is_origin_fetch_allowed(s, i, now))
			continue;
		start_transfer(s, a, TRANSFER_ORIGIN_FETCH, i, SWARM_NO_PEER,
			       now);
		return 1;
	}
	for (n = 0; n < HEDGE_CHUNKS_PER_STEP && n < s->chunk_count; n++) {
		i = s->hedge_cursor++ % s->chunk_count;
		if (!s->chunks[i].permit ||
		    !is_origin_fetch_allowed(s, i, now) ||
		    !are_lower_permits_late(s, i, now))
			continue;
		start_transfer(s, a, TRANSFER_ORIGIN_FETCH, i, SWARM_NO_PEER,
			       now);
		return 1;
	}
	return 0;
}

/* Returns 1 when another transfer may be started. */
static int has_free_transfer(const struct swarm *s,
			     const struct swarm_credit *credit)
{
	return !credit->transfers_max ||
	       s->pulls + s->carries + s->origin_fetches <
		       credit->transfers_max;
}

/*
 * Chooses the transfers to start now, within the credit of the links and the
 * limits on transfers in flight. Returns their number, at most max. The caller
 * must call swarm_record_result once for each.
 */
int swarm_choose_transfers(struct swarm *s, const struct swarm_credit *credit,
			   apr_time_t now, struct swarm_action *out, int max)
{
	double link = credit->link_bytes, cross = credit->cross_bytes;
	int n = 0;

	if (swarm_is_complete(s) || !s->view || s->view->self < 0)
		return 0;
	while (!credit->is_origin_excluded && n < max && link > 0 &&
	       has_free_transfer(s, credit) &&
	       s->origin_fetches < SWARM_ORIGIN_FETCHES_MAX &&
	       s->origin_not_before <= now &&
	       choose_origin_fetch(s, now, &out[n]))
		link -= s->chunks[out[n++].chunk].length;
	while (n < max && link > 0 && cross > 0 &&
	       has_free_transfer(s, credit) && s->carries < SWARM_CARRIES_MAX &&
	       choose_carry(s, now, &out[n])) {
		link -= s->chunks[out[n].chunk].length;
		cross -= s->chunks[out[n++].chunk].length;
	}
	while (n < max && link > 0 && has_free_transfer(s, credit) &&
	       s->pulls < SWARM_PULLS_MAX && choose_pull(s, now, &out[n]))
		link -= s->chunks[out[n++].chunk].length;
	return n;
}

static void record_origin_result(struct swarm *s, struct swarm_chunk *c,
				 enum transfer_result result,
				 apr_interval_time_t wait,
				 apr_interval_time_t took, apr_time_t now)
{
	int shift = s->origin_failures < 5 ? s->origin_failures : 5;
	apr_interval_time_t backoff = scale_interval(s, BACKOFF_BASE_US)
				      << shift;

	if (result == RESULT_DONE || result == RESULT_CORRUPT ||
	    result == RESULT_ENGINE_REFUSED || result == RESULT_PARKED) {
		c->is_permit_used = 1;
		c->permit_used_at = now;
	}
	if (result == RESULT_DONE || result == RESULT_PARKED) {
		s->origin_failures = 0;
		s->origin_fetch_time =
			s->origin_fetch_time
				? (3 * s->origin_fetch_time + took) / 4
				: took;
		return;
	}
	if (result == RESULT_ENGINE_REFUSED)
		return;
	s->origin_failures++;
	if (backoff > BACKOFF_MAX_US)
		backoff = BACKOFF_MAX_US;
	/*
	 * The delay is spread so that the permit holders do not all retry at
	 * the same time.
	 */
	if (result == RESULT_WAIT)
		backoff = wait;
	s->origin_not_before =
		now + backoff +
		(apr_interval_time_t)(hash_chunk(s, (uint32_t)now, 7) %
				      (uint64_t)(backoff / 2 + 1));
}

static void record_peer_result(struct swarm *s, struct swarm_peer *p,
			       enum transfer_result result,
			       apr_interval_time_t wait, apr_time_t now)
{
	p->requests_in_flight--;
	switch (result) {
	case RESULT_DONE:
	case RESULT_PARKED:
		p->failures = 0;
		break;
	case RESULT_BUSY:
		p->busy_until = now + wait;
		break;
	case RESULT_CORRUPT:
		p->corrupt_count++;
		p->avoid_until = now + AVOID_CORRUPT_US;
		break;
	case RESULT_FAILED:
	case RESULT_WAIT:
		p->failures++;
		p->busy_until = now + scale_interval(s, PEER_BACKOFF_US);
		break;
	case RESULT_ENGINE_REFUSED:
		break;
	}
}

/*
 * Records the result of a transfer. wait is the delay that the sender or the
 * origin asked for.
 */
void swarm_record_result(struct swarm *s, const struct swarm_action *a,
			 enum transfer_result result, apr_interval_time_t wait,
			 apr_time_t now)
{
	struct swarm_chunk *c = &s->chunks[a->chunk];

	s->pulls -= a->kind == TRANSFER_PULL;
	s->carries -= a->kind == TRANSFER_CARRY;
	s->origin_fetches -= a->kind == TRANSFER_ORIGIN_FETCH;
	if (c->status == CHUNK_REQUESTED && result != RESULT_PARKED)
		c->status = CHUNK_MISSING;
	if (result == RESULT_DONE)
		swarm_mark_held(s, a->chunk, now);
	if (result == RESULT_ENGINE_REFUSED)
		c->not_before = now + scale_interval(s, ENGINE_BACKOFF_US);
	if (a->kind == TRANSFER_ORIGIN_FETCH)
		record_origin_result(s, c, result, wait, now - a->started_at,
				     now);
	else
		record_peer_result(s, &s->peers[a->peer], result, wait, now);
}

/* Records that a parked chunk was staged, or dropped when staged is 0. */
void swarm_finish_parked(struct swarm *s, uint32_t chunk, int staged,
			 apr_time_t now)
{
	struct swarm_chunk *c = &s->chunks[chunk];

	if (c->status != CHUNK_REQUESTED)
		return;
	c->status = CHUNK_MISSING;
	if (staged)
		swarm_mark_held(s, chunk, now);
}

/* Returns 1 when a is to be sent before b. */
int send_rank_is_before(const struct send_rank *a, const struct send_rank *b)
{
	if (a->is_carry != b->is_carry)
		return a->is_carry > b->is_carry;
	if (a->is_unsent != b->is_unsent)
		return a->is_unsent > b->is_unsent;
	return a->held_permille < b->held_permille;
}

static int has_news_to_exchange(const struct swarm *s,
				const struct swarm_peer *p)
{
	int is_acked =
		p->acked_epoch == s->epoch && p->acked_count >= s->held_count;

	if (swarm_is_complete(s) && p->is_complete)
		return !is_acked;
	return !is_acked || !p->is_complete;
}

/*
 * Returns the neighbour to exchange messages with now, or SWARM_NO_PEER. The
 * interval grows with the number of neighbours, which bounds the control
 * traffic. When urgent is set, the interval is skipped.
 */
int swarm_next_exchange_peer(struct swarm *s, int urgent, apr_time_t now)
{
	apr_interval_time_t base =
		scale_interval(s, (double)EXCHANGE_SPACING_US * s->peer_count);
	apr_interval_time_t min_wait = scale_interval(s, EXCHANGE_MIN_US);
	apr_time_t oldest = now + 1;
	int i, best = SWARM_NO_PEER;

	if (base < min_wait)
		base = min_wait;
	for (i = 0; i < s->peer_count; i++) {
		const struct swarm_peer *p = &s->peers[i];
		apr_interval_time_t wait = base;

		if (!p->is_live || p->is_exchanging)
			continue;
		if (!has_news_to_exchange(s, p))
			wait = EXCHANGE_KEEPALIVE_US;
		if (p->failures)
			wait = base << (p->failures < EXCHANGE_BACKOFF_SHIFT_MAX
						? p->failures
						: EXCHANGE_BACKOFF_SHIFT_MAX);
		else if (urgent)
			wait = 0;
		if (now - p->exchanged_at >= wait && p->exchanged_at < oldest) {
			oldest = p->exchanged_at;
			best = i;
		}
	}
	return best;
}
