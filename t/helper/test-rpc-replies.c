#include <apr_general.h>
#include <arpa/inet.h>
#include <check.h>
#include <pthread.h>
#include <semaphore.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "net/envelope.h"
#include "net/rpc.h"

/* Replies that are larger than what a peer or its connection takes at once. */

#define RPC_PORT 7405
#define SERVER_BOOT 77
#define LARGE_BYTES (1024 * 1024)
#define PEERS 3
#define RECEIVE_BUFFER 4096 /* bytes */
#define SEND_BUFFER 16384   /* bytes */

static const char *address;
static const char key[] = "a-key-of-16-bytes";
static const struct rpc_identity server_identity = {
	"server", SERVER_BOOT, { "a-key-of-16-bytes", "" }
};

struct bytes {
	u_int size;
	char *data;
};

static bool_t xdr_reply_bytes(XDR *x, struct bytes *b)
{
	return xdr_bytes(x, &b->data, &b->size, LARGE_BYTES);
}

/* Replies with as many bytes as were asked for. */
static int serve_bytes(void *arg, const struct rpc_peer *from,
		       const void *request, void *reply)
{
	struct bytes *b = reply;

	(void)arg;
	(void)from;
	b->size = (u_int) * (const int *)request;
	b->data = malloc(b->size);
	memset(b->data, 'x', b->size);
	return 0;
}

static const struct rpc_kind kinds[] = {
	{ 910, "bytes", (xdrproc_t)xdr_int, sizeof(int),
	  (xdrproc_t)xdr_reply_bytes, sizeof(struct bytes), serve_bytes },
	{ 0 }
};

/* A peer that asks for a large reply and reads it only when it is told to. */
struct peer {
	pthread_t thread;
	CLIENT *client;
	sem_t may_read;
	uint64_t boot;
	enum clnt_stat stat;
	u_int received;
};

static struct peer peers[PEERS];

static bool_t read_when_told(XDR *x, void *arg)
{
	struct peer *p = *(struct peer **)arg;
	struct envelope_reply rep;

	if (x->x_op == XDR_DECODE) {
		sem_wait(&p->may_read);
		memset(&rep, 0, sizeof(rep));
		if (!xdr_envelope_reply(x, &rep))
			return FALSE;
		p->received = rep.body.body_len;
		xdr_free((xdrproc_t)xdr_envelope_reply, &rep);
	}
	return TRUE;
}

static CLIENT *connect_peer(void)
{
	struct sockaddr_in sa = { .sin_family = AF_INET };
	struct netbuf to = { sizeof(sa), sizeof(sa), &sa };
	int fd = socket(AF_INET, SOCK_STREAM, 0), size = RECEIVE_BUFFER;
	CLIENT *c;

	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
	sa.sin_port = htons(RPC_PORT);
	inet_pton(AF_INET, address, &sa.sin_addr);
	ck_assert_int_eq(connect(fd, (struct sockaddr *)&sa, sizeof(sa)), 0);
	c = clnt_vc_create(fd, &to, LIMPET_PROGRAM, LIMPET_VERSION, 0, 0);
	ck_assert_ptr_nonnull(c);
	clnt_control(c, CLSET_FD_CLOSE, NULL);
	return c;
}

static void *peer_main(void *arg)
{
	struct peer *p = arg;
	struct envelope_request req = { .sender = (char *)"peer",
					.sender_boot = p->boot,
					.target_boot = SERVER_BOOT,
					.sequence = 1,
					.kind = 910 };
	struct timeval timeout = { 20, 0 };
	int size = LARGE_BYTES;
	struct digest mac;

	xdr_to_memory((xdrproc_t)xdr_int, &size, &req.body.body_val,
		      &req.body.body_len);
	envelope_request_sign(&req, key, &mac);
	p->stat =
		clnt_call(p->client, EXCHANGE, (xdrproc_t)xdr_envelope_request,
			  (char *)&req, (xdrproc_t)(void *)read_when_told,
			  (char *)&p, timeout);
	free(req.body.body_val);
	clnt_destroy(p->client);
	return NULL;
}

static void start_peers(void)
{
	int i;

	for (i = 0; i < PEERS; i++) {
		peers[i].boot = 100 + (uint64_t)i;
		peers[i].client = connect_peer();
		sem_init(&peers[i].may_read, 0, 0);
		pthread_create(&peers[i].thread, NULL, peer_main, &peers[i]);
	}
	usleep(200 * 1000); /* until their requests are served */
}

static void join_peers(void)
{
	int i;

	for (i = 0; i < PEERS; i++)
		sem_post(&peers[i].may_read);
	for (i = 0; i < PEERS; i++)
		pthread_join(peers[i].thread, NULL);
}

/* Lets the server's connections take little, as those of small machines do. */
static void limit_send_buffers(void)
{
	int fd, is_listening, size = SEND_BUFFER;
	socklen_t length = sizeof(is_listening);

	for (fd = 3; fd < 64; fd++)
		if (!getsockopt(fd, SOL_SOCKET, SO_ACCEPTCONN, &is_listening,
				&length) &&
		    is_listening)
			setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &size,
				   sizeof(size));
}

static void setup(void)
{
	struct error err = ERROR_INIT;

	rpc_server_add(kinds, NULL);
	ck_assert_int_eq(
		rpc_server_start(address, RPC_PORT, &server_identity, &err), 0);
	limit_send_buffers();
}

static int exchange(struct rpc_client *c, int size, int timeout_ms)
{
	struct error err = ERROR_INIT;
	struct bytes reply;
	int ret = rpc_exchange(c, address, RPC_PORT, kinds, &size, &reply,
			       timeout_ms, &err);

	if (ret)
		return -1;
	ck_assert_uint_eq(reply.size, (u_int)size);
	xdr_free((xdrproc_t)xdr_reply_bytes, &reply);
	return 0;
}

static struct rpc_client *make_client(uint64_t boot)
{
	struct rpc_identity me = { "client",
				   boot,
				   { "a-key-of-16-bytes", "" } };

	return rpc_client_new(address, &me);
}

/*
 * Guards against messages that wait, unserved, until a peer that is paused or
 * has a slow link has taken its reply.
 */
START_TEST(others_are_served_while_peers_do_not_read_their_replies)
{
	struct rpc_client *c = make_client(5);
	int i;

	start_peers();
	for (i = 0; i < 20; i++)
		ck_assert_int_eq(exchange(c, 10, 500), 0);
	ck_assert_int_eq(exchange(c, LARGE_BYTES, 2000), 0);
	ck_assert_int_eq(exchange(c, 10, 500), 0);
	join_peers();
	for (i = 0; i < PEERS; i++) {
		ck_assert_int_eq(peers[i].stat, RPC_SUCCESS);
		ck_assert_uint_gt(peers[i].received, LARGE_BYTES);
	}
	rpc_client_free(c);
}
END_TEST

static int64_t process_cpu_ms(void)
{
	struct timespec t;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
	return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

/* Guards against processor time spent on waiting for such a peer. */
START_TEST(waiting_for_a_peer_costs_no_processor_time)
{
	int64_t before;

	start_peers();
	before = process_cpu_ms();
	sleep(1);
	ck_assert_int_le(process_cpu_ms() - before, 100);
	join_peers();
}
END_TEST

int main(int argc, char **argv)
{
	Suite *s = suite_create("rpc-replies");
	TCase *t = tcase_create("rpc-replies");
	SRunner *r;
	int failed;

	address = argc > 1 ? argv[1] : "127.0.0.1";
	apr_initialize();
	tcase_add_checked_fixture(t, setup, rpc_server_stop);
	tcase_add_test(t,
		       others_are_served_while_peers_do_not_read_their_replies);
	tcase_add_test(t, waiting_for_a_peer_costs_no_processor_time);
	tcase_set_timeout(t, 60);
	suite_add_tcase(s, t);
	r = srunner_create(s);
	srunner_run_all(r, CK_VERBOSE);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
