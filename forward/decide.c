#include "forward/decide.h"

#define STATUS_SERVER_ERROR 500

/* Returns 1 unless it is proved that the upstream did not run the request. */
int handover_may_have_run(const struct handover_end *e)
{
	return !e->never_sent && !e->not_run && !e->other;
}

/*
 * Counts the hand-overs that may have run, which are what the route's
 * attempts bound: an upstream that refused has done nothing.
 */
int handover_runs(int before, const struct handover_end *e)
{
	return before + handover_may_have_run(e);
}

static int may_go_again(const struct handover_end *e,
			const struct handover_state *s)
{
	if (s->tries >= HANDOVER_TRIES_MAX || !s->has_time)
		return 0;
	if (e->never_sent)
		return 1;
	return s->runs < s->attempts && s->has_budget;
}

/* A whole answer that is an error of the upstream's own. */
static int is_failure(const struct handover_end *e)
{
	return e->status >= STATUS_SERVER_ERROR;
}

/* Says what follows; s counts the hand-over that has just ended. */
enum handover_next handover_decide(const struct handover_end *e,
				   const struct handover_state *s)
{
	int ran = handover_may_have_run(e);

	if (s->caller_gone)
		return NEXT_GONE;
	if (e->begun) {
		if (e->is_complete && !e->crossed)
			return NEXT_DONE;
		if (s->is_resumable && !e->timed_out && may_go_again(e, s))
			return NEXT_RESUME;
		return NEXT_CUT;
	}
	if (e->timed_out)
		return ran || s->maybe_ran ? NEXT_TIMEOUT : NEXT_NOT_RUN;
	if (!ran)
		return may_go_again(e, s) ? NEXT_AGAIN
		       : s->maybe_ran	  ? NEXT_UNKNOWN
					  : NEXT_NOT_RUN;
	if (e->is_complete && !e->crossed && !(is_failure(e) && s->may_repeat))
		return NEXT_DONE;
	if (s->may_repeat && may_go_again(e, s))
		return NEXT_AGAIN;
	/* Nothing better is to be had than the upstream's own error. */
	if (e->is_complete && !e->crossed)
		return NEXT_DONE;
	return NEXT_UNKNOWN;
}
