#ifndef FORWARD_RELEASE_H
#define FORWARD_RELEASE_H

#include <apr_time.h>
#include <stdint.h>

#include "config/document.h"

/*
 * Which releases of a model may still serve requests. Upstreams change to a
 * new release in turn; a fixed time after the release was declared, all older
 * ones are excluded. Several may be declared within that time.
 */

/* Models of a document with limits; those of further ones are not kept. */
#define RELEASE_MODELS_MAX 64
/* Declared releases of one model whose older ones may still serve. */
#define RELEASE_CHANGES_MAX 8

/*
 * Requests are no longer sent to older releases this long before these may no
 * longer begin them: a request that has less time at its upstream would hardly
 * complete there.
 */
#define RELEASE_SEND_MARGIN_US (1600 * 1000LL)

/*
 * The deadline that an upstream of an older release receives ends this long
 * before the limit, so that the upstream drops what it has not begun by itself.
 * The margin covers the time until the request is sent, the link, and a
 * declaration that this process learned of late.
 */
#define RELEASE_DEADLINE_MARGIN_US (1000 * 1000LL)

/*
 * Requests that have not begun are withdrawn from older releases this long
 * before the limit: those that were sent before the newer release was declared
 * have a deadline that does not know it.
 */
#define RELEASE_WITHDRAW_MARGIN_US (800 * 1000LL)

/*
 * Time from the start of the process to the limit of older releases when it is
 * not known when a release was declared, as in the first document without a
 * peer.
 */
#define RELEASE_STARTUP_LIMIT_US (3700 * 1000LL)

struct release_change {
	uint64_t release;
	apr_time_t learned_at;
	apr_time_t
		required_at; /* from then on no request begins on older ones */
};

struct release_row {
	char model[DOCUMENT_NAME_SIZE];
	struct release_change changes[RELEASE_CHANGES_MAX]; /* oldest first */
	int count;
};

struct releases {
	struct release_row rows[RELEASE_MODELS_MAX];
	int count;
	apr_time_t started_at; /* of this process */
};

void releases_apply_document(struct releases *r, const struct document *d,
			     int release_ms, apr_time_t now);
uint64_t release_find_min(const struct releases *r, const char *model,
			  apr_time_t at);
uint64_t release_find_send_min(const struct releases *r, const char *model,
			       apr_time_t now);
int release_must_withdraw(const struct releases *r, const char *model,
			  uint64_t sent_to, uint64_t runs_now, apr_time_t now);
int release_is_newest(const struct releases *r, const char *model,
		      uint64_t release);
apr_time_t release_find_expiry(const struct releases *r, const char *model,
			       uint64_t release);
apr_time_t release_limit_deadline(const struct releases *r, const char *model,
				  uint64_t release, apr_time_t deadline);

#endif
