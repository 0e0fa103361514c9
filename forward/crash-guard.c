#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/metric.h"
#include "forward/internal.h"
#include "net/connect.h"

/*
 * Keeps requests that crash upstreams from them: tells the list of crash items
 * which requests were in flight when an upstream died and which got sound
 * answers, and acts on its verdicts.
 */

#define PORT_CHECK_TIMEOUT_MS 300
/* Runs that are recorded at a time. */
#define RUNS_MAX 64
/* Upstreams of broken attempts that are looked up in a step. */
#define UNPROVED_MAX 32

/*
 * An upstream died before its reset arrived here, and so before the request was
 * sent again.
 */
#define RESET_DELAY_US (2 * 1000)

/* Digits of an item's key in log lines. */
#define ITEM_DIGITS 32

#define STATUS_OK 200
#define STATUS_REDIRECT 300

/* Sets the items of a request: itself and the parts of its prompt. */
void forward_set_items(struct forward *f, const void *body, size_t size)
{
	const char *account = f->account ? f->account : "";
	char *path = malloc(strlen(f->method) + strlen(f->target) + 2);
	int i;

	if (!path)
		abort();
	stpcpy(stpcpy(stpcpy(path, f->method), " "), f->target);
	crash_items_init(&f->items, account);
	crash_items_add_request(&f->items, account, path, body ? body : "",
				size);
	for (i = 0; i < f->head.part_count; i++)
		crash_items_add_part(&f->items, f->head.parts[i].text,
				     f->head.parts[i].size);
	free(path);
}

/* Sets the verdict of the list of crash items on the request. */
void forward_look_up_verdict(struct forward *f, apr_time_t now)
{
	f->verdict =
		crash_check_items(f->w->crashes, &f->items, now, &f->finding);
}

/* Returns 1 if the request must not run. */
int forward_is_blamed(const struct forward *f)
{
	return f->verdict == CRASH_QUARANTINED;
}

/* Returns 1 if the request may run, but only at few upstreams and once. */
int forward_is_suspect(const struct forward *f)
{
	return f->verdict == CRASH_SUSPECT;
}

/* Returns the verdict for log lines; for a blamed one it is the reason. */
const char *forward_verdict_name(const struct forward *f)
{
	int is_part = f->finding.kind == CRASH_ITEM_PART;

	if (f->verdict == CRASH_CLEAR)
		return "clear";
	if (f->finding.is_trial)
		return is_part ? "trial-part" : "trial-request";
	if (f->verdict == CRASH_SUSPECT)
		return is_part ? "suspect-part" : "suspect-request";
	return is_part ? "crashing-part" : "crashing-request";
}

/* Returns the item that the verdict is about for log lines, or null. */
json_t *forward_item_json(const struct forward *f)
{
	char hex[DIGEST_HEX_SIZE];

	if (f->verdict == CRASH_CLEAR)
		return json_null();
	digest_hex(&f->finding.key, hex);
	return json_stringn(hex, ITEM_DIGITS);
}

/*
 * Ends a request that crashes upstreams before an attempt. Returns 1 if it did:
 * f must not be used then.
 */
int forward_refuse_blamed(struct forward *f, apr_time_t now)
{
	forward_look_up_verdict(f, now);
	if (!forward_is_blamed(f))
		return 0;
	forward_finish_unsent(f, forward_verdict_name(f),
			      f->finding.retry_after_ms, now);
	return 1;
}

static void fill_ended_attempt(const struct forward *f, struct ended_attempt *a,
			       apr_time_t now)
{
	memset(a, 0, sizeof(*a));
	memcpy(a->at.upstream, f->upstream, sizeof(a->at.upstream));
	memcpy(a->at.address, f->address, sizeof(a->at.address));
	a->at.started_ms = f->upstream_started_ms;
	a->run.items = f->items;
	a->run.sent_at = f->sent_at;
	a->run.broken_at = now - RESET_DELAY_US;
}

/* Returns 1 for a complete answer that shows that the run did no harm. */
static int is_sound(const struct forward *f, const struct attempt_result *e)
{
	if (!e->is_complete || e->is_mismatched || !attempt_may_have_run(e) ||
	    e->status < STATUS_OK || e->status >= STATUS_REDIRECT)
		return 0;
	/* A resumed stream of which nothing was left proves nothing. */
	return f->last_contact || !f->is_event_answer;
}

/*
 * Records what the end of an attempt tells about crashes: a sound answer, a
 * connection that broke, or a port that is closed.
 */
void forward_record_end(struct forward *f, const struct attempt_result *e,
			int is_caller_disconnected, apr_time_t now)
{
	struct forwarder *w = f->w;
	int sound = is_sound(f, e);
	struct ended_attempt a;

	f->was_cut |= e->is_cut;
	/*
	 * What was left of an answer after a broken connection may have ended
	 * before the upstream that wrote it does.
	 */
	if (sound && e->is_end_marked && !f->was_cut) {
		metric_count("crash_sound_answers", "at-end", 1);
		crash_record_sound(w->crashes, &f->items, now);
		return;
	}
	if (!sound && (!e->is_cut || is_caller_disconnected) &&
	    !f->fetch.is_refused)
		return;
	fill_ended_attempt(f, &a, now);
	pthread_mutex_lock(&w->watch_mutex);
	if (sound)
		crash_watch_add_unmarked(&w->watch, &a);
	else if (e->is_cut && !is_caller_disconnected)
		crash_watch_add_broken(&w->watch, &a);
	if (f->fetch.is_refused)
		crash_watch_prove(&w->watch, &a.at, now);
	pthread_mutex_unlock(&w->watch_mutex);
}

struct port_job {
	struct job job;
	struct forwarder *w;
	int check;
	char address[SETTINGS_ADDRESS_SIZE];
};

static void end_port_check(struct forwarder *w, int check, int is_refused)
{
	pthread_mutex_lock(&w->watch_mutex);
	crash_watch_end_check(&w->watch, check, is_refused, clock_now());
	pthread_mutex_unlock(&w->watch_mutex);
}

static void run_port_job(struct job *j)
{
	struct port_job *p = (struct port_job *)j;
	int is_refused = connect_is_refused(p->w->node->settings.address,
					    p->address, PORT_CHECK_TIMEOUT_MS);

	metric_count("crash_port_checks", is_refused ? "closed" : "open", 1);
	end_port_check(p->w, p->check, is_refused);
	free(p);
}

/* Submits the checks of ports that are due. */
static void start_port_checks(struct forwarder *w, apr_time_t now)
{
	int check = 0;

	while (check >= 0) {
		struct port_job *p = calloc(1, sizeof(*p));

		if (!p)
			abort();
		p->job.run = run_port_job;
		p->w = w;
		pthread_mutex_lock(&w->watch_mutex);
		p->check = check = crash_watch_next_check(&w->watch, now);
		if (check >= 0)
			memcpy(p->address, w->watch.checks[check].at.address,
			       sizeof(p->address));
		pthread_mutex_unlock(&w->watch_mutex);
		if (check >= 0 && !worker_pool_submit(w->node->pool, &p->job))
			continue;
		if (check >= 0)
			end_port_check(w, check, 0);
		free(p);
	}
}

/* Proves deaths by the list and the reports: a later process is there. */
static void prove_replaced(struct forwarder *w, apr_time_t now)
{
	struct incarnation at[UNPROVED_MAX];
	int is_replaced[UNPROVED_MAX];
	int i, count;

	pthread_mutex_lock(&w->watch_mutex);
	count = crash_watch_list_unproved(&w->watch, now, at, UNPROVED_MAX);
	pthread_mutex_unlock(&w->watch_mutex);
	if (!count)
		return;
	pthread_mutex_lock(&w->mutex);
	for (i = 0; i < count; i++)
		is_replaced[i] =
			target_is_replaced(&w->targets, at[i].upstream,
					   at[i].address, at[i].started_ms);
	pthread_mutex_unlock(&w->mutex);
	pthread_mutex_lock(&w->watch_mutex);
	for (i = 0; i < count; i++)
		if (is_replaced[i])
			crash_watch_prove(&w->watch, &at[i], now);
	pthread_mutex_unlock(&w->watch_mutex);
}

static void record_deaths(struct forwarder *w, apr_time_t now)
{
	struct crash_run runs[RUNS_MAX];
	struct proved_death d;
	int count;

	for (;;) {
		pthread_mutex_lock(&w->watch_mutex);
		count = crash_watch_take_death(&w->watch, now, &d, runs,
					       RUNS_MAX);
		pthread_mutex_unlock(&w->watch_mutex);
		if (!count)
			break;
		crash_record_runs(w->crashes, d.at.upstream,
				  (uint64_t)d.at.started_ms, runs, count, now);
		log_warning("crash", d.at.upstream,
			    "upstream died with %d requests of this entry",
			    count);
	}
}

/* Called with both mutexes held. */
static apr_time_t get_contact(void *arg, const struct incarnation *at)
{
	struct forwarder *w = arg;
	const struct target *u = target_find(&w->targets, at->upstream);

	return u && u->started_ms == at->started_ms ? u->last_contact : 0;
}

static void record_unmarked_answers(struct forwarder *w, apr_time_t now)
{
	struct crash_run runs[RUNS_MAX];
	int i, count;

	pthread_mutex_lock(&w->mutex);
	pthread_mutex_lock(&w->watch_mutex);
	count = crash_watch_take_sound(&w->watch, get_contact, w, now, runs,
				       RUNS_MAX);
	pthread_mutex_unlock(&w->watch_mutex);
	pthread_mutex_unlock(&w->mutex);
	if (count)
		metric_count("crash_sound_answers", "alive-later",
			     (uint64_t)count);
	for (i = 0; i < count; i++)
		crash_record_sound(w->crashes, &runs[i].items,
				   runs[i].broken_at);
}

/* Checks upstreams whose connections broke, and records deaths. */
void forward_step_crashes(struct forwarder *w, apr_time_t now)
{
	int is_idle;

	pthread_mutex_lock(&w->watch_mutex);
	is_idle = crash_watch_is_idle(&w->watch, now);
	pthread_mutex_unlock(&w->watch_mutex);
	if (is_idle)
		return;
	prove_replaced(w, now);
	record_deaths(w, now);
	record_unmarked_answers(w, now);
	start_port_checks(w, now);
}
