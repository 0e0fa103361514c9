#include "forward/reservation.h"

#include <stdio.h>
#include <string.h>

#include "forward/decide.h"

/* Returns why no further attempt is allowed, or NULL. */
static const char *find_limit(const struct service_retry_budget *b,
			      const struct target_query *q,
			      const struct reservation_terms *terms,
			      apr_time_t now)
{
	/* The further ones of an answer that has begun are for refusals. */
	if (terms->attempts >= FORWARD_ATTEMPTS_MAX)
		return "tries-used";
	if (terms->runs >= terms->runs_max)
		return "runs-used";
	if (retry_budget_remaining(b, q->service, now) <= terms->retries_kept)
		return "retry-budget";
	return NULL;
}

/*
 * Chooses an upstream that can be relied upon. Returns NULL or the reason why
 * there is none.
 */
static const char *choose_place(struct target_table *t,
				const struct target_query *q,
				const struct reservation_terms *terms,
				struct random *random, apr_time_t now,
				struct target_choice *out)
{
	const struct target *u;
	apr_time_t expires_at;

	target_choose(t, q, now, random, out);
	if (out->index < 0)
		return out->reason;
	u = &t->rows[out->index];
	if (terms->needs_free_slot && out->load >= u->slots)
		return "upstreams-full";
	expires_at = release_limit_deadline(terms->releases, q->model,
					    target_find_release(u, q->model),
					    terms->expires_at);
	if (now + (apr_interval_time_t)out->wait_us + terms->answer_us >
	    expires_at)
		return "deadline";
	return NULL;
}

/*
 * Takes a place for a request whose current attempt is still under way. Returns
 * NULL, or the reason why there is none; nothing is taken then.
 */
const char *reservation_take(struct reservation *r, struct target_table *t,
			     struct service_retry_budget *b,
			     const struct target_query *q,
			     const struct reservation_terms *terms,
			     struct random *random, apr_time_t now)
{
	const char *reason = find_limit(b, q, terms, now);
	struct target *u;

	if (!reason)
		reason = choose_place(t, q, terms, random, now, &r->choice);
	if (!reason && !retry_budget_try_consume(b, q->service, now))
		reason = "retry-budget";
	if (reason)
		return reason;
	u = &t->rows[r->choice.index];
	target_record_start(u, now);
	r->has_slot = r->has_retry = 1;
	snprintf(r->upstream, sizeof(r->upstream), "%s", u->id);
	r->started_ms = u->started_ms;
	r->counted_at = now;
	return NULL;
}

/* Gives the slot back. */
static void release_slot(struct reservation *r, struct target_table *t,
			 apr_time_t now)
{
	struct target *u = r->has_slot ? target_find(t, r->upstream) : NULL;

	r->has_slot = 0;
	if (u && u->in_flight > 0)
		target_record_finish(u, now);
}

/* Returns 1 when the slot that was kept then is not counted in the limit. */
static int is_limited_since(const struct target *u, apr_time_t at)
{
	return u->limit.is_limited && u->limit.limited_since >= at;
}

/*
 * Returns the upstream of the place; its slot belongs to the caller then, who
 * sends a request there. Returns NULL when there is no place or its upstream
 * can't take the request any more.
 */
struct target *reservation_use_slot(struct reservation *r,
				    struct target_table *t,
				    const struct target_query *q,
				    apr_time_t now)
{
	struct target *u = r->has_slot ? target_find(t, r->upstream) : NULL;

	if (!u || u->started_ms != r->started_ms ||
	    is_limited_since(u, r->counted_at) ||
	    !target_can_use_slot(u, q, now)) {
		release_slot(r, t, now);
		return NULL;
	}
	r->has_slot = 0;
	return u;
}

/* The next attempt is a retry that the place has taken from the budget. */
void reservation_use_retry(struct reservation *r)
{
	r->has_retry = 0;
}

/* Gives back what of a place is not used. */
void reservation_release(struct reservation *r, struct target_table *t,
			 struct service_retry_budget *b, const char *service,
			 apr_time_t now)
{
	release_slot(r, t, now);
	if (r->has_retry)
		retry_budget_return(b, service, r->counted_at);
	r->has_retry = 0;
}
