/*
 * The addresses given on a stand-in's command line.
 */
#ifndef STANDIN_LIB_ADDRESSES_H
#define STANDIN_LIB_ADDRESSES_H

#include "t/standin/lib-web.h"

#define ADDRESSES_MAX 4096

struct address_list {
	char names[ADDRESSES_MAX][WEB_ADDRESS_MAX];
	int count;
};

int addresses_add(struct address_list *list, const char *range);
int addresses_find(const struct address_list *list, const char *address);
int addresses_listen(struct address_list *list, struct web_server *server,
		     int port);

#endif
