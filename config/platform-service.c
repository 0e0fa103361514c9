#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "config/component.h"

/*
 * Reads values from a configuration service: a held call answers with the
 * whole text as soon as there is a version above the one named.
 */

#define ANSWER_MS 2000 /* timeout of a call that isn't held */
#define HOLD_SLACK_MS 1500
#define URL_SIZE (SETTINGS_URL_SIZE + 64)

static const char *const paths[SPREAD_VALUE_COUNT] = { "/config",
						       "/instances" };

struct service_read {
	struct fetch fetch;
	struct platform_read *read;
	char url[URL_SIZE];
};

static void read_done(struct fetch *f)
{
	struct service_read *x = f->arg;
	struct platform_read *r = x->read;
	enum platform_answer answer = PLATFORM_FAILED;
	char *text = f->text;
	size_t size = f->text_size;

	if (!f->error.code && f->status == 200 && text)
		answer = PLATFORM_TEXT;
	else if (!f->error.code && (f->status == 304 || f->status == 404))
		answer = PLATFORM_UNCHANGED;
	free(x);
	platform_read_finish(r, answer, text, size);
}

static void service_read(struct platform_read *r)
{
	static const struct fetch_ops ops = { NULL, NULL, read_done };
	struct service_read *x = calloc(1, sizeof(*x));

	if (!x)
		abort();
	x->read = r;
	snprintf(x->url, sizeof(x->url), "%s%s?after=%llu&wait=%d",
		 r->node->settings.platform_url, paths[r->value],
		 (unsigned long long)r->after_version, r->hold_s);
	x->fetch.ops = &ops;
	x->fetch.arg = x;
	x->fetch.url = x->url;
	x->fetch.timeout_ms =
		r->hold_s ? r->hold_s * 1000 + HOLD_SLACK_MS : ANSWER_MS;
	fetch_submit(r->node->fetcher, &x->fetch);
}

const struct platform_ops platform_service_ops = { service_read };
