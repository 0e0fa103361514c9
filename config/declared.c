#include "config/declared.h"

#include <stdlib.h>
#include <string.h>

/*
 * A superseded release is told as long as the one after it is younger: longer
 * than any limit (release_ms of the settings).
 */
#define SUPERSEDED_AGE_MAX_US (3660 * APR_USEC_PER_SEC)

/* Told for a superseded release that was declared before anyone started. */
#define UNKNOWN_SUPERSEDED_AGE_US (24 * 3600 * APR_USEC_PER_SEC)

/*
 * Keeps the releases of the old document, which may be NULL, that are later
 * than those of the new one.  Releases only rise, but a document from an older
 * copy of the platform's store may name earlier ones.
 */
void document_keep_releases(struct document *d, const struct document *old)
{
	int i;

	for (i = 0; old && i < d->model_count; i++) {
		struct model_spec *m = &d->models[i];
		const struct model_spec *o = document_find_model(old, m->name);

		if (!o || o->release <= m->release)
			continue;
		m->release = o->release;
		memcpy(m->version, o->version, sizeof(m->version));
	}
}

/* Makes room for a superseded release; the earlier time of two stays. */
static void merge_two_oldest(struct model_spec *m)
{
	struct release_time *t = m->superseded;

	if (t[0].declared_at &&
	    (!t[1].declared_at || t[0].declared_at < t[1].declared_at))
		t[1].declared_at = t[0].declared_at;
	m->superseded_count--;
	memmove(&t[0], &t[1], (size_t)m->superseded_count * sizeof(*t));
}

/* Adds a superseded release in order; the first time of a release counts. */
static void add_superseded(struct model_spec *m, uint64_t release,
			   apr_time_t declared_at)
{
	struct release_time *t = m->superseded;
	int i;

	for (i = 0; i < m->superseded_count; i++)
		if (t[i].release == release)
			return;
	if (m->superseded_count == RELEASES_SUPERSEDED_MAX)
		merge_two_oldest(m);
	for (i = m->superseded_count; i > 0 && t[i - 1].release > release; i--)
		t[i] = t[i - 1];
	t[i].release = release;
	t[i].declared_at = declared_at;
	m->superseded_count++;
}

/*
 * Copies the times of the releases that the old document, which may be NULL,
 * names as well, and of those that it knows to be superseded.  Returns the
 * number of the other releases.
 */
int document_copy_declared(struct document *d, const struct document *old)
{
	int i, count = 0;

	for (i = 0; i < d->model_count; i++) {
		struct model_spec *m = &d->models[i];
		const struct model_spec *o =
			old ? document_find_model(old, m->name) : NULL;

		if (o) {
			memcpy(m->superseded, o->superseded,
			       sizeof(m->superseded));
			m->superseded_count = o->superseded_count;
		}
		if (o && o->release == m->release) {
			m->declared_at = o->declared_at;
			continue;
		}
		if (o && o->release)
			add_superseded(m, o->release, o->declared_at);
		count += m->release != 0;
	}
	return count;
}

/* Returns the newest superseded release, 0 if none is known. */
static uint64_t find_newest_superseded(const struct model_spec *m)
{
	return m->superseded_count
		       ? m->superseded[m->superseded_count - 1].release
		       : 0;
}

static int is_age_of(const config_release_age *a, const struct model_spec *m)
{
	return a->release <= m->release && !strcmp(m->name, a->model);
}

/*
 * Adds a release with an unknown time if the peer's ages leave out what came
 * after the release `known`, the last one that this process had seen.  A peer
 * that names this or an older one saw all releases since.
 */
static void add_unseen_release(struct model_spec *m,
			       const config_ages_reply *rep, uint64_t known)
{
	uint64_t next = 0;
	u_int i;

	for (i = 0; i < rep->ages.ages_len; i++) {
		const config_release_age *a = &rep->ages.ages_val[i];

		if (!is_age_of(a, m))
			continue;
		if (a->release <= known)
			return;
		if (!next || a->release < next)
			next = a->release;
	}
	if (next > known + 1)
		add_superseded(m, next - 1, 0);
}

/* Sets the times of a model that are not known yet from a peer's ages. */
static void set_model_ages(struct model_spec *m, const config_ages_reply *rep,
			   apr_time_t asked_at)
{
	uint64_t known = find_newest_superseded(m);
	u_int i;

	for (i = 0; i < rep->ages.ages_len; i++) {
		const config_release_age *a = &rep->ages.ages_val[i];
		apr_time_t declared_at = asked_at - (apr_time_t)a->age_us;

		if (!is_age_of(a, m))
			continue;
		if (a->release == m->release)
			m->declared_at = declared_at;
		else if (a->release > known)
			add_superseded(m, a->release, declared_at);
	}
	if (known)
		add_unseen_release(m, rep, known);
}

/*
 * Sets the times that are not known yet from a peer's ages.  The peer was asked
 * at asked_at; counting from then makes a time too early rather than too late.
 */
void document_set_ages(struct document *d, const config_ages_reply *rep,
		       apr_time_t asked_at)
{
	int i;

	for (i = 0; i < d->model_count; i++)
		if (!d->models[i].declared_at)
			set_model_ages(&d->models[i], rep, asked_at);
}

/*
 * Returns when a release is taken to have been declared of which only the
 * earliest possible time is known, 0 if not even that.  After an outage of the
 * platform for all processes that time may be long past; older releases are
 * still allowed for DECLARED_UNKNOWN_LEFT_US then, so that new ones can be loaded.
 */
apr_time_t document_bound_unknown(apr_time_t earliest_at, int release_ms,
				  apr_time_t now)
{
	apr_time_t bound = now - release_ms * 1000LL + DECLARED_UNKNOWN_LEFT_US;

	return earliest_at && earliest_at < bound && bound < now ? bound
								 : earliest_at;
}

/*
 * Sets the times that no peer told: a release that the old document does not
 * name was declared at earliest_at or later.  Without an old document the times
 * stay unknown.
 */
void document_set_unknown_declared(struct document *d,
				   const struct document *old,
				   apr_time_t earliest_at)
{
	int i, j;

	for (i = 0; old && i < d->model_count; i++) {
		struct model_spec *m = &d->models[i];
		const struct model_spec *o = document_find_model(old, m->name);

		if (!m->declared_at && (!o || o->release != m->release))
			m->declared_at = earliest_at;
		for (j = 0; o && j < m->superseded_count; j++) {
			struct release_time *t = &m->superseded[j];

			if (!t->declared_at && t->release > o->release)
				t->declared_at = earliest_at;
		}
	}
}

static void add_age(config_ages_reply *rep, const char *model, uint64_t release,
		    apr_interval_time_t age)
{
	config_release_age *a = &rep->ages.ages_val[rep->ages.ages_len];

	if (rep->ages.ages_len == CONFIG_MODELS_MAX)
		return;
	a->model = strdup(model);
	if (!a->model)
		abort();
	a->release = release;
	a->age_us = (u_quad_t)age;
	rep->ages.ages_len++;
}

/* Adds the age of a model's release that `back` others superseded. */
static void add_superseded_age(config_ages_reply *rep,
			       const struct model_spec *m, int back,
			       apr_time_t now)
{
	int i = m->superseded_count - back;
	const struct release_time *t = &m->superseded[i];
	apr_time_t next_at =
		i + 1 < m->superseded_count ? t[1].declared_at : m->declared_at;

	if (next_at && now - next_at < SUPERSEDED_AGE_MAX_US)
		add_age(rep, m->name, t->release,
			t->declared_at ? now - t->declared_at
				       : UNKNOWN_SUPERSEDED_AGE_US);
}

/*
 * Fills in the ages of the releases that the document names, then, as far as
 * the reply holds them, those of the releases that they superseded, the latest
 * of each model first.
 */
void document_fill_ages(const struct document *d, config_ages_reply *rep,
			apr_time_t now)
{
	int i, back;

	rep->ages.ages_len = 0;
	rep->ages.ages_val =
		calloc(CONFIG_MODELS_MAX, sizeof(*rep->ages.ages_val));
	if (!rep->ages.ages_val)
		abort();
	for (i = 0; i < d->model_count; i++) {
		const struct model_spec *m = &d->models[i];

		if (m->release && m->declared_at)
			add_age(rep, m->name, m->release, now - m->declared_at);
	}
	for (back = 1; back <= RELEASES_SUPERSEDED_MAX; back++)
		for (i = 0; i < d->model_count; i++)
			if (back <= d->models[i].superseded_count)
				add_superseded_age(rep, &d->models[i], back,
						   now);
}
