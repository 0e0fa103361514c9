#ifndef FORWARD_DECIDE_H
#define FORWARD_DECIDE_H

/*
 * What follows when a hand-over ends.  Pure, so that every promise towards
 * callers can be read and tested in one place.
 */

/* How a hand-over ended. */
struct attempt_result {
	int status;	       /* of the answer, 0 when none began */
	int is_complete;       /* the answer came to its end */
	int is_unsent;	       /* no byte of the request left this process */
	int is_not_run;	       /* the upstream says that it did not run it */
	int is_other_instance; /* another instance answered, and did not run it */
	int is_mismatched;     /* the answer belongs to another request */
	int is_timed_out;      /* the caller's or the route's time was over */
	int is_canceled; /* this entry gave the hand-over up to go elsewhere */
	int is_unresponsive;   /* as nothing came from the upstream */
	int is_answer_started; /* the caller got a part of the answer */
};

/* The request that it belonged to. */
struct attempt_context {
	int is_repeatable; /* may run more than once */
	int is_resumable;  /* a stream that goes on at another upstream */
	int may_have_run;  /* an earlier hand-over may have run */
	int runs;	   /* hand-overs so far that may have run */
	int runs_max;	   /* upstreams allowed */
	int tries;	   /* hand-overs in all */
	int has_budget;	   /* for a repeat */
	int has_time;	   /* for a repeat */
	int is_caller_disconnected;
};

enum attempt_action {
	NEXT_DONE = 1,	  /* the answer went to the caller, whole */
	NEXT_TRUNCATED,	  /* begun, can't be finished: show it as cut off */
	NEXT_RETRY,	  /* hand over to another upstream */
	NEXT_RESUME,	  /* the same, after what the caller holds already */
	NEXT_NOT_RUN,	  /* refuse: proved that it did not run */
	NEXT_UNKNOWN,	  /* fail: it may have run */
	NEXT_TIMEOUT,	  /* fail: out of time, it may have run */
	NEXT_DISCONNECTED /* nobody waits any more */
};

#define FORWARD_ATTEMPTS_MAX 4 /* hand-overs of one request, sent or not */

enum attempt_action attempt_decide_next(const struct attempt_result *e,
					const struct attempt_context *s);
int attempt_may_have_run(const struct attempt_result *e);
int attempt_count_runs(int before, const struct attempt_result *e);

#endif
