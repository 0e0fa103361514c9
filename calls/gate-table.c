#include "calls/gate-table.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * Initializes an empty table of at most row_limit rows (0: no limit), which
 * caches at most answers_max_bytes of answers.
 */
void gate_table_init(struct gate_table *t, uint32_t row_limit,
		     size_t answers_max_bytes)
{
	memset(t, 0, sizeof(*t));
	table_init(&t->rows, "gate-rows", RANK_TICKET, sizeof(struct gate_row),
		   row_limit);
	t->answers_max_bytes = answers_max_bytes;
}

/* Frees the table and drops its references to answers. */
void gate_table_destroy(struct gate_table *t)
{
	struct handle cursor = HANDLE_NONE;
	struct gate_row *row;

	while ((row = table_next(&t->rows, &cursor)))
		gate_answer_release(row->answer);
	table_destroy(&t->rows);
}

/* Allocates an answer with a copy of body and one reference. */
struct gate_answer *gate_answer_new(int status, const char *type,
				    const char *version, const void *body,
				    size_t size)
{
	struct gate_answer *a = malloc(sizeof(*a) + size);

	if (!a)
		abort();
	a->refs = 1;
	a->status = status;
	snprintf(a->content_type, sizeof(a->content_type), "%s", type);
	snprintf(a->version, sizeof(a->version), "%s", version);
	a->size = size;
	memcpy(a->body, body, size);
	return a;
}

static struct gate_answer *answer_acquire(struct gate_answer *a)
{
	__atomic_fetch_add(&a->refs, 1, __ATOMIC_RELAXED);
	return a;
}

/* Drops a reference and frees the answer with the last one; a may be NULL. */
void gate_answer_release(struct gate_answer *a)
{
	if (a && __atomic_sub_fetch(&a->refs, 1, __ATOMIC_ACQ_REL) == 0)
		free(a);
}

static struct handle *find_bucket(struct gate_table *t, const char *identity)
{
	return &t->buckets[place_hash_string(identity, 0) % GATE_BUCKETS];
}

static struct gate_row *find_row(struct gate_table *t, const char *identity,
				 struct handle *out)
{
	struct handle h = *find_bucket(t, identity);
	struct gate_row *row;

	for (; (row = table_get(&t->rows, h)); h = row->hash_next) {
		if (!strcmp(row->identity, identity)) {
			*out = h;
			return row;
		}
	}
	return NULL;
}

static int has_key_identity(const char *identity)
{
	return identity[0] == 'k';
}

/* Evicts the oldest answers until the rest fits; their rows are retained. */
static void evict_oldest_answers(struct gate_table *t)
{
	struct gate_row *row;

	while (t->answers_bytes > t->answers_max_bytes &&
	       !handle_is_none(t->oldest_answer)) {
		row = table_get(&t->rows, t->oldest_answer);
		if (!row) {
			t->oldest_answer = HANDLE_NONE;
			break;
		}
		t->oldest_answer = row->next_newer_answer;
		t->answers_bytes -= row->answer->size;
		gate_answer_release(row->answer);
		row->answer = NULL;
	}
	if (handle_is_none(t->oldest_answer))
		t->newest_answer = HANDLE_NONE;
}

static void remove_answer(struct gate_table *t, struct handle h,
			  struct gate_row *row)
{
	struct handle *link = &t->oldest_answer;
	struct handle before = HANDLE_NONE;
	struct gate_row *other;

	if (!row->answer)
		return;
	while (!handle_equal(*link, h)) {
		before = *link;
		other = table_get(&t->rows, *link);
		if (!other)
			abort();
		link = &other->next_newer_answer;
	}
	*link = row->next_newer_answer;
	if (handle_equal(t->newest_answer, h))
		t->newest_answer = before;
	t->answers_bytes -= row->answer->size;
	gate_answer_release(row->answer);
	row->answer = NULL;
}

/*
 * Removes a row.  The expiry floor or the time until which keys are refused is
 * raised, so that the row's identity is not treated as new afterwards.
 */
static void remove_row(struct gate_table *t, struct handle h,
		       struct gate_row *row)
{
	struct handle *link = find_bucket(t, row->identity);

	if (has_key_identity(row->identity)) {
		if (row->retain_until > t->keys_refused_until)
			t->keys_refused_until = row->retain_until;
	} else if (row->expiry > t->expiry_floor) {
		t->expiry_floor = row->expiry;
	}
	while (!handle_equal(*link, h)) {
		struct gate_row *other = table_get(&t->rows, *link);

		if (!other)
			abort();
		link = &other->hash_next;
	}
	*link = row->hash_next;
	remove_answer(t, h, row);
	table_remove(&t->rows, h);
}

/* Returns 1 when row a is to be evicted before row b: keys come first. */
static int is_evicted_before(const struct gate_row *a, const struct gate_row *b)
{
	int ka = has_key_identity(a->identity),
	    kb = has_key_identity(b->identity);

	if (ka != kb)
		return kb;
	return ka ? a->retain_until < b->retain_until : a->expiry < b->expiry;
}

/*
 * Evicts a row when the table is full.  Returns -1 when the calls of all rows
 * are still running.
 */
static int make_room(struct gate_table *t)
{
	struct handle cursor = HANDLE_NONE, first_handle = HANDLE_NONE;
	struct gate_row *row, *first = NULL;

	if (!t->rows.limit || t->rows.count < t->rows.limit)
		return 0;
	while ((row = table_next(&t->rows, &cursor))) {
		if (row->state == GATE_RUNNING ||
		    (first && !is_evicted_before(row, first)))
			continue;
		first = row;
		first_handle = cursor;
	}
	if (!first)
		return -1;
	remove_row(t, first_handle, first);
	return 0;
}

/* Decides about a request whose identity has a row. */
static void admit_existing(struct gate_row *row, struct handle h,
			   const struct gate_request *request, apr_time_t now,
			   struct gate_decision *out)
{
	uint32_t asked_generation =
		request->has_ticket ? request->ticket->generation : 0;

	out->row = h;
	out->reason = "";
	if (!digest_equal(&row->request_digest, &request->request_digest)) {
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
			out->answer = answer_acquire(row->answer);
		break;
	case GATE_ANSWER_LOST:
		out->verdict = GATE_UNKNOWN;
		out->reason = "answer-lost";
		break;
	case GATE_MARKED_NOT_RUN:
		if (asked_generation > row->generation) {
			row->generation = asked_generation;
			row->key_lifetime = request->key_lifetime;
			row->retain_until = now + row->key_lifetime;
			if (request->ticket->expiry > row->expiry)
				row->expiry = request->ticket->expiry;
			if (request->may_run)
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

/*
 * Returns 0 when an identity without a row is certain to be new, else -1 with
 * the decision filled in.
 */
static int check_is_new(const struct gate_table *t,
			const struct gate_request *request, apr_time_t now,
			struct gate_decision *out)
{
	if (has_key_identity(request->ticket->identity)) {
		if (request->is_exclusive_home && now >= t->keys_refused_until)
			return 0;
		out->verdict = GATE_EARLIER_RUN_POSSIBLE;
		out->reason = request->is_exclusive_home ? "gate-was-full"
							 : "home-unsure";
		return -1;
	}
	if (request->ticket->expiry > t->expiry_floor)
		return 0;
	out->verdict = GATE_UNKNOWN;
	out->reason = "ticket-too-old";
	return -1;
}

static void admit_new(struct gate_table *t, const struct gate_request *request,
		      apr_time_t now, uint64_t wall_s,
		      struct gate_decision *out)
{
	const struct ticket *k = request->ticket;
	struct gate_row row = { 0 };
	int run = request->may_run;

	if (check_is_new(t, request, now, out))
		return;
	out->reason = run ? "" : "marked";
	if (!has_key_identity(k->identity) && wall_s > k->expiry) {
		run = 0;
		out->reason = "ticket-expired";
	}
	out->generation = request->has_ticket ? k->generation : 0;
	out->verdict = run ? GATE_RUN : GATE_NOT_RUN;
	memcpy(row.identity, k->identity, sizeof(row.identity));
	row.state = run ? GATE_RUNNING : GATE_MARKED_NOT_RUN;
	row.generation = out->generation;
	row.expiry = k->expiry;
	row.key_lifetime = request->key_lifetime;
	row.retain_until = now + row.key_lifetime;
	row.request_digest = request->request_digest;
	if (make_room(t)) {
		/* No row can be marked, so the floor covers the identity. */
		if (has_key_identity(k->identity))
			t->keys_refused_until = row.retain_until;
		else if (k->expiry > t->expiry_floor)
			t->expiry_floor = k->expiry;
		out->verdict = GATE_NOT_RUN;
		out->reason = "gate-full";
		return;
	}
	row.hash_next = *find_bucket(t, k->identity);
	out->row = table_add(&t->rows, &row);
	*find_bucket(t, k->identity) = out->row;
}

/*
 * Decides about one request.  With GATE_RUN the row is set to running, and the
 * caller must call gate_finish_run later.  With GATE_NOT_RUN the row is marked,
 * so that no copy of the request runs, even if it arrives later.  now is
 * monotonic, wall_s is the wall clock in seconds.
 */
void gate_admit(struct gate_table *t, const struct gate_request *request,
		apr_time_t now, uint64_t wall_s, struct gate_decision *out)
{
	struct gate_row *row;
	struct handle h;

	memset(out, 0, sizeof(*out));
	if (request->has_ticket &&
	    request->ticket->boot != request->agent_boot) {
		out->verdict = GATE_UNKNOWN;
		out->reason = "agent-reborn";
		return;
	}
	table_lock(&t->rows);
	row = find_row(t, request->ticket->identity, &h);
	if (row)
		admit_existing(row, h, request, now, out);
	else
		admit_new(t, request, now, wall_s, out);
	table_unlock(&t->rows);
}

/*
 * Ends a run with its final state: GATE_ANSWERED (takes over the reference to
 * answer), GATE_ANSWER_LOST, or GATE_MARKED_NOT_RUN when the request was
 * certainly never sent to the upstream.  The lifetime of a key counts from now.
 */
void gate_finish_run(struct gate_table *t, struct handle h,
		     enum gate_state state, struct gate_answer *answer,
		     apr_time_t now)
{
	struct gate_row *row, *last;

	table_lock(&t->rows);
	row = table_get(&t->rows, h);
	if (!row || row->state != GATE_RUNNING)
		abort();
	row->state = state;
	row->retain_until = now + row->key_lifetime;
	if (answer) {
		row->answer = answer;
		row->next_newer_answer = HANDLE_NONE;
		last = table_get(&t->rows, t->newest_answer);
		if (last)
			last->next_newer_answer = h;
		else
			t->oldest_answer = h;
		t->newest_answer = h;
		t->answers_bytes += answer->size;
		evict_oldest_answers(t);
	}
	table_unlock(&t->rows);
}

/*
 * Removes the rows of expired tickets and keys, which no request can refer to
 * as new any more.  Rows of running calls are retained.
 */
void gate_remove_expired_rows(struct gate_table *t, apr_time_t now,
			      uint64_t wall_s)
{
	struct handle cursor = HANDLE_NONE;
	struct gate_row *row;
	int is_expired;

	table_lock(&t->rows);
	while ((row = table_next(&t->rows, &cursor))) {
		is_expired =
			has_key_identity(row->identity)
				? now > row->retain_until
				: wall_s > row->expiry + GATE_EXPIRY_MARGIN_S;
		if (is_expired && row->state != GATE_RUNNING)
			remove_row(t, cursor, row);
	}
	table_unlock(&t->rows);
}
