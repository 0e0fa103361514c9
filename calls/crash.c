#include <stdlib.h>
#include <string.h>

#include "calls/crash-table.h"

#define US_PER_MS 1000

static const struct crash_rules request_rules;

static void init_list(struct crash_list *c, const struct crash_rules *rules)
{
	memset(c, 0, sizeof(*c));
	table_init(&c->rows, "crash suspects", RANK_CRASH,
		   sizeof(struct crash_row), CRASH_SUSPECTS_MAX);
	c->rules = rules;
	c->rounds = 1;
}

/* Initializes a list of requests, for the processes of a data center. */
void crash_init(struct crash_list *c)
{
	init_list(c, &request_rules);
}

/* Initializes a list of items, for all entries.  Aborts when out of memory. */
void crash_init_items(struct crash_list *c)
{
	init_list(c, &crash_item_rules);
	c->rounds = CRASH_ROUNDS_DEFAULT;
	c->sound = calloc(CRASH_SOUND_SLOTS, sizeof(*c->sound));
	c->events = calloc(CRASH_EVENT_SLOTS, sizeof(*c->events));
	if (!c->sound || !c->events)
		abort();
}

void crash_destroy(struct crash_list *c)
{
	table_destroy(&c->rows);
	free(c->sound);
	free(c->events);
}

static struct handle *find_bucket(struct crash_list *c,
				  const unsigned char *key)
{
	uint32_t hash;

	memcpy(&hash, key, sizeof(hash));
	return &c->buckets[hash % CRASH_BUCKETS];
}

struct crash_row *crash_find(struct crash_list *c, const unsigned char *key,
			     struct handle *h)
{
	struct crash_row *r;

	*h = *find_bucket(c, key);
	while ((r = table_get(&c->rows, *h))) {
		if (!memcmp(r->key, key, sizeof(r->key)))
			return r;
		*h = r->next;
	}
	return NULL;
}

static struct crash_row *find_row(struct crash_list *c, const struct digest *fp,
				  struct handle *h)
{
	return crash_find(c, fp->bytes, h);
}

/* Removes a row; any other handle stays valid. */
void crash_remove(struct crash_list *c, struct handle h)
{
	struct crash_row *r = table_get(&c->rows, h), *before;
	struct handle *link;

	if (!r)
		return;
	link = find_bucket(c, r->key);
	while (!handle_equal(*link, h)) {
		before = table_get(&c->rows, *link);
		link = &before->next;
	}
	*link = r->next;
	table_remove(&c->rows, h);
	__atomic_store_n(&c->row_count, (int)c->rows.count, __ATOMIC_RELAXED);
}

apr_time_t crash_last_death(const struct crash_row *r)
{
	apr_time_t last = 0;
	int i;

	for (i = 0; i < r->death_count; i++)
		if (r->deaths[i].died_at > last)
			last = r->deaths[i].died_at;
	return last;
}

static int is_request_expired(const struct crash_row *r, apr_time_t now)
{
	return now - crash_last_death(r) > CRASH_SUSPICION_US &&
	       now > r->refused_until;
}

/*
 * Returns 1 if a should be evicted rather than b: rows that are not in
 * quarantine first, then those whose last death is older.
 */
static int is_better_to_evict(const struct crash_row *a,
			      const struct crash_row *b, apr_time_t now)
{
	int a_refused = now < a->refused_until;
	int b_refused = now < b->refused_until;

	if (a_refused != b_refused)
		return b_refused;
	return crash_last_death(a) < crash_last_death(b);
}

/*
 * Removes the row that is_better_to_evict prefers, if the table is full.  Rows
 * of requests that run here stay.
 */
static int make_request_room(struct crash_list *c, uint64_t account,
			     apr_time_t now)
{
	struct handle h = HANDLE_NONE, victim = HANDLE_NONE;
	struct crash_row *r, *current;

	(void)account;
	if (c->rows.count < CRASH_SUSPECTS_MAX)
		return 1;
	while ((r = table_next(&c->rows, &h))) {
		if (r->running_count)
			continue;
		current = table_get(&c->rows, victim);
		if (!current || is_better_to_evict(r, current, now))
			victim = h;
	}
	crash_remove(c, victim);
	return c->rows.count < CRASH_SUSPECTS_MAX;
}

/* Removes the rows that are expired; the table is locked. */
void crash_remove_expired(struct crash_list *c, apr_time_t now)
{
	struct handle h = HANDLE_NONE;
	struct crash_row *r;

	while ((r = table_next(&c->rows, &h)))
		if (!r->running_count && c->rules->is_expired(r, now))
			crash_remove(c, h);
}

/* Adds a row, if need be in place of another.  Returns NULL if it is refused. */
struct crash_row *crash_add(struct crash_list *c, const unsigned char *key,
			    uint64_t account, apr_time_t now)
{
	struct handle *bucket = find_bucket(c, key);
	struct crash_row row;
	struct handle h;

	if (c->rows.count >= CRASH_SUSPECTS_MAX)
		crash_remove_expired(c, now);
	if (!c->rules->make_room(c, account, now))
		return NULL;
	memset(&row, 0, sizeof(row));
	memcpy(row.key, key, sizeof(row.key));
	row.account = account;
	row.is_judged = 1;
	row.rounds_left = c->rounds;
	row.next = *bucket;
	h = table_add(&c->rows, &row);
	if (handle_is_none(h))
		return NULL;
	*bucket = h;
	__atomic_store_n(&c->row_count, (int)c->rows.count, __ATOMIC_RELAXED);
	return table_get(&c->rows, h);
}

static struct crash_row *add_row(struct crash_list *c, const struct digest *fp,
				 apr_time_t now)
{
	return crash_add(c, fp->bytes, 0, now);
}

/* Marks a row as changed, to be sent to others. */
void crash_publish(struct crash_list *c, struct crash_row *r)
{
	r->rounds_left = c->rounds;
}

static void extend_quarantine(struct crash_row *r, apr_interval_time_t length,
			      apr_time_t now)
{
	if (now + length > r->refused_until)
		r->refused_until = now + length;
}

/*
 * Adds a death unless the row has it.  Returns 1 if it was added.  When the
 * row is full the newest death replaces the last one.
 */
static int add_death(struct crash_list *c, struct crash_row *r,
		     uint64_t upstream, uint64_t boot, apr_time_t at)
{
	int i, max = c->rules->deaths_max;

	for (i = 0; i < r->death_count; i++)
		if (r->deaths[i].upstream == upstream &&
		    r->deaths[i].boot == boot)
			return 0;
	i = r->death_count < max ? r->death_count++ : max - 1;
	memset(&r->deaths[i], 0, sizeof(r->deaths[i]));
	r->deaths[i].upstream = upstream;
	r->deaths[i].boot = boot;
	r->deaths[i].died_at = at;
	crash_publish(c, r);
	return 1;
}

static int has_death_at(const struct crash_row *r, uint64_t upstream)
{
	int i;

	for (i = 0; i < r->death_count; i++)
		if (r->deaths[i].upstream == upstream)
			return 1;
	return 0;
}

/*
 * Returns 1 if the request is in quarantine now, and sets *retry_after_s.  If
 * the request is certainly the cause, each repeat renews the quarantine.
 */
static int check_quarantine(struct crash_row *r, apr_time_t now,
			    int *retry_after_s)
{
	if (now >= r->refused_until)
		return 0;
	if (r->is_certain)
		extend_quarantine(r, CRASH_QUARANTINE_US, now);
	if (retry_after_s)
		*retry_after_s =
			(int)((r->refused_until - now) / APR_USEC_PER_SEC) + 1;
	return 1;
}

static int is_suspect(const struct crash_row *r, apr_time_t now)
{
	return !r->is_cleared && now - crash_last_death(r) < CRASH_SUSPICION_US;
}

static enum crash_verdict compute_verdict(struct crash_row *r, apr_time_t now,
					  int *retry_after_s)
{
	if (r && check_quarantine(r, now, retry_after_s))
		return CRASH_QUARANTINED;
	return r && is_suspect(r, now) ? CRASH_SUSPECT : CRASH_CLEAR;
}

/*
 * Returns the verdict on a fingerprint.  If it is CRASH_QUARANTINED,
 * *retry_after_s is set unless retry_after_s is NULL; a repeat may renew the
 * quarantine.
 */
enum crash_verdict crash_verdict(struct crash_list *c, const struct digest *fp,
				 apr_time_t now, int *retry_after_s)
{
	enum crash_verdict v;
	struct handle h;

	table_lock(&c->rows);
	v = compute_verdict(find_row(c, fp, &h), now, retry_after_s);
	table_unlock(&c->rows);
	return v;
}

/* Returns 1 if the request is in quarantine, as crash_verdict decides. */
int crash_is_quarantined(struct crash_list *c, const struct digest *fp,
			 apr_time_t now, int *retry_after_s)
{
	return crash_verdict(c, fp, now, retry_after_s) == CRASH_QUARANTINED;
}

/*
 * Returns 1 if a suspect may run at the upstream: it was not in flight at a
 * death there, and the other processes have had CRASH_PROPAGATION_US to receive
 * the last death.
 */
static int can_suspect_run(const struct crash_row *r, const char *upstream,
			   apr_time_t now, int *retry_after_s)
{
	if (!has_death_at(r, place_hash_string(upstream, 0)) &&
	    now - crash_last_death(r) >= CRASH_PROPAGATION_US)
		return 1;
	if (retry_after_s)
		*retry_after_s = 1;
	return 0;
}

/*
 * Returns 1 if an entry may send a request to an upstream now, else 0 and
 * *retry_after_s.  A gate uses crash_begin_run instead.
 */
int crash_is_allowed(struct crash_list *c, const struct digest *fp,
		     const char *upstream, apr_time_t now, int *retry_after_s)
{
	enum crash_verdict v;
	struct crash_row *r;
	struct handle h;
	int allowed;

	table_lock(&c->rows);
	r = find_row(c, fp, &h);
	v = compute_verdict(r, now, retry_after_s);
	allowed = v == CRASH_CLEAR ||
		  (v == CRASH_SUSPECT &&
		   can_suspect_run(r, upstream, now, retry_after_s));
	table_unlock(&c->rows);
	return allowed;
}

/*
 * Returns 1 if a suspect of a death within CRASH_ISOLATION_US runs at this
 * gate.  The caller holds the table's lock.
 */
static int is_suspect_running(struct crash_list *c, apr_time_t now)
{
	struct handle h = HANDLE_NONE;
	struct crash_row *r;

	while ((r = table_next(&c->rows, &h)))
		if (r->running_count && is_suspect(r, now) &&
		    now - crash_last_death(r) < CRASH_ISOLATION_US)
			return 1;
	return 0;
}

/*
 * Decides at a gate whether a request may run.  Returns 1 if it may: the gate
 * must then call crash_end_run after the run.  Returns 0 if it is refused, and
 * sets *retry_after_s.
 */
int crash_begin_run(struct crash_list *c, const struct digest *fp,
		    const char *upstream, apr_time_t now, int *retry_after_s)
{
	enum crash_verdict v;
	struct crash_row *r;
	struct handle h;
	int allowed = 1;

	table_lock(&c->rows);
	r = find_row(c, fp, &h);
	v = compute_verdict(r, now, retry_after_s);
	if (v == CRASH_QUARANTINED)
		allowed = 0;
	else if (v == CRASH_SUSPECT)
		allowed = can_suspect_run(r, upstream, now, retry_after_s);
	if (allowed && v == CRASH_SUSPECT && is_suspect_running(c, now)) {
		if (retry_after_s)
			*retry_after_s = 1;
		allowed = 0;
	}
	if (allowed && r)
		r->running_count++;
	table_unlock(&c->rows);
	return allowed;
}

/*
 * Ends a run that crash_begin_run allowed.  finished is 1 if the upstream ran
 * the whole request without a crash: the suspicion of a request with one death
 * is then cleared.
 */
void crash_end_run(struct crash_list *c, const struct digest *fp,
		   const char *upstream, int finished, apr_time_t now)
{
	struct crash_row *r;
	struct handle h;

	(void)upstream;
	table_lock(&c->rows);
	r = find_row(c, fp, &h);
	if (r && r->running_count)
		r->running_count--;
	if (r && finished && r->death_count == 1 && is_suspect(r, now)) {
		r->is_cleared = 1;
		crash_publish(c, r);
	}
	table_unlock(&c->rows);
}

static int has_death(const struct crash_row *r,
		     const struct crash_seen_death *d)
{
	int i;

	for (i = 0; i < r->death_count; i++)
		if (r->deaths[i].upstream == d->upstream &&
		    r->deaths[i].boot == d->boot)
			return 1;
	return 0;
}

/*
 * Returns how many requests that were in flight at this death were in flight
 * at another death too.
 */
static int count_suspects(struct crash_list *c,
			  const struct crash_seen_death *d)
{
	struct handle h = HANDLE_NONE;
	struct crash_row *r;
	int count = 0;

	while ((r = table_next(&c->rows, &h)))
		count += r->death_count >= 2 && has_death(r, d);
	return count;
}

/*
 * Puts a request that was in flight at two deaths in quarantine.  It is
 * certainly the cause if, of all requests in flight at one of these deaths, it
 * is the only one that was in flight at a second death.
 */
static void judge_row(struct crash_list *c, struct crash_row *r, apr_time_t now)
{
	int i;

	for (i = 0; i < r->death_count && !r->is_certain; i++)
		if (count_suspects(c, &r->deaths[i]) == 1)
			r->is_certain = 1;
	extend_quarantine(r,
			  r->is_certain ? CRASH_QUARANTINE_US
					: CRASH_QUARANTINE_UNCERTAIN_US,
			  now);
}

/*
 * Judges the rows with new deaths.  All requests of a death must have been
 * added before, since judge_row compares them.
 */
static void judge_rows(struct crash_list *c, apr_time_t now)
{
	struct handle h = HANDLE_NONE;
	struct crash_row *r;

	while ((r = table_next(&c->rows, &h))) {
		if (r->is_judged)
			continue;
		r->is_judged = 1;
		if (r->death_count >= 2)
			judge_row(c, r, now);
	}
}

/* Records that an upstream died with these fingerprints in flight. */
void crash_record_death(struct crash_list *c, const char *upstream,
			uint64_t boot, const struct digest *fps, int count,
			apr_time_t now)
{
	uint64_t hash = place_hash_string(upstream, 0);
	struct handle h = HANDLE_NONE;
	struct crash_row *r;
	int i;

	table_lock(&c->rows);
	for (i = 0; i < count; i++) {
		r = find_row(c, &fps[i], &h);
		if (!r)
			r = add_row(c, &fps[i], now);
		if (!r)
			continue;
		if (r->is_cleared)
			r->is_cleared = r->death_count = 0;
		r->is_judged &= !add_death(c, r, hash, boot, now);
	}
	judge_rows(c, now);
	table_unlock(&c->rows);
}

/*
 * Merges one record into the table.  Returns 1 if it contained a new death,
 * certainty or clearance.
 */
static int merge_request(struct crash_list *c, const struct crash_record *in,
			 apr_time_t now)
{
	const struct crash_death *d;
	struct crash_row *r;
	struct handle h;
	int is_new = 0, rounds;
	u_int i;

	r = crash_find(c, (const unsigned char *)in->key, &h);
	if (in->is_cleared) {
		if (!r || r->death_count != 1 || r->is_cleared ||
		    in->deaths.deaths_len != 1 ||
		    r->deaths[0].boot != in->deaths.deaths_val[0].boot)
			return 0;
		r->is_cleared = 1;
		return 1;
	}
	if (!r)
		r = crash_add(c, (const unsigned char *)in->key, 0, now);
	if (!r)
		return 0;
	rounds = r->death_count ? r->rounds_left : 0;
	for (i = 0; i < in->deaths.deaths_len; i++) {
		d = &in->deaths.deaths_val[i];
		if (r->is_cleared && r->deaths[0].boot == d->boot)
			continue;
		is_new |= add_death(c, r, d->upstream, d->boot,
				    now - (apr_time_t)d->age_ms * US_PER_MS);
	}
	if (in->is_certain && !r->is_certain) {
		r->is_certain = 1;
		is_new = 1;
	}
	if (is_new)
		r->is_judged = r->is_cleared = 0;
	/* The process that saw the death notifies all others. */
	r->rounds_left = rounds;
	if (in->refused_ms)
		extend_quarantine(
			r, (apr_interval_time_t)in->refused_ms * US_PER_MS,
			now);
	return is_new;
}

/*
 * Merges the message of another process into the table.  Returns the number
 * of records that contained something new.
 */
int crash_merge(struct crash_list *c, const struct crash_message *m,
		apr_time_t now)
{
	int new_count = 0;
	u_int i;

	table_lock(&c->rows);
	for (i = 0; i < m->records.records_len; i++)
		new_count +=
			c->rules->merge(c, &m->records.records_val[i], now);
	if (c->rules->judge_merged)
		c->rules->judge_merged(c, now);
	table_unlock(&c->rows);
	return new_count;
}

static const struct crash_rules request_rules = {
	.deaths_max = 2,
	.is_expired = is_request_expired,
	.make_room = make_request_room,
	.merge = merge_request,
	.judge_merged = judge_rows,
};
