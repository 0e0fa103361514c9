#include "t/helper/lib-unwired.h"

#include <stdio.h>
#include <string.h>

#include "calls/problem.h"

static apr_time_t time_now;

void unwired_set_time(apr_time_t now)
{
	time_now = now;
}

/* Of the request that is blamed, NULL: none. */
static const struct crash_items *blamed;

void unwired_blame(const struct crash_items *s)
{
	blamed = s;
}

static struct unwired_call *call_of(struct http_call *c)
{
	return (struct unwired_call *)c;
}

apr_time_t __wrap_clock_now(void)
{
	return time_now;
}

void __wrap_fetch_submit(struct fetcher *r, struct fetch *x)
{
	struct forward *f = x->arg;

	x->never_sent = 1;
	x->framing = FRAMING_NONE;
	if (f->attempts > 1)
		printf("  %s goes to %s\n", call_of(f->call)->name,
		       f->upstream);
}

void __wrap_fetch_cancel(struct fetch *x)
{
}

const void *__wrap_http_call_body(struct http_call *c, size_t *size)
{
	*size = 0;
	return "";
}

size_t __wrap_http_call_answer_room(const struct http_call *c)
{
	return SIZE_MAX;
}

const char *__wrap_http_call_written_name(const struct http_call *c)
{
	return "";
}

void __wrap_http_call_set(struct http_call *c, const char *name,
			  const char *value)
{
}

void __wrap_http_call_reply(struct http_call *c, int status, const char *type,
			    const void *body, size_t size)
{
	printf("  %s gets status %d\n", call_of(c)->name, status);
	call_of(c)->f = NULL;
}

void __wrap_refusal_send(struct http_call *c, const struct refusal *r,
			 const char *id, const char *ticket)
{
	printf("  %s is refused (%s)\n", call_of(c)->name, r->reason);
	call_of(c)->f = NULL;
}

void __wrap_http_call_stream_begin(struct http_call *c, int status,
				   const char *type, enum framing framing,
				   long long size)
{
}

int __wrap_http_call_stream_write(struct http_call *c, const void *data,
				  size_t size)
{
	return 0;
}

int __wrap_http_call_stream_is_full(struct http_call *c)
{
	return 0;
}

void __wrap_http_call_stream_end(struct http_call *c, int is_complete)
{
	struct forward *f = call_of(c)->f;

	if (is_complete)
		printf("  %s is complete\n", call_of(c)->name);
	else
		printf("  %s is broken off (%s)\n", call_of(c)->name,
		       f->no_attempt ? f->no_attempt : "");
	call_of(c)->f = NULL;
}

void __wrap_http_call_on_drain(struct http_call *c, void (*on_drained)(void *),
			       void *arg)
{
}

enum crash_verdict __wrap_crash_check_items(struct crash_list *c,
					    const struct crash_items *s,
					    apr_time_t now,
					    struct crash_finding *out)
{
	if (out)
		memset(out, 0, sizeof(*out));
	return s == blamed ? CRASH_QUARANTINED : CRASH_CLEAR;
}

int __wrap_crash_is_refused(struct crash_list *c, const struct crash_items *s,
			    apr_time_t now)
{
	return s == blamed;
}

uint32_t __wrap_crash_count_blames(struct crash_list *c)
{
	return 0;
}

void __wrap_crash_record_sound(struct crash_list *c,
			       const struct crash_items *s, apr_time_t now)
{
}
