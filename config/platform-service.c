#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "config/component.h"

/*
 * Reads values from a configuration service by long polling: the service
 * sends the complete text as soon as it has a version above the given one.
 */

/* Timeout of a call that the service must not hold. */
#define ANSWER_TIMEOUT_MS 2000

/* Added to the hold time of a call to obtain its timeout. */
#define HOLD_SLACK_MS 1500

#define URL_SIZE (SETTINGS_URL_SIZE + 64)

static const char *const value_paths[SPREAD_VALUE_COUNT] = { "/config",
							     "/instances" };

struct service_read {
	struct fetch fetch;
	struct platform_read *read;
	char url[URL_SIZE];
};

static void record_answer(struct fetch *f)
{
	struct service_read *x = f->arg;

	platform_read_record_answer(x->read);
}

static void finish_service_read(struct fetch *f)
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
	static const struct fetch_ops ops = { NULL, NULL, finish_service_read,
					      record_answer };
	struct service_read *x = calloc(1, sizeof(*x));

	if (!x)
		abort();
	x->read = r;
	snprintf(x->url, sizeof(x->url), "%s%s?after=%llu&wait=%d",
		 r->node->settings.platform_url, value_paths[r->value],
		 (unsigned long long)r->after_version, r->hold_ms / 1000);
	x->fetch.ops = &ops;
	x->fetch.arg = x;
	x->fetch.url = x->url;
	x->fetch.timeout_ms =
		r->hold_ms ? r->hold_ms + HOLD_SLACK_MS : ANSWER_TIMEOUT_MS;
	x->fetch.text_max = r->node->settings.text_max;
	fetch_submit(r->node->fetcher, &x->fetch);
}

const struct platform_ops platform_service_ops = { service_read, 0 };
