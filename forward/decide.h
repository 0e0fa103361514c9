#ifndef FORWARD_DECIDE_H
#define FORWARD_DECIDE_H

/*
 * Decision about a request when an attempt has ended. The functions are
 * pure, so that every guarantee to callers can be read and tested in one
 * place.
 */

/* Result of one attempt. */
struct attempt_result {
	int status;	       /* HTTP status of the answer, 0: none started */
	int is_complete;       /* the answer ended, unbroken as far as seen */
	int is_end_marked;     /* by a length or the last chunk */
	int is_unsent;	       /* no byte of the request left this process */
	int is_too_late;       /* not sent, or not sent again, in time */
	int is_not_run;	       /* the upstream states that it did not run it */
	int is_other_instance; /* another instance answered, did not run it */
	int is_mismatched;     /* the answer belongs to another request */
	int is_timed_out;      /* the caller's or the route's time was over */
	int is_canceled;       /* ended by this entry for another upstream */
	int is_unresponsive;   /* canceled as the upstream sent nothing */
	int is_answer_started; /* the caller received a part of the answer */
	int is_cut;	       /* its connection ended before the answer */
};

/* State of the request to which the attempt belongs. */
struct attempt_context {
	int is_repeatable; /* may run more than once */
	int is_resumable;  /* a stream that can continue at another upstream */
	int is_end_promised; /* the stream began with a marked end to come */
	int may_have_run;    /* an earlier attempt may have run */
	int runs;	     /* attempts so far that may have run */
	int runs_max;	     /* the route's bound on runs */
	int attempts;	     /* all attempts so far */
	int has_budget;	     /* the retry budget allows one more */
	int has_time;	     /* enough time is left for a retry */
	int is_suspect;	     /* it may crash the upstreams that run it */
	int is_caller_disconnected;
};

enum attempt_action {
	NEXT_DONE = 1,	  /* the complete answer went to the caller */
	NEXT_TRUNCATED,	  /* started, can't be completed: end it as such */
	NEXT_RETRY,	  /* send to another upstream */
	NEXT_RESUME,	  /* same, after the last event that was passed on */
	NEXT_NOT_RUN,	  /* refuse: proven that it did not run */
	NEXT_UNKNOWN,	  /* fail: it may have run */
	NEXT_TIMEOUT,	  /* fail: out of time, it may have run */
	NEXT_DISCONNECTED /* the caller closed its connection */
};

/* Maximum attempts of one request, including those that sent no byte. */
#define FORWARD_ATTEMPTS_MAX 4

/*
 * The same once its answer has begun.  It can't be refused any more, and during
 * a release several upstreams in a row may have no room for it.
 */
#define FORWARD_BEGUN_ATTEMPTS_MAX 8

enum attempt_action attempt_decide_next(const struct attempt_result *e,
					const struct attempt_context *s);
const char *attempt_find_obstacle(const struct attempt_result *e,
				  const struct attempt_context *s);
int attempt_find_maximum(int is_answer_started);
int attempt_may_have_run(const struct attempt_result *e);
int attempt_count_runs(int before, const struct attempt_result *e);

#endif
