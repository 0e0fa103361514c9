#include <string.h>

#include "t/standin/lib-addresses.h"
#include "t/standin/lib-listen.h"
#include "t/standin/lib-options.h"

struct address_list addresses;

/* Takes an option's text: one address or each of "first-last". */
void addresses_option(int value, const char *text)
{
	uint32_t first;
	uint32_t last;

	if (!text || listen_parse_range(text, &first, &last))
		options_fail("not an address", text);
	for (; first <= last; first++) {
		if (addresses.count == ADDRESSES_MAX)
			options_fail("too many addresses", text);
		listen_format(first, addresses.names[addresses.count++]);
	}
}

/* Stands in 127.0.0.1 when no address was given. */
void addresses_default(void)
{
	if (!addresses.count)
		addresses_option(0, "127.0.0.1");
}

/* Index of an address, or -1. */
int addresses_find(const char *address)
{
	int i;

	for (i = 0; i < addresses.count; i++)
		if (!strcmp(addresses.names[i], address))
			return i;
	return -1;
}

/* Listens on every address. */
int addresses_listen(struct web_server *server, int port)
{
	int i;

	addresses_default();
	for (i = 0; i < addresses.count; i++)
		if (web_listen(server, addresses.names[i], (unsigned)port))
			return -1;
	return 0;
}
