#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "forward/internal.h"

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

/* Adds a copy of a header; headers beyond the maximum are dropped. */
void header_add(struct header_list *l, const char *name, const char *value)
{
	if (l->count == FORWARD_HEADERS_MAX)
		return;
	l->items[l->count].name = strdup(name);
	l->items[l->count].value = strdup(value);
	l->count++;
}

/* Frees all headers. */
void header_list_clear(struct header_list *l)
{
	while (l->count) {
		l->count--;
		free(l->items[l->count].name);
		free(l->items[l->count].value);
	}
}
