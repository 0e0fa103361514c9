#include <apr_general.h>
#include <arpa/inet.h>
#include <check.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/clock.h"
#include "net/cut.h"
#include "net/envelope.h"
#include "net/fetch.h"
#include "net/httpd.h"
#include "net/replay.h"
#include "net/rpc.h"

/*
 * Tests the HTTP server with the HTTP client and the RPC server with its
 * client, on the loopback address given as the first argument.
 */

#define HTTP_PORT 7100
#define RPC_PORT 7101
#define BIG_SIZE (3 * 1024 * 1024)

static const char *address;
static char url[256];

static const char *make_url(const char *path)
{
	snprintf(url, sizeof(url), "http://%s:%d%s", address, HTTP_PORT, path);
	return url;
}

static void echo(struct http_call *c, void *arg)
{
	size_t size;
	const void *body = http_call_body(c, &size);

	http_call_set(c, "X-Echo",
		      http_call_header(c, "X-Echo")
			      ? http_call_header(c, "X-Echo")
			      : "none");
	http_call_reply(c, 200, "text/plain", body, size);
}

struct handle_later {
	struct http_call *call;
	int mode;
};

static void *answer_later(void *arg)
{
	struct handle_later *l = arg;
	int i;

	usleep(20000);
	if (l->mode == 0) {
		http_call_reply(l->call, 200, "text/plain", "late", 4);
	} else {
		http_call_stream_begin(l->call, 200, "text/plain",
				       FRAMING_CHUNKED, 0);
		for (i = 0; i < 100; i++) {
			http_call_stream_write(l->call, "0123456789", 10);
			if (i % 10 == 0)
				usleep(1000);
		}
		http_call_stream_end(l->call, l->mode == 1);
	}
	free(l);
	return NULL;
}

static void handle_later(struct http_call *c, void *arg)
{
	struct handle_later *l = malloc(sizeof(*l));
	const char *mode = http_call_query(c, "mode");
	pthread_t t;

	l->call = c;
	l->mode = mode ? atoi(mode) : 0;
	pthread_create(&t, NULL, answer_later, l);
	pthread_detach(t);
}

static void handle_never(struct http_call *c, void *arg)
{
	/* Stored in *arg; the test answers it at its end. */
	__atomic_store_n((struct http_call **)arg, c, __ATOMIC_RELEASE);
}

static struct http_call *held_call;

static struct http_call *load_held_call(void)
{
	return __atomic_load_n(&held_call, __ATOMIC_ACQUIRE);
}

static const struct http_route routes[] = {
	{ "POST", "/echo", BIG_SIZE, echo, NULL },
	{ "GET", "/later", 0, handle_later, NULL },
	{ NULL, "/never", 0, handle_never, &held_call },
	{ NULL }
};

static struct httpd *server;
static struct fetcher *fetcher;

static void start_http(void)
{
	struct error err = ERROR_INIT;

	server = httpd_start(address, HTTP_PORT, routes, 2, &err);
	ck_assert_msg(server != NULL, "%s", err.text);
	fetcher = fetcher_start(address, &err);
	ck_assert_msg(fetcher != NULL, "%s", err.text);
}

static void stop_http(void)
{
	fetcher_stop(fetcher);
	httpd_stop(server);
}

START_TEST(body_and_headers_are_echoed)
{
	static char big[BIG_SIZE];
	struct fetch f = { .url = make_url("/echo"),
			   .headers = { "X-Echo: seven" },
			   .body = big,
			   .body_size = sizeof(big) };
	char *body;
	size_t size;

	memset(big, 'x', sizeof(big));
	ck_assert_int_eq(fetch_wait(fetcher, &f, &body, &size), 200);
	ck_assert_uint_eq(size, sizeof(big));
	ck_assert(!memcmp(big, body, size));
	free(body);
}
END_TEST

START_TEST(oversized_body_and_unknown_path_are_refused)
{
	static char big[BIG_SIZE + 1];
	struct fetch f = { .url = make_url("/echo"),
			   .body = big,
			   .body_size = sizeof(big) };
	struct fetch g = { .url = NULL };

	ck_assert_int_eq(fetch_wait(fetcher, &f, NULL, NULL), 413);
	g.url = make_url("/none");
	ck_assert_int_eq(fetch_wait(fetcher, &g, NULL, NULL), 404);
}
END_TEST

START_TEST(late_answer_and_complete_stream_are_received)
{
	struct fetch f = { .url = make_url("/later") };
	struct fetch g = { .url = NULL };
	char *body;
	size_t size;

	ck_assert_int_eq(fetch_wait(fetcher, &f, &body, &size), 200);
	ck_assert_str_eq(body, "late");
	free(body);
	g.url = make_url("/later?mode=1");
	ck_assert_int_eq(fetch_wait(fetcher, &g, &body, &size), 200);
	ck_assert_uint_eq(size, 1000);
	free(body);
}
END_TEST

START_TEST(truncated_stream_is_detected)
{
	struct fetch f = { .url = make_url("/later?mode=2") };

	ck_assert_int_eq(fetch_wait(fetcher, &f, NULL, NULL), -1);
	ck_assert_int_eq(f.error.code, ERROR_CORRUPT);
	ck_assert_int_eq(f.never_sent, 0);
}
END_TEST

START_TEST(refused_connection_sets_never_sent)
{
	struct fetch f = { .url = NULL };
	char other[128];

	snprintf(other, sizeof(other), "http://%s:7199/", address);
	f.url = other;
	ck_assert_int_eq(fetch_wait(fetcher, &f, NULL, NULL), -1);
	ck_assert_int_eq(f.error.code, ERROR_UNREACHABLE);
	ck_assert_int_eq(f.never_sent, 1);
}
END_TEST

START_TEST(missing_answer_times_out_as_sent)
{
	struct fetch f = { .url = make_url("/never"), .timeout_ms = 100 };

	ck_assert_int_eq(fetch_wait(fetcher, &f, NULL, NULL), -1);
	ck_assert_int_eq(f.error.code, ERROR_TIMEOUT);
	ck_assert_int_eq(f.never_sent, 0);
	http_call_reply(load_held_call(), 200, NULL, "",
			0); /* after the time-out: discarded */
}
END_TEST

START_TEST(fetch_is_not_sent_after_send_by)
{
	struct fetch f = { .url = make_url("/echo"),
			   .body = "a",
			   .body_size = 1,
			   .send_by = clock_now() - 1 };

	ck_assert_int_eq(fetch_wait(fetcher, &f, NULL, NULL), -1);
	ck_assert_int_eq(f.never_sent, 1);
	ck_assert_int_eq(f.is_too_late, 1);
	f.send_by = clock_now() + APR_USEC_PER_SEC;
	ck_assert_int_eq(fetch_wait(fetcher, &f, NULL, NULL), 200);
	ck_assert_int_eq(f.is_too_late, 0);
}
END_TEST

START_TEST(partitioned_address_is_unreachable)
{
	struct fetch f = { .url = make_url("/echo"),
			   .body = "a",
			   .body_size = 1 };
	const char *prefix = address;

	partition_set(&prefix, 1);
	ck_assert_int_eq(fetch_wait(fetcher, &f, NULL, NULL), -1);
	ck_assert_int_eq(f.never_sent, 1);
	partition_set(NULL, 0);
	ck_assert_int_eq(fetch_wait(fetcher, &f, NULL, NULL), 200);
}
END_TEST

struct cancelled_fetch {
	struct fetch fetch;
	pthread_mutex_t mutex;
	pthread_cond_t cond;
	int pieces;
	int done;
};

static void mark_done(struct fetch *f)
{
	struct cancelled_fetch *h = f->arg;

	pthread_mutex_lock(&h->mutex);
	free(f->text);
	h->done = 1;
	pthread_cond_signal(&h->cond);
	pthread_mutex_unlock(&h->mutex);
}

START_TEST(cancelled_fetch_calls_done)
{
	static const struct fetch_ops ops = { NULL, NULL, mark_done };
	struct cancelled_fetch h = { .mutex = PTHREAD_MUTEX_INITIALIZER,
				     .cond = PTHREAD_COND_INITIALIZER };

	h.fetch.ops = &ops;
	h.fetch.arg = &h;
	h.fetch.url = make_url("/never");
	fetch_submit(fetcher, &h.fetch);
	usleep(50000);
	fetch_cancel(&h.fetch);
	pthread_mutex_lock(&h.mutex);
	while (!h.done)
		pthread_cond_wait(&h.cond, &h.mutex);
	pthread_mutex_unlock(&h.mutex);
	ck_assert_int_ne(h.fetch.error.code, ERROR_NONE);
	http_call_reply(load_held_call(), 200, NULL, "", 0);
}
END_TEST

/* Pauses at the first piece and gives up when it gets it again. */
static int pause_then_abort(struct fetch *f, const void *data, size_t size)
{
	struct cancelled_fetch *h = f->arg;

	pthread_mutex_lock(&h->mutex);
	h->pieces++;
	pthread_mutex_unlock(&h->mutex);
	return h->pieces == 1 ? FETCH_PAUSE : -1;
}

/*
 * Guards against an answer with a hole: the piece that is refused on resuming
 * is dropped, and the ones behind it are passed on.
 */
START_TEST(piece_refused_after_pause_ends_the_transfer)
{
	static const struct fetch_ops ops = { NULL, pause_then_abort,
					      mark_done };
	struct cancelled_fetch h = { .mutex = PTHREAD_MUTEX_INITIALIZER,
				     .cond = PTHREAD_COND_INITIALIZER };

	h.fetch.ops = &ops;
	h.fetch.arg = &h;
	h.fetch.url = make_url("/later?mode=1");
	h.fetch.timeout_ms = 2000;
	fetch_submit(fetcher, &h.fetch);
	usleep(200000);
	fetch_resume(&h.fetch);
	pthread_mutex_lock(&h.mutex);
	while (!h.done)
		pthread_cond_wait(&h.cond, &h.mutex);
	pthread_mutex_unlock(&h.mutex);
	ck_assert_int_eq(h.pieces, 2);
	ck_assert_int_eq(h.fetch.error.code, ERROR_REFUSED);
}
END_TEST

static int add_one(void *arg, const struct rpc_peer *from, const void *request,
		   void *reply)
{
	(*(int *)arg)++;
	if (*(const int *)request < 0)
		return -1;
	*(int *)reply = *(const int *)request + 1;
	return 0;
}

static int served;
static const struct rpc_kind kinds[] = { { 900, "add-one", (xdrproc_t)xdr_int,
					   sizeof(int), (xdrproc_t)xdr_int,
					   sizeof(int), add_one },
					 { 0 } };
static const struct rpc_kind unknown_kind = {
	901,	     "unknown",		 (xdrproc_t)xdr_int,
	sizeof(int), (xdrproc_t)xdr_int, sizeof(int),
	NULL
};
static struct rpc_identity self = { "server", 77, { "a-key-of-16-bytes", "" } };

static void start_rpc(void)
{
	struct error err = ERROR_INIT;

	served = 0;
	rpc_server_add(kinds, &served);
	ck_assert_int_eq(rpc_server_start(address, RPC_PORT, &self, &err), 0);
}

static void stop_rpc(void)
{
	rpc_server_stop();
}

START_TEST(rpc_answers_and_refuses)
{
	struct rpc_identity me = { "client", 5, { "a-key-of-16-bytes", "" } };
	struct rpc_client *c = rpc_client_new(address, &me);
	struct error err = ERROR_INIT;
	int in = 41, out = 0, i;

	for (i = 0; i < 100; i++) {
		ck_assert_int_eq(rpc_exchange(c, address, RPC_PORT, &kinds[0],
					      &in, &out, 1000, &err),
				 0);
		ck_assert_int_eq(out, 42);
	}
	ck_assert_int_eq(served, 100);
	in = -1;
	ck_assert_int_eq(rpc_exchange(c, address, RPC_PORT, &kinds[0], &in,
				      &out, 1000, &err),
			 -1);
	ck_assert_int_eq(err.code, ERROR_REFUSED);
	ck_assert_int_eq(rpc_exchange(c, address, RPC_PORT, &unknown_kind, &in,
				      &out, 1000, &err),
			 -1);
	rpc_client_free(c);
}
END_TEST

static void *create_auth(void *arg)
{
	pthread_barrier_wait(arg);
	authnone_create();
	return NULL;
}

/*
 * Guards against the leak of what threads create at the same time in their first
 * exchanges, which the sanitizer reports.
 */
START_TEST(rpc_first_exchanges_leak_nothing)
{
	struct rpc_identity me = { "client", 5, { "a-key-of-16-bytes", "" } };
	struct rpc_client *c = rpc_client_new(address, &me);
	pthread_t threads[4];
	pthread_barrier_t barrier;
	int i;

	pthread_barrier_init(&barrier, NULL, 4);
	for (i = 0; i < 4; i++)
		pthread_create(&threads[i], NULL, create_auth, &barrier);
	for (i = 0; i < 4; i++)
		pthread_join(threads[i], NULL);
	rpc_client_free(c);
}
END_TEST

START_TEST(rpc_with_wrong_key_is_rejected)
{
	struct rpc_identity me = { "client", 5, { "another-key-16-by", "" } };
	struct rpc_client *c = rpc_client_new(address, &me);
	struct error err = ERROR_INIT;
	int in = 41, out = 0;

	ck_assert_int_eq(rpc_exchange(c, address, RPC_PORT, &kinds[0], &in,
				      &out, 1000, &err),
			 -1);
	ck_assert_int_eq(err.code, ERROR_AUTH);
	ck_assert_int_eq(served, 0);
	rpc_client_free(c);
}
END_TEST

static int connect_raw(void)
{
	struct sockaddr_in sa = { .sin_family = AF_INET };
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	sa.sin_port = htons(RPC_PORT);
	inet_pton(AF_INET, address, &sa.sin_addr);
	ck_assert_int_eq(connect(fd, (struct sockaddr *)&sa, sizeof(sa)), 0);
	return fd;
}

/*
 * Sends junk, a record mark that announces 2 GB and half a record on
 * connections that stay open; the server must still answer other clients.
 */
START_TEST(rpc_serves_others_despite_malformed_and_stalled_peers)
{
	struct rpc_identity me = { "client", 6, { "a-key-of-16-bytes", "" } };
	struct rpc_client *c = rpc_client_new(address, &me);
	static const char huge[] = "\xff\xff\xff\xff";
	static const char half[] = "\x80\x00\x01\x00half";
	struct error err = ERROR_INIT;
	int fds[3], in = 1, out, i;

	for (i = 0; i < 3; i++)
		fds[i] = connect_raw();
	ck_assert(write(fds[0], "GET / HTTP/1.1\r\n\r\n", 18) == 18);
	ck_assert(write(fds[1], huge, 4) == 4);
	ck_assert(write(fds[2], half, 8) == 8);
	usleep(100000);
	for (i = 0; i < 10; i++)
		ck_assert_int_eq(rpc_exchange(c, address, RPC_PORT, &kinds[0],
					      &in, &out, 1000, &err),
				 0);
	for (i = 0; i < 3; i++)
		close(fds[i]);
	rpc_client_free(c);
}
END_TEST

#define OTHER_SENDERS REPLAY_SENDERS

START_TEST(message_of_forgotten_sender_is_no_news)
{
	struct replay *r = calloc(1, sizeof(*r));
	uint64_t i;

	for (i = 1; i <= 200; i++)
		ck_assert_int_eq(replay_check(r, 5, i), 0);
	for (i = 0; i < OTHER_SENDERS; i++)
		ck_assert_int_eq(replay_check(r, 1000 + i, 201 + i), 0);
	/* Sender 5 was evicted; its messages still count as seen. */
	for (i = 1; i <= 200; i++)
		ck_assert_int_eq(replay_check(r, 5, i), -1);
	ck_assert_int_eq(replay_check(r, 5, 201), 0);
	free(r);
}
END_TEST

static void exchange_as(uint64_t boot, int count)
{
	struct rpc_identity me = { "client",
				   boot,
				   { "a-key-of-16-bytes", "" } };
	struct rpc_client *c = rpc_client_new(address, &me);
	struct error err = ERROR_INIT;
	int i, in = 1, out = 0;

	for (i = 0; i < count; i++)
		ck_assert_msg(!rpc_exchange(c, address, RPC_PORT, kinds, &in,
					    &out, 2000, &err),
			      "boot %d: %s", (int)boot, err.text);
	rpc_client_free(c);
}

/* The first sender gets far, is evicted, and newcomers begin at 1. */
START_TEST(rpc_newcomers_are_served_after_evictions)
{
	int i;

	exchange_as(5, 200);
	for (i = 0; i < OTHER_SENDERS + 10; i++)
		exchange_as(1000 + (uint64_t)i, 1);
	ck_assert_int_eq(served, 200 + OTHER_SENDERS + 10);
}
END_TEST

int main(int argc, char **argv)
{
	Suite *s = suite_create("net");
	TCase *http = tcase_create("http");
	TCase *rpc = tcase_create("rpc");
	SRunner *r;
	int failed;

	if (argc != 2)
		return EXIT_FAILURE;
	address = argv[1];
	apr_initialize();
	tcase_add_checked_fixture(http, start_http, stop_http);
	tcase_add_test(http, body_and_headers_are_echoed);
	tcase_add_test(http, oversized_body_and_unknown_path_are_refused);
	tcase_add_test(http, late_answer_and_complete_stream_are_received);
	tcase_add_test(http, truncated_stream_is_detected);
	tcase_add_test(http, refused_connection_sets_never_sent);
	tcase_add_test(http, missing_answer_times_out_as_sent);
	tcase_add_test(http, fetch_is_not_sent_after_send_by);
	tcase_add_test(http, partitioned_address_is_unreachable);
	tcase_add_test(http, cancelled_fetch_calls_done);
	tcase_add_test(http, piece_refused_after_pause_ends_the_transfer);
	tcase_add_checked_fixture(rpc, start_rpc, stop_rpc);
	tcase_add_test(rpc, rpc_answers_and_refuses);
	tcase_add_test(rpc, rpc_first_exchanges_leak_nothing);
	tcase_add_test(rpc, rpc_with_wrong_key_is_rejected);
	tcase_add_test(rpc, message_of_forgotten_sender_is_no_news);
	tcase_add_test(rpc, rpc_newcomers_are_served_after_evictions);
	tcase_add_test(rpc,
		       rpc_serves_others_despite_malformed_and_stalled_peers);
	suite_add_tcase(s, http);
	suite_add_tcase(s, rpc);
	r = srunner_create(s);
	srunner_run_all(r, CK_VERBOSE);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
