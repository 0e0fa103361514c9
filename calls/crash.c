#include <stdlib.h>
#include <string.h>

#include "calls/crash-table.h"

#define US_PER_MS 1000

void crash_init(struct crash_list *c)
{
	memset(c, 0, sizeof(*c));
	table_init(&c->rows, "crash suspects", RANK_CRASH,
		   sizeof(struct crash_row), CRASH_SUSPECTS_MAX);
}

void crash_destroy(struct crash_list *c)
{
	table_destroy(&c->rows);
}

static struct crash_row *find_row(struct crash_list *c, const struct digest *fp,
				  struct handle *h)
{
	struct crash_row *r;

	*h = HANDLE_NONE;
	while ((r = table_next(&c->rows, h)))
		if (digest_equal(&r->fp, fp))
			return r;
	return NULL;
}

static apr_time_t last_death_time(const struct crash_row *r)
{
	apr_time_t last = 0;
	int i;

	for (i = 0; i < r->death_count; i++)
		if (r->died_at[i] > last)
			last = r->died_at[i];
	return last;
}

static int is_row_expired(const struct crash_row *r, apr_time_t now)
{
	return now - last_death_time(r) > CRASH_SUSPICION_US &&
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
	return last_death_time(a) < last_death_time(b);
}

/*
 * Removes expired rows; if the table is still full, the row that
 * is_better_to_evict chooses.  Rows of requests that run here stay.
 */
static void make_room(struct crash_list *c, apr_time_t now)
{
	struct handle h = HANDLE_NONE, victim = HANDLE_NONE;
	struct crash_row *r, *current;

	while ((r = table_next(&c->rows, &h))) {
		if (r->running_count)
			continue;
		if (is_row_expired(r, now)) {
			table_remove(&c->rows, h);
			continue;
		}
		current = table_get(&c->rows, victim);
		if (!current || is_better_to_evict(r, current, now))
			victim = h;
	}
	if (c->rows.count >= CRASH_SUSPECTS_MAX)
		table_remove(&c->rows, victim);
}

static struct crash_row *add_row(struct crash_list *c, const struct digest *fp,
				 apr_time_t now)
{
	struct crash_row row;

	if (c->rows.count >= CRASH_SUSPECTS_MAX)
		make_room(c, now);
	memset(&row, 0, sizeof(row));
	row.fp = *fp;
	row.is_judged = 1;
	return table_get(&c->rows, table_add(&c->rows, &row));
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
static int add_death(struct crash_row *r, uint64_t upstream, uint64_t boot,
		     apr_time_t at)
{
	int i;

	for (i = 0; i < r->death_count; i++)
		if (r->deaths[i].upstream == upstream &&
		    r->deaths[i].boot == boot)
			return 0;
	i = r->death_count < CRASH_DEATHS_MAX ? r->death_count++
					      : CRASH_DEATHS_MAX - 1;
	r->deaths[i].upstream = upstream;
	r->deaths[i].boot = boot;
	r->died_at[i] = at;
	r->is_published = 0;
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
	return !r->is_cleared && now - last_death_time(r) < CRASH_SUSPICION_US;
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
	    now - last_death_time(r) >= CRASH_PROPAGATION_US)
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
		    now - last_death_time(r) < CRASH_ISOLATION_US)
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
		r->is_published = 0;
	}
	table_unlock(&c->rows);
}

static int has_death(const struct crash_row *r, const struct crash_death *d)
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
static int count_suspects(struct crash_list *c, const struct crash_death *d)
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
		r->is_judged &= !add_death(r, hash, boot, now);
	}
	judge_rows(c, now);
	table_unlock(&c->rows);
}

static void write_record(const struct crash_row *r, struct crash_record *out,
			 apr_time_t now)
{
	int i;

	memcpy(out->fingerprint, r->fp.bytes, sizeof(r->fp.bytes));
	out->deaths.deaths_val =
		calloc(CRASH_DEATHS_MAX, sizeof(struct crash_death));
	if (!out->deaths.deaths_val)
		abort();
	out->deaths.deaths_len = r->death_count;
	for (i = 0; i < r->death_count; i++) {
		out->deaths.deaths_val[i] = r->deaths[i];
		out->deaths.deaths_val[i].age_ms =
			(u_int)((now - r->died_at[i]) / US_PER_MS);
	}
	if (now < r->refused_until)
		out->refused_ms = (u_int)((r->refused_until - now) / US_PER_MS);
	out->is_certain = r->is_certain;
	out->is_cleared = r->is_cleared;
}

/*
 * Writes the rows that changed since they were last published, or with all the
 * whole table, up to CRASH_RECORDS_MAX.  Returns the number of records.  The
 * caller frees the message with xdr_free.
 */
int crash_collect_updates(struct crash_list *c, struct crash_message *m,
			  int all, apr_time_t now)
{
	struct handle h = HANDLE_NONE;
	struct crash_row *r;

	memset(m, 0, sizeof(*m));
	m->records.records_val =
		calloc(CRASH_RECORDS_MAX, sizeof(struct crash_record));
	if (!m->records.records_val)
		abort();
	table_lock(&c->rows);
	while ((r = table_next(&c->rows, &h)) &&
	       m->records.records_len < CRASH_RECORDS_MAX) {
		if (is_row_expired(r, now) || (r->is_published && !all))
			continue;
		write_record(r,
			     &m->records.records_val[m->records.records_len++],
			     now);
		if (!all)
			r->is_published = 1;
	}
	table_unlock(&c->rows);
	return (int)m->records.records_len;
}

/*
 * Merges one record into the table.  Returns 1 if it contained a new death,
 * certainty or clearance.
 */
static int merge_record(struct crash_list *c, const struct crash_record *in,
			apr_time_t now)
{
	const struct crash_death *d;
	struct digest fp;
	struct crash_row *r;
	struct handle h;
	int is_new = 0, was_published;
	u_int i;

	memcpy(fp.bytes, in->fingerprint, sizeof(fp.bytes));
	r = find_row(c, &fp, &h);
	if (in->is_cleared) {
		if (!r || r->death_count != 1 || r->is_cleared ||
		    in->deaths.deaths_len != 1 ||
		    r->deaths[0].boot != in->deaths.deaths_val[0].boot)
			return 0;
		r->is_cleared = 1;
		return 1;
	}
	if (!r)
		r = add_row(c, &fp, now);
	if (!r)
		return 0;
	was_published = !r->death_count || r->is_published;
	for (i = 0; i < in->deaths.deaths_len; i++) {
		d = &in->deaths.deaths_val[i];
		if (r->is_cleared && r->deaths[0].boot == d->boot)
			continue;
		is_new |= add_death(r, d->upstream, d->boot,
				    now - (apr_time_t)d->age_ms * US_PER_MS);
	}
	if (in->is_certain && !r->is_certain) {
		r->is_certain = 1;
		is_new = 1;
	}
	if (is_new)
		r->is_judged = r->is_cleared = 0;
	/* The process that saw the death notifies all others. */
	r->is_published = was_published;
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
		new_count += merge_record(c, &m->records.records_val[i], now);
	judge_rows(c, now);
	table_unlock(&c->rows);
	return new_count;
}
