#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/*
 * Usage: tcp-relay ADDRESS PORT TARGET-PORT
 *
 * Forwards connections to ADDRESS:PORT to ADDRESS:TARGET-PORT.  On SIGUSR1,
 * the connections that are open are blackholed: they stay open, but nothing
 * is forwarded in either direction any more.  New connections work.
 */

#define BACKLOG 64
#define POLL_MS 50
#define BUFFER_SIZE 65536

static int blackhole_count; /* SIGUSR1 signals received, atomic */
static struct sockaddr_in target;

static int get_blackhole_count(void)
{
	return __atomic_load_n(&blackhole_count, __ATOMIC_RELAXED);
}

/* Counts the SIGUSR1 signals, which are blocked in all threads. */
static void *signal_thread(void *arg)
{
	sigset_t *set = arg;
	int sig;

	for (;;) {
		if (!sigwait(set, &sig))
			__atomic_add_fetch(&blackhole_count, 1,
					   __ATOMIC_RELAXED);
	}
	return NULL;
}

/* Forwards the data that is available.  Returns -1 at the end or on error. */
static int forward(int from, int to)
{
	char buffer[BUFFER_SIZE];
	ssize_t n = read(from, buffer, sizeof(buffer)), written = 0, ret;

	while (written < n) {
		ret = write(to, buffer + written, (size_t)(n - written));
		if (ret <= 0)
			return -1;
		written += ret;
	}
	return n > 0 ? 0 : -1;
}

static void *connection_thread(void *arg)
{
	int client_fd = (int)(long)arg, initial_count = get_blackhole_count();
	int server_fd = socket(AF_INET, SOCK_STREAM, 0);
	struct pollfd fds[2] = { { client_fd, POLLIN, 0 },
				 { server_fd, POLLIN, 0 } };

	if (connect(server_fd, (struct sockaddr *)&target, sizeof(target)))
		goto out;
	for (;;) {
		int n = poll(fds, 2, POLL_MS);

		while (initial_count != get_blackhole_count())
			pause();
		if (n > 0 &&
		    ((fds[0].revents && forward(client_fd, server_fd)) ||
		     (fds[1].revents && forward(server_fd, client_fd))))
			break;
	}
out:
	close(client_fd);
	close(server_fd);
	return NULL;
}

static int listen_on(const char *address, int port)
{
	struct sockaddr_in addr = { .sin_family = AF_INET };
	int fd = socket(AF_INET, SOCK_STREAM, 0), one = 1;

	addr.sin_port = htons((uint16_t)port);
	inet_pton(AF_INET, address, &addr.sin_addr);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&addr, sizeof(addr)) ||
	    listen(fd, BACKLOG))
		return -1;
	return fd;
}

int main(int argc, char **argv)
{
	static sigset_t set;
	pthread_t thread;
	int listener, fd;

	if (argc != 4)
		return 2;
	sigemptyset(&set);
	sigaddset(&set, SIGUSR1);
	pthread_sigmask(SIG_BLOCK, &set, NULL);
	pthread_create(&thread, NULL, signal_thread, &set);
	signal(SIGPIPE, SIG_IGN);
	target.sin_family = AF_INET;
	target.sin_port = htons((uint16_t)strtol(argv[3], NULL, 10));
	inet_pton(AF_INET, argv[1], &target.sin_addr);
	listener = listen_on(argv[1], (int)strtol(argv[2], NULL, 10));
	if (listener < 0) {
		perror("tcp-relay");
		return 1;
	}
	for (;;) {
		fd = accept(listener, NULL, NULL);
		if (fd < 0)
			continue;
		pthread_create(&thread, NULL, connection_thread,
			       (void *)(long)fd);
		pthread_detach(thread);
	}
}
