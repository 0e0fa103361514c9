#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/metric.h"
#include "forward/report-wire.h"
#include "forward/report.h"
#include "member/instance.h"
#include "weights/engine-ops.h"
#include "weights/weights.h"

#define CHECK_PERIOD_US (25 * 1000)
/* Interval between reports while the load changes. */
#define CHANGED_PERIOD_US (50 * 1000)
/* Interval between reports while nothing changes. */
#define UNCHANGED_PERIOD_US (500 * 1000)

/*
 * Interval for other data centres while the load changes. Their entries send
 * here only when their local upstreams are full, and bytes between regions are
 * expensive.
 */
#define REMOTE_CHANGED_PERIOD_US (200 * 1000)
/*
 * Time for each entry of other data centres: what an agent sends there does not
 * grow with their number. The bound keeps reports from counting as late.
 */
#define REMOTE_SPACING_US (8 * 1000)
#define REMOTE_PERIOD_MAX_US (700 * 1000)
#define ENTRIES_MAX 512

/* Entries that receive reports at the same times. */
struct report_group {
	/* Entries of other data centres rather than local ones. */
	int is_remote;
	struct engine_state sent;
	apr_time_t sent_at;
	int count; /* entries that the last report went to */
};

struct sender {
	struct node *node;
	int fd;
	uint64_t sequence;
	struct report_group local, remote;
};

static struct sender sender;

static int models_differ(const struct engine_state *a,
			 const struct engine_state *b)
{
	int i;

	if (a->model_count != b->model_count)
		return 1;
	for (i = 0; i < a->model_count; i++)
		if (strcmp(a->models[i].name, b->models[i].name) ||
		    a->models[i].release != b->models[i].release)
			return 1;
	return 0;
}

/* Returns 1 for a change that is reported without delay. */
static int is_urgent(const struct engine_state *a, const struct engine_state *b)
{
	return a->is_order_running != b->is_order_running ||
	       strcmp(a->boot, b->boot) || models_differ(a, b);
}

/* See report.h. */
apr_interval_time_t report_period(int is_remote, int has_changed, int entries)
{
	apr_interval_time_t period = UNCHANGED_PERIOD_US, spaced = 0;

	if (has_changed)
		period = is_remote ? REMOTE_CHANGED_PERIOD_US
				   : CHANGED_PERIOD_US;
	if (is_remote)
		spaced = REMOTE_SPACING_US * (apr_interval_time_t)entries;
	if (spaced > REMOTE_PERIOD_MAX_US)
		spaced = REMOTE_PERIOD_MAX_US;
	return spaced > period ? spaced : period;
}

static int is_due(const struct report_group *a, const struct engine_state *e,
		  apr_time_t now)
{
	int has_changed = a->sent.running_count != e->running_count ||
			  a->sent.waiting_count != e->waiting_count;

	return is_urgent(&a->sent, e) ||
	       now - a->sent_at >=
		       report_period(a->is_remote, has_changed, a->count);
}

static int list_entries(struct node *n, const struct report_group *a,
			struct in_addr *out)
{
	const char *local_data_center = n->settings.data_center;
	struct table *t = &n->board.instances;
	struct handle at = HANDLE_NONE;
	const struct instance *row;
	int count = 0;

	table_lock(t);
	while ((row = table_next(t, &at)) && count < ENTRIES_MAX)
		if (row->role == ROLE_ENTRY && row->state != INSTANCE_DEAD &&
		    a->is_remote == (strcmp(row->data_center,
					    local_data_center) != 0) &&
		    inet_pton(AF_INET, row->address, &out[count]) == 1)
			count++;
	table_unlock(t);
	return count;
}

static size_t make_report(struct sender *s, const struct engine_state *e,
			  apr_time_t now, char out[REPORT_MAX_BYTES])
{
	const char *url = s->node->settings.upstream_url;
	load_model models[LOAD_MODELS_MAX];
	load_report r;
	int i;

	memset(&r, 0, sizeof(r));
	r.address = (char *)url + strlen("http://");
	r.started_ms = atoll(e->boot);
	r.agent_boot = s->node->self.boot;
	r.sequence = ++s->sequence;
	r.sent_us = now;
	r.is_busy = e->is_order_running;
	r.running = e->running_count;
	r.waiting = e->waiting_count;
	r.slowdown_percent = e->slowdown_percent;
	for (i = 0; i < e->model_count && i < LOAD_MODELS_MAX; i++) {
		models[i].name = (char *)e->models[i].name;
		models[i].release = e->models[i].release;
	}
	r.models.models_len = (u_int)i;
	r.models.models_val = models;
	return report_encode(&r, &s->node->self.keys, out);
}

static void send_report(struct sender *s, struct report_group *a,
			const struct engine_state *e, apr_time_t now)
{
	struct sockaddr_in to = { .sin_family = AF_INET };
	struct in_addr entries[ENTRIES_MAX];
	char data[REPORT_MAX_BYTES];
	size_t size = make_report(s, e, now, data);
	int i, count = list_entries(s->node, a, entries);

	to.sin_port = htons((uint16_t)s->node->settings.report_port);
	for (i = 0; i < count; i++) {
		to.sin_addr = entries[i];
		if (sendto(s->fd, data, size, MSG_DONTWAIT,
			   (struct sockaddr *)&to, sizeof(to)) < 0)
			metric_count("reports_not_sent", NULL, 1);
	}
	a->sent = *e;
	a->sent_at = now;
	a->count = count;
}

static void sender_step(void *arg, apr_time_t now)
{
	struct sender *s = arg;
	struct engine_state e;

	if (weights_get_engine_state(s->node, &e, now))
		return;
	if (is_due(&s->local, &e, now))
		send_report(s, &s->local, &e, now);
	if (is_due(&s->remote, &e, now))
		send_report(s, &s->remote, &e, now);
}

/* See report.h. */
int report_send_start(struct node *n, struct error *err)
{
	sender.node = n;
	sender.remote.is_remote = 1;
	sender.fd = datagram_open(n, 0);
	if (sender.fd < 0)
		return error_set(err, ERROR_INTERNAL, "report-send",
				 n->settings.address,
				 "cannot open the socket for load reports: %m");
	node_add_controller(n, "report", CHECK_PERIOD_US, sender_step, &sender);
	return 0;
}
