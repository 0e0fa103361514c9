#include <apr_general.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/log.h"
#include "base/metric.h"
#include "net/httpd.h"

/*
 * A server whose answers have the field that the query names:
 *     head-server ADDRESS PORT
 * /reply?name=NAME&value=VALUE answers at once, and /stream with chunks that come
 * 50 ms later; /twice names its type twice; /metrics has the metrics. Prints whether
 * each stream's writer saw the caller as gone. After SIGUSR1, connections close after
 * their answers.
 */

#define STREAM_PAUSE_US (50 * 1000)

static void set_field(struct http_call *c)
{
	const char *name = http_call_query(c, "name");
	const char *value = http_call_query(c, "value");

	if (name)
		http_call_set(c, name, value ? value : "");
}

static void serve_reply(struct http_call *c, void *arg)
{
	set_field(c);
	http_call_reply(c, 200, "text/plain", "ok", 2);
}

static void serve_twice(struct http_call *c, void *arg)
{
	http_call_set(c, "content-type", "text/html");
	http_call_set(c, "Date", "Mon, 01 Jan 2024 00:00:00 GMT");
	http_call_set(c, "Date", "Tue, 02 Jan 2024 00:00:00 GMT");
	http_call_reply(c, 200, "text/plain", "ok", 2);
}

static void serve_metrics(struct http_call *c, void *arg)
{
	char *text = metric_prometheus();

	http_call_reply(c, 200, "text/plain", text, strlen(text));
	free(text);
}

static void *write_stream(void *arg)
{
	struct http_call *c = arg;
	int is_gone;

	usleep(STREAM_PAUSE_US);
	is_gone = http_call_stream_write(c, "ok", 2);
	printf("%s\n", is_gone ? "caller gone" : "caller there");
	fflush(stdout);
	http_call_stream_end(c, !is_gone);
	return NULL;
}

static void serve_stream(struct http_call *c, void *arg)
{
	pthread_t thread;

	set_field(c);
	http_call_stream_begin(c, 200, "text/plain", FRAMING_CHUNKED, 0);
	pthread_create(&thread, NULL, write_stream, c);
	pthread_detach(thread);
}

static const struct http_route routes[] = {
	{ "GET", "/reply", 0, serve_reply, NULL },
	{ "GET", "/stream", 0, serve_stream, NULL },
	{ "GET", "/twice", 0, serve_twice, NULL },
	{ "POST", "/post", 10, serve_reply, NULL },
	{ NULL, "/any", 0, serve_reply, NULL },
	{ "GET", "/metrics", 0, serve_metrics, NULL },
	{ NULL }
};

int main(int argc, char **argv)
{
	struct error err = ERROR_INIT;
	struct httpd *server;
	sigset_t signals;
	int caught;

	if (argc < 3)
		return 2;
	apr_initialize();
	log_init("head-server", "head-server", LOG_SEV_WARNING);
	sigemptyset(&signals);
	sigaddset(&signals, SIGUSR1);
	pthread_sigmask(SIG_BLOCK, &signals, NULL);
	server = httpd_start(argv[1], atoi(argv[2]), routes, 1, &err);
	if (!server) {
		fprintf(stderr, "%s\n", err.text);
		return 2;
	}
	while (!sigwait(&signals, &caught))
		httpd_close_after_answers(server);
	return 0;
}
