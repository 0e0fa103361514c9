#include <stdlib.h>
#include <string.h>

#include "calls/crash-table.h"

/* Messages of the rows that others are told of. */

#define US_PER_MS 1000

static u_int to_ms(apr_interval_time_t t)
{
	apr_interval_time_t ms = t / US_PER_MS;

	if (ms < 0)
		return 0;
	return ms > UINT32_MAX ? UINT32_MAX : (u_int)ms;
}

static void write_death(const struct crash_seen_death *d,
			struct crash_death *out, apr_time_t now)
{
	out->upstream = d->upstream;
	out->boot = d->boot;
	out->age_ms = to_ms(now - d->died_at);
	out->run_ms = to_ms(d->run);
	out->request = d->request;
}

static void write_record(const struct crash_row *r, struct crash_record *out,
			 apr_time_t now)
{
	apr_time_t last = crash_last_death(r);
	int i;

	memcpy(out->key, r->key, sizeof(r->key));
	out->deaths.deaths_val =
		calloc(r->death_count + 1, sizeof(struct crash_death));
	if (!out->deaths.deaths_val)
		abort();
	out->deaths.deaths_len = r->death_count;
	for (i = 0; i < r->death_count; i++)
		write_death(&r->deaths[i], &out->deaths.deaths_val[i], now);
	if (now < r->refused_until)
		out->refused_ms = to_ms(r->refused_until - now);
	out->is_certain = r->is_certain;
	out->is_cleared = r->is_cleared;
	out->place = r->place;
	out->account = r->account;
	out->turns = r->turns;
	out->failed_trials = r->failed_trials;
	out->sound = r->sound;
	out->sound_ms = to_ms(now - r->sound_at);
	out->idle_ms =
		to_ms(now - (r->refused_at > last ? r->refused_at : last));
}

static void init_message(struct crash_message *m)
{
	memset(m, 0, sizeof(*m));
	m->records.records_val =
		calloc(CRASH_RECORDS_MAX, sizeof(struct crash_record));
	if (!m->records.records_val)
		abort();
}

static void write_row(struct crash_message *m, const struct crash_row *r,
		      apr_time_t now)
{
	write_record(r, &m->records.records_val[m->records.records_len++], now);
}

static int has_weight(const struct crash_row *r)
{
	return r->turns || r->death_count > 1;
}

/*
 * Writes the rows that changed since they were last published, or with all the
 * whole table, up to CRASH_RECORDS_MAX; first those that have been judged or
 * may be soon.  Returns the number of records.  The caller frees the message
 * with xdr_free.
 */
int crash_collect_updates(struct crash_list *c, struct crash_message *m,
			  int all, apr_time_t now)
{
	struct crash_row *r;
	struct handle h;
	int weight;

	init_message(m);
	table_lock(&c->rows);
	for (weight = 1; weight >= 0; weight--) {
		h = HANDLE_NONE;
		while ((r = table_next(&c->rows, &h)) &&
		       m->records.records_len < CRASH_RECORDS_MAX) {
			if (has_weight(r) != weight ||
			    c->rules->is_expired(r, now) ||
			    (!r->rounds_left && !all))
				continue;
			write_row(m, r, now);
			if (!all)
				r->rounds_left--;
		}
	}
	table_unlock(&c->rows);
	return (int)m->records.records_len;
}

/*
 * Writes a page of the table: all rows that were judged, and then others from
 * where the page before ended.  The caller frees the message with xdr_free.
 */
void crash_collect_page(struct crash_list *c, struct crash_message *m,
			apr_time_t now)
{
	struct handle h = HANDLE_NONE;
	struct crash_row *r;
	uint32_t left;

	init_message(m);
	table_lock(&c->rows);
	while ((r = table_next(&c->rows, &h)) &&
	       m->records.records_len < CRASH_RECORDS_MAX)
		if (r->turns && !c->rules->is_expired(r, now))
			write_row(m, r, now);
	h = HANDLE_NONE;
	h.index = c->cursor;
	left = c->rows.count;
	while (left-- && m->records.records_len < CRASH_RECORDS_MAX) {
		r = table_next(&c->rows, &h);
		if (!r) {
			h = HANDLE_NONE;
			r = table_next(&c->rows, &h);
		}
		if (r && !r->turns && r->death_count &&
		    !c->rules->is_expired(r, now))
			write_row(m, r, now);
	}
	c->cursor = h.index;
	table_unlock(&c->rows);
}
