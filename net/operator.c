#include "net/operator.h"

#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/metric.h"
#include "net/cut.h"
#include "net/node.h"

#define PARTITION_BODY_MAX_BYTES 4096
#define PARTITION_PREFIXES_MAX 32

static json_t *sections_json(struct node *n)
{
	json_t *o = json_object();
	int i;

	for (i = 0; i < n->section_count; i++)
		json_object_set_new(o, n->sections[i].name,
				    n->sections[i].make(n->sections[i].arg));
	return o;
}

static void serve_status(struct http_call *c, void *arg)
{
	struct node *n = arg;
	json_t *o = sections_json(n);
	char boot[20];

	snprintf(boot, sizeof(boot), "%016llx",
		 (unsigned long long)n->self.boot);
	json_object_set_new(o, "program", json_string(n->program));
	json_object_set_new(o, "instance", json_string(n->settings.instance));
	json_object_set_new(o, "data_center",
			    json_string(n->settings.data_center));
	json_object_set_new(o, "boot", json_string(boot));
	json_object_set_new(o, "draining", json_boolean(node_draining(n)));
	json_object_set_new(o, "uptime_ms",
			    json_integer((clock_now() - n->started) / 1000));
	json_object_set_new(o, "metrics", metric_json());
	http_call_reply_json(c, 200, o);
}

static void serve_metrics(struct http_call *c, void *arg)
{
	char *text = metric_prometheus();

	(void)arg;
	http_call_reply(c, 200, "text/plain; version=0.0.4", text ? text : "",
			text ? strlen(text) : 0);
	free(text);
}

/* Answers 200 when all components are ready, else 503 with their names. */
void operator_ready_serve(struct http_call *c, void *arg)
{
	struct node *n = arg;
	json_t *unready = json_array();
	int i;

	for (i = 0; i < n->ready_count; i++) {
		if (!n->ready_checks[i].ready(n->ready_checks[i].arg))
			json_array_append_new(
				unready, json_string(n->ready_checks[i].name));
	}
	if (node_draining(n))
		json_array_append_new(unready, json_string("draining"));
	http_call_reply_json(c, json_array_size(unready) ? 503 : 200,
			     json_pack("{s:b,s:o}", "ready",
				       !json_array_size(unready), "waits_for",
				       unready));
}

static void serve_drain(struct http_call *c, void *arg)
{
	node_drain(arg);
	http_call_reply_json(c, 200, json_pack("{s:b}", "draining", 1));
}

static void serve_partition(struct http_call *c, void *arg)
{
	const char *prefixes[PARTITION_PREFIXES_MAX];
	size_t size, i;
	const void *body = http_call_body(c, &size);
	json_t *list = json_loadb(body, size, 0, NULL);
	int count = 0;

	(void)arg;
	for (i = 0; i < json_array_size(list) && count < PARTITION_PREFIXES_MAX;
	     i++) {
		const char *s = json_string_value(json_array_get(list, i));

		if (s)
			prefixes[count++] = s;
	}
	partition_set(prefixes, count);
	json_decref(list);
	http_call_reply_json(c, 200, json_pack("{s:i}", "cut", count));
}

/* See operator.h. */
void operator_start(struct node *n)
{
	node_add_operator_route(n, "GET", "/status", 0, serve_status, n);
	node_add_operator_route(n, "GET", "/metrics", 0, serve_metrics, n);
	node_add_operator_route(n, "GET", "/ready", 0, operator_ready_serve, n);
	node_add_operator_route(n, "POST", "/drain", 256, serve_drain, n);
	if (n->settings.fault_injection)
		node_add_operator_route(n, "POST", "/cut",
					PARTITION_BODY_MAX_BYTES,
					serve_partition, n);
}
