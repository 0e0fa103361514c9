#include "config/declared.h"

#include <stdlib.h>
#include <string.h>

static const struct model_spec *find_same_release(const struct document *d,
						  const struct model_spec *m)
{
	const struct model_spec *old =
		d ? document_find_model(d, m->name) : NULL;

	return old && old->release == m->release ? old : NULL;
}

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

/*
 * Copies the times of the releases that the old document, which may be NULL,
 * names as well.  Returns the number of the other releases.
 */
int document_copy_declared(struct document *d, const struct document *old)
{
	int i, count = 0;

	for (i = 0; i < d->model_count; i++) {
		struct model_spec *m = &d->models[i];
		const struct model_spec *same = find_same_release(old, m);

		if (same)
			m->declared_at = same->declared_at;
		else
			count += m->release != 0;
	}
	return count;
}

/*
 * Sets the times that are not known yet from a peer's ages.  The peer was asked
 * at asked_at; counting from then makes a time too early rather than too late.
 */
void document_set_ages(struct document *d, const config_ages_reply *rep,
		       apr_time_t asked_at)
{
	u_int i;
	int j;

	for (i = 0; i < rep->ages.ages_len; i++) {
		const config_release_age *a = &rep->ages.ages_val[i];

		for (j = 0; j < d->model_count; j++) {
			struct model_spec *m = &d->models[j];

			if (!m->declared_at && m->release == a->release &&
			    !strcmp(m->name, a->model))
				m->declared_at =
					asked_at - (apr_time_t)a->age_us;
		}
	}
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
	int i;

	for (i = 0; old && i < d->model_count; i++) {
		struct model_spec *m = &d->models[i];

		if (!m->declared_at && !find_same_release(old, m))
			m->declared_at = earliest_at;
	}
}

/* Fills in the ages of the releases that the document names. */
void document_fill_ages(const struct document *d, config_ages_reply *rep,
			apr_time_t now)
{
	u_int count = 0;
	int i;

	rep->ages.ages_val =
		calloc(CONFIG_MODELS_MAX, sizeof(*rep->ages.ages_val));
	if (!rep->ages.ages_val)
		abort();
	for (i = 0; i < d->model_count && count < CONFIG_MODELS_MAX; i++) {
		const struct model_spec *m = &d->models[i];
		config_release_age *a = &rep->ages.ages_val[count];

		if (!m->release || !m->declared_at)
			continue;
		a->model = strdup(m->name);
		if (!a->model)
			abort();
		a->release = m->release;
		a->age_us = (u_quad_t)(now - m->declared_at);
		count++;
	}
	rep->ages.ages_len = count;
}
