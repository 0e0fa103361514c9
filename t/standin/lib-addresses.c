#include <stdio.h>
#include <string.h>

#include "t/standin/lib-addresses.h"
#include "t/standin/lib-listen.h"

/* Adds one address or each of "first-last".  Returns -1 if malformed. */
int addresses_add(struct address_list *list, const char *range)
{
	uint32_t first;
	uint32_t last;

	if (!range || listen_parse_range(range, &first, &last))
		return -1;
	for (; first <= last; first++) {
		if (list->count == ADDRESSES_MAX)
			return -1;
		listen_format(first, list->names[list->count++]);
	}
	return 0;
}

/* Index of address in the list, or -1. */
int addresses_find(const struct address_list *list, const char *address)
{
	int i;

	for (i = 0; i < list->count; i++)
		if (!strcmp(list->names[i], address))
			return i;
	return -1;
}

/* Listens on each address, on 127.0.0.1 when there is none. */
int addresses_listen(struct address_list *list, struct web_server *server,
		     int port)
{
	int i;

	if (!list->count)
		addresses_add(list, "127.0.0.1");
	for (i = 0; i < list->count; i++)
		if (web_listen(server, list->names[i], (unsigned)port))
			return -1;
	return 0;
}
