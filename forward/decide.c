#include "forward/decide.h"

#define STATUS_SERVER_ERROR 500

/* Returns 1 unless it is proved that the upstream did not run the request. */
int attempt_may_have_run(const struct attempt_result *e)
{
	return !e->is_unsent && !e->is_not_run && !e->is_other_instance;
}

/*
 * Counts the hand-overs that may have run, which are what the route's
 * attempts bound: an upstream that refused has done nothing.
 */
int attempt_count_runs(int before, const struct attempt_result *e)
{
	return before + attempt_may_have_run(e);
}

static int may_go_again(const struct attempt_result *e,
			const struct attempt_context *s)
{
	if (s->tries >= FORWARD_ATTEMPTS_MAX || !s->has_time)
		return 0;
	if (e->is_unsent)
		return 1;
	return s->runs < s->runs_max && s->has_budget;
}

/* A whole answer that is an error of the upstream's own. */
static int is_failure(const struct attempt_result *e)
{
	return e->status >= STATUS_SERVER_ERROR;
}

/* Says what follows; s counts the hand-over that has just ended. */
enum attempt_action attempt_decide_next(const struct attempt_result *e,
					const struct attempt_context *s)
{
	int ran = attempt_may_have_run(e);

	if (s->is_caller_disconnected)
		return NEXT_DISCONNECTED;
	if (e->is_answer_started) {
		if (e->is_complete && !e->is_mismatched)
			return NEXT_DONE;
		if (s->is_resumable && !e->is_timed_out && may_go_again(e, s))
			return NEXT_RESUME;
		return NEXT_TRUNCATED;
	}
	if (e->is_timed_out)
		return ran || s->may_have_run ? NEXT_TIMEOUT : NEXT_NOT_RUN;
	if (!ran)
		return may_go_again(e, s) ? NEXT_RETRY
		       : s->may_have_run  ? NEXT_UNKNOWN
					  : NEXT_NOT_RUN;
	if (e->is_complete && !e->is_mismatched &&
	    !(is_failure(e) && s->is_repeatable))
		return NEXT_DONE;
	if (s->is_repeatable && may_go_again(e, s))
		return NEXT_RETRY;
	/* Nothing better is to be had than the upstream's own error. */
	if (e->is_complete && !e->is_mismatched)
		return NEXT_DONE;
	return NEXT_UNKNOWN;
}
