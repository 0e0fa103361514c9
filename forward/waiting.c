#include <string.h>

#include "base/metric.h"
#include "forward/internal.h"

/*
 * Answers that have begun, whose attempt has ended and for which no upstream can
 * go on at this moment. They can't be refused any more, so they wait a while.
 */

/* Callers give up a stream that pauses for longer. */
#define WAIT_MAX_US (2 * APR_USEC_PER_SEC)

/* Returns 1 for a reason that may pass within WAIT_MAX_US. */
static int may_pass(const char *reason)
{
	return strcmp(reason, "deadline") && strcmp(reason, "tries-used");
}

/*
 * Lets a request wait for an upstream that can go on with its answer; reason
 * says why there is none now. Returns 0 for a request that must not wait.
 * Called with the mutex held.
 */
int forward_wait_for_place(struct forward *f, const char *reason,
			   apr_time_t now)
{
	if (!f->is_answer_started || !f->is_resuming || !may_pass(reason) ||
	    f->w->is_stopping)
		return 0;
	/* Its retry counts when it is sent. */
	reservation_release(&f->place, &f->w->targets, &f->w->retry_budget,
			    f->service_name, now);
	f->waiting_since = now;
	f->no_attempt = reason;
	metric_count("forward_waiting", reason, 1);
	forward_link(&f->w->waiting, f);
	return 1;
}

/*
 * Sends a waiting request if an upstream can take it, or unlinks it from the
 * waiting ones if it has to end: no_attempt says why. Returns 1 in the latter
 * case. Called with the mutex held.
 */
static int must_end(struct forward *f, apr_time_t now)
{
	struct forwarder *w = f->w;
	apr_time_t since = f->waiting_since;
	const char *reason;

	/* A request that is sent is in the list of active ones. */
	forward_unlink(f);
	if (__atomic_load_n(&f->is_caller_disconnected, __ATOMIC_ACQUIRE)) {
		f->no_attempt = "caller-gone";
		return 1;
	}
	if (crash_check_items(w->crashes, &f->items, now, NULL) !=
	    CRASH_CLEAR) {
		f->no_attempt = "crash-suspect";
		return 1;
	}
	reason = forward_submit(f, now);
	if (!reason)
		return 0;
	f->no_attempt = reason;
	if (!may_pass(reason) || now - since >= WAIT_MAX_US)
		return 1;
	forward_link(&w->waiting, f);
	return 0;
}

/* Ends requests that no longer wait, and that are in no other list. */
static void finish_all(struct forward *f, apr_time_t now)
{
	struct forward *next;

	for (; f; f = next) {
		int is_gone = __atomic_load_n(&f->is_caller_disconnected,
					      __ATOMIC_ACQUIRE);

		next = f->next;
		forward_release_place(f, now);
		forward_finish_truncated(f, is_gone ? "gone" : "cut", now);
	}
}

/*
 * Sends waiting requests, and ends those that have waited for too long or whose
 * caller has left.
 */
void forward_check_waiting(struct forwarder *w, apr_time_t now)
{
	struct forward *f, *next, *ended = NULL;

	pthread_mutex_lock(&w->mutex);
	for (f = w->waiting; f; f = next) {
		next = f->next;
		if (must_end(f, now))
			forward_link(&ended, f);
	}
	pthread_mutex_unlock(&w->mutex);
	finish_all(ended, now);
}

/*
 * Ends all waiting requests as the process stops; none waits after that. Their
 * callers see that their answers are broken off.
 */
void forward_stop_waiting(struct forwarder *w, apr_time_t now)
{
	struct forward *ended;

	pthread_mutex_lock(&w->mutex);
	w->is_stopping = 1;
	ended = w->waiting;
	w->waiting = NULL;
	pthread_mutex_unlock(&w->mutex);
	finish_all(ended, now);
}
