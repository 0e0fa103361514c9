#include "forward/release.h"

#include <stdio.h>
#include <string.h>

/* Returns a row for a new model: a free one, or that of a model now gone. */
static struct release_row *take_row(struct releases *r,
				    const struct document *d)
{
	int i;

	if (r->count < RELEASE_MODELS_MAX)
		return &r->rows[r->count++];
	for (i = 0; i < r->count; i++)
		if (!document_find_model(d, r->rows[i].model))
			return &r->rows[i];
	return NULL;
}

static struct release_row *
find_or_add_row(struct releases *r, const struct document *d, const char *model)
{
	struct release_row *row;
	int i;

	for (i = 0; i < r->count; i++)
		if (!strcmp(r->rows[i].model, model))
			return &r->rows[i];
	row = take_row(r, d);
	if (!row)
		return NULL;
	memset(row, 0, sizeof(*row));
	snprintf(row->model, sizeof(row->model), "%s", model);
	return row;
}

/*
 * Makes room for a change: merges two neighbours whose limits still to come
 * differ least. The earlier limit stays, so that no release is allowed for
 * longer.
 */
static void merge_two_changes(struct release_row *row, apr_time_t now)
{
	struct release_change *c = row->changes;
	apr_interval_time_t least = 0;
	int at = 0, i;

	for (i = 0; i + 1 < row->count; i++) {
		apr_time_t first = c[i].required_at;
		apr_time_t next = c[i + 1].required_at;
		apr_interval_time_t cost =
			(next > now ? next : now) - (first > now ? first : now);

		if (!i || cost < least) {
			least = cost;
			at = i;
		}
	}
	if (c[at + 1].required_at > c[at].required_at)
		c[at + 1].required_at = c[at].required_at;
	row->count--;
	memmove(&c[at], &c[at + 1], (size_t)(row->count - at) * sizeof(c[at]));
}

/* Adds a release, or applies an earlier limit to one that is known. */
static void add_change(struct release_row *row, uint64_t release,
		       apr_time_t now, apr_time_t required_at)
{
	struct release_change *c;
	int i;

	for (i = 0; i < row->count; i++) {
		c = &row->changes[i];
		if (c->release != release)
			continue;
		if (required_at < c->required_at)
			c->required_at = required_at;
		return;
	}
	if (row->count == RELEASE_CHANGES_MAX)
		merge_two_changes(row, now);
	for (i = row->count; i > 0 && row->changes[i - 1].release > release;
	     i--)
		row->changes[i] = row->changes[i - 1];
	c = &row->changes[i];
	c->release = release;
	c->learned_at = now;
	c->required_at = required_at;
	row->count++;
}

/*
 * Returns the time from which no request begins on releases before one that was
 * declared at declared_at, 0 if not known.
 */
static apr_time_t compute_required_at(const struct releases *r,
				      apr_time_t declared_at,
				      apr_interval_time_t grace, apr_time_t now)
{
	if (declared_at)
		return declared_at + grace;
	if (now + grace < r->started_at + RELEASE_STARTUP_LIMIT_US)
		return now + grace;
	return r->started_at + RELEASE_STARTUP_LIMIT_US;
}

/*
 * Applies the models of the document that became current at `now`. Older
 * releases may begin requests for release_ms after the declaration.
 */
void releases_apply_document(struct releases *r, const struct document *d,
			     int release_ms, apr_time_t now)
{
	apr_interval_time_t grace = release_ms * 1000LL;
	int i, j;

	for (i = 0; i < d->model_count; i++) {
		const struct model_spec *m = &d->models[i];
		struct release_row *row = find_or_add_row(r, d, m->name);

		for (j = 0; row && j < m->superseded_count; j++) {
			const struct release_time *t = &m->superseded[j];

			add_change(row, t->release, now,
				   compute_required_at(r, t->declared_at, grace,
						       now));
		}
		if (row)
			add_change(row, m->release, now,
				   compute_required_at(r, m->declared_at, grace,
						       now));
	}
}

/*
 * Returns the row of a model, or NULL. A request that names no model is for the
 * only one that there is.
 */
static const struct release_row *find_row(const struct releases *r,
					  const char *model)
{
	int i;

	if (!*model && r->count == 1)
		return &r->rows[0];

	for (i = 0; i < r->count; i++)
		if (!strcmp(r->rows[i].model, model))
			return &r->rows[i];
	return NULL;
}

/*
 * Returns the oldest release of a model on which a request may begin at the
 * time `at`, 0 for any.
 */
uint64_t release_find_min(const struct releases *r, const char *model,
			  apr_time_t at)
{
	const struct release_row *row = find_row(r, model);
	uint64_t release_min = 0;
	int i;

	for (i = 0; row && i < row->count; i++)
		if (at >= row->changes[i].required_at)
			release_min = row->changes[i].release;
	return release_min;
}

/*
 * Returns the oldest release of a model to which a request may be sent now, 0
 * for any.
 */
uint64_t release_find_send_min(const struct releases *r, const char *model,
			       apr_time_t now)
{
	return release_find_min(r, model, now + RELEASE_SEND_MARGIN_US);
}

/*
 * Returns 1 for a request that has not begun and must be withdrawn from its
 * upstream. sent_to is the upstream's release when the request was sent, 0 if
 * not known; runs_now its present one, 0 while it runs none. An upstream that
 * loads a release runs none, and may load one that expires as well.
 */
int release_must_withdraw(const struct releases *r, const char *model,
			  uint64_t sent_to, uint64_t runs_now, apr_time_t now)
{
	uint64_t release = runs_now ? runs_now : sent_to;

	return release &&
	       release < release_find_min(r, model,
					  now + RELEASE_WITHDRAW_MARGIN_US);
}

/*
 * Returns the time from which no request may begin on a release of a model, 0
 * when no newer release is known.
 */
apr_time_t release_find_expiry(const struct releases *r, const char *model,
			       uint64_t release)
{
	const struct release_row *row = find_row(r, model);
	apr_time_t expiry = 0;
	int i;

	for (i = 0; row && i < row->count; i++) {
		const struct release_change *c = &row->changes[i];

		if (c->release > release &&
		    (!expiry || c->required_at < expiry))
			expiry = c->required_at;
	}
	return expiry;
}

/*
 * Returns 1 for a release of a declared model to which no newer one is known.
 */
int release_is_newest(const struct releases *r, const char *model,
		      uint64_t release)
{
	return release && find_row(r, model) &&
	       !release_find_expiry(r, model, release);
}

/*
 * Returns the time until which an upstream that runs the release may work on a
 * request whose own deadline is given: no request begins on an expired release
 * then, even if this process acts late or the upstream keeps a request whose
 * connection was closed. What began before is ended as well.
 */
apr_time_t release_limit_deadline(const struct releases *r, const char *model,
				  uint64_t release, apr_time_t deadline)
{
	apr_time_t expiry =
		release ? release_find_expiry(r, model, release) : 0;

	if (!expiry || deadline <= expiry - RELEASE_DEADLINE_MARGIN_US)
		return deadline;
	return expiry - RELEASE_DEADLINE_MARGIN_US;
}
