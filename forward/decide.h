#ifndef FORWARD_DECIDE_H
#define FORWARD_DECIDE_H

/*
 * What follows when a hand-over ends.  Pure, so that every promise towards
 * callers can be read and tested in one place.
 */

/* How a hand-over ended. */
struct handover_end {
	int status;	 /* of the answer, 0 when none began */
	int is_complete; /* the answer came to its end */
	int never_sent;	 /* no byte of the request left this process */
	int not_run;	 /* the upstream says that it did not run it */
	int other;	 /* another instance answered, and did not run it */
	int crossed;	 /* the answer belongs to another request */
	int timed_out;	 /* the caller's or the route's time was over */
	int called_off;	 /* this entry gave the hand-over up to go elsewhere */
	int silent;	 /* as nothing came from the upstream */
	int begun;	 /* the caller got a part of the answer */
};

/* The request that it belonged to. */
struct handover_state {
	int may_repeat;	  /* may run more than once */
	int is_resumable; /* a stream that goes on at another upstream */
	int maybe_ran;	  /* an earlier hand-over may have run */
	int runs;	  /* hand-overs so far that may have run */
	int attempts;	  /* upstreams allowed */
	int tries;	  /* hand-overs in all */
	int has_budget;	  /* for a repeat */
	int has_time;	  /* for a repeat */
	int caller_gone;
};

enum handover_next {
	NEXT_DONE = 1, /* the answer went to the caller, whole */
	NEXT_CUT,      /* begun, can't be finished: show it as cut off */
	NEXT_AGAIN,    /* hand over to another upstream */
	NEXT_RESUME,   /* the same, after what the caller holds already */
	NEXT_NOT_RUN,  /* refuse: proved that it did not run */
	NEXT_UNKNOWN,  /* fail: it may have run */
	NEXT_TIMEOUT,  /* fail: out of time, it may have run */
	NEXT_GONE      /* nobody waits any more */
};

#define HANDOVER_TRIES_MAX 4 /* hand-overs of one request, sent or not */

enum handover_next handover_decide(const struct handover_end *e,
				   const struct handover_state *s);
int handover_may_have_run(const struct handover_end *e);
int handover_runs(int before, const struct handover_end *e);

#endif
