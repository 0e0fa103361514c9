#include "base/log-writer.h"

#include <errno.h>
#include <pthread.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#define BUFFER_BYTES (256 * 1024) /* unwritten bytes kept for a slow reader */
#define BLOCK_BYTES (16 * 1024)	  /* most bytes in one write(2) */
#define BATCH_MS 50		  /* pause between writes, to batch lines */
#define FLUSH_POLL_MS 5		  /* poll interval of log_writer_flush() */

static struct {
	pthread_mutex_t mutex; /* innermost in the lock order */
	pthread_cond_t not_empty;
	pthread_t thread;
	int fd;
	int started;
	int flushing;
	char data[BUFFER_BYTES];
	size_t head;		    /* offset of the oldest unwritten byte */
	size_t size;		    /* unwritten bytes */
	unsigned long long dropped; /* lines that did not fit */
} writer = { .mutex = PTHREAD_MUTEX_INITIALIZER,
	     .not_empty = PTHREAD_COND_INITIALIZER,
	     .fd = -1 };

static void sleep_ms(int ms)
{
	struct timespec t = { ms / 1000, ms % 1000 * 1000000L };

	nanosleep(&t, NULL);
}

/*
 * Waits until the buffer is not empty and copies up to BLOCK_BYTES bytes from
 * its start to out, without removing them.  Returns the number of bytes.
 */
static size_t block_copy(char *out)
{
	size_t n, first;

	pthread_mutex_lock(&writer.mutex);
	while (!writer.size)
		pthread_cond_wait(&writer.not_empty, &writer.mutex);
	n = writer.size < BLOCK_BYTES ? writer.size : BLOCK_BYTES;
	first = BUFFER_BYTES - writer.head < n ? BUFFER_BYTES - writer.head : n;
	memcpy(out, writer.data + writer.head, first);
	memcpy(out + first, writer.data, n - first);
	pthread_mutex_unlock(&writer.mutex);
	return n;
}

/* Removes n bytes from the start of the buffer. */
static void block_remove(size_t n)
{
	pthread_mutex_lock(&writer.mutex);
	writer.head = (writer.head + n) % BUFFER_BYTES;
	writer.size -= n;
	pthread_mutex_unlock(&writer.mutex);
}

static void *writer_main(void *arg)
{
	char block[BLOCK_BYTES];
	ssize_t written;
	size_t n;

	(void)arg;
	for (;;) {
		n = block_copy(block);
		written = write(writer.fd, block, n);
		if (written < 0 && errno != EINTR && errno != EAGAIN)
			written = (ssize_t)n; /* cannot be written: discard */
		if (written > 0)
			block_remove((size_t)written);
		if (!__atomic_load_n(&writer.flushing, __ATOMIC_RELAXED))
			sleep_ms(BATCH_MS);
	}
	return NULL;
}

/* Starts the writer thread for fd; later calls have no effect. */
void log_writer_start(int fd)
{
	pthread_mutex_lock(&writer.mutex);
	if (!writer.started) {
		writer.fd = fd;
		writer.started = !pthread_create(&writer.thread, NULL,
						 writer_main, NULL);
	}
	pthread_mutex_unlock(&writer.mutex);
}

/* Queues a line, or counts it as dropped if the buffer has no room for it. */
void log_writer_put(const char *line, size_t size)
{
	size_t end, first;

	pthread_mutex_lock(&writer.mutex);
	if (!writer.started || writer.size + size > BUFFER_BYTES) {
		writer.dropped++;
	} else {
		end = (writer.head + writer.size) % BUFFER_BYTES;
		first = BUFFER_BYTES - end < size ? BUFFER_BYTES - end : size;
		memcpy(writer.data + end, line, first);
		memcpy(writer.data, line + first, size - first);
		if (!writer.size)
			pthread_cond_signal(&writer.not_empty);
		writer.size += size;
	}
	pthread_mutex_unlock(&writer.mutex);
}

/* Returns the number of lines dropped since the process started. */
unsigned long long log_writer_dropped(void)
{
	unsigned long long n;

	pthread_mutex_lock(&writer.mutex);
	n = writer.dropped;
	pthread_mutex_unlock(&writer.mutex);
	return n;
}

/* Waits until all queued lines are written, for at most timeout_ms. */
void log_writer_flush(int timeout_ms)
{
	size_t pending = 1;

	__atomic_store_n(&writer.flushing, 1, __ATOMIC_RELAXED);
	while (pending && timeout_ms > 0) {
		pthread_mutex_lock(&writer.mutex);
		pending = writer.started ? writer.size : 0;
		pthread_mutex_unlock(&writer.mutex);
		if (pending)
			sleep_ms(FLUSH_POLL_MS);
		timeout_ms -= FLUSH_POLL_MS;
	}
	__atomic_store_n(&writer.flushing, 0, __ATOMIC_RELAXED);
}
