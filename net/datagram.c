#include "net/datagram.h"

#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include "base/digest.h"

/* Interval at which a receiver checks whether it has to stop. */
#define STOP_POLL_US (200 * 1000)

/* See datagram.h. */
size_t datagram_encode(xdrproc_t proc, const void *message,
		       const struct rpc_keys *keys,
		       char out[DATAGRAM_MAX_BYTES])
{
	struct digest mac;
	size_t n = 0;
	XDR x;

	xdrmem_create(&x, out, DATAGRAM_MAX_BYTES - DIGEST_SIZE, XDR_ENCODE);
	if (proc(&x, (void *)message, 0))
		n = xdr_getpos(&x);
	xdr_destroy(&x);
	if (!n)
		return 0;
	digest_hmac(keys->current, out, n, &mac);
	memcpy(out + n, mac.bytes, DIGEST_SIZE);
	return n + DIGEST_SIZE;
}

static int is_mac_valid(const char *data, size_t size, const char *key)
{
	struct digest mac;

	if (!*key)
		return 0;
	digest_hmac(key, data, size, &mac);
	return bytes_equal_constant_time(mac.bytes, data + size, DIGEST_SIZE);
}

/* See datagram.h. */
int datagram_decode(xdrproc_t proc, const char *data, size_t size,
		    const struct rpc_keys *keys, void *out, size_t out_size)
{
	int ok;
	XDR x;

	memset(out, 0, out_size);
	if (size <= DIGEST_SIZE || size > DATAGRAM_MAX_BYTES)
		return -1;
	size -= DIGEST_SIZE;
	if (!is_mac_valid(data, size, keys->current) &&
	    !is_mac_valid(data, size, keys->previous))
		return -1;
	xdrmem_create(&x, (char *)data, (u_int)size, XDR_DECODE);
	ok = proc(&x, out, 0);
	xdr_destroy(&x);
	if (ok)
		return 0;
	xdr_free(proc, out);
	memset(out, 0, out_size);
	return -1;
}

/* See datagram.h. */
int datagram_open(const struct node *n, int port)
{
	struct sockaddr_in at = { .sin_family = AF_INET };
	int fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);

	at.sin_port = htons((uint16_t)port);
	inet_pton(AF_INET, n->settings.address, &at.sin_addr);
	if (fd >= 0 && bind(fd, (struct sockaddr *)&at, sizeof(at))) {
		close(fd);
		return -1;
	}
	return fd;
}

static void *receiver_main(void *arg)
{
	struct datagram_receiver *r = arg;
	char data[DATAGRAM_MAX_BYTES];
	ssize_t n;

	while (!__atomic_load_n(&r->is_stopping, __ATOMIC_ACQUIRE)) {
		n = recv(r->fd, data, sizeof(data), 0);
		if (n > 0)
			r->on_datagram(r->arg, data, (size_t)n);
	}
	return NULL;
}

static void receiver_stop(void *arg)
{
	struct datagram_receiver *r = arg;

	__atomic_store_n(&r->is_stopping, 1, __ATOMIC_RELEASE);
	pthread_join(r->thread, NULL);
	close(r->fd);
}

/* See datagram.h. */
int datagram_receive_start(struct datagram_receiver *r, struct node *n,
			   int port, struct error *err)
{
	struct timeval timeout = { 0, STOP_POLL_US };

	r->fd = datagram_open(n, port);
	if (r->fd < 0 ||
	    setsockopt(r->fd, SOL_SOCKET, SO_RCVTIMEO, &timeout,
		       sizeof(timeout)) ||
	    pthread_create(&r->thread, NULL, receiver_main, r))
		return error_set(err, ERROR_INTERNAL, "datagram-receive",
				 n->settings.address,
				 "cannot receive datagrams on port %d: %m",
				 port);
	node_add_stop(n, receiver_stop, r);
	return 0;
}
