#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#include "t/standin/lib-addresses.h"
#include "t/standin/lib-options.h"
#include "t/standin/lib-web.h"

#define DEFAULT_PORT 7200
#define SERVER_THREADS 4
#define TICK_US 1000
#define CRASH_MS 1000
#define CRASH_MARK "@crash"

enum fault_mode {
	FAULT_OK,
	FAULT_BLACKHOLE,
	FAULT_500,
	FAULT_CRASH,
	FAULT_HANG,
	FAULT_COUNT
};

static const char *const fault_names[FAULT_COUNT] = { "ok", "blackhole", "500",
						      "crash", "hang" };

/* A call in progress. */
struct call {
	struct call *next;
	struct call *prev;
	struct web_request *req;
	json_t *reply;
	int64_t due_ms;
	bool is_hung;
	bool is_crashing;
};

static struct {
	pthread_mutex_t lock;
	enum fault_mode fault;
	int64_t crash_ms;
	json_t *runs;			   /* by idempotency key */
	json_t *requests;		   /* by request ID */
	struct call calls;		   /* head of a circular list */
	int64_t restart_ms[ADDRESSES_MAX]; /* 0 if not crashed */
	struct web_server *server;
} service = { .lock = PTHREAD_MUTEX_INITIALIZER, .crash_ms = CRASH_MS };

static int port = DEFAULT_PORT;
static int delay_ms;

/*
 * Simulates a crash: drops the connections of an address and refuses new ones
 * for crash_ms.
 */
static void service_crash(const char *address, int64_t now_ms)
{
	int i = addresses_find(address);

	if (i < 0)
		return;
	service.restart_ms[i] = now_ms + service.crash_ms;
	web_unlisten(service.server, address);
	web_drop_connections(service.server, address);
}

/* Listens again on the addresses whose restart time has passed. */
static void service_restart(int64_t now_ms)
{
	int i;

	for (i = 0; i < addresses.count; i++) {
		if (!service.restart_ms[i] || service.restart_ms[i] > now_ms)
			continue;
		service.restart_ms[i] = 0;
		web_listen(service.server, addresses.names[i], (unsigned)port);
	}
}

/* Resumes the calls that are due. */
static void on_tick(void *arg, int64_t now_ms)
{
	struct call *call;

	pthread_mutex_lock(&service.lock);
	for (call = service.calls.next; call != &service.calls;
	     call = call->next)
		if (!call->is_hung && call->due_ms <= now_ms)
			web_resume(call->req);
	service_restart(now_ms);
	pthread_mutex_unlock(&service.lock);
}

/* Increments a counter and returns its new value. */
static json_int_t counter_increment(json_t *counts, const char *name)
{
	json_int_t n = 1 + json_integer_value(json_object_get(counts, name));

	json_object_set_new(counts, name, json_integer(n));
	return n;
}

/*
 * Starts a call: counts the run and prepares the reply.  The caller holds the
 * lock.
 */
static struct call *call_open(struct web_request *req, int64_t now_ms)
{
	const char *id = web_header(req, "X-Request-Id");
	const char *key = web_header(req, "X-Idempotency-Key");
	struct call *call = calloc(1, sizeof(*call));
	json_t *echo;

	if (!call)
		return NULL;
	if (!key)
		key = id;
	echo = json_loadb(req->body ? req->body : "", req->body_len,
			  JSON_DECODE_ANY, NULL);
	call->reply = json_pack("{s:s?,s:s,s:s?,s:o?}", "id", id, "operation",
				req->path + 1, "key", key, "echo", echo);
	if (id)
		counter_increment(service.requests, id);
	if (key)
		json_object_set_new(
			call->reply, "run",
			json_integer(counter_increment(service.runs, key)));
	call->req = req;
	call->due_ms = now_ms + delay_ms;
	call->is_hung = service.fault == FAULT_HANG;
	call->is_crashing = service.fault == FAULT_CRASH ||
			    (req->body && strstr(req->body, CRASH_MARK));
	if (service.fault == FAULT_CRASH)
		service.fault = FAULT_OK;
	call->next = &service.calls;
	call->prev = service.calls.prev;
	call->prev->next = call;
	call->next->prev = call;
	req->call = call;
	return call;
}

/* Frees the call of a completed request. */
static void call_close(struct web_request *req, void *arg)
{
	struct call *call = req->call;

	if (!call)
		return;
	pthread_mutex_lock(&service.lock);
	call->next->prev = call->prev;
	call->prev->next = call->next;
	pthread_mutex_unlock(&service.lock);
	json_decref(call->reply);
	free(call);
}

/* Serves a call; called again after web_resume(). */
static enum web_result handle_call(struct web_request *req)
{
	int64_t now_ms = web_now_ms();
	enum web_result result = WEB_SUSPEND;
	struct call *call;

	pthread_mutex_lock(&service.lock);
	call = req->call;
	if (!call && service.fault == FAULT_500)
		result = web_reply_error(req, 500, "fault");
	else if (!call && !(call = call_open(req, now_ms)))
		result = WEB_CLOSE;
	else if (call->is_hung || call->due_ms > now_ms)
		result = WEB_SUSPEND;
	else if (call->is_crashing) {
		service_crash(web_local_address(req), now_ms);
		result = WEB_CLOSE;
	} else {
		result = web_reply_json(req, MHD_HTTP_OK,
					json_incref(call->reply));
	}
	pthread_mutex_unlock(&service.lock);
	return result;
}

/* Serves GET /standin/runs. */
static enum web_result get_runs(struct web_request *req)
{
	json_t *obj;

	pthread_mutex_lock(&service.lock);
	obj = json_pack("{s:o,s:o}", "runs", json_copy(service.runs),
			"requests", json_copy(service.requests));
	pthread_mutex_unlock(&service.lock);
	return web_reply_json(req, MHD_HTTP_OK, obj);
}

/* Serves POST /standin/fault. */
static enum web_result post_fault(struct web_request *req)
{
	json_t *obj = web_body(req);
	const char *name = json_string_value(json_object_get(obj, "mode"));
	json_t *ms = json_object_get(obj, "ms");
	int fault = web_find_word(fault_names, FAULT_COUNT, name);

	if (fault < 0) {
		json_decref(obj);
		return web_reply_error(req, MHD_HTTP_BAD_REQUEST, "bad fault");
	}
	pthread_mutex_lock(&service.lock);
	service.fault = fault;
	service.crash_ms = ms ? json_integer_value(ms) : CRASH_MS;
	pthread_mutex_unlock(&service.lock);
	json_decref(obj);
	if (fault == FAULT_BLACKHOLE)
		web_blackhole(service.server, NULL);
	return web_reply(req, MHD_HTTP_NO_CONTENT, "", 0);
}

static enum web_result handle(struct web_request *req, void *arg)
{
	if (!strcmp(req->path, "/standin/runs"))
		return get_runs(req);
	if (!strcmp(req->path, "/standin/fault"))
		return post_fault(req);
	if (strcmp(req->method, "POST") != 0)
		return web_reply_error(req, MHD_HTTP_NOT_FOUND, "no such path");
	return handle_call(req);
}

static const struct web_ops ops = { handle, call_close };

/* Stand-in of a plain service, an upstream without a model. */
int main(int argc, const char **argv)
{
	const struct poptOption options[] = {
		{ "address", 'a', POPT_ARG_STRING, NULL, 'a',
		  "address or range to listen on, may be repeated", "ADDRESS" },
		{ "port", 'p', POPT_ARG_INT, &port, 0, "TCP port", "PORT" },
		{ "delay-ms", 'd', POPT_ARG_INT, &delay_ms, 0,
		  "duration of each run", "MS" },
		POPT_AUTOHELP POPT_TABLEEND
	};

	options_parse(argc, argv, options, addresses_add_option);
	web_block_exit_signals();
	service.runs = json_object();
	service.requests = json_object();
	service.calls.next = &service.calls;
	service.calls.prev = &service.calls;
	service.server = web_start(&ops, NULL, SERVER_THREADS);
	if (!service.server || web_start_ticker(TICK_US, on_tick, NULL))
		return 1;
	if (addresses_listen(service.server, port))
		return 1;
	return web_wait_for_exit_signal();
}
