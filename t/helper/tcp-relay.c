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
 * "tcp-relay ADDRESS PORT TO" forwards connections to ADDRESS:PORT on to
 * ADDRESS:TO.
 * On SIGUSR1 the connections open now go silent for good, in both
 * directions and without being closed; new ones work.
 */

#define BACKLOG 64
#define POLL_MS 50
#define BUFFER_SIZE 65536

static int generation; /* atomic */
static struct sockaddr_in to;

static int generation_now(void)
{
	return __atomic_load_n(&generation, __ATOMIC_RELAXED);
}

/* Waits for the signal, which every thread has blocked. */
static void *signal_main(void *arg)
{
	sigset_t *set = arg;
	int sig;

	for (;;) {
		if (!sigwait(set, &sig))
			__atomic_add_fetch(&generation, 1, __ATOMIC_RELAXED);
	}
	return NULL;
}

static int forward(int from, int into)
{
	char buffer[BUFFER_SIZE];
	ssize_t n = read(from, buffer, sizeof(buffer)), done = 0, k;

	while (done < n) {
		k = write(into, buffer + done, (size_t)(n - done));
		if (k <= 0)
			return -1;
		done += k;
	}
	return n > 0 ? 0 : -1;
}

static void *connection_main(void *arg)
{
	int a = (int)(long)arg, born = generation_now();
	int b = socket(AF_INET, SOCK_STREAM, 0);
	struct pollfd p[2] = { { a, POLLIN, 0 }, { b, POLLIN, 0 } };

	if (connect(b, (struct sockaddr *)&to, sizeof(to)))
		goto out;
	for (;;) {
		int n = poll(p, 2, POLL_MS);

		while (born != generation_now())
			pause();
		if (n > 0 && ((p[0].revents && forward(a, b)) ||
			      (p[1].revents && forward(b, a))))
			break;
	}
out:
	close(a);
	close(b);
	return NULL;
}

static int listen_on(const char *address, int port)
{
	struct sockaddr_in sa = { .sin_family = AF_INET };
	int fd = socket(AF_INET, SOCK_STREAM, 0), on = 1;

	sa.sin_port = htons((uint16_t)port);
	inet_pton(AF_INET, address, &sa.sin_addr);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, (struct sockaddr *)&sa, sizeof(sa)) || listen(fd, BACKLOG))
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
	pthread_create(&thread, NULL, signal_main, &set);
	signal(SIGPIPE, SIG_IGN);
	to.sin_family = AF_INET;
	to.sin_port = htons((uint16_t)strtol(argv[3], NULL, 10));
	inet_pton(AF_INET, argv[1], &to.sin_addr);
	listener = listen_on(argv[1], (int)strtol(argv[2], NULL, 10));
	if (listener < 0) {
		perror("tcp-relay");
		return 1;
	}
	for (;;) {
		fd = accept(listener, NULL, NULL);
		if (fd < 0)
			continue;
		pthread_create(&thread, NULL, connection_main,
			       (void *)(long)fd);
		pthread_detach(thread);
	}
}
