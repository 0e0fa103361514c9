#include "net/rpc.h"

#include <apr_hash.h>
#include <apr_pools.h>
#include <apr_strings.h>
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/metric.h"
#include "net/connect.h"
#include "net/cut.h"
#include "net/envelope.h"

#define IDLE_PER_PEER_MAX 2
#define ATTEMPTS_MAX 4 /* of one exchange */

/* Maximum number of peers with a cached boot and idle connections. */
#define PEERS_MAX 4096

/* Cached boot and idle connections of one address:port. */
struct peer {
	uint64_t boot; /* 0: unknown */
	CLIENT *idle[IDLE_PER_PEER_MAX];
	int idle_count;
};

struct rpc_client {
	struct rpc_identity self;
	char local_address[64];
	pthread_mutex_t mutex;
	apr_pool_t *pool;
	apr_hash_t *peers;
	uint64_t sequence;
};

/* Creates a client that connects from local_address, or any if NULL. */
struct rpc_client *rpc_client_new(const char *local_address,
				  const struct rpc_identity *self)
{
	struct rpc_client *c = calloc(1, sizeof(*c));

	if (!c)
		abort();
	c->self = *self;
	snprintf(c->local_address, sizeof(c->local_address), "%s",
		 local_address ? local_address : "");
	pthread_mutex_init(&c->mutex, NULL);
	apr_pool_create(&c->pool, NULL);
	c->peers = apr_hash_make(c->pool);
	/* libtirpc leaks what two threads create here at the same time. */
	authnone_create();
	return c;
}

static void close_idle_connections(struct peer *p)
{
	int i;

	for (i = 0; i < p->idle_count; i++)
		clnt_destroy(p->idle[i]);
	p->idle_count = 0;
}

/* Closes idle connections and frees the client; none may be in use. */
void rpc_client_free(struct rpc_client *c)
{
	apr_hash_index_t *i;
	void *value;

	if (!c)
		return;
	for (i = apr_hash_first(c->pool, c->peers); i; i = apr_hash_next(i)) {
		apr_hash_this(i, NULL, NULL, &value);
		close_idle_connections(value);
	}
	apr_pool_destroy(c->pool);
	pthread_mutex_destroy(&c->mutex);
	free(c);
}

/* The caller holds the mutex. */
static struct peer *find_or_add_peer(struct rpc_client *c, const char *address,
				     int port)
{
	struct peer *p;
	char key[96];

	snprintf(key, sizeof(key), "%s:%d", address, port);
	p = apr_hash_get(c->peers, key, APR_HASH_KEY_STRING);
	if (p || apr_hash_count(c->peers) >= PEERS_MAX)
		return p;
	p = apr_pcalloc(c->pool, sizeof(*p));
	apr_hash_set(c->peers, apr_pstrdup(c->pool, key), APR_HASH_KEY_STRING,
		     p);
	return p;
}

/*
 * Closes the idle connections to a peer, so that the next exchange with it
 * opens a new one.
 */
void rpc_client_reset(struct rpc_client *c, const char *address, int port)
{
	struct peer *p;

	pthread_mutex_lock(&c->mutex);
	p = find_or_add_peer(c, address, port);
	if (p)
		close_idle_connections(p);
	pthread_mutex_unlock(&c->mutex);
}

static CLIENT *open_connection(const struct rpc_client *c, const char *address,
			       int port, int timeout_ms)
{
	struct sockaddr_in sa = { .sin_family = AF_INET };
	struct netbuf to = { sizeof(sa), sizeof(sa), &sa };
	CLIENT *conn;
	int fd;

	sa.sin_port = htons((uint16_t)port);
	if (inet_pton(AF_INET, address, &sa.sin_addr) != 1)
		return NULL;
	fd = connect_open(c->local_address, &sa, timeout_ms);
	if (fd < 0)
		return NULL;
	fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
	conn = clnt_vc_create(fd, &to, LIMPET_PROGRAM, LIMPET_VERSION, 0, 0);
	if (!conn) {
		close(fd);
		return NULL;
	}
	clnt_control(conn, CLSET_FD_CLOSE, NULL);
	return conn;
}

/* Returns an idle connection, or opens a new one. */
static CLIENT *acquire_connection(struct rpc_client *c, const char *address,
				  int port, int timeout_ms)
{
	CLIENT *conn = NULL;
	struct peer *p;

	pthread_mutex_lock(&c->mutex);
	p = find_or_add_peer(c, address, port);
	if (p && p->idle_count)
		conn = p->idle[--p->idle_count];
	pthread_mutex_unlock(&c->mutex);
	if (conn)
		return conn;
	return open_connection(c, address, port, timeout_ms);
}

static void release_connection(struct rpc_client *c, const char *address,
			       int port, CLIENT *conn)
{
	struct peer *p;

	pthread_mutex_lock(&c->mutex);
	p = find_or_add_peer(c, address, port);
	if (p && p->idle_count < IDLE_PER_PEER_MAX) {
		p->idle[p->idle_count++] = conn;
		conn = NULL;
	}
	pthread_mutex_unlock(&c->mutex);
	if (conn)
		clnt_destroy(conn);
}

static void set_peer_boot(struct rpc_client *c, const char *address, int port,
			  uint64_t boot)
{
	struct peer *p;

	pthread_mutex_lock(&c->mutex);
	p = find_or_add_peer(c, address, port);
	if (p)
		p->boot = boot;
	pthread_mutex_unlock(&c->mutex);
}

/* Sets the target boot and a new sequence number; signs the envelope. */
static int sign_request(struct rpc_client *c, const char *address, int port,
			struct envelope_request *req, struct digest *mac)
{
	struct peer *p;

	pthread_mutex_lock(&c->mutex);
	p = find_or_add_peer(c, address, port);
	req->target_boot = p ? p->boot : 0;
	req->sequence = ++c->sequence;
	pthread_mutex_unlock(&c->mutex);
	return envelope_request_sign(req, c->self.keys.current, mac);
}

/*
 * Continues above the numbers that a server no longer tells apart.  Its reply
 * to a replay has them as its body.
 */
static void raise_sequence(struct rpc_client *c,
			   const struct envelope_reply *rep)
{
	uint64_t floor = 0;

	if (xdr_from_memory((xdrproc_t)xdr_u_int64_t, &floor,
			    rep->body.body_val, rep->body.body_len))
		return;
	pthread_mutex_lock(&c->mutex);
	if (floor > c->sequence)
		c->sequence = floor;
	pthread_mutex_unlock(&c->mutex);
}

static int status_to_error(enum envelope_status status, const char *step,
			   const char *address, struct error *err)
{
	switch (status) {
	case ENVELOPE_OK:
		return 0;
	case ENVELOPE_BOOT:
		return error_set(err, ERROR_STALE, step, address,
				 "the peer was started anew");
	case ENVELOPE_REPLAY:
		return error_set(err, ERROR_STALE, step, address,
				 "the peer took the message for a replay");
	default:
		return error_set(err, ERROR_REFUSED, step, address,
				 "refused with status %d", status);
	}
}

/*
 * Makes one attempt on one connection.  The connection is reused only after
 * a complete, matching reply; in every other case it is closed.
 */
static int attempt_exchange(struct rpc_client *c, const char *address, int port,
			    struct envelope_request *req,
			    struct envelope_reply *rep, int timeout_ms,
			    const char *step, struct error *err)
{
	struct timeval tv = { timeout_ms / 1000, timeout_ms % 1000 * 1000 };
	enum clnt_stat stat;
	struct digest mac;
	CLIENT *conn;

	conn = acquire_connection(c, address, port, timeout_ms);
	if (!conn)
		return error_set(err, ERROR_UNREACHABLE, step, address,
				 "no connection to port %d", port);
	if (sign_request(c, address, port, req, &mac)) {
		clnt_destroy(conn);
		return error_set(err, ERROR_INTERNAL, step, address,
				 "the request does not encode");
	}
	stat = clnt_call(conn, EXCHANGE, (xdrproc_t)xdr_envelope_request,
			 (char *)req, (xdrproc_t)xdr_envelope_reply,
			 (char *)rep, tv);
	if (stat != RPC_SUCCESS) {
		clnt_destroy(conn);
		return error_set(err,
				 stat == RPC_TIMEDOUT	 ? ERROR_TIMEOUT
				 : stat == RPC_AUTHERROR ? ERROR_AUTH
							 : ERROR_UNREACHABLE,
				 step, address, "%s", clnt_sperrno(stat));
	}
	if (rep->sequence != req->sequence ||
	    envelope_reply_verify(rep, &c->self.keys)) {
		clnt_destroy(conn);
		return error_set(err, ERROR_AUTH, step, address,
				 "the reply does not verify");
	}
	release_connection(c, address, port, conn);
	return 0;
}

/*
 * Sends one message and waits for its reply, about timeout_ms at most for
 * each attempt.  A restarted or unknown peer takes up to ATTEMPTS_MAX attempts: on
 * a dead connection, with its old boot, below its floor, and the one it serves.
 * reply is zeroed here; the caller frees it with xdr_free(kind->reply_xdr).
 */
int rpc_exchange(struct rpc_client *c, const char *address, int port,
		 const struct rpc_kind *kind, const void *request, void *reply,
		 int timeout_ms, struct error *err)
{
	struct envelope_request req = { .sender = c->self.instance,
					.sender_boot = c->self.boot,
					.kind = kind->id };
	struct envelope_reply rep;
	int ret = -1, attempt;

	memset(reply, 0, kind->reply_size);
	if (is_address_partitioned(address))
		return error_set(err, ERROR_UNREACHABLE, kind->name, address,
				 "cut off");
	if (xdr_to_memory(kind->request_xdr, request, &req.body.body_val,
			  &req.body.body_len))
		return error_set(err, ERROR_INTERNAL, kind->name, address,
				 "the request does not encode");
	for (attempt = 0; attempt < ATTEMPTS_MAX; attempt++) {
		memset(&rep, 0, sizeof(rep));
		ret = attempt_exchange(c, address, port, &req, &rep, timeout_ms,
				       kind->name, err);
		metric_count("rpc_sent_bytes", NULL, req.body.body_len + 160);
		if (ret) {
			xdr_free((xdrproc_t)xdr_envelope_reply, &rep);
			/* The idle connection may be dead; retry on a new one. */
			if (err && err->code == ERROR_UNREACHABLE && !attempt)
				continue;
			break;
		}
		ret = status_to_error(rep.status, kind->name, address, err);
		if (!ret &&
		    xdr_from_memory(kind->reply_xdr, reply, rep.body.body_val,
				    rep.body.body_len))
			ret = error_set(err, ERROR_CORRUPT, kind->name, address,
					"the reply does not decode");
		metric_count("rpc_received_bytes", NULL,
			     rep.body.body_len + 160);
		metric_count("rpc_kind_bytes", kind->name,
			     req.body.body_len + rep.body.body_len + 320);
		if (rep.status == ENVELOPE_BOOT)
			set_peer_boot(c, address, port, rep.boot);
		if (rep.status == ENVELOPE_REPLAY)
			raise_sequence(c, &rep);
		xdr_free((xdrproc_t)xdr_envelope_reply, &rep);
		if (!ret || !err || err->code != ERROR_STALE)
			break;
	}
	free(req.body.body_val);
	if (!ret && err)
		error_clear(err);
	return ret;
}
