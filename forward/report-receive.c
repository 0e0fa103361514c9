#include <stdlib.h>
#include <string.h>

#include "base/metric.h"
#include "forward/report-wire.h"
#include "forward/report.h"

struct receiver {
	struct node *node;
	struct datagram_receiver datagrams;
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

static void receive_datagram(void *arg, const char *data, size_t size)
{
	struct receiver *r = arg;
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

/* See report.h. */
int report_receive_start(struct node *n,
			 void (*on_report)(void *arg,
					   const struct target_report *r),
			 void *arg, struct error *err)
{
	struct receiver *r = &receiver;

	r->node = n;
	r->on_report = on_report;
	r->arg = arg;
	r->datagrams.on_datagram = receive_datagram;
	r->datagrams.arg = r;
	return datagram_receive_start(&r->datagrams, n, n->settings.report_port,
				      err);
}
