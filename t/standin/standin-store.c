#include <fcntl.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include "t/standin/lib-bucket.h"
#include "t/standin/lib-addresses.h"
#include "t/standin/lib-options.h"
#include "t/standin/lib-web.h"

#define DEFAULT_PORT 7001
#define SERVER_THREADS 4
#define TICK_US 2000
#define US_PER_MS 1000
#define DEFAULT_RETRY_AFTER_S 1
#define CORRUPT_EVERY_BYTES 4096

enum fault_mode {
	FAULT_OK,
	FAULT_429,
	FAULT_500,
	FAULT_STALL,
	FAULT_SHORT,
	FAULT_CORRUPT,
	FAULT_DOWN,
	FAULT_COUNT
};

static const char *const fault_names[FAULT_COUNT] = {
	"ok", "429", "500", "stall", "short", "corrupt", "down"
};

/* The body of one response: a range of an open file. */
struct transfer {
	struct bucket_waiter waiter;
	struct web_request *req;
	int fd;
	off_t offset;
	off_t end;
	off_t fault_offset; /* where a stalled or short body stops, or 0 */
	enum fault_mode fault;
	char client[WEB_ADDRESS_MAX];
};

static struct {
	pthread_mutex_t lock; /* taken before the bucket's */
	enum fault_mode fault;
	double fault_share; /* fraction of responses with the fault */
	long retry_after_s;
	unsigned fault_seed;
	json_int_t bytes;
	json_int_t requests;
	json_t *by_client;
	struct bucket bucket;
} store = { .lock = PTHREAD_MUTEX_INITIALIZER,
	    .fault_share = 1,
	    .fault_seed = 1 };

static char *store_directory = ".";

static void on_tick(void *arg, int64_t now_ms)
{
	bucket_refill(&store.bucket, now_ms * US_PER_MS);
}

/* Resumes a transfer that was granted bytes. */
static void on_bucket_grant(struct bucket_waiter *waiter)
{
	struct transfer *tr = (struct transfer *)waiter;

	web_resume(tr->req);
}

static void count_bytes(const char *client, size_t n)
{
	json_t *old;

	pthread_mutex_lock(&store.lock);
	store.bytes += (json_int_t)n;
	old = json_object_get(store.by_client, client);
	json_object_set_new(
		store.by_client, client,
		json_integer(json_integer_value(old) + (json_int_t)n));
	pthread_mutex_unlock(&store.lock);
}

/* Reads the next bytes of a transfer, limited by the shared token bucket. */
static ssize_t transfer_read(void *arg, char *buf, size_t max)
{
	struct transfer *tr = arg;
	off_t end = tr->fault_offset ? tr->fault_offset : tr->end;
	size_t want = max;
	ssize_t n;
	ssize_t i;

	if (tr->offset >= end) {
		if (tr->fault == FAULT_STALL)
			return WEB_STREAM_WAIT;
		return tr->fault_offset ? WEB_STREAM_ERROR : WEB_STREAM_END;
	}
	if ((off_t)want > end - tr->offset)
		want = (size_t)(end - tr->offset);
	want = bucket_take(&store.bucket, &tr->waiter, want);
	if (!want)
		return WEB_STREAM_WAIT;
	n = pread(tr->fd, buf, want, tr->offset);
	if (n <= 0)
		return WEB_STREAM_ERROR;
	if (tr->fault == FAULT_CORRUPT)
		for (i = 0; i < n; i += CORRUPT_EVERY_BYTES)
			buf[i] = (char)~buf[i];
	tr->offset += n;
	count_bytes(tr->client, (size_t)n);
	return n;
}

/* Frees a transfer, whether complete or aborted. */
static void transfer_close(void *arg)
{
	struct transfer *tr = arg;

	bucket_remove_waiter(&store.bucket, &tr->waiter);
	close(tr->fd);
	free(tr);
}

static const struct web_stream_ops transfer_ops = { transfer_read,
						    transfer_close };

/*
 * Counts a request and decides whether the current fault affects it, with
 * probability fault_share.  The decisions depend on the seed only.
 */
static enum fault_mode choose_fault(long *retry_after_s)
{
	enum fault_mode fault = FAULT_OK;

	pthread_mutex_lock(&store.lock);
	store.requests++;
	*retry_after_s = store.retry_after_s;
	if (store.fault != FAULT_OK &&
	    (double)rand_r(&store.fault_seed) <
		    store.fault_share * (double)RAND_MAX)
		fault = store.fault;
	pthread_mutex_unlock(&store.lock);
	return fault;
}

/*
 * Parses a "bytes=a-b" header for a file of the given size.  Returns 1 if it
 * asks for a range, 0 if not, and -1 if the range cannot be satisfied.
 */
static int read_range(const char *range, off_t size, off_t *first, off_t *end)
{
	long long a;
	long long b;
	char *rest;

	*first = 0;
	*end = size;
	if (!range || strncmp(range, "bytes=", 6) != 0)
		return 0;
	a = strtoll(range + 6, &rest, 10);
	if (*rest != '-' || a < 0 || a >= size)
		return -1;
	b = rest[1] ? strtoll(rest + 1, NULL, 10) : size - 1;
	if (b < a)
		return -1;
	*first = a;
	*end = b >= size ? size : b + 1;
	return 1;
}

/* Sends a 429 response with a Retry-After header. */
static enum web_result reply_too_many_requests(struct web_request *req,
					       long after_s)
{
	struct MHD_Response *res =
		MHD_create_response_from_buffer(0, "", MHD_RESPMEM_PERSISTENT);
	char text[24];

	if (!res)
		return WEB_CLOSE;
	snprintf(text, sizeof(text), "%ld", after_s);
	MHD_add_response_header(res, "Retry-After", text);
	return web_send(req, MHD_HTTP_TOO_MANY_REQUESTS, res);
}

/* Opens the file at a request path below the store's directory. */
static int open_file(const char *path, off_t *size)
{
	char name[4096];
	struct stat st;
	int fd;

	if (strstr(path, "..") ||
	    snprintf(name, sizeof(name), "%s%s", store_directory, path) >=
		    (int)sizeof(name))
		return -1;
	fd = open(name, O_RDONLY | O_CLOEXEC);
	if (fd < 0)
		return -1;
	if (fstat(fd, &st) || !S_ISREG(st.st_mode)) {
		close(fd);
		return -1;
	}
	*size = st.st_size;
	return fd;
}

/* Replies with an open file or a range of it.  Takes ownership of fd. */
static enum web_result reply_file(struct web_request *req, int fd, off_t size,
				  enum fault_mode fault)
{
	struct transfer *tr;
	struct MHD_Response *res;
	char text[80];
	off_t first;
	off_t end;
	int range_status =
		read_range(web_header(req, "Range"), size, &first, &end);

	tr = range_status < 0 ? NULL : calloc(1, sizeof(*tr));
	if (!tr) {
		close(fd);
		return range_status < 0 ? web_reply_error(req, 416, "range")
					: WEB_CLOSE;
	}
	tr->waiter.wake = on_bucket_grant;
	tr->req = req;
	tr->fd = fd;
	tr->offset = first;
	tr->end = end;
	tr->fault = fault;
	if (fault == FAULT_STALL || fault == FAULT_SHORT)
		tr->fault_offset = first + (end - first + 1) / 2;
	snprintf(tr->client, sizeof(tr->client), "%s", web_peer_address(req));
	res = web_stream(req, (uint64_t)(end - first), &transfer_ops, tr);
	if (!res) {
		transfer_close(tr);
		return WEB_CLOSE;
	}
	if (range_status) {
		snprintf(text, sizeof(text), "bytes %lld-%lld/%lld",
			 (long long)first, (long long)end - 1, (long long)size);
		MHD_add_response_header(res, "Content-Range", text);
	}
	return web_send(req,
			range_status ? MHD_HTTP_PARTIAL_CONTENT : MHD_HTTP_OK,
			res);
}

/* Serves GET /weights/<file> and GET /manifests/<digest>. */
static enum web_result get_file(struct web_request *req)
{
	long retry_after_s;
	enum fault_mode fault = choose_fault(&retry_after_s);
	off_t size;
	int fd;

	if (fault == FAULT_DOWN)
		return WEB_CLOSE;
	if (fault == FAULT_429)
		return reply_too_many_requests(req, retry_after_s);
	if (fault == FAULT_500)
		return web_reply_error(req, 500, "fault");
	fd = open_file(req->path, &size);
	if (fd < 0)
		return web_reply_error(req, MHD_HTTP_NOT_FOUND, "no such file");
	if (!size) {
		close(fd);
		return web_reply(req, MHD_HTTP_OK, "", 0);
	}
	return reply_file(req, fd, size, fault);
}

/* Serves POST /standin/fault. */
static enum web_result post_fault(struct web_request *req)
{
	json_t *obj = web_body(req);
	const char *name = json_string_value(json_object_get(obj, "mode"));
	json_t *share = json_object_get(obj, "share");
	json_t *after = json_object_get(obj, "retry_after");
	int fault = web_find_word(fault_names, FAULT_COUNT, name);

	if (fault < 0) {
		json_decref(obj);
		return web_reply_error(req, MHD_HTTP_BAD_REQUEST, "bad fault");
	}
	pthread_mutex_lock(&store.lock);
	store.fault = fault;
	store.fault_share = share ? json_number_value(share) : 1;
	store.retry_after_s =
		after ? (long)json_integer_value(after) : DEFAULT_RETRY_AFTER_S;
	pthread_mutex_unlock(&store.lock);
	json_decref(obj);
	return web_reply(req, MHD_HTTP_NO_CONTENT, "", 0);
}

/* Serves GET /standin/counts. */
static enum web_result get_counts(struct web_request *req)
{
	json_t *obj;

	pthread_mutex_lock(&store.lock);
	obj = json_pack("{s:I,s:I,s:o}", "bytes", store.bytes, "requests",
			store.requests, "by_client",
			json_copy(store.by_client));
	pthread_mutex_unlock(&store.lock);
	return web_reply_json(req, MHD_HTTP_OK, obj);
}

static enum web_result handle(struct web_request *req, void *arg)
{
	if (!strcmp(req->path, "/standin/fault"))
		return post_fault(req);
	if (!strcmp(req->path, "/standin/counts"))
		return get_counts(req);
	if (strcmp(req->method, "GET") != 0)
		return web_reply_error(req, MHD_HTTP_METHOD_NOT_ALLOWED,
				       "read only");
	if (!strncmp(req->path, "/weights/", 9) ||
	    !strncmp(req->path, "/manifests/", 11))
		return get_file(req);
	return web_reply_error(req, MHD_HTTP_NOT_FOUND, "no such path");
}

static const struct web_ops ops = { handle, NULL };

/* Stand-in of the weight store. */
int main(int argc, const char **argv)
{
	int port = DEFAULT_PORT;
	int seed = 1;
	long long rate = 0;
	const struct poptOption options[] = {
		{ "address", 'a', POPT_ARG_STRING, NULL, 'a',
		  "address or range to listen on, may be repeated", "ADDRESS" },
		{ "port", 'p', POPT_ARG_INT, &port, 0, "TCP port", "PORT" },
		{ "directory", 'd', POPT_ARG_STRING, &store_directory, 0,
		  "directory with weights/ and manifests/", "DIR" },
		{ "rate", 'r', POPT_ARG_LONGLONG, &rate, 0,
		  "total bytes per second of all connections", "BYTES" },
		{ "seed", 's', POPT_ARG_INT, &seed, 0,
		  "seed that decides which responses have a fault", "N" },
		POPT_AUTOHELP POPT_TABLEEND
	};
	struct web_server *server;

	options_parse(argc, argv, options, addresses_add_option);
	web_block_exit_signals();
	store.fault_seed = (unsigned)seed;
	store.by_client = json_object();
	bucket_init(&store.bucket, rate, web_now_ms() * US_PER_MS);
	server = web_start(&ops, NULL, SERVER_THREADS);
	if (!server || web_start_ticker(TICK_US, on_tick, NULL))
		return 1;
	if (addresses_listen(server, port))
		return 1;
	return web_wait_for_exit_signal();
}
