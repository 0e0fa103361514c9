#ifndef NET_CONNECT_H
#define NET_CONNECT_H

#include <netinet/in.h>

int connect_open(const char *from, const struct sockaddr_in *to,
		 int timeout_ms);
int connect_is_refused(const char *from, const char *address, int timeout_ms);

#endif
