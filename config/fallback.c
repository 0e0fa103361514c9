#include <string.h>

#include "config/spread-internal.h"

/*
 * Decides which processes read the platform while the watchers of their data
 * centre, alive and heard by all others, can't.  A watcher notices that by its
 * own reads and asks others, since these would have to wait until the age of
 * its last answer is beyond doubt.
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

static int is_overdue(const struct spread_value *v, apr_time_t now)
{
	apr_interval_time_t margin = ANSWER_MARGIN_US + 2 * v->answer_delay;

	if (margin > ANSWER_MARGIN_MAX_US)
		margin = ANSWER_MARGIN_MAX_US;
	return v->is_watching && !v->is_answer_begun &&
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
void spread_record_answer(struct spread *s, int value)
{
	s->values[value].is_answer_begun = 1;
}

/* Records that a watcher which has lost the platform asks this process to read. */
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
