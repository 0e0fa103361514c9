#include "config/heartbeat.h"

#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/metric.h"
#include "config/config_proto.h"
#include "net/datagram.h"
#include "net/replay.h"

#define HEARTBEAT_PERIOD_US (200 * 1000)
#define ENTRIES_MAX 512

struct heartbeat {
	struct config *config;
	struct datagram_receiver datagrams; /* of an entry */
	struct replay replay;
	int fd;
	uint64_t sequence;
	apr_time_t next_at;
};

static struct heartbeat heartbeat;

static void receive_heartbeat(void *arg, const char *data, size_t size)
{
	struct heartbeat *b = arg;
	struct config *c = b->config;
	config_heartbeat wire;

	if (datagram_decode((xdrproc_t)xdr_config_heartbeat, data, size,
			    &c->node->self.keys, &wire, sizeof(wire)) ||
	    replay_check(&b->replay, wire.boot, wire.sequence)) {
		metric_count("config_heartbeats_refused", NULL, 1);
		return;
	}
	pthread_mutex_lock(&c->mutex);
	spread_record_heartbeat(&c->spread, wire.is_watcher, clock_now());
	pthread_mutex_unlock(&c->mutex);
}

/*
 * Opens the sockets: an entry receives heartbeats, all processes send them.
 * Without them, others read and this process does, as if there were none.
 */
static void open_sockets(struct heartbeat *b, struct config *c)
{
	struct error err = ERROR_INIT;
	struct node *n = c->node;

	b->config = c;
	b->datagrams.on_datagram = receive_heartbeat;
	b->datagrams.arg = b;
	b->fd = datagram_open(n, 0);
	if (b->fd < 0)
		log_error("heartbeat", n->settings.address,
			  "cannot open the socket for heartbeats: %m");
	if (n->role == ROLE_ENTRY &&
	    datagram_receive_start(&b->datagrams, n, n->settings.rpc_port,
				   &err))
		log_error("heartbeat", n->settings.address, "%s", err.text);
}

/* Lists the other entries of the data centre.  The caller holds the mutex. */
static int list_entries(const struct spread *s, struct in_addr *out)
{
	int i, count = 0;

	for (i = 0; i < s->local_count && count < ENTRIES_MAX; i++)
		if (s->members[i].is_entry &&
		    strcmp(s->members[i].address, s->self_address) &&
		    inet_pton(AF_INET, s->members[i].address, &out[count]) == 1)
			count++;
	return count;
}

/* See heartbeat.h. */
void heartbeat_step(struct config *c, apr_time_t now)
{
	struct heartbeat *b = &heartbeat;
	struct sockaddr_in to = { .sin_family = AF_INET };
	config_heartbeat wire = { 0 };
	struct in_addr entries[ENTRIES_MAX];
	char data[DATAGRAM_MAX_BYTES];
	int i, count = 0;
	size_t size;

	if (!b->config)
		open_sockets(b, c);
	if (now < b->next_at || b->fd < 0)
		return;
	pthread_mutex_lock(&c->mutex);
	if (spread_is_reading(&c->spread, now))
		count = list_entries(&c->spread, entries);
	wire.is_watcher = c->spread.overlay.watch_rank < OVERLAY_WATCHERS;
	pthread_mutex_unlock(&c->mutex);
	if (!count)
		return;
	b->next_at = now + HEARTBEAT_PERIOD_US;
	wire.boot = c->node->self.boot;
	wire.sequence = ++b->sequence;
	size = datagram_encode((xdrproc_t)xdr_config_heartbeat, &wire,
			       &c->node->self.keys, data);
	to.sin_port = htons((uint16_t)c->node->settings.rpc_port);
	for (i = 0; i < count; i++) {
		to.sin_addr = entries[i];
		if (sendto(b->fd, data, size, MSG_DONTWAIT,
			   (struct sockaddr *)&to, sizeof(to)) < 0)
			metric_count("config_heartbeats_not_sent", NULL, 1);
	}
}
