#include <stdlib.h>
#include <string.h>

#include "calls/crash-table.h"

/*
 * Finds the items that crash upstreams.  An upstream dies with all that is in
 * flight there, nearly all of it sound.  An item is to blame if it was in
 * flight at several deaths one after another, if no sound answer came since,
 * and if no other item explains these deaths as well.
 *
 * Deaths that an item already blamed explains say nothing about the others.
 * The functions read no clock and do no I/O.
 */

/* Which deaths of a row count. */
enum death_filter {
	DEATHS_ALL = 0,
	DEATHS_UNEXPLAINED = 1,
	DEATHS_SETTLED = 2, /* other entries' items have arrived */
	DEATHS_DISTINCT = 4 /* of requests that were not counted */
};

static int does_death_count(const struct crash_row *r, int i, int filter,
			    apr_time_t now)
{
	const struct crash_seen_death *d = &r->deaths[i];

	if (now - d->died_at > CRASH_SUSPICION_US)
		return 0;
	if ((filter & DEATHS_UNEXPLAINED) && d->is_explained)
		return 0;
	return !(filter & DEATHS_SETTLED) ||
	       now - d->learned_at >=
		       (r->sound ? CRASH_SETTLE_SOUND_US : CRASH_SETTLE_US);
}

static int count_deaths(const struct crash_row *r, int filter, apr_time_t now)
{
	int i, count = 0;

	for (i = 0; i < r->death_count; i++)
		count += does_death_count(r, i, filter, now);
	return count;
}

static int has_request(const struct crash_seen_death *const *deaths, int count,
		       uint64_t request)
{
	int i;

	for (i = 0; i < count; i++)
		if (deaths[i]->request == request)
			return 1;
	return 0;
}

/*
 * Counts the deaths one after another: those whose runs were all sent before
 * the death counted last are left out.  Upstreams that die together, as by a
 * loss of power, count once.
 */
static int count_serial(const struct crash_row *r, int filter, apr_time_t now)
{
	const struct crash_seen_death *sorted[CRASH_DEATHS_MAX], *d;
	const struct crash_seen_death *counted[CRASH_DEATHS_MAX];
	apr_time_t last = 0;
	int i, j, n = 0, count = 0;

	for (i = 0; i < r->death_count; i++) {
		d = &r->deaths[i];
		if (!does_death_count(r, i, filter, now))
			continue;
		for (j = n++; j && sorted[j - 1]->died_at > d->died_at; j--)
			sorted[j] = sorted[j - 1];
		sorted[j] = d;
	}
	for (i = 0; i < n; i++) {
		if (count && sorted[i]->died_at - sorted[i]->run < last)
			continue;
		if ((filter & DEATHS_DISTINCT) && sorted[i]->request &&
		    has_request(counted, count, sorted[i]->request))
			continue;
		last = sorted[i]->died_at;
		counted[count++] = sorted[i];
	}
	return count;
}

/*
 * Returns 1 if an item may be the cause of deaths that nothing explains yet.
 * For one that had sound answers only settled deaths count: others may have had
 * more of them since.
 */
int crash_is_suspect(const struct crash_row *r, apr_time_t now)
{
	int filter = DEATHS_UNEXPLAINED | (r->sound ? DEATHS_SETTLED : 0);

	return !crash_is_blamed(r) && r->death_count >= CRASH_SUSPECT_MIN &&
	       count_serial(r, filter, now) >= CRASH_SUSPECT_MIN;
}

static int is_same_death(const struct crash_seen_death *a,
			 const struct crash_seen_death *b)
{
	return a->upstream == b->upstream && a->boot == b->boot;
}

static int count_shared(const struct crash_row *a, const struct crash_row *b,
			apr_time_t now)
{
	int i, j, count = 0;

	for (i = 0; i < a->death_count; i++) {
		if (!does_death_count(a, i, DEATHS_UNEXPLAINED, now))
			continue;
		for (j = 0; j < b->death_count; j++)
			count += is_same_death(&a->deaths[i], &b->deaths[j]);
	}
	return count;
}

static uint64_t death_id(const struct crash_seen_death *d)
{
	uint64_t pair[2] = { d->upstream, d->boot };

	return place_hash(pair, sizeof(pair), 0);
}

static int compare_ids(const void *a, const void *b)
{
	uint64_t x = *(const uint64_t *)a, y = *(const uint64_t *)b;

	return x < y ? -1 : x > y;
}

/* Marks the deaths of all rows that a blamed item explains. */
static void mark_explained(struct crash_row *const *rows, int count)
{
	uint64_t *ids, id;
	struct crash_row *r;
	size_t n = 0;
	int i, j, blamed = 0;

	for (i = 0; i < count; i++)
		blamed += crash_is_blamed(rows[i]);
	if (!blamed)
		return;
	ids = calloc((size_t)blamed * CRASH_DEATHS_MAX, sizeof(*ids));
	if (!ids)
		abort();
	for (i = 0; i < count; i++)
		for (j = 0;
		     crash_is_blamed(rows[i]) && j < rows[i]->death_count; j++)
			ids[n++] = death_id(&rows[i]->deaths[j]);
	qsort(ids, n, sizeof(*ids), compare_ids);
	for (i = 0; i < count; i++) {
		r = rows[i];
		for (j = 0; j < r->death_count; j++) {
			id = death_id(&r->deaths[j]);
			if (!r->deaths[j].is_explained &&
			    bsearch(&id, ids, n, sizeof(*ids), compare_ids))
				r->deaths[j].is_explained = 1;
		}
	}
	free(ids);
}

/* Marks the deaths that this row explains as well. */
static void mark_explained_by(struct crash_row *const *rows, int count,
			      const struct crash_row *by)
{
	int i, j, k;

	for (i = 0; i < count; i++)
		for (j = 0; j < rows[i]->death_count; j++)
			for (k = 0; k < by->death_count; k++)
				if (is_same_death(&rows[i]->deaths[j],
						  &by->deaths[k]))
					rows[i]->deaths[j].is_explained = 1;
}

/*
 * Returns 1 if the row was in enough deaths to be the cause.  Deaths of a part
 * that one request brought, sent again after each, speak of that request.
 */
static int can_be_cause(const struct crash_row *r, apr_time_t now)
{
	int filter = DEATHS_SETTLED | DEATHS_UNEXPLAINED;

	int min = r->sound ? CRASH_SERIAL_SOUND_MIN : CRASH_SERIAL_MIN;

	if (crash_is_blamed(r) || r->death_count < min)
		return 0;
	if (r->place)
		filter |= DEATHS_DISTINCT;
	return count_serial(r, filter, now) >= min;
}

struct candidate {
	struct crash_row *row;
	int settled; /* unexplained deaths */
	int all;     /* also those that are not settled */
	int is_certain;
};

/*
 * Orders candidates: certain ones first, then those with the most deaths.  Among
 * equal ones those that never had a sound answer come first, then the narrowest:
 * the request, then its last parts.
 */
static int compare_candidates(const void *a, const void *b)
{
	const struct candidate *x = a, *y = b;

	if (x->is_certain != y->is_certain)
		return y->is_certain - x->is_certain;
	if (x->all != y->all)
		return y->all - x->all;
	if (!x->row->sound != !y->row->sound)
		return !y->row->sound - !x->row->sound;
	if (!x->row->place != !y->row->place)
		return !y->row->place - !x->row->place;
	if (x->row->place != y->row->place)
		return y->row->place - x->row->place;
	return memcmp(x->row->key, y->row->key, sizeof(x->row->key));
}

/*
 * Returns 1 if another item may as well be the cause: it was in as many deaths
 * and shares them, or shares one and was in more.  Two that share one death
 * only may both be a cause.  A part doesn't rival a request unless it was in
 * enough deaths itself.  An item that had sound answers once yields to one that
 * never had, also if the latter lacks a death whose news may be under way.
 */
static int has_rival(struct crash_row *const *rows, int count,
		     const struct candidate *of, apr_time_t now)
{
	struct crash_row *r;
	int i, deaths, shared, yields;

	for (i = 0; i < count; i++) {
		r = rows[i];
		if (r == of->row || crash_is_blamed(r))
			continue;
		if (!of->row->place && r->place && !can_be_cause(r, now))
			continue;
		yields = of->row->sound && !r->sound;
		if (!yields && of->settled >= CRASH_CERTAIN_MIN)
			continue;
		deaths = count_deaths(r, DEATHS_UNEXPLAINED, now) + yields;
		if (deaths < of->settled)
			continue;
		shared = count_shared(of->row, r, now);
		if (shared > 1 || (shared && deaths > of->settled))
			return 1;
	}
	return 0;
}

/* Returns 1 if the row never had a sound answer and was in too many deaths. */
static int is_certain(const struct crash_row *r, apr_time_t now)
{
	return !crash_is_blamed(r) && !r->sound &&
	       count_deaths(r, DEATHS_SETTLED, now) >= CRASH_CERTAIN_MIN &&
	       count_serial(r, DEATHS_SETTLED | DEATHS_UNEXPLAINED, now) >=
		       CRASH_CERTAIN_SERIAL_MIN;
}

/*
 * Lists the rows that may be the cause, the most likely one first.  Returns
 * their number.
 */
static int list_candidates(struct crash_row *const *rows, int count,
			   apr_time_t now, struct candidate *out)
{
	int i, n = 0;

	for (i = 0; i < count; i++) {
		if (!can_be_cause(rows[i], now) && !is_certain(rows[i], now))
			continue;
		out[n].row = rows[i];
		out[n].settled = count_deaths(
			rows[i], DEATHS_SETTLED | DEATHS_UNEXPLAINED, now);
		out[n].all = count_deaths(rows[i], DEATHS_UNEXPLAINED, now);
		out[n].is_certain = is_certain(rows[i], now);
		n++;
	}
	qsort(out, n, sizeof(*out), compare_candidates);
	return n;
}

/*
 * Finds the rows to blame as of now, each with the deaths that those before it
 * leave unexplained, and marks explained deaths.  rows are all rows; out has
 * room for as many.  Returns the number of rows to blame.
 */
int crash_infer(struct crash_row *const *rows, int count, apr_time_t now,
		struct crash_row **out)
{
	struct candidate *list;
	int i, n, found = 0, again = 1;

	if (!count)
		return 0;
	list = calloc(count, sizeof(*list));
	if (!list)
		abort();
	mark_explained(rows, count);
	while (again) {
		again = 0;
		n = list_candidates(rows, count, now, list);
		for (i = 0; i < n && !again; i++) {
			if (!list[i].is_certain &&
			    has_rival(rows, count, &list[i], now))
				continue;
			out[found++] = list[i].row;
			mark_explained_by(rows, count, list[i].row);
			again = 1;
		}
	}
	free(list);
	return found;
}
