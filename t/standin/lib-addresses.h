/*
 * The list of listening addresses from the command line of a stand-in.
 */
#ifndef STANDIN_LIB_ADDRESSES_H
#define STANDIN_LIB_ADDRESSES_H

#include "t/standin/lib-web.h"

#define ADDRESSES_MAX 4096

struct address_list {
	char names[ADDRESSES_MAX][WEB_ADDRESS_MAX];
	int count;
};

extern struct address_list addresses;

void addresses_add_option(int value, const char *text);
void addresses_set_default(void);
int addresses_find(const char *address);
int addresses_listen(struct web_server *server, int port);

#endif
