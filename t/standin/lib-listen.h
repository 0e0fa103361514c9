/*
 * Listening sockets on many IPv4 addresses, served by one accepting thread.
 */
#ifndef STANDIN_LIB_LISTEN_H
#define STANDIN_LIB_LISTEN_H

#include <stdint.h>
#include <sys/socket.h>

struct listen_set;

struct listen_set *listen_start(void (*accepted)(void *arg, int fd,
						 const struct sockaddr *sa,
						 socklen_t len),
				void *arg);
int listen_add(struct listen_set *set, const char *address, unsigned port);
void listen_remove(struct listen_set *set, const char *address);

int listen_parse_range(const char *range, uint32_t *first, uint32_t *last);
void listen_format(uint32_t ip, char *out);

#endif
