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

static struct crash_row *row_find(struct crash_list *c, const struct digest *fp,
				  struct handle *h)
{
	struct crash_row *r;

	*h = HANDLE_NONE;
	while ((r = table_next(&c->rows, h)))
		if (digest_equal(&r->fp, fp))
			return r;
	return NULL;
}

static apr_time_t row_last(const struct crash_row *r)
{
	apr_time_t last = 0;
	int i;

	for (i = 0; i < r->death_count; i++)
		if (r->died_at[i] > last)
			last = r->died_at[i];
	return last;
}

static int row_past(const struct crash_row *r, apr_time_t now)
{
	return now - row_last(r) > CRASH_SUSPICION_US && now > r->refused_until;
}

/* Returns 1 if a is a better row to forget than b: not refused, older. */
static int row_before(const struct crash_row *a, const struct crash_row *b,
		      apr_time_t now)
{
	int a_refused = now < a->refused_until;
	int b_refused = now < b->refused_until;

	if (a_refused != b_refused)
		return b_refused;
	return row_last(a) < row_last(b);
}

/* Removes rows that are past; if none is, the one least worth keeping. */
static void rows_make_room(struct crash_list *c, apr_time_t now)
{
	struct handle h = HANDLE_NONE, least = HANDLE_NONE;
	struct crash_row *r, *o;

	while ((r = table_next(&c->rows, &h))) {
		if (r->running_count)
			continue;
		if (row_past(r, now)) {
			table_remove(&c->rows, h);
			continue;
		}
		o = table_get(&c->rows, least);
		if (!o || row_before(r, o, now))
			least = h;
	}
	if (c->rows.count >= CRASH_SUSPECTS_MAX)
		table_remove(&c->rows, least);
}

static struct crash_row *row_add(struct crash_list *c, const struct digest *fp,
				 apr_time_t now)
{
	struct crash_row row;

	if (c->rows.count >= CRASH_SUSPECTS_MAX)
		rows_make_room(c, now);
	memset(&row, 0, sizeof(row));
	row.fp = *fp;
	row.is_judged = 1;
	return table_get(&c->rows, table_add(&c->rows, &row));
}

static void refuse(struct crash_row *r, apr_interval_time_t length,
		   apr_time_t now)
{
	if (now + length > r->refused_until)
		r->refused_until = now + length;
}

/* Adds a death unless it is known.  Returns 1 if it is new. */
static int death_add(struct crash_row *r, uint64_t upstream, uint64_t boot,
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

static int fault_seen_at(const struct crash_row *r, uint64_t upstream)
{
	int i;

	for (i = 0; i < r->death_count; i++)
		if (r->deaths[i].upstream == upstream)
			return 1;
	return 0;
}

/* Returns 1 if the request is refused now; a repeat renews it if certain. */
static int row_refused(struct crash_row *r, apr_time_t now, int *retry_after_s)
{
	if (now >= r->refused_until)
		return 0;
	if (r->is_certain)
		refuse(r, CRASH_QUARANTINE_US, now);
	if (retry_after_s)
		*retry_after_s =
			(int)((r->refused_until - now) / APR_USEC_PER_SEC) + 1;
	return 1;
}

static int row_suspect(const struct crash_row *r, apr_time_t now)
{
	return !r->is_cleared && now - row_last(r) < CRASH_SUSPICION_US;
}

static enum crash_verdict verdict(struct crash_row *r, apr_time_t now,
				  int *retry_after_s)
{
	if (r && row_refused(r, now, retry_after_s))
		return CRASH_QUARANTINED;
	return r && row_suspect(r, now) ? CRASH_SUSPECT : CRASH_CLEAR;
}

/* Says what is known of a fingerprint. */
enum crash_verdict crash_verdict(struct crash_list *c, const struct digest *fp,
				 apr_time_t now, int *retry_after_s)
{
	enum crash_verdict v;
	struct handle h;

	table_lock(&c->rows);
	v = verdict(row_find(c, fp, &h), now, retry_after_s);
	table_unlock(&c->rows);
	return v;
}

/* Returns 1 if the request must be refused, not run. */
int crash_is_quarantined(struct crash_list *c, const struct digest *fp,
			 apr_time_t now, int *retry_after_s)
{
	return crash_verdict(c, fp, now, retry_after_s) == CRASH_QUARANTINED;
}

/*
 * A suspect may run at the upstream if it was not in flight at a death
 * there, and only once the others had time to learn of the last one.
 */
static int suspect_allowed(const struct crash_row *r, const char *upstream,
			   apr_time_t now, int *retry_after_s)
{
	if (!fault_seen_at(r, place_hash_string(upstream, 0)) &&
	    now - row_last(r) >= CRASH_PROPAGATION_US)
		return 1;
	if (retry_after_s)
		*retry_after_s = 1;
	return 0;
}

/*
 * Returns 1 if a request may be handed to an upstream, 0 if not to this one
 * now.  For entries; a gate asks crash_begin_run.
 */
int crash_is_allowed(struct crash_list *c, const struct digest *fp,
		     const char *upstream, apr_time_t now, int *retry_after_s)
{
	enum crash_verdict v;
	struct crash_row *r;
	struct handle h;
	int allowed;

	table_lock(&c->rows);
	r = row_find(c, fp, &h);
	v = verdict(r, now, retry_after_s);
	allowed = v == CRASH_CLEAR ||
		  (v == CRASH_SUSPECT &&
		   suspect_allowed(r, upstream, now, retry_after_s));
	table_unlock(&c->rows);
	return allowed;
}

/* Returns 1 if a suspect of a recent death runs at this gate.  Locked. */
static int suspect_inside(struct crash_list *c, apr_time_t now)
{
	struct handle h = HANDLE_NONE;
	struct crash_row *r;

	while ((r = table_next(&c->rows, &h)))
		if (r->running_count && row_suspect(r, now) &&
		    now - row_last(r) < CRASH_ISOLATION_US)
			return 1;
	return 0;
}

/*
 * Asks, at a gate, to run a request.  Returns 1 if it may, and must then be
 * followed by crash_end_run; 0 if it is refused.
 */
int crash_begin_run(struct crash_list *c, const struct digest *fp,
		    const char *upstream, apr_time_t now, int *retry_after_s)
{
	enum crash_verdict v;
	struct crash_row *r;
	struct handle h;
	int allowed = 1;

	table_lock(&c->rows);
	r = row_find(c, fp, &h);
	v = verdict(r, now, retry_after_s);
	if (v == CRASH_QUARANTINED)
		allowed = 0;
	else if (v == CRASH_SUSPECT)
		allowed = suspect_allowed(r, upstream, now, retry_after_s);
	if (allowed && v == CRASH_SUSPECT && suspect_inside(c, now)) {
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
 * Ends what crash_begin_run allowed.  finished: the upstream lived through all
 * of it, so the suspicion ends.
 */
void crash_end_run(struct crash_list *c, const struct digest *fp,
		   const char *upstream, int finished, apr_time_t now)
{
	struct crash_row *r;
	struct handle h;

	(void)upstream;
	table_lock(&c->rows);
	r = row_find(c, fp, &h);
	if (r && r->running_count)
		r->running_count--;
	if (r && finished && r->death_count == 1 && row_suspect(r, now)) {
		r->is_cleared = 1;
		r->is_published = 0;
	}
	table_unlock(&c->rows);
}

static int death_of(const struct crash_row *r, const struct crash_death *d)
{
	int i;

	for (i = 0; i < r->death_count; i++)
		if (r->deaths[i].upstream == d->upstream &&
		    r->deaths[i].boot == d->boot)
			return 1;
	return 0;
}

/* Returns how many requests of a death were in flight at another as well. */
static int death_suspects(struct crash_list *c, const struct crash_death *d)
{
	struct handle h = HANDLE_NONE;
	struct crash_row *r;
	int count = 0;

	while ((r = table_next(&c->rows, &h)))
		count += r->death_count >= 2 && death_of(r, d);
	return count;
}

/*
 * Refuses a request seen at two deaths.  It is the cause for certain if at
 * one of them no other request had been seen at a death as well.
 */
static void row_judge(struct crash_list *c, struct crash_row *r, apr_time_t now)
{
	int i;

	for (i = 0; i < r->death_count && !r->is_certain; i++)
		if (death_suspects(c, &r->deaths[i]) == 1)
			r->is_certain = 1;
	refuse(r,
	       r->is_certain ? CRASH_QUARANTINE_US
			     : CRASH_QUARANTINE_UNCERTAIN_US,
	       now);
}

/* Judges the requests of new deaths, once all of these are noted. */
static void rows_judge(struct crash_list *c, apr_time_t now)
{
	struct handle h = HANDLE_NONE;
	struct crash_row *r;

	while ((r = table_next(&c->rows, &h))) {
		if (r->is_judged)
			continue;
		r->is_judged = 1;
		if (r->death_count >= 2)
			row_judge(c, r, now);
	}
}

/* Notes that an upstream died with these fingerprints in flight. */
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
		r = row_find(c, &fps[i], &h);
		if (!r)
			r = row_add(c, &fps[i], now);
		if (!r)
			continue;
		if (r->is_cleared)
			r->is_cleared = r->death_count = 0;
		r->is_judged &= !death_add(r, hash, boot, now);
	}
	rows_judge(c, now);
	table_unlock(&c->rows);
}

static void record_write(const struct crash_row *r, struct crash_record *out,
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
 * Writes the rows that the others do not know of, or all.  Returns how many;
 * the message is the caller's to free.
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
		if (row_past(r, now) || (r->is_published && !all))
			continue;
		record_write(r,
			     &m->records.records_val[m->records.records_len++],
			     now);
		if (!all)
			r->is_published = 1;
	}
	table_unlock(&c->rows);
	return (int)m->records.records_len;
}

/* Takes one record over.  Returns 1 if it told anything new. */
static int record_merge(struct crash_list *c, const struct crash_record *in,
			apr_time_t now)
{
	const struct crash_death *d;
	struct digest fp;
	struct crash_row *r;
	struct handle h;
	int news = 0, told;
	u_int i;

	memcpy(fp.bytes, in->fingerprint, sizeof(fp.bytes));
	r = row_find(c, &fp, &h);
	if (in->is_cleared) {
		if (!r || r->death_count != 1 || r->is_cleared ||
		    in->deaths.deaths_len != 1 ||
		    r->deaths[0].boot != in->deaths.deaths_val[0].boot)
			return 0;
		r->is_cleared = 1;
		return 1;
	}
	if (!r)
		r = row_add(c, &fp, now);
	if (!r)
		return 0;
	told = !r->death_count || r->is_published;
	for (i = 0; i < in->deaths.deaths_len; i++) {
		d = &in->deaths.deaths_val[i];
		if (r->is_cleared && r->deaths[0].boot == d->boot)
			continue;
		news |= death_add(r, d->upstream, d->boot,
				  now - (apr_time_t)d->age_ms * US_PER_MS);
	}
	if (in->is_certain && !r->is_certain) {
		r->is_certain = 1;
		news = 1;
	}
	if (news)
		r->is_judged = r->is_cleared = 0;
	r->is_published = told; /* whoever saw it tells all */
	if (in->refused_ms)
		refuse(r, (apr_interval_time_t)in->refused_ms * US_PER_MS, now);
	return news;
}

/* Takes over what another process knows.  Returns how much was new. */
int crash_merge(struct crash_list *c, const struct crash_message *m,
		apr_time_t now)
{
	int news = 0;
	u_int i;

	table_lock(&c->rows);
	for (i = 0; i < m->records.records_len; i++)
		news += record_merge(c, &m->records.records_val[i], now);
	rows_judge(c, now);
	table_unlock(&c->rows);
	return news;
}
