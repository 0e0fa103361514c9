#include "t/helper/lib-limit-sim.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SIM_STEP_US (20 * 1000)
#define SIM_ENVELOPE_BYTES 160
#define SIM_REPORT_EVERY_US APR_USEC_PER_SEC

static int is_event_before(const struct sim_event *a, const struct sim_event *b)
{
	return a->at != b->at ? a->at < b->at : a->order < b->order;
}

static void swap_events(struct sim_event *a, struct sim_event *b)
{
	struct sim_event t = *a;

	*a = *b;
	*b = t;
}

static void add_event(struct sim *s, struct sim_event e)
{
	int i;

	if (s->heap_count == s->heap_size) {
		s->heap_size = s->heap_size ? s->heap_size * 2 : 1024;
		s->heap = realloc(s->heap, s->heap_size * sizeof(*s->heap));
		if (!s->heap)
			abort();
	}
	e.order = s->order++;
	i = s->heap_count++;
	s->heap[i] = e;
	for (; i && is_event_before(&s->heap[i], &s->heap[(i - 1) / 2]);
	     i = (i - 1) / 2)
		swap_events(&s->heap[i], &s->heap[(i - 1) / 2]);
}

static struct sim_event pop_event(struct sim *s)
{
	struct sim_event first = s->heap[0];
	int i = 0, child;

	s->heap[0] = s->heap[--s->heap_count];
	s->heap[s->heap_count].call = NULL;
	for (;;) {
		child = 2 * i + 1;
		if (child >= s->heap_count)
			break;
		if (child + 1 < s->heap_count &&
		    is_event_before(&s->heap[child + 1], &s->heap[child]))
			child++;
		if (!is_event_before(&s->heap[child], &s->heap[i]))
			break;
		swap_events(&s->heap[i], &s->heap[child]);
		i = child;
	}
	return first;
}

void sim_init(struct sim *s, int entries, uint64_t seed)
{
	int i;

	memset(s, 0, sizeof(*s));
	random_seed(&s->random, seed);
	s->now = 1000 * APR_USEC_PER_SEC;
	s->delay = 5000;
	s->list_lag = 10 * APR_USEC_PER_SEC;
	s->entry_count = entries;
	s->entries = calloc(SIM_ENTRIES_MAX, sizeof(*s->entries));
	s->document.accounts =
		calloc(SIM_ACCOUNTS_MAX, sizeof(*s->document.accounts));
	s->document.revision = 1;
	s->waiting_tail = &s->waiting;
	s->stats_since = s->now;
	for (i = 0; i < entries; i++)
		sim_entry_start(s, i);
}

static void call_free(struct sim_call *call)
{
	*call->all_link = call->all_next;
	if (call->all_next)
		call->all_next->all_link = call->all_link;
	free(call);
}

void sim_destroy(struct sim *s)
{
	struct sim_call *call, *next;
	struct sim_event e;
	int i;

	while (s->heap_count) {
		e = pop_event(s);
		xdr_free((xdrproc_t)xdr_limits_message, &e.message);
	}
	for (call = s->all_calls; call; call = next) {
		next = call->all_next;
		free(call);
	}
	for (i = 0; i < s->entry_count; i++)
		limit_core_destroy(&s->entries[i].core);
	free(s->heap);
	free(s->entries);
	free(s->document.accounts);
}

int sim_account(struct sim *s, const char *name)
{
	int i;

	for (i = 0; i < s->document.account_count; i++)
		if (!strcmp(s->accounts[i].name, name))
			return i;
	if (i == SIM_ACCOUNTS_MAX)
		abort();
	s->document.account_count++;
	snprintf(s->accounts[i].name, sizeof(s->accounts[i].name), "%s", name);
	snprintf(s->document.accounts[i].name, DOCUMENT_NAME_SIZE, "%s", name);
	return i;
}

/* Starts an entry, or restarts it with a new boot. */
void sim_entry_start(struct sim *s, int entry)
{
	struct sim_entry *e = &s->entries[entry];
	uint64_t boot = e->boot + 1 + (uint64_t)entry * 1000;

	if (e->boot)
		limit_core_destroy(&e->core);
	if (entry >= s->entry_count)
		s->entry_count = entry + 1;
	memset(e, 0, sizeof(*e));
	snprintf(e->id, sizeof(e->id), "entry-%02d", entry + 1);
	e->boot = boot;
	e->is_running = e->listed = 1;
	limit_core_init(&e->core, e->id, e->boot);
	add_event(s, (struct sim_event){ .at = s->now + 1 + entry * 1700,
					 .kind = SIM_STEP,
					 .entry = entry,
					 .boot = boot });
}

/* Stops an entry at once; the platform's list contains it for list_lag more. */
void sim_entry_stop(struct sim *s, int entry)
{
	s->entries[entry].is_running = 0;
	s->entries[entry].unlist_at = s->now + s->list_lag;
}

static void start_in_pool(struct sim *s, struct sim_call *call)
{
	s->busy++;
	add_event(s, (struct sim_event){ .at = s->now + call->run_time,
					 .kind = SIM_FINISHED,
					 .entry = call->entry,
					 .boot = s->entries[call->entry].boot,
					 .call = call });
}

static struct sim *sim_of_call; /* call_decided() has no other access to it */

static void call_decided(struct admission *a, enum admit_outcome outcome,
			 int retry_after_ms, const char *reason)
{
	struct sim_call *call = (struct sim_call *)a;
	struct sim *s = sim_of_call;
	struct sim_account *account = &s->accounts[call->account];

	if (s->trace)
		printf("%.6f entry %d %s outcome %d retry %d %s\n",
		       (double)s->now / APR_USEC_PER_SEC - 1000,
		       call->entry + 1, account->name, (int)outcome,
		       retry_after_ms, reason);
	if (outcome == ADMIT_GRANTED) {
		account->admitted++;
		if (!s->slots || s->busy < s->slots) {
			start_in_pool(s, call);
			return;
		}
		s->pool_waiting++;
		call->next = NULL;
		*s->waiting_tail = call;
		s->waiting_tail = &call->next;
		return;
	}
	if (s->now - call->arrived > SIM_REFUSE_LATE_US)
		account->refused_late++;
	if (outcome == ADMIT_LIMIT)
		account->limited++;
	else
		account->overloaded++;
	call_free(call);
}

/* Returns the current time on an entry's own clock. */
static apr_time_t entry_clock(const struct sim *s, int entry)
{
	return s->now + s->entries[entry].clock_offset;
}

static void notify_decisions(struct sim *s, struct limit_decisions *d)
{
	struct admission *a, *next;

	sim_of_call = s;
	for (a = d->first; a; a = next) {
		next = a->next;
		a->decided(a, a->outcome, a->retry_after_ms, a->reason);
	}
}

static void call_arrive(struct sim *s, struct sim_call *call)
{
	struct limit_decisions out = { NULL, NULL };

	limit_core_admit(&s->entries[call->entry].core, &call->a,
			 entry_clock(s, call->entry), &out);
	notify_decisions(s, &out);
}

static struct sim_call *make_call(struct sim *s, const struct sim_offer *o,
				  int entry)
{
	struct sim_call *call = calloc(1, sizeof(*call));

	if (!call)
		abort();
	call->all_next = s->all_calls;
	call->all_link = &s->all_calls;
	if (s->all_calls)
		s->all_calls->all_link = &call->all_next;
	s->all_calls = call;

	snprintf(call->a.account, sizeof(call->a.account), "%s",
		 s->accounts[o->account].name);
	snprintf(call->a.target, sizeof(call->a.target), "model");
	call->a.priority = 5;
	call->a.tokens = o->tokens;
	call->a.decided = call_decided;
	if (o->deadline_ms)
		call->a.deadline =
			entry_clock(s, entry) + o->deadline_ms * 1000LL;
	call->entry = entry;
	call->account = o->account;
	call->arrived = s->now;
	call->run_time = (apr_interval_time_t)(o->hold_ms * 1000.0 *
					       (0.5 + random_unit(&s->random)));
	return call;
}

static void schedule_arrival(struct sim *s, int offer)
{
	double gap = -log(1 - random_unit(&s->random)) / s->offers[offer].rate;

	add_event(s, (struct sim_event){
			     .at = s->now + 1 +
				   (apr_time_t)(gap * APR_USEC_PER_SEC),
			     .kind = SIM_ARRIVE,
			     .entry = offer });
}

/*
 * Picks a random running entry of the offer, as a load balancer; -1 if none
 * runs.
 */
static int pick_entry(struct sim *s, const struct sim_offer *o)
{
	int i, up[SIM_ENTRIES_MAX], count = 0;

	for (i = o->first - 1; i < o->last && i < s->entry_count; i++)
		if (s->entries[i].is_running)
			up[count++] = i;
	return count ? up[random_below(&s->random, count)] : -1;
}

static void on_arrive(struct sim *s, int offer)
{
	struct sim_offer *o = &s->offers[offer];
	struct sim_entry *e;
	struct sim_call *call;
	int entry;

	if (!o->is_active || o->rate <= 0)
		return;
	schedule_arrival(s, offer);
	s->accounts[o->account].offered++;
	naive_arrive(s, o->account);
	entry = pick_entry(s, o);
	if (entry < 0)
		return;
	call = make_call(s, o, entry);
	e = &s->entries[entry];
	if (!e->is_paused) {
		call_arrive(s, call);
		return;
	}
	call->next = e->held_calls;
	e->held_calls = call;
}

void sim_offer_start(struct sim *s, int offer)
{
	s->offers[offer].is_active = s->offers[offer].rate > 0;
	if (s->offers[offer].is_active)
		schedule_arrival(s, offer);
}

static void count_message_bytes(struct sim *s, int a, int b,
				const struct limits_message *m)
{
	int size = SIM_ENVELOPE_BYTES +
		   (int)xdr_sizeof((xdrproc_t)xdr_limits_message, (void *)m);

	s->entries[a].bytes += size;
	s->entries[b].bytes += size;
	s->entries[a].bytes_second += size;
	s->entries[b].bytes_second += size;
}

static apr_interval_time_t random_delay(struct sim *s)
{
	if (!s->jitter)
		return s->delay;
	return s->delay + random_below(&s->random, (uint32_t)s->jitter);
}

static void send_request(struct sim *s, int from, struct limit_peer *q)
{
	struct sim_event e = { .kind = SIM_REQUEST,
			       .from = from,
			       .sent = entry_clock(s, from) };
	int to = atoi(q->id + strlen("entry-")) - 1;

	e.entry = to;
	e.at = s->now + random_delay(s);
	e.boot = s->entries[from].boot;
	limit_peers_fill_message(&s->entries[from].core.peers, q, &e.message,
				 entry_clock(s, from));
	count_message_bytes(s, from, to, &e.message);
	add_event(s, e);
	/* If a reply arrives in time, it is handled before this event. */
	e.kind = SIM_TIMEOUT;
	e.at = s->now + LIMIT_EXCHANGE_TIMEOUT_MS * 1000;
	memset(&e.message, 0, sizeof(e.message));
	add_event(s, e);
}

static int is_reachable(const struct sim *s, int a, int b)
{
	return s->entries[a].partition == s->entries[b].partition;
}

static void on_request(struct sim *s, struct sim_event *e)
{
	struct sim_entry *to = &s->entries[e->entry];
	struct sim_event reply = *e;

	if (!to->is_running || to->is_paused ||
	    !is_reachable(s, e->from, e->entry))
		return;
	memset(&reply.message, 0, sizeof(reply.message));
	if (limit_core_answer(&to->core, s->entries[e->from].id, e->boot,
			      &e->message, &reply.message,
			      entry_clock(s, e->entry)))
		return;
	count_message_bytes(s, e->from, e->entry, &reply.message);
	reply.kind = SIM_REPLY;
	reply.at = s->now + random_delay(s);
	add_event(s, reply);
}

static void on_reply(struct sim *s, struct sim_event *e, int is_timeout)
{
	struct sim_entry *from = &s->entries[e->from];
	struct limit_peer *q;

	if (!from->is_running || from->boot != e->boot)
		return;
	q = limit_peers_find(&from->core.peers, s->entries[e->entry].id);
	if (!q || !q->is_exchanging || q->exchange_started_at != e->sent)
		return;
	if (is_timeout)
		limit_peers_record_failure(&from->core.peers, q->id,
					   entry_clock(s, e->from));
	else if (!from->is_paused && is_reachable(s, e->from, e->entry))
		limit_peers_receive_reply(&from->core.peers, q->id, &e->message,
					  e->sent, entry_clock(s, e->from));
}

static void apply_entry_list(struct sim *s, int entry)
{
	struct limit_address list[SIM_ENTRIES_MAX];
	int i, count = 0;

	for (i = 0; i < s->entry_count && !s->entries[entry].blind; i++) {
		if (i == entry || !s->entries[i].listed)
			continue;
		snprintf(list[count].id, sizeof(list[count].id), "%s",
			 s->entries[i].id);
		snprintf(list[count].address, sizeof(list[count].address),
			 "127.0.0.%d", i + 1);
		count++;
	}
	s->entries[entry].core.peers.is_without_list = s->entries[entry].blind;
	limit_peers_set_list(&s->entries[entry].core.peers, list, count,
			     entry_clock(s, entry));
}

/* Updates the maximum that all entries together may use of a limit. */
static void update_slices_peak(struct sim *s)
{
	struct limit_account *a;
	struct handle h;
	double sum, limit;
	int i, k;

	for (k = 0; k < s->document.account_count; k++) {
		limit = s->document.accounts[k].limit.requests_per_second;
		if (limit <= 0)
			continue;
		sum = 0;
		for (i = 0; i < s->entry_count; i++) {
			if (!s->entries[i].is_running ||
			    s->entries[i].is_paused)
				continue;
			h = HANDLE_NONE;
			while ((a = table_next(&s->entries[i].core.accounts,
					       &h)))
				if (!strcmp(a->name, s->accounts[k].name))
					sum += a->request_bucket.rate;
		}
		if (sum / limit > s->slices_peak)
			s->slices_peak = sum / limit;
	}
}

static void entry_tick(struct sim *s, int entry)
{
	struct pool_report r = { "model", 0, s->slots, s->reported_busy,
				 s->reported_waiting };
	struct limit_decisions out = { NULL, NULL };
	struct limit_core *c = &s->entries[entry].core;

	limit_core_configure(c, &s->document, entry_clock(s, entry));
	apply_entry_list(s, entry);
	limit_core_apply_reports(c, &r, 1);
	limit_core_tick(c, entry_clock(s, entry), &out);
	notify_decisions(s, &out);
	update_slices_peak(s);
}

static void on_step(struct sim *s, struct sim_event *e)
{
	struct sim_entry *entry = &s->entries[e->entry];
	int due[8], i, count;

	if (!entry->is_running || entry->boot != e->boot)
		return;
	e->at = s->now + SIM_STEP_US;
	add_event(s, *e);
	if (entry->is_paused)
		return;
	if (entry->steps++ % 5 == 0)
		entry_tick(s, e->entry);
	if (entry->steps % 50 == 0) {
		if (entry->bytes_second > entry->bytes_peak)
			entry->bytes_peak = (int)entry->bytes_second;
		entry->bytes_second = 0;
	}
	count = limit_peers_start_due(&entry->core.peers,
				      entry_clock(s, e->entry), due, 8);
	for (i = 0; i < count; i++)
		send_request(s, e->entry, &entry->core.peers.peers[due[i]]);
}

static void on_finished(struct sim *s, struct sim_event *e)
{
	struct limit_decisions out = { NULL, NULL };
	struct sim_entry *entry = &s->entries[e->entry];
	struct sim_call *call = e->call, *next = s->waiting;
	struct sim_account *a;
	long ms;

	if (!call)
		return;
	a = &s->accounts[call->account];
	ms = (long)((s->now - call->arrived) / 1000);
	s->busy--;
	if (next) {
		s->waiting = next->next;
		if (!s->waiting)
			s->waiting_tail = &s->waiting;
		s->pool_waiting--;
		start_in_pool(s, next);
	}
	a->latency[ms < SIM_LATENCY_MAX ? ms : SIM_LATENCY_MAX - 1]++;
	if (!call->a.deadline || entry_clock(s, e->entry) <= call->a.deadline)
		a->finished++;
	if (entry->is_running && entry->boot == e->boot) {
		limit_core_finish(&entry->core, &call->a, call->a.tokens,
				  entry_clock(s, e->entry), &out);
		notify_decisions(s, &out);
	}
	call_free(call);
}

/*
 * Resumes an entry.  The calls that arrived while it was paused are handled
 * before its next tick.
 */
void sim_entry_resume(struct sim *s, int entry)
{
	struct sim_entry *e = &s->entries[entry];
	struct sim_call *call;

	e->is_paused = 0;
	while ((call = e->held_calls)) {
		e->held_calls = call->next;
		call_arrive(s, call);
	}
	update_slices_peak(s);
}

static void run_periodic(struct sim *s)
{
	int i;

	while (s->naive_at <= s->now) {
		s->naive_at = s->now / 100000 * 100000 + 100000;
		naive_step(s);
	}
	if (s->now - s->reported_at >= SIM_REPORT_EVERY_US / 4) {
		s->reported_at = s->now;
		s->reported_busy = s->busy;
		s->reported_waiting = s->pool_waiting;
	}
	for (i = 0; i < s->entry_count; i++)
		if (s->entries[i].unlist_at && !s->entries[i].is_running &&
		    s->now > s->entries[i].unlist_at)
			s->entries[i].listed = 0;
}

/* Runs the simulation until a simulated time. */
void sim_run(struct sim *s, apr_time_t until)
{
	struct sim_event e;

	while (s->heap_count && s->heap[0].at <= until) {
		e = pop_event(s);
		s->now = e.at;
		run_periodic(s);
		switch (e.kind) {
		case SIM_ARRIVE:
			on_arrive(s, e.entry);
			break;
		case SIM_STEP:
			on_step(s, &e);
			break;
		case SIM_REQUEST:
			on_request(s, &e);
			break;
		case SIM_REPLY:
			on_reply(s, &e, 0);
			break;
		case SIM_TIMEOUT:
			on_reply(s, &e, 1);
			break;
		case SIM_FINISHED:
			on_finished(s, &e);
			break;
		}
		xdr_free((xdrproc_t)xdr_limits_message, &e.message);
	}
	s->now = until;
}
