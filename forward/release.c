#include "forward/release.h"

#include <stdio.h>
#include <string.h>

static struct release_row *find_or_add_row(struct releases *r,
					   const char *model)
{
	struct release_row *row;
	int i;

	for (i = 0; i < r->count; i++)
		if (!strcmp(r->rows[i].model, model))
			return &r->rows[i];
	if (r->count == RELEASE_MODELS_MAX)
		return NULL;
	row = &r->rows[r->count++];
	memset(row, 0, sizeof(*row));
	snprintf(row->model, sizeof(row->model), "%s", model);
	return row;
}

static void add_change(struct release_row *row, uint64_t release,
		       apr_time_t required_at)
{
	if (row->count && row->changes[row->count - 1].release >= release)
		return;
	if (row->count == RELEASE_CHANGES_MAX) {
		/*
		 * Drop the change that is due first; the next one supersedes
		 * it.
		 */
		memmove(&row->changes[0], &row->changes[1],
			(RELEASE_CHANGES_MAX - 1) * sizeof(row->changes[0]));
		row->count--;
	}
	row->changes[row->count].release = release;
	row->changes[row->count].required_at = required_at;
	row->count++;
}

/* Applies the models of the document that became current at `now`. */
void releases_apply_document(struct releases *r, const struct document *d,
			     int release_ms, apr_time_t now)
{
	int i, grace_ms = release_ms - RELEASE_MARGIN_MS;

	if (!r->has_document && grace_ms > RELEASE_STARTUP_GRACE_MAX_MS)
		grace_ms = RELEASE_STARTUP_GRACE_MAX_MS;
	r->has_document = 1;
	for (i = 0; i < d->model_count; i++) {
		struct release_row *row = find_or_add_row(r, d->models[i].name);

		if (row)
			add_change(row, d->models[i].release,
				   now + (grace_ms > 0 ? grace_ms : 0) *
						   1000LL);
	}
}

/* Returns the oldest release of a model that may serve now, 0 for any. */
uint64_t release_find_min(const struct releases *r, const char *model,
			  apr_time_t now)
{
	uint64_t release_min = 0;
	int i, j;

	for (i = 0; i < r->count; i++) {
		const struct release_row *row = &r->rows[i];

		if (strcmp(row->model, model))
			continue;
		for (j = 0; j < row->count; j++)
			if (now >= row->changes[j].required_at)
				release_min = row->changes[j].release;
	}
	return release_min;
}
