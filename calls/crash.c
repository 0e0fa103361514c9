#include "calls/crash.h"

#include <stdlib.h>
#include <string.h>

#define CRASH_SUSPECTS_MAX 512
#define CRASH_KEEP_US (600 * APR_USEC_PER_SEC)
#define CRASH_REFUSE_US (60 * APR_USEC_PER_SEC)

struct crash_row {
	struct digest fp;
	char upstream[2][64]; /* where it was in flight at a death */
	uint64_t boot[2];
	int deaths;
	apr_time_t last; /* death */
	int inside;	 /* in flight at this gate */
};

struct crash_list {
	struct table rows; /* rank RANK_CRASH */
};

/* Makes the list of this process. */
int crash_start(struct node *n, struct crash_list **out, struct error *err)
{
	struct crash_list *c = calloc(1, sizeof(*c));

	if (!c)
		return error_set(err, ERROR_INTERNAL, "crash-start", NULL,
				 "no memory");
	table_init(&c->rows, "crash suspects", RANK_CRASH,
		   sizeof(struct crash_row), CRASH_SUSPECTS_MAX);
	*out = c;
	return 0;
}

/* The fingerprint of a request: the same bytes by the same account. */
void crash_fingerprint(const char *account, const char *path, const void *body,
		       size_t size, struct digest *out)
{
	struct digest parts[3];

	digest_of(account, strlen(account), &parts[0]);
	digest_of(path, strlen(path), &parts[1]);
	digest_of(body, size, &parts[2]);
	digest_of(parts, sizeof(parts), out);
}

/*
 * Chooses the two upstreams at which a fingerprint may run, as indexes into
 * upstreams; -1 where there are too few.  All entries must pass the names
 * of all upstreams that serve the model in the data center, the dead ones
 * of the last seconds included, so that a death does not widen the choice.
 */
void crash_pair(const struct digest *fp, const char *const *upstreams,
		int count, int pair[2])
{
	uint64_t seed, hash, best[2] = { 0, 0 };
	int i;

	memcpy(&seed, fp->bytes, sizeof(seed));
	pair[0] = pair[1] = -1;
	for (i = 0; i < count; i++) {
		hash = place_hash_string(upstreams[i], seed);
		if (pair[0] < 0 || hash > best[0]) {
			pair[1] = pair[0];
			best[1] = best[0];
			pair[0] = i;
			best[0] = hash;
		} else if (pair[1] < 0 || hash > best[1]) {
			pair[1] = i;
			best[1] = hash;
		}
	}
}

static struct crash_row *row_find(struct crash_list *c, const struct digest *fp)
{
	struct handle h = HANDLE_NONE;
	struct crash_row *r;

	while ((r = table_next(&c->rows, &h)))
		if (digest_equal(&r->fp, fp))
			return r;
	return NULL;
}

static int row_refused(const struct crash_row *r, apr_time_t now,
		       int *retry_after_s)
{
	apr_time_t left = r->last + CRASH_REFUSE_US - now;

	if (r->deaths < 2 || left <= 0)
		return 0;
	if (retry_after_s)
		*retry_after_s = (int)(left / APR_USEC_PER_SEC) + 1;
	return 1;
}

/* Says what is known of a fingerprint. */
enum crash_verdict crash_verdict(struct crash_list *c, const struct digest *fp,
				 apr_time_t now, int *retry_after_s)
{
	enum crash_verdict verdict = CRASH_CLEAR;
	struct crash_row *r;

	table_lock(&c->rows);
	r = row_find(c, fp);
	if (r && row_refused(r, now, retry_after_s))
		verdict = CRASH_QUARANTINED;
	else if (r && now - r->last < CRASH_KEEP_US)
		verdict = CRASH_SUSPECT;
	table_unlock(&c->rows);
	return verdict;
}

/* Returns 1 if the request must be refused, not run. */
int crash_quarantined(struct crash_list *c, const struct digest *fp,
		      apr_time_t now, int *retry_after_s)
{
	return crash_verdict(c, fp, now, retry_after_s) == CRASH_QUARANTINED;
}

/*
 * Asks to run a request at an upstream: at a gate before it hands over, at
 * an entry before it chooses.  Returns 1 if it may, 0 if it is refused.
 */
int crash_enter(struct crash_list *c, const struct digest *fp,
		const char *upstream, apr_time_t now, int *retry_after_s)
{
	struct crash_row *r;
	int allowed = 1;

	table_lock(&c->rows);
	r = row_find(c, fp);
	if (r && row_refused(r, now, retry_after_s)) {
		allowed = 0;
	} else if (r && (r->inside || !strcmp(r->upstream[0], upstream))) {
		allowed = 0;
		if (retry_after_s)
			*retry_after_s = 1;
	} else if (r) {
		r->inside++;
	}
	table_unlock(&c->rows);
	return allowed;
}

/* Ends what crash_enter allowed; finished: the upstream lived through it. */
void crash_leave(struct crash_list *c, const struct digest *fp,
		 const char *upstream, int finished, apr_time_t now)
{
	struct crash_row *r;

	(void)upstream;
	(void)now;
	table_lock(&c->rows);
	r = row_find(c, fp);
	if (r && r->inside)
		r->inside--;
	if (r && finished)
		r->deaths = 0;
	table_unlock(&c->rows);
}

/* Notes that an upstream died with these fingerprints in flight. */
void crash_seen(struct crash_list *c, const char *upstream, uint64_t boot,
		const struct digest *fps, int count, apr_time_t now)
{
	struct crash_row row, *r;
	int i;

	table_lock(&c->rows);
	for (i = 0; i < count; i++) {
		r = row_find(c, &fps[i]);
		if (!r) {
			memset(&row, 0, sizeof(row));
			row.fp = fps[i];
			r = table_get(&c->rows, table_add(&c->rows, &row));
		}
		if (!r || (r->deaths && r->boot[0] == boot))
			continue;
		if (r->deaths < 2) {
			strncpy(r->upstream[r->deaths], upstream, 63);
			r->boot[r->deaths++] = boot;
		}
		r->last = now;
	}
	table_unlock(&c->rows);
}
