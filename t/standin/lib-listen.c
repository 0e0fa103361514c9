#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <unistd.h>

#include "t/standin/lib-listen.h"

#define LISTEN_BACKLOG 1024
#define LISTEN_EVENTS 64
#define LISTEN_ADDRESS_MAX 16
#define LISTEN_RANGE_MAX 4096

struct listener {
	struct listener *next;
	char address[LISTEN_ADDRESS_MAX];
	int fd;
};

struct listen_set {
	void (*accepted)(void *arg, int fd, const struct sockaddr *sa,
			 socklen_t len);
	void *arg;
	int epoll_fd;
	pthread_mutex_t lock; /* protects the list and its file descriptors */
	struct listener *listeners;
};

/* Accepts all pending connections of a listener. */
static void listener_accept(struct listen_set *set, struct listener *lsn)
{
	struct sockaddr_in sin;
	socklen_t len;
	int one = 1;
	int fd;

	for (;;) {
		len = sizeof(sin);
		pthread_mutex_lock(&set->lock);
		fd = lsn->fd < 0 ? -1
				 : accept4(lsn->fd, (struct sockaddr *)&sin,
					   &len, SOCK_NONBLOCK | SOCK_CLOEXEC);
		pthread_mutex_unlock(&set->lock);
		if (fd < 0)
			return;
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
		set->accepted(set->arg, fd, (struct sockaddr *)&sin, len);
	}
}

/* Thread that accepts connections of all listeners. */
static void *accept_loop(void *arg)
{
	struct listen_set *set = arg;
	struct epoll_event events[LISTEN_EVENTS];
	int n;
	int i;

	for (;;) {
		n = epoll_wait(set->epoll_fd, events, LISTEN_EVENTS, -1);
		if (n < 0 && errno != EINTR)
			return NULL;
		for (i = 0; i < n; i++)
			listener_accept(set, events[i].data.ptr);
	}
}

/* Starts the accepting thread; listen_add() adds listeners to it. */
struct listen_set *listen_start(void (*accepted)(void *arg, int fd,
						 const struct sockaddr *sa,
						 socklen_t len),
				void *arg)
{
	struct listen_set *set = calloc(1, sizeof(*set));
	pthread_t thread;

	if (!set)
		return NULL;
	set->accepted = accepted;
	set->arg = arg;
	pthread_mutex_init(&set->lock, NULL);
	set->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	if (set->epoll_fd < 0)
		goto fail;
	if (pthread_create(&thread, NULL, accept_loop, set))
		goto fail;
	pthread_detach(thread);
	return set;
fail:
	if (set->epoll_fd >= 0)
		close(set->epoll_fd);
	free(set);
	return NULL;
}

/* Opens a non-blocking listening socket.  Returns -1 on error. */
static int listen_open(const char *address, unsigned port)
{
	struct sockaddr_in sin = { .sin_family = AF_INET,
				   .sin_port = htons(port) };
	int one = 1;
	int fd;

	if (inet_pton(AF_INET, address, &sin.sin_addr) != 1)
		return -1;
	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return -1;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&sin, sizeof(sin)) ||
	    listen(fd, LISTEN_BACKLOG)) {
		close(fd);
		return -1;
	}
	return fd;
}

/* Finds or creates the listener of an address.  The caller holds the lock. */
static struct listener *listener_get(struct listen_set *set,
				     const char *address)
{
	struct listener *lsn;

	for (lsn = set->listeners; lsn; lsn = lsn->next)
		if (!strcmp(lsn->address, address))
			return lsn;
	lsn = calloc(1, sizeof(*lsn));
	if (!lsn)
		return NULL;
	lsn->fd = -1;
	snprintf(lsn->address, sizeof(lsn->address), "%s", address);
	lsn->next = set->listeners;
	set->listeners = lsn;
	return lsn;
}

/* Listens on address; it may be added again after listen_remove(). */
int listen_add(struct listen_set *set, const char *address, unsigned port)
{
	struct epoll_event event = { .events = EPOLLIN };
	struct listener *lsn;
	int ret = -1;
	int fd = listen_open(address, port);

	if (fd < 0) {
		fprintf(stderr, "cannot listen on %s:%u: %s\n", address, port,
			strerror(errno));
		return -1;
	}
	pthread_mutex_lock(&set->lock);
	lsn = listener_get(set, address);
	if (lsn && lsn->fd < 0) {
		lsn->fd = fd;
		event.data.ptr = lsn;
		ret = epoll_ctl(set->epoll_fd, EPOLL_CTL_ADD, fd, &event);
	}
	pthread_mutex_unlock(&set->lock);
	if (ret)
		close(fd);
	return ret;
}

/* Closes the listening socket of address, so that connections are refused. */
void listen_remove(struct listen_set *set, const char *address)
{
	struct listener *lsn;

	pthread_mutex_lock(&set->lock);
	for (lsn = set->listeners; lsn; lsn = lsn->next) {
		if (strcmp(lsn->address, address) != 0 || lsn->fd < 0)
			continue;
		close(lsn->fd);
		lsn->fd = -1;
	}
	pthread_mutex_unlock(&set->lock);
}

/*
 * Parses "A" or "A-B" into addresses in host byte order.  Returns -1 if the
 * range is malformed or too long.
 */
int listen_parse_range(const char *range, uint32_t *first, uint32_t *last)
{
	char text[2 * LISTEN_ADDRESS_MAX + 2];
	struct in_addr low;
	struct in_addr high;
	char *dash;

	snprintf(text, sizeof(text), "%s", range);
	dash = strchr(text, '-');
	if (dash)
		*dash++ = '\0';
	if (inet_pton(AF_INET, text, &low) != 1)
		return -1;
	high = low;
	if (dash && inet_pton(AF_INET, dash, &high) != 1)
		return -1;
	*first = ntohl(low.s_addr);
	*last = ntohl(high.s_addr);
	if (*last < *first || *last - *first >= LISTEN_RANGE_MAX)
		return -1;
	return 0;
}

/* Formats an address in host byte order as a dotted quad. */
void listen_format(uint32_t ip, char *out)
{
	struct in_addr addr = { .s_addr = htonl(ip) };

	inet_ntop(AF_INET, &addr, out, LISTEN_ADDRESS_MAX);
}
