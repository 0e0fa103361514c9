#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "forward/internal.h"

#define HEADERS_FIRST 16
/* The colon, the blank and the end of a line. */
#define HEADER_MARKS 4

/* Hop-by-hop headers, and those that the HTTP library writes itself. */
static const char *const hop_by_hop_headers[] = {
	"Connection", "Keep-Alive", "Proxy-Connection",
	"TE",	      "Trailer",    "Transfer-Encoding",
	"Upgrade",    "Expect",	    "Content-Length",
	NULL
};

/* Returns 1 for a header that must not be passed on. */
int header_is_hop_by_hop(const char *name)
{
	int i;

	for (i = 0; hop_by_hop_headers[i]; i++)
		if (!strcasecmp(hop_by_hop_headers[i], name))
			return 1;
	return 0;
}

/* Returns 1 for a header that a value of Connection names: it is hop-by-hop. */
int header_is_named(const char *connection, const char *name)
{
	size_t n = strlen(name);
	const char *at = connection;

	while (at && (at = strcasestr(at, name))) {
		int begins = at == connection || strchr(", \t", at[-1]);

		if (begins && (!at[n] || strchr(", \t", at[n])))
			return 1;
		at += n;
	}
	return 0;
}

/* Returns 1 for a header that one of these Connection headers names. */
int header_is_option(const struct header_list *connection, const char *name)
{
	int i;

	for (i = 0; i < connection->count; i++)
		if (header_is_named(connection->items[i].value, name))
			return 1;
	return 0;
}

static void *grow(void *items, size_t size)
{
	items = realloc(items, size);
	if (!items)
		abort();
	return items;
}

/*
 * Adds a copy of a header. Those who read heads bound their size, so that none
 * is left out here: a request without one of its fields is another request.
 */
void header_add(struct header_list *l, const char *name, const char *value)
{
	if (l->count == l->capacity) {
		l->capacity = l->capacity ? l->capacity * 2 : HEADERS_FIRST;
		l->items =
			grow(l->items, (size_t)l->capacity * sizeof(*l->items));
	}
	l->items[l->count].name = strdup(name);
	l->items[l->count].value = strdup(value);
	l->bytes += strlen(name) + strlen(value) + HEADER_MARKS;
	l->count++;
}

/* Returns 1 if there is a header of that name. */
int header_list_has(const struct header_list *l, const char *name)
{
	int i;

	for (i = 0; i < l->count; i++)
		if (!strcasecmp(l->items[i].name, name))
			return 1;
	return 0;
}

/*
 * Returns the headers as "Name: value" lines, with NULL at the end. They are
 * valid until the list is cleared, and made once.
 */
const char *const *header_list_lines(struct header_list *l)
{
	char *text;
	int i;

	if (l->lines)
		return l->lines;
	l->lines = grow(NULL, (size_t)(l->count + 1) * sizeof(*l->lines));
	l->text = text = grow(NULL, l->bytes + 1);
	for (i = 0; i < l->count; i++) {
		const char *value = l->items[i].value;

		l->lines[i] = text;
		/* libcurl omits a header without a value, but for a semicolon. */
		text += snprintf(text, (size_t)(l->text + l->bytes + 1 - text),
				 *value ? "%s: %s" : "%s;%s", l->items[i].name,
				 value) +
			1;
	}
	l->lines[l->count] = NULL;
	return l->lines;
}

/* Frees all headers and their lines. */
void header_list_clear(struct header_list *l)
{
	while (l->count) {
		l->count--;
		free(l->items[l->count].name);
		free(l->items[l->count].value);
	}
	free(l->items);
	free(l->lines);
	free(l->text);
	memset(l, 0, sizeof(*l));
}
