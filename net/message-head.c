#include "net/message-head.h"

#include <limits.h>
#include <string.h>
#include <strings.h>

#define STATUS_OK 200
#define STATUS_NO_CONTENT 204
#define STATUS_NOT_MODIFIED 304

/* Characters of a token beside letters and digits (RFC 9110, 5.6.2). */
#define TOKEN_MARKS "!#$%&'*+-.^_`|~"

/* Starts a head whose first line was read. */
void message_head_start(struct message_head *h, enum message_kind kind,
			int minor_version)
{
	memset(h, 0, sizeof(*h));
	h->kind = kind;
	h->minor_version = minor_version;
	h->length = -1;
}

static void set_fault(struct message_head *h, const char *fault)
{
	if (!h->fault)
		h->fault = fault;
}

static int is_alphanumeric(char c)
{
	return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') ||
	       (c >= 'A' && c <= 'Z');
}

/* Returns 1 for the name of a field (RFC 9110, 5.1). */
int is_field_name(const char *name, size_t size)
{
	size_t i;

	for (i = 0; i < size; i++)
		if (!is_alphanumeric(name[i]) &&
		    (!name[i] || !strchr(TOKEN_MARKS, name[i])))
			return 0;
	return size > 0;
}

/*
 * Returns 1 for a value that a field may have. Of the control characters, only
 * those that end a line or a string are refused: the others may be kept
 * (RFC 9110, 5.5).
 */
int is_field_value(const char *value, size_t size)
{
	return !memchr(value, '\r', size) && !memchr(value, '\n', size) &&
	       !memchr(value, '\0', size);
}

static int is_blank(char c)
{
	return c == ' ' || c == '\t';
}

static int equals(const char *text, size_t size, const char *word)
{
	return size == strlen(word) && !strncasecmp(text, word, size);
}

/* Adds a Content-Length: digits only, and one of them. */
static void add_length(struct message_head *h, const char *value, size_t size)
{
	long long n = 0;
	size_t i;

	if (h->length_count++) {
		set_fault(h, "length-twice");
		return;
	}
	for (i = 0; i < size; i++) {
		int digit = value[i] - '0';

		if (digit < 0 || digit > 9 || n > (LLONG_MAX - digit) / 10) {
			set_fault(h, "length");
			return;
		}
		n = n * 10 + digit;
	}
	if (!size)
		set_fault(h, "length");
	else
		h->length = n;
}

/*
 * Adds a Transfer-Encoding. No other coding than chunked is asked for by this
 * program, nor understood by it.
 */
static void add_coding(struct message_head *h, const char *value, size_t size)
{
	if (h->coding_count++)
		set_fault(h, "coding-twice");
	else if (!h->minor_version)
		set_fault(h, "coding-of-1.0");
	else if (!equals(value, size, "chunked"))
		set_fault(h, "coding");
	else
		h->is_chunked = 1;
}

static void add_host(struct message_head *h, const char *value, size_t size)
{
	size_t i;

	if (h->host_count++)
		set_fault(h, "host-twice");
	for (i = 0; i < size; i++)
		if (is_blank(value[i]) || value[i] == ',')
			set_fault(h, "host");
}

/* Adds a field that was split already; blanks around the value are ignored. */
void message_head_add_field(struct message_head *h, const char *name,
			    size_t name_size, const char *value,
			    size_t value_size)
{
	while (value_size && is_blank(*value)) {
		value++;
		value_size--;
	}
	while (value_size && is_blank(value[value_size - 1]))
		value_size--;
	if (!is_field_name(name, name_size))
		set_fault(h, "name");
	else if (!is_field_value(value, value_size))
		set_fault(h, "value");
	else if (equals(name, name_size, "Content-Length"))
		add_length(h, value, value_size);
	else if (equals(name, name_size, "Transfer-Encoding"))
		add_coding(h, value, value_size);
	else if (equals(name, name_size, "Host") && h->kind == MESSAGE_REQUEST)
		add_host(h, value, value_size);
}

/*
 * Adds a line after the first one, as it was received, with its end. The empty
 * line at the end of the head may be left out. A line may end in LF alone
 * (RFC 9112, 2.2).
 */
void message_head_add_line(struct message_head *h, const char *line,
			   size_t size)
{
	const char *colon;

	if (!size || line[size - 1] != '\n') {
		set_fault(h, "line-end");
		return;
	}
	size--;
	if (size && line[size - 1] == '\r')
		size--;
	if (!size)
		return;
	if (is_blank(*line)) {
		set_fault(h, "folded");
		return;
	}
	colon = memchr(line, ':', size);
	if (!colon) {
		set_fault(h, "no-colon");
		return;
	}
	message_head_add_field(h, line, (size_t)(colon - line), colon + 1,
			       size - (size_t)(colon + 1 - line));
}

/*
 * Ends the head. Returns what HTTP doesn't allow in it, as a word for log lines
 * and metrics, or NULL. Chunked coding beside a length is refused in a request
 * only, where it is a way to smuggle another one (RFC 9112, 6.1); in an answer it
 * overrides the length (6.3).
 */
const char *message_head_end(struct message_head *h)
{
	if (h->kind == MESSAGE_ANSWER)
		return h->fault;
	if (h->coding_count && h->length_count)
		set_fault(h, "coding-and-length");
	if (!h->host_count && h->minor_version)
		set_fault(h, "no-host");
	return h->fault;
}

/* Returns 1 for a status of an answer that never has a body. */
int is_status_without_body(int status)
{
	return status < STATUS_OK || status == STATUS_NO_CONTENT ||
	       status == STATUS_NOT_MODIFIED;
}

/* Returns the framing of an answer whose head is without fault. */
enum framing message_head_framing(const struct message_head *h, int status)
{
	if (is_status_without_body(status))
		return FRAMING_LENGTH;
	if (h->is_chunked)
		return FRAMING_CHUNKED;
	return h->length >= 0 ? FRAMING_LENGTH : FRAMING_CLOSE;
}
