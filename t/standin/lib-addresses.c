#include <string.h>

#include "t/standin/lib-addresses.h"
#include "t/standin/lib-listen.h"
#include "t/standin/lib-options.h"

struct address_list addresses;

/* Adds the address, or every address of the range "first-last", in text. */
void addresses_add_option(int value, const char *text)
{
	uint32_t first;
	uint32_t last;

	if (!text || listen_parse_range(text, &first, &last))
		options_fail("invalid address or range", text);
	for (; first <= last; first++) {
		if (addresses.count == ADDRESSES_MAX)
			options_fail("too many addresses", text);
		listen_format(first, addresses.names[addresses.count++]);
	}
}

/* Uses 127.0.0.1 if no address was given on the command line. */
void addresses_set_default(void)
{
	if (!addresses.count)
		addresses_add_option(0, "127.0.0.1");
}

/* Returns the index of an address, or -1. */
int addresses_find(const char *address)
{
	int i;

	for (i = 0; i < addresses.count; i++)
		if (!strcmp(addresses.names[i], address))
			return i;
	return -1;
}

/* Listens on every configured address. */
int addresses_listen(struct web_server *server, int port)
{
	int i;

	addresses_set_default();
	for (i = 0; i < addresses.count; i++)
		if (web_listen(server, addresses.names[i], (unsigned)port))
			return -1;
	return 0;
}
