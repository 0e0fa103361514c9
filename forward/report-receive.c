#include <arpa/inet.h>
#include <errno.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include "base/log.h"
#include "base/metric.h"
#include "forward/report-wire.h"
#include "forward/report.h"

/* Interval at which the receiver checks whether it has to stop. */
#define STOP_POLL_US (200 * 1000)

struct receiver {
	struct node *node;
	int fd;
	int is_stopping; /* atomic */
	pthread_t thread;
	void (*on_report)(void *arg, const struct target_report *r);
	void *arg;
};

static struct receiver receiver;

static void convert_report(struct target_report *to, const load_report *r)
{
	u_int i;

	memset(to, 0, sizeof(*to));
	snprintf(to->address, sizeof(to->address), "%s", r->address);
	to->started_ms = r->started_ms;
	to->agent_boot = r->agent_boot;
	to->sequence = r->sequence;
	to->is_busy = r->is_busy;
	to->running = r->running;
	to->waiting = r->waiting;
	to->sent_at = r->sent_us;
	to->slowdown = r->slowdown_percent / 100.0;
	for (i = 0; i < r->models.models_len && i < LISTED_MODELS_MAX; i++) {
		struct listed_model *m = &to->models[to->model_count++];

		snprintf(m->name, sizeof(m->name), "%s",
			 r->models.models_val[i].name);
		m->release = r->models.models_val[i].release;
	}
}

static void receive_datagram(struct receiver *r, const char *data, size_t size)
{
	struct target_report report;
	load_report wire;

	if (report_decode(data, size, &r->node->self.keys, &wire)) {
		metric_count("reports_refused", NULL, 1);
		return;
	}
	convert_report(&report, &wire);
	xdr_free((xdrproc_t)xdr_load_report, (char *)&wire);
	r->on_report(r->arg, &report);
}

static void *receiver_main(void *arg)
{
	struct receiver *r = arg;
	char data[REPORT_MAX_BYTES];
	ssize_t n;

	while (!__atomic_load_n(&r->is_stopping, __ATOMIC_ACQUIRE)) {
		n = recv(r->fd, data, sizeof(data), 0);
		if (n > 0)
			receive_datagram(r, data, (size_t)n);
	}
	return NULL;
}

static void receiver_stop(void *arg)
{
	struct receiver *r = arg;

	__atomic_store_n(&r->is_stopping, 1, __ATOMIC_RELEASE);
	pthread_join(r->thread, NULL);
	close(r->fd);
}

/* See report.h. */
int report_receive_start(struct node *n,
			 void (*on_report)(void *arg,
					   const struct target_report *r),
			 void *arg, struct error *err)
{
	struct sockaddr_in at = { .sin_family = AF_INET };
	struct timeval timeout = { 0, STOP_POLL_US };
	struct receiver *r = &receiver;

	r->node = n;
	r->on_report = on_report;
	r->arg = arg;
	at.sin_port = htons((uint16_t)n->settings.report_port);
	inet_pton(AF_INET, n->settings.address, &at.sin_addr);
	r->fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
	if (r->fd < 0 || bind(r->fd, (struct sockaddr *)&at, sizeof(at)) ||
	    setsockopt(r->fd, SOL_SOCKET, SO_RCVTIMEO, &timeout,
		       sizeof(timeout)) ||
	    pthread_create(&r->thread, NULL, receiver_main, r))
		return error_set(err, ERROR_INTERNAL, "report-receive",
				 n->settings.address,
				 "cannot receive load reports on port %d: %m",
				 n->settings.report_port);
	node_add_stop(n, receiver_stop, r);
	return 0;
}
