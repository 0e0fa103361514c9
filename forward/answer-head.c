#include <string.h>
#include <strings.h>

#include "forward/internal.h"
#include "net/message-head.h"

/* The head of an answer that the caller gets, from that of the upstream. */

/*
 * Returns 1 for a Date to leave out: each answer has one, and the library adds its
 * own to an answer without it.
 */
int forward_is_useless_date(const struct forward *f, const char *name,
			    const char *value)
{
	return !strcasecmp(name, "Date") &&
	       (!*value || header_list_has(&f->answer_headers, name));
}

/*
 * Sets the headers of the answer that the caller gets. All are known by now: a
 * Connection may stand after what it names.
 */
void forward_copy_answer_headers(struct forward *f)
{
	const struct header *h = f->answer_headers.items;
	int i;

	for (i = 0; i < f->answer_headers.count; i++)
		if (!header_is_option(&f->answer_options, h[i].name))
			http_call_set(f->call, h[i].name, h[i].value);
}

/* Sends a complete answer of which the caller has nothing yet. */
void forward_reply_whole(struct forward *f)
{
	int status = f->fetch.status;

	forward_copy_answer_headers(f);
	if (!strcmp(f->method, "HEAD") || is_status_without_body(status))
		http_call_reply_head(f->call, status, f->fetch.content_length);
	else
		http_call_reply(f->call, status, NULL,
				f->held_body ? f->held_body : "", f->held_size);
}
