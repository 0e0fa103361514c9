#include "net/connect.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net/cut.h"

/* Waits for the connection.  Returns -1 with errno set on failure. */
static int connect_with_timeout(int fd, const struct sockaddr_in *to,
				int timeout_ms)
{
	struct pollfd p = { .fd = fd, .events = POLLOUT };
	socklen_t size = sizeof(int);
	int failure = 0;

	if (!connect(fd, (const struct sockaddr *)to, sizeof(*to)))
		return 0;
	if (errno != EINPROGRESS)
		return -1;
	if (poll(&p, 1, timeout_ms) != 1)
		failure = ETIMEDOUT;
	else if (getsockopt(fd, SOL_SOCKET, SO_ERROR, &failure, &size))
		return -1;
	errno = failure;
	return failure ? -1 : 0;
}

/*
 * Opens a non-blocking connection from the IP address `from`, any if it is
 * empty.  Returns -1 with errno set on failure.
 */
int connect_open(const char *from, const struct sockaddr_in *to, int timeout_ms)
{
	struct sockaddr_in local = { .sin_family = AF_INET };
	int fd, on = 1, failure;

	fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
	if (fd < 0)
		return -1;
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	if (*from && inet_pton(AF_INET, from, &local.sin_addr) == 1) {
		setsockopt(fd, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &on,
			   sizeof(on));
		if (bind(fd, (struct sockaddr *)&local, sizeof(local)))
			goto fail;
	}
	if (connect_with_timeout(fd, to, timeout_ms))
		goto fail;
	return fd;
fail:
	failure = errno;
	close(fd);
	errno = failure;
	return -1;
}

/* Returns 1 if the machine answers that nobody listens at "IP:port". */
int connect_is_refused(const char *from, const char *address, int timeout_ms)
{
	struct sockaddr_in to = { .sin_family = AF_INET };
	const char *colon = strchr(address, ':');
	char ip[INET_ADDRSTRLEN];
	int fd;

	if (!colon || is_address_partitioned(address))
		return 0;
	snprintf(ip, sizeof(ip), "%.*s", (int)(colon - address), address);
	to.sin_port = htons((uint16_t)atoi(colon + 1));
	if (inet_pton(AF_INET, ip, &to.sin_addr) != 1)
		return 0;
	fd = connect_open(from, &to, timeout_ms);
	if (fd < 0)
		return errno == ECONNREFUSED;
	close(fd);
	return 0;
}
