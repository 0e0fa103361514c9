#include <pthread.h>
#include <signal.h>
#include <stdlib.h>
#include <time.h>
#include <unistd.h>

#include "t/standin/lib-web.h"

#define MS_PER_S 1000
#define US_PER_S 1000000
#define NS_PER_US 1000
#define NS_PER_MS 1000000
#define NS_PER_S 1000000000

struct ticker {
	long period_us;
	void (*tick)(void *arg, int64_t now_ms);
	void *arg;
};

/* Returns the time of the monotonic clock in milliseconds. */
int64_t web_now_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (int64_t)ts.tv_sec * MS_PER_S + ts.tv_nsec / NS_PER_MS;
}

/* Thread that calls a ticker's function forever. */
static void *ticker_loop(void *arg)
{
	struct ticker *ticker = arg;
	struct timespec pause = {
		.tv_sec = ticker->period_us / US_PER_S,
		.tv_nsec = ticker->period_us % US_PER_S * NS_PER_US,
	};

	for (;;) {
		nanosleep(&pause, NULL);
		ticker->tick(ticker->arg, web_now_ms());
	}
	return NULL;
}

/* Starts a thread that calls tick(arg, now_ms) once per period. */
int web_start_ticker(long period_us, void (*tick)(void *arg, int64_t now_ms),
		     void *arg)
{
	struct ticker *ticker = calloc(1, sizeof(*ticker));
	pthread_t thread;

	if (!ticker)
		return -1;
	ticker->period_us = period_us;
	ticker->tick = tick;
	ticker->arg = arg;
	if (pthread_create(&thread, NULL, ticker_loop, ticker)) {
		free(ticker);
		return -1;
	}
	pthread_detach(thread);
	return 0;
}

/* Initializes set with the signals that terminate a stand-in. */
static void exit_signals(sigset_t *set)
{
	sigemptyset(set);
	sigaddset(set, SIGTERM);
	sigaddset(set, SIGINT);
}

/*
 * Blocks the exit signals for web_wait_for_exit_signal().  Must be called
 * before any thread is started, as threads inherit the mask.
 */
void web_block_exit_signals(void)
{
	sigset_t set;

	signal(SIGPIPE, SIG_IGN);
	exit_signals(&set);
	pthread_sigmask(SIG_BLOCK, &set, NULL);
}

/* Waits for SIGTERM or SIGINT and exits immediately. */
int web_wait_for_exit_signal(void)
{
	sigset_t set;
	int sig;

	exit_signals(&set);
	sigwait(&set, &sig);
	/* MHD_stop_daemon() does not work while connections are suspended. */
	_exit(0);
}
