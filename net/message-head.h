#ifndef NET_MESSAGE_HEAD_H
#define NET_MESSAGE_HEAD_H

#include <stddef.h>

#include "net/framing.h"

/*
 * Decides whether the head of an HTTP/1.x message is one that all readers
 * understand alike (RFC 9112, 2.2, 3.2, 5, 6; RFC 9110, 5). The libraries that
 * read heads are lenient in ways of their own, and a proxy that takes what the
 * next reader takes differently passes on a part of a body, or a request within
 * another one. No I/O.
 */

enum message_kind { MESSAGE_REQUEST, MESSAGE_ANSWER };

/* Start with message_head_start(). */
struct message_head {
	enum message_kind kind;
	int minor_version; /* of HTTP/1.x */
	int length_count;
	int coding_count;
	int host_count;
	int is_chunked;
	long long length;  /* -1: none */
	const char *fault; /* the first one, NULL: none */
};

void message_head_start(struct message_head *h, enum message_kind kind,
			int minor_version);
void message_head_add_line(struct message_head *h, const char *line,
			   size_t size);
void message_head_add_field(struct message_head *h, const char *name,
			    size_t name_size, const char *value,
			    size_t value_size);
const char *message_head_end(struct message_head *h);
enum framing message_head_framing(const struct message_head *h, int status);
int is_status_without_body(int status);
int is_field_name(const char *name, size_t size);
int is_field_value(const char *value, size_t size);

#endif
