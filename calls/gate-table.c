#include "calls/gate-table.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Prepares an empty table with bounds on rows and bytes of answers. */
void gate_table_init(struct gate_table *t, uint32_t row_limit,
		     size_t answer_limit)
{
	memset(t, 0, sizeof(*t));
	table_init(&t->rows, "gate-rows", RANK_TICKET, sizeof(struct gate_row),
		   row_limit);
	t->answer_limit = answer_limit;
}

/* Frees the table and its references to answers. */
void gate_table_destroy(struct gate_table *t)
{
	struct handle cursor = HANDLE_NONE;
	struct gate_row *row;

	while ((row = table_next(&t->rows, &cursor)))
		gate_answer_release(row->answer);
	table_destroy(&t->rows);
}

/* Returns a new answer with a copy of body and one reference. */
struct gate_answer *gate_answer_new(int status, const char *type,
				    const char *version, const void *body,
				    size_t size)
{
	struct gate_answer *a = malloc(sizeof(*a) + size);

	if (!a)
		abort();
	a->refs = 1;
	a->status = status;
	snprintf(a->type, sizeof(a->type), "%s", type);
	snprintf(a->version, sizeof(a->version), "%s", version);
	a->size = size;
	memcpy(a->body, body, size);
	return a;
}

static struct gate_answer *answer_hold(struct gate_answer *a)
{
	__atomic_fetch_add(&a->refs, 1, __ATOMIC_RELAXED);
	return a;
}

/* Drops a reference; NULL is allowed. */
void gate_answer_release(struct gate_answer *a)
{
	if (a && __atomic_sub_fetch(&a->refs, 1, __ATOMIC_ACQ_REL) == 0)
		free(a);
}

static struct handle *bucket_of(struct gate_table *t, const char *identity)
{
	return &t->buckets[place_hash_string(identity, 0) % GATE_BUCKETS];
}

static struct gate_row *row_find(struct gate_table *t, const char *identity,
				 struct handle *out)
{
	struct handle h = *bucket_of(t, identity);
	struct gate_row *row;

	for (; (row = table_get(&t->rows, h)); h = row->hash_next) {
		if (!strcmp(row->identity, identity)) {
			*out = h;
			return row;
		}
	}
	return NULL;
}

static int is_keyed(const char *identity)
{
	return identity[0] == 'k';
}

/* Forgets the oldest answers until the rest fits; their rows stay. */
static void answers_trim(struct gate_table *t)
{
	struct gate_row *row;

	while (t->answer_bytes > t->answer_limit &&
	       !handle_is_none(t->answers_first)) {
		row = table_get(&t->rows, t->answers_first);
		if (!row) {
			t->answers_first = HANDLE_NONE;
			break;
		}
		t->answers_first = row->answer_next;
		t->answer_bytes -= row->answer->size;
		gate_answer_release(row->answer);
		row->answer = NULL;
	}
	if (handle_is_none(t->answers_first))
		t->answers_last = HANDLE_NONE;
}

static void answer_unlink(struct gate_table *t, struct handle h,
			  struct gate_row *row)
{
	struct handle *link = &t->answers_first;
	struct handle before = HANDLE_NONE;
	struct gate_row *other;

	if (!row->answer)
		return;
	while (!handle_equal(*link, h)) {
		before = *link;
		other = table_get(&t->rows, *link);
		if (!other)
			abort();
		link = &other->answer_next;
	}
	*link = row->answer_next;
	if (handle_equal(t->answers_last, h))
		t->answers_last = before;
	t->answer_bytes -= row->answer->size;
	gate_answer_release(row->answer);
	row->answer = NULL;
}

/* Removes a row so that its identity will not be taken for new. */
static void row_evict(struct gate_table *t, struct handle h,
		      struct gate_row *row)
{
	struct handle *link = bucket_of(t, row->identity);

	if (is_keyed(row->identity)) {
		if (row->keep_until > t->key_hold_until)
			t->key_hold_until = row->keep_until;
	} else if (row->expiry > t->floor) {
		t->floor = row->expiry;
	}
	while (!handle_equal(*link, h)) {
		struct gate_row *other = table_get(&t->rows, *link);

		if (!other)
			abort();
		link = &other->hash_next;
	}
	*link = row->hash_next;
	answer_unlink(t, h, row);
	table_remove(&t->rows, h);
}

/* Returns 1 when row a should leave before row b. */
static int leaves_before(const struct gate_row *a, const struct gate_row *b)
{
	int ka = is_keyed(a->identity), kb = is_keyed(b->identity);

	if (ka != kb)
		return kb;
	return ka ? a->keep_until < b->keep_until : a->expiry < b->expiry;
}

/* Makes room for a row.  Returns -1 when every row is of a running call. */
static int room_make(struct gate_table *t)
{
	struct handle cursor = HANDLE_NONE, first_handle = HANDLE_NONE;
	struct gate_row *row, *first = NULL;

	if (!t->rows.limit || t->rows.count < t->rows.limit)
		return 0;
	while ((row = table_next(&t->rows, &cursor))) {
		if (row->state == GATE_RUNNING ||
		    (first && !leaves_before(row, first)))
			continue;
		first = row;
		first_handle = cursor;
	}
	if (!first)
		return -1;
	row_evict(t, first_handle, first);
	return 0;
}

/* Answers for an identity that the table holds. */
static void admit_known(struct gate_row *row, struct handle h,
			const struct gate_request *ask, apr_time_t now,
			struct gate_decision *out)
{
	uint32_t asked = ask->ticketed ? ask->ticket->generation : 0;

	out->row = h;
	out->reason = "";
	if (!digest_equal(&row->content, &ask->content)) {
		out->verdict = GATE_MISMATCH;
		out->reason = "key-reused";
		return;
	}
	switch (row->state) {
	case GATE_RUNNING:
		out->verdict = GATE_JOIN;
		break;
	case GATE_ANSWERED:
		out->verdict = row->answer ? GATE_REPLAY : GATE_UNKNOWN;
		out->reason = row->answer ? "" : "answer-evicted";
		if (row->answer)
			out->answer = answer_hold(row->answer);
		break;
	case GATE_ANSWER_LOST:
		out->verdict = GATE_UNKNOWN;
		out->reason = "answer-lost";
		break;
	case GATE_MARKED_NOT_RUN:
		if (asked > row->generation) {
			row->generation = asked;
			row->keep_until = now + ask->lifetime;
			if (ask->ticket->expiry > row->expiry)
				row->expiry = ask->ticket->expiry;
			if (ask->may_run)
				row->state = GATE_RUNNING;
		}
		out->verdict =
			row->state == GATE_RUNNING ? GATE_RUN : GATE_NOT_RUN;
		out->reason = "marked";
		break;
	}
	out->generation = row->generation;
	if (out->verdict == GATE_RUN)
		out->reason = "";
}

/* Returns 0 when an identity that isn't in the table is surely new. */
static int new_check(const struct gate_table *t, const struct gate_request *ask,
		     apr_time_t now, struct gate_decision *out)
{
	if (is_keyed(ask->ticket->identity)) {
		if (ask->home && now >= t->key_hold_until)
			return 0;
		out->verdict = GATE_EARLIER_RUN_POSSIBLE;
		out->reason = ask->home ? "gate-was-full" : "home-unsure";
		return -1;
	}
	if (ask->ticket->expiry > t->floor)
		return 0;
	out->verdict = GATE_UNKNOWN;
	out->reason = "ticket-too-old";
	return -1;
}

static void admit_new(struct gate_table *t, const struct gate_request *ask,
		      apr_time_t now, uint64_t wall_s,
		      struct gate_decision *out)
{
	const struct ticket *k = ask->ticket;
	struct gate_row row = { 0 };
	int run = ask->may_run;

	if (new_check(t, ask, now, out))
		return;
	out->reason = run ? "" : "marked";
	if (!is_keyed(k->identity) && wall_s > k->expiry) {
		run = 0;
		out->reason = "ticket-expired";
	}
	out->generation = ask->ticketed ? k->generation : 0;
	out->verdict = run ? GATE_RUN : GATE_NOT_RUN;
	memcpy(row.identity, k->identity, sizeof(row.identity));
	row.state = run ? GATE_RUNNING : GATE_MARKED_NOT_RUN;
	row.generation = out->generation;
	row.expiry = k->expiry;
	row.keep_until = now + ask->lifetime;
	row.content = ask->content;
	if (room_make(t)) {
		/* No row can hold the mark, so the bound itself does. */
		if (is_keyed(k->identity))
			t->key_hold_until = row.keep_until;
		else if (k->expiry > t->floor)
			t->floor = k->expiry;
		out->verdict = GATE_NOT_RUN;
		out->reason = "gate-full";
		return;
	}
	row.hash_next = *bucket_of(t, k->identity);
	out->row = table_add(&t->rows, &row);
	*bucket_of(t, k->identity) = out->row;
}

/*
 * Decides about one request.  With GATE_RUN the row is set to running, and
 * gate_finish_run must follow; GATE_NOT_RUN leaves a mark that keeps any copy of
 * the request, also one that arrives later, from running.
 */
void gate_admit(struct gate_table *t, const struct gate_request *ask,
		apr_time_t now, uint64_t wall_s, struct gate_decision *out)
{
	struct gate_row *row;
	struct handle h;

	memset(out, 0, sizeof(*out));
	if (ask->ticketed && ask->ticket->boot != ask->boot) {
		out->verdict = GATE_UNKNOWN;
		out->reason = "agent-reborn";
		return;
	}
	table_lock(&t->rows);
	row = row_find(t, ask->ticket->identity, &h);
	if (row)
		admit_known(row, h, ask, now, out);
	else
		admit_new(t, ask, now, wall_s, out);
	table_unlock(&t->rows);
}

/*
 * Ends a run: answered (takes over the reference to answer), lost, or
 * marked when it was proved that the upstream never got it.
 */
void gate_finish_run(struct gate_table *t, struct handle h,
		     enum gate_state state, struct gate_answer *answer)
{
	struct gate_row *row, *last;

	table_lock(&t->rows);
	row = table_get(&t->rows, h);
	if (!row || row->state != GATE_RUNNING)
		abort();
	row->state = state;
	if (answer) {
		row->answer = answer;
		row->answer_next = HANDLE_NONE;
		last = table_get(&t->rows, t->answers_last);
		if (last)
			last->answer_next = h;
		else
			t->answers_first = h;
		t->answers_last = h;
		t->answer_bytes += answer->size;
		answers_trim(t);
	}
	table_unlock(&t->rows);
}

/* Removes rows that no request can ask for any more as new. */
void gate_remove_expired_rows(struct gate_table *t, apr_time_t now,
			      uint64_t wall_s)
{
	struct handle cursor = HANDLE_NONE;
	struct gate_row *row;
	int over;

	table_lock(&t->rows);
	while ((row = table_next(&t->rows, &cursor))) {
		over = is_keyed(row->identity)
			       ? now > row->keep_until
			       : wall_s > row->expiry + GATE_EXPIRY_MARGIN_S;
		if (over && row->state != GATE_RUNNING)
			row_evict(t, cursor, row);
	}
	table_unlock(&t->rows);
}
