#include <string.h>

#include "config/spread-internal.h"

/*
 * Decides which processes read the platform while the watchers of their data
 * centre can't.  A watcher that runs notices that by its own reads and asks
 * others, since these would have to wait until the age of its last answer is
 * beyond doubt.  One that is frozen asks nobody, and membership takes seconds to
 * call it dead: readers send heartbeats to the entries, which read for
 * themselves when none comes.  A wrong guess costs a few reads.
 */

/* Time within which an answer usually comes, beyond the hold of its watch. */
#define ANSWER_MARGIN_US (250 * 1000)
#define ANSWER_MARGIN_MAX_US (2 * APR_USEC_PER_SEC)

/* Failures in a row, without a watch that is overdue, that count as a loss. */
#define LOSS_FAILURES 2

/* Processes that are asked at the same time: some may be cut off as well. */
#define ASKED_COUNT 3

/*
 * Time between two requests, and time after the last one for which a process
 * goes on reading.
 */
#define ASK_PERIOD_US (500 * 1000)
#define ASKED_FOR_US (1500 * 1000)

/*
 * The next ones are asked when nobody is known to have been answered for this
 * time.  One round at a time: the platform may be down for all.
 */
#define CONTACT_AGE_MAX_US APR_USEC_PER_SEC

#define ASK_TIMEOUT_MS 400

/*
 * Time without a heartbeat of any reader after which entries read, and the same
 * for each further group of them: two heartbeats of both watchers are lost or
 * late by then.  Each group is twice as large as the one before it, as the first
 * ones may be frozen as well.
 */
#define HEARTBEAT_SILENCE_US (500 * 1000)
#define GROUP_STEP_US (150 * 1000)

/*
 * A reader that takes longer to apply an answer sends no heartbeats: it may be
 * too slow to pass a change on in time.
 */
#define APPLY_MAX_US (400 * 1000)

static int is_overdue(const struct spread_value *v, apr_time_t now)
{
	apr_interval_time_t margin = ANSWER_MARGIN_US + 2 * v->answer_delay;

	if (margin > ANSWER_MARGIN_MAX_US)
		margin = ANSWER_MARGIN_MAX_US;
	return v->is_watching && !v->answer_begun_at &&
	       now - v->watch_started_at > v->watch_hold_ms * 1000LL + margin;
}

/* Returns 1 if this process reads the platform and gets no answers. */
static int has_lost_platform(const struct spread *s, apr_time_t now)
{
	int i;

	for (i = 0; i < s->value_count; i++) {
		const struct spread_value *v = &s->values[i];

		if (v->watches_finished &&
		    (v->watch_failures >= LOSS_FAILURES || is_overdue(v, now)))
			return 1;
	}
	return 0;
}

static apr_time_t find_last_contact(const struct spread *s)
{
	apr_time_t last = 0;
	int i;

	for (i = 0; i < s->value_count; i++)
		if (s->values[i].platform_last_contact > last)
			last = s->values[i].platform_last_contact;
	return last;
}

static void ask_rank(const struct spread *s, int rank,
		     struct spread_actions *out)
{
	const struct overlay_member *m =
		overlay_find_rank(s->members, s->local_count, rank);
	struct spread_action *a;

	if (!m || !strcmp(m->address, s->self_address))
		return;
	a = spread_add_exchange(out, m->address);
	if (!a)
		return;
	a->asks_read = 1;
	a->timeout_ms = ASK_TIMEOUT_MS;
}

/* Asks others to read the platform if this watcher has lost it. */
void spread_decide_asks(struct spread *s, apr_time_t now,
			struct spread_actions *out)
{
	int others = s->overlay.local_count - OVERLAY_WATCHERS, i;

	if (s->overlay.watch_rank >= OVERLAY_WATCHERS || others <= 0 ||
	    !has_lost_platform(s, now)) {
		s->next_ask_at = 0;
		s->ask_round = 0;
		return;
	}
	if (now < s->next_ask_at)
		return;
	if (s->next_ask_at && now - find_last_contact(s) > CONTACT_AGE_MAX_US)
		s->ask_round++;
	s->next_ask_at = now + ASK_PERIOD_US;
	for (i = 0; i < ASKED_COUNT && i < others; i++)
		ask_rank(s,
			 OVERLAY_WATCHERS +
				 (s->ask_round * ASKED_COUNT + i) % others,
			 out);
}

/*
 * Records that the platform begins to answer a watch.  To read and apply a large
 * text takes longer than the platform may be silent.
 */
void spread_record_answer(struct spread *s, int value, apr_time_t now)
{
	s->values[value].answer_begun_at = now;
}

/*
 * Returns 1 if this process reads the platform and applies its answers in time,
 * so that it is to send heartbeats.
 */
int spread_is_reading(const struct spread *s, apr_time_t now)
{
	const struct spread_value *v = &s->values[SPREAD_DOCUMENT];

	if (s->overlay.watch_rank >= OVERLAY_WATCHERS &&
	    now >= s->fallback_until)
		return 0;
	return !v->is_watching || !v->answer_begun_at ||
	       now - v->answer_begun_at <= APPLY_MAX_US;
}

/* Records a heartbeat of a reader of the local data centre. */
void spread_record_heartbeat(struct spread *s, int is_watcher, apr_time_t now)
{
	s->reader_heard_at = now;
	if (is_watcher)
		s->watcher_heard_at = now;
}

/* Records a pause of this process, in which it heard nobody. */
void spread_record_pause(struct spread *s, apr_time_t ended_at)
{
	s->resumed_at = ended_at;
}

/* Returns the time of silence after which this process reads. */
static apr_interval_time_t find_silence_limit(const struct spread *s)
{
	int rank = s->overlay.watch_rank - OVERLAY_WATCHERS;
	apr_interval_time_t limit = HEARTBEAT_SILENCE_US;
	int size = ASKED_COUNT;

	for (; rank >= size; size *= 2) {
		rank -= size;
		limit += GROUP_STEP_US;
	}
	return limit;
}

/*
 * Reads if no reader is heard, and goes on until a watcher is.  An entry that
 * never heard one takes nothing over: its watchers may send no heartbeats.
 */
void spread_check_heartbeats(struct spread *s, apr_time_t now)
{
	int is_reading = now < s->fallback_until;
	apr_time_t heard =
		is_reading ? s->watcher_heard_at : s->reader_heard_at;

	if (!s->is_entry || !s->reader_heard_at ||
	    s->overlay.watch_rank < OVERLAY_WATCHERS)
		return;
	if (heard < s->resumed_at)
		heard = s->resumed_at;
	if (now - heard >=
	    (is_reading ? HEARTBEAT_SILENCE_US : find_silence_limit(s)))
		spread_record_asked(s, now);
}

/*
 * Records that this process is to read in place of the watchers: one that has
 * lost the platform asks it to, or none is heard.
 */
void spread_record_asked(struct spread *s, apr_time_t now)
{
	int i;

	if (now >= s->fallback_until) {
		for (i = 0; i < s->value_count; i++) {
			s->values[i].is_probe_due = 1;
			if (!s->values[i].watch_failures)
				s->values[i].watch_after = now;
		}
	}
	s->fallback_until = now + ASKED_FOR_US;
}
