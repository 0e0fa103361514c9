#include "net/rpc.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <rpc/rpc_com.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/log.h"
#include "base/metric.h"
#include "net/cut.h"
#include "net/envelope.h"
#include "net/replay.h"
#include "net/rpc-reply.h"

#define RECORD_MAX_BYTES (ENVELOPE_BODY_MAX + 4096) /* bytes */
#define LISTEN_BACKLOG 256
#define POLL_MS 100
#define KIND_TABLES_MAX 16

/* One server per process, as libtirpc keeps its server state globally. */
static struct {
	struct rpc_identity self;
	struct replay replay;
	const struct rpc_kind *kinds[KIND_TABLES_MAX];
	void *args[KIND_TABLES_MAX];
	int kind_table_count;
	SVCXPRT *listener;
	struct rpc_reply_queue *replies;
	pthread_t thread;
	int running;
	int stopping;
} server;

static const struct rpc_kind *find_kind(uint32_t id, void **arg)
{
	const struct rpc_kind *k;
	int i;

	for (i = 0; i < server.kind_table_count; i++) {
		for (k = server.kinds[i]; k->id; k++) {
			if (k->id != id)
				continue;
			*arg = server.args[i];
			return k;
		}
	}
	return NULL;
}

/* Decodes the body, runs the handler and encodes its reply. */
static enum envelope_status serve_message(const struct rpc_kind *k, void *arg,
					  const struct rpc_peer *from,
					  struct envelope_request *req,
					  struct envelope_reply *rep)
{
	enum envelope_status status = ENVELOPE_OK;
	void *in = calloc(1, k->request_size ? k->request_size : 1);
	void *out = calloc(1, k->reply_size ? k->reply_size : 1);

	if (!in || !out)
		abort();
	if (xdr_from_memory(k->request_xdr, in, req->body.body_val,
			    req->body.body_len)) {
		status = ENVELOPE_BODY;
		goto out;
	}
	if (k->serve(arg, from, in, out))
		status = ENVELOPE_REFUSED;
	else if (xdr_to_memory(k->reply_xdr, out, &rep->body.body_val,
			       &rep->body.body_len))
		status = ENVELOPE_REFUSED;
	xdr_free(k->reply_xdr, out);
	xdr_free(k->request_xdr, in);
out:
	free(in);
	free(out);
	return status;
}

static enum envelope_status serve_request(struct envelope_request *req,
					  struct envelope_reply *rep,
					  const char *address)
{
	struct rpc_peer from = { req->sender, req->sender_boot, address };
	enum envelope_status status;
	const struct rpc_kind *k;
	void *arg;

	if (req->target_boot != server.self.boot)
		return ENVELOPE_BOOT;
	if (replay_check(&server.replay, req->sender_boot, req->sequence)) {
		xdr_to_memory((xdrproc_t)xdr_u_int64_t, &server.replay.floor,
			      &rep->body.body_val, &rep->body.body_len);
		return ENVELOPE_REPLAY;
	}
	k = find_kind(req->kind, &arg);
	if (!k)
		return ENVELOPE_KIND;
	status = serve_message(k, arg, &from, req, rep);
	metric_count("rpc_kind_bytes", k->name,
		     req->body.body_len + rep->body.body_len + 320);
	return status;
}

static void serve_exchange(SVCXPRT *xprt, const char *address)
{
	struct envelope_request req;
	struct envelope_reply rep;

	memset(&req, 0, sizeof(req));
	memset(&rep, 0, sizeof(rep));
	if (!svc_getargs(xprt, (xdrproc_t)xdr_envelope_request, &req)) {
		metric_count("rpc_malformed", NULL, 1);
		svcerr_decode(xprt);
		return;
	}
	metric_count("rpc_received_bytes", NULL, req.body.body_len + 160);
	if (envelope_request_verify(&req, &server.self.keys)) {
		metric_count("rpc_unauthenticated", NULL, 1);
		log_warning(
			"rpc-serve", address,
			"message authentication failed; rejecting the message");
		svcerr_auth(xprt, AUTH_REJECTEDCRED);
		goto out;
	}
	rep.status = serve_request(&req, &rep, address);
	rep.instance = server.self.instance;
	rep.boot = server.self.boot;
	rep.sequence = req.sequence;
	svc_freeargs(xprt, (xdrproc_t)xdr_envelope_request, &req);
	rpc_reply_send(server.replies, xprt, &rep, server.self.keys.current);
	return;
out:
	svc_freeargs(xprt, (xdrproc_t)xdr_envelope_request, &req);
}

static void dispatch(struct svc_req *rq, SVCXPRT *xprt)
{
	const struct sockaddr_in *sa =
		(const struct sockaddr_in *)svc_getrpccaller(xprt)->buf;
	char address[INET_ADDRSTRLEN] = "";

	if (sa && sa->sin_family == AF_INET)
		inet_ntop(AF_INET, &sa->sin_addr, address, sizeof(address));
	if (is_address_partitioned(address)) {
		svcerr_systemerr(xprt);
		return;
	}
	if (rq->rq_proc == NULLPROC)
		svc_sendreply(xprt, (xdrproc_t)(void *)xdr_void, NULL);
	else if (rq->rq_proc == EXCHANGE)
		serve_exchange(xprt, address);
	else
		svcerr_noproc(xprt);
}

/* Serves until rpc_server_stop, unlike svc_run, which never returns. */
static void *server_main(void *arg)
{
	struct pollfd *fds = NULL;
	int wake_fd = rpc_reply_wake_fd(server.replies);
	int size = 0, count, ready;

	(void)arg;
	while (!__atomic_load_n(&server.stopping, __ATOMIC_RELAXED)) {
		count = svc_max_pollfd;
		if (!fds || count >= size) {
			free(fds);
			size = (count + 1) * 2;
			fds = calloc((size_t)size, sizeof(*fds));
			if (!fds)
				abort();
		}
		if (count)
			memcpy(fds, svc_pollfd, (size_t)count * sizeof(*fds));
		fds[count] = (struct pollfd){ .fd = wake_fd, .events = POLLIN };
		ready = poll(fds, (nfds_t)count + 1, POLL_MS);
		if (ready > 0 && fds[count].revents) {
			rpc_reply_take_back(server.replies);
			ready--;
		}
		if (ready > 0)
			svc_getreq_poll(fds, ready);
	}
	free(fds);
	return NULL;
}

static int open_listen_socket(const char *address, int port, struct error *err)
{
	struct sockaddr_in sa = { .sin_family = AF_INET };
	int fd, on = 1;

	sa.sin_port = htons((uint16_t)port);
	if (inet_pton(AF_INET, address, &sa.sin_addr) != 1)
		return error_set(err, ERROR_INVALID, "rpc-listen", address,
				 "not an IPv4 address");
	fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return error_set(err, ERROR_INTERNAL, "rpc-listen", address,
				 "no socket: %m");
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, (struct sockaddr *)&sa, sizeof(sa)) ||
	    listen(fd, LISTEN_BACKLOG)) {
		error_set(err, ERROR_INTERNAL, "rpc-listen", address,
			  "cannot listen on port %d: %m", port);
		close(fd);
		return -1;
	}
	return fd;
}

/*
 * Adds a table of message kinds, which ends with id 0 and must outlive the
 * server.  arg is passed to its handlers.  Call before rpc_server_start.
 * Returns -1 when there are too many tables.
 */
int rpc_server_add(const struct rpc_kind *kinds, void *arg)
{
	if (server.kind_table_count == KIND_TABLES_MAX)
		return -1;
	server.kinds[server.kind_table_count] = kinds;
	server.args[server.kind_table_count++] = arg;
	return 0;
}

/* Listens on address:port and serves on a thread of its own. */
int rpc_server_start(const char *address, int port,
		     const struct rpc_identity *self, struct error *err)
{
	int max = RECORD_MAX_BYTES;
	int fd;

	server.self = *self;
	rpc_control(RPC_SVC_CONNMAXREC_SET, &max);
	fd = open_listen_socket(address, port, err);
	if (fd < 0)
		return -1;
	server.listener = svc_vc_create(fd, 0, 0);
	if (!server.listener || !svc_reg(server.listener, LIMPET_PROGRAM,
					 LIMPET_VERSION, dispatch, NULL)) {
		close(fd);
		return error_set(err, ERROR_INTERNAL, "rpc-listen", address,
				 "the RPC library refused the socket");
	}
	server.replies = rpc_reply_queue_start();
	if (!server.replies ||
	    pthread_create(&server.thread, NULL, server_main, NULL))
		return error_set(err, ERROR_INTERNAL, "rpc-listen", address,
				 "no thread: %m");
	server.running = 1;
	return 0;
}

/* Stops serving.  Connections stay open until the process exits. */
void rpc_server_stop(void)
{
	if (!server.running)
		return;
	__atomic_store_n(&server.stopping, 1, __ATOMIC_RELAXED);
	pthread_join(server.thread, NULL);
	rpc_reply_queue_stop(server.replies);
	server.replies = NULL;
	svc_destroy(server.listener);
	server.running = 0;
}
