#include "forward/decide.h"

#include <stddef.h>

#define STATUS_SERVER_ERROR 500

/* Returns the maximum attempts of a request. */
int attempt_find_maximum(int is_answer_started)
{
	return is_answer_started ? FORWARD_BEGUN_ATTEMPTS_MAX
				 : FORWARD_ATTEMPTS_MAX;
}

/* Returns 1 unless it is proven that the upstream did not run the request. */
int attempt_may_have_run(const struct attempt_result *e)
{
	return !e->is_unsent && !e->is_not_run && !e->is_other_instance;
}

/*
 * Returns `before` plus one if the attempt may have run. The route's bound on
 * attempts counts only these: an upstream that refused has done no work.
 */
int attempt_count_runs(int before, const struct attempt_result *e)
{
	return before + attempt_may_have_run(e);
}

/*
 * Returns for log lines why an attempt that did not succeed is not followed by
 * another one, or NULL when it may be.
 */
const char *attempt_find_obstacle(const struct attempt_result *e,
				  const struct attempt_context *s)
{
	if (s->is_caller_disconnected)
		return "caller-gone";
	if (e->is_timed_out || !s->has_time)
		return "deadline";
	if (e->is_answer_started && !s->is_resumable)
		return "not-resumable";
	if (!e->is_answer_started && attempt_may_have_run(e) &&
	    !s->is_repeatable)
		return "not-repeatable";
	if (s->attempts >= attempt_find_maximum(e->is_answer_started))
		return "tries-used";
	if (e->is_unsent)
		return NULL;
	if (e->is_cut && s->is_suspect)
		return "crash-suspect";
	if (s->runs >= s->runs_max)
		return "runs-used";
	return s->has_budget ? NULL : "retry-budget";
}

static int can_retry(const struct attempt_result *e,
		     const struct attempt_context *s)
{
	return !attempt_find_obstacle(e, s);
}

/* Returns 1 for an answer that is a server error of the upstream. */
static int is_server_error(const struct attempt_result *e)
{
	return e->status >= STATUS_SERVER_ERROR;
}

/* Returns the next action; s includes the attempt that has just ended. */
enum attempt_action attempt_decide_next(const struct attempt_result *e,
					const struct attempt_context *s)
{
	int may_have_run = attempt_may_have_run(e);

	if (s->is_caller_disconnected)
		return NEXT_DISCONNECTED;
	if (e->is_answer_started) {
		if (e->is_complete && !e->is_mismatched &&
		    (e->is_end_marked || !s->is_end_promised))
			return NEXT_DONE;
		if (can_retry(e, s))
			return NEXT_RESUME;
		return NEXT_TRUNCATED;
	}
	if (e->is_timed_out)
		return may_have_run || s->may_have_run ? NEXT_TIMEOUT
						       : NEXT_NOT_RUN;
	if (!may_have_run)
		return can_retry(e, s)	 ? NEXT_RETRY
		       : s->may_have_run ? NEXT_UNKNOWN
					 : NEXT_NOT_RUN;
	if (e->is_complete && !e->is_mismatched &&
	    !(is_server_error(e) && s->is_repeatable))
		return NEXT_DONE;
	if (can_retry(e, s))
		return NEXT_RETRY;
	/* No attempt is left: the upstream's own error is the best answer. */
	if (e->is_complete && !e->is_mismatched)
		return NEXT_DONE;
	return NEXT_UNKNOWN;
}
