#ifndef NET_RPC_H
#define NET_RPC_H

#include <rpc/rpc.h>
#include <stdint.h>

#include "base/error.h"

/*
 * Messages between the system's own processes: ONC RPC over TCP, one
 * procedure that carries an authenticated envelope.  Each subsystem defines
 * message kinds with XDR types for request and reply.
 *
 * The envelope's HMAC authenticates the sender by the shared key; the target
 * boot and the sequence number prevent replays without relying on clocks.
 */

/* Message kinds: each subsystem has a range of its own. */
enum rpc_kind_id {
	RPC_KIND_MEMBER = 100,
	RPC_KIND_CONFIG = 200,
	RPC_KIND_CONFIG_AGES = 201,
	RPC_KIND_CONFIG_READ = 202,
	RPC_KIND_WEIGHTS = 300,
	RPC_KIND_LIMITS = 400,
	RPC_KIND_CALLS = 500
};

/* The authenticated sender of a message. */
struct rpc_peer {
	const char *instance;
	uint64_t boot;
	const char *address; /* source IP address of the connection */
};

struct rpc_kind {
	uint32_t id; /* 0 ends a table */
	const char *name;
	xdrproc_t request_xdr;
	size_t request_size;
	xdrproc_t reply_xdr;
	size_t reply_size;
	/*
	 * Fills in reply, which is zeroed.  XDR frees what reply points to,
	 * so that must come from malloc.  Runs on the server thread and must
	 * only read and write tables, never block.  Returns -1 to refuse.
	 */
	int (*serve)(void *arg, const struct rpc_peer *from,
		     const void *request, void *reply);
};

/* Keys of the system; previous may be empty. */
struct rpc_keys {
	char current[128];
	char previous[128];
};

struct rpc_identity {
	char instance[64];
	uint64_t boot;
	struct rpc_keys keys;
};

int rpc_server_start(const char *address, int port,
		     const struct rpc_identity *self, struct error *err);
int rpc_server_add(const struct rpc_kind *kinds, void *arg);
void rpc_server_stop(void);

struct rpc_client;

struct rpc_client *rpc_client_new(const char *local_address,
				  const struct rpc_identity *self);
void rpc_client_free(struct rpc_client *c);
void rpc_client_reset(struct rpc_client *c, const char *address, int port);
int rpc_exchange(struct rpc_client *c, const char *address, int port,
		 const struct rpc_kind *kind, const void *request, void *reply,
		 int timeout_ms, struct error *err);

#endif
