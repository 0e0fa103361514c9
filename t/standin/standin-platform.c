#include <errno.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "t/standin/lib-addresses.h"
#include "t/standin/lib-options.h"
#include "t/standin/lib-web.h"

#define DEFAULT_PORT 7001
#define SERVER_THREADS 4
#define TICK_US 5000
#define WAIT_MAX_S 300
#define MS_PER_S 1000
#define LIST_HISTORY 64

enum fault_mode {
	FAULT_OK,
	FAULT_DOWN,
	FAULT_HOLD,
	FAULT_HALF,
	FAULT_STALE,
	FAULT_FLAP,
	FAULT_COUNT
};

static const char *const fault_names[FAULT_COUNT] = { "ok",   "down",  "hold",
						      "half", "stale", "flap" };

struct document {
	char *text;
	size_t len;
	long revision;
};

struct list_version {
	json_t *instances;
	long version;
	int64_t at_ms;
};

/* A long poll for a newer document or instance list. */
struct watch {
	struct watch *next;
	struct web_request *req;
	int64_t until_ms;
	bool is_list;
};

static struct {
	pthread_mutex_t lock;
	struct document newest;
	struct document previous;
	struct list_version lists[LIST_HISTORY];
	long list_version;
	enum fault_mode config_fault;
	enum fault_mode list_fault;
	int64_t list_lag_ms;
	unsigned flap_count; /* calls to the configuration */
	long calls;
	long peak_calls_per_second;
	long calls_this_second;
	int64_t current_second;
	long config_calls;
	long list_calls;
	struct watch *watches;
} platform = { .lock = PTHREAD_MUTEX_INITIALIZER };

/* Returns the document that readers see under the current fault. */
static const struct document *visible_config(void)
{
	bool is_stale = platform.config_fault == FAULT_STALE ||
			(platform.config_fault == FAULT_FLAP &&
			 platform.flap_count % 2);

	if (is_stale && platform.previous.text)
		return &platform.previous;
	return &platform.newest;
}

/*
 * Returns the newest list that is at least list_lag_ms old, or NULL if there
 * is none.
 */
static const struct list_version *visible_list(int64_t now_ms)
{
	long v = platform.list_version;
	const struct list_version *list;

	for (; v > 0 && v > platform.list_version - LIST_HISTORY; v--) {
		list = &platform.lists[v % LIST_HISTORY];
		if (list->at_ms + platform.list_lag_ms <= now_ms)
			return list;
	}
	return NULL;
}

/* Returns whether a watch has to keep waiting. */
static bool watch_is_pending(const struct watch *watch, int64_t now_ms)
{
	enum fault_mode fault =
		watch->is_list ? platform.list_fault : platform.config_fault;
	long after = web_query_long(watch->req, "after", -1);
	const struct list_version *list;

	if (fault == FAULT_HOLD)
		return true;
	if (fault == FAULT_DOWN || now_ms >= watch->until_ms)
		return false;
	if (!watch->is_list)
		return visible_config()->revision <= after;
	list = visible_list(now_ms);
	return (list ? list->version : 0) <= after;
}

/* Resumes the watches that can be answered now. */
static void on_tick(void *arg, int64_t now_ms)
{
	struct watch *watch;

	pthread_mutex_lock(&platform.lock);
	for (watch = platform.watches; watch; watch = watch->next)
		if (!watch_is_pending(watch, now_ms))
			web_resume(watch->req);
	pthread_mutex_unlock(&platform.lock);
}

/* Counts a call and tracks the highest number of calls in one second. */
static void count_call(bool is_list, int64_t now_ms)
{
	int64_t second = now_ms / MS_PER_S;

	if (second != platform.current_second) {
		platform.current_second = second;
		platform.calls_this_second = 0;
	}
	platform.calls_this_second++;
	if (platform.calls_this_second > platform.peak_calls_per_second)
		platform.peak_calls_per_second = platform.calls_this_second;
	platform.calls++;
	if (is_list)
		platform.list_calls++;
	else
		platform.config_calls++;
}

/* Creates the watch of a new request and counts the call. */
static struct watch *watch_open(struct web_request *req, bool is_list,
				int64_t now_ms)
{
	struct watch *watch = calloc(1, sizeof(*watch));
	long wait = web_query_long(req, "wait", 0);

	if (!watch)
		return NULL;
	if (!web_query(req, "after") || wait < 0)
		wait = 0;
	if (wait > WAIT_MAX_S)
		wait = WAIT_MAX_S;
	watch->req = req;
	watch->is_list = is_list;
	watch->until_ms = now_ms + wait * MS_PER_S;
	watch->next = platform.watches;
	platform.watches = watch;
	req->call = watch;
	count_call(is_list, now_ms);
	if (!is_list)
		platform.flap_count++;
	return watch;
}

/* Frees the watch of a completed request. */
static void watch_close(struct web_request *req, void *arg)
{
	struct watch **link;
	struct watch *watch = req->call;

	if (!watch)
		return;
	pthread_mutex_lock(&platform.lock);
	for (link = &platform.watches; *link; link = &(*link)->next) {
		if (*link == watch) {
			*link = watch->next;
			break;
		}
	}
	pthread_mutex_unlock(&platform.lock);
	free(watch);
}

/* Replies with the configuration document that is visible now. */
static enum web_result config_reply(struct web_request *req)
{
	const struct document *doc = visible_config();
	struct MHD_Response *res;
	char revision[24];
	size_t len = doc->len;

	if (!doc->text)
		return web_reply_error(req, MHD_HTTP_NOT_FOUND, "empty");
	if (doc->revision <= web_query_long(req, "after", -1))
		return web_reply(req, MHD_HTTP_NOT_MODIFIED, "", 0);
	if (platform.config_fault == FAULT_HALF)
		len /= 2;
	res = MHD_create_response_from_buffer(len, doc->text,
					      MHD_RESPMEM_MUST_COPY);
	if (!res)
		return WEB_CLOSE;
	snprintf(revision, sizeof(revision), "%ld", doc->revision);
	MHD_add_response_header(res, "X-Revision", revision);
	MHD_add_response_header(res, "Content-Type", "application/json");
	return web_send(req, MHD_HTTP_OK, res);
}

/* Replies with the instance list that is visible now. */
static enum web_result list_reply(struct web_request *req, int64_t now_ms)
{
	const struct list_version *list = visible_list(now_ms);
	long version = list ? list->version : 0;

	if (version <= web_query_long(req, "after", -1))
		return web_reply(req, MHD_HTTP_NOT_MODIFIED, "", 0);
	return web_reply_json(
		req, MHD_HTTP_OK,
		json_pack("{s:I,s:o}", "version", (json_int_t)version,
			  "instances",
			  list ? json_incref(list->instances) : json_array()));
}

/* Serves GET /config and GET /instances; called again after web_resume(). */
static enum web_result handle_read(struct web_request *req, bool is_list)
{
	int64_t now_ms = web_now_ms();
	enum web_result result;
	enum fault_mode fault;

	pthread_mutex_lock(&platform.lock);
	if (!req->call && !watch_open(req, is_list, now_ms))
		result = WEB_CLOSE;
	else if (watch_is_pending(req->call, now_ms))
		result = WEB_SUSPEND;
	else {
		fault = is_list ? platform.list_fault : platform.config_fault;
		if (fault == FAULT_DOWN)
			result = WEB_CLOSE;
		else if (is_list)
			result = list_reply(req, now_ms);
		else
			result = config_reply(req);
	}
	pthread_mutex_unlock(&platform.lock);
	return result;
}

/* Serves PUT /standin/config: the body becomes the newest document. */
static enum web_result put_config(struct web_request *req)
{
	struct document doc = { .len = req->body_len };
	json_t *obj = web_body(req);
	json_t *revision = json_object_get(obj, "revision");

	if (!json_is_integer(revision)) {
		json_decref(obj);
		return web_reply_error(req, MHD_HTTP_BAD_REQUEST,
				       "no revision");
	}
	doc.revision = (long)json_integer_value(revision);
	json_decref(obj);
	doc.text = req->body;
	req->body = NULL;
	pthread_mutex_lock(&platform.lock);
	free(platform.previous.text);
	platform.previous = platform.newest;
	platform.newest = doc;
	pthread_mutex_unlock(&platform.lock);
	on_tick(NULL, web_now_ms());
	return web_reply(req, MHD_HTTP_NO_CONTENT, "", 0);
}

/* Serves PUT /standin/instances: the body becomes the newest list. */
static enum web_result put_instances(struct web_request *req)
{
	json_t *array = web_body(req);
	struct list_version *list;

	if (!json_is_array(array)) {
		json_decref(array);
		return web_reply_error(req, MHD_HTTP_BAD_REQUEST,
				       "not an array");
	}
	pthread_mutex_lock(&platform.lock);
	platform.list_version++;
	list = &platform.lists[platform.list_version % LIST_HISTORY];
	json_decref(list->instances);
	list->instances = array;
	list->version = platform.list_version;
	list->at_ms = web_now_ms();
	pthread_mutex_unlock(&platform.lock);
	on_tick(NULL, web_now_ms());
	return web_reply(req, MHD_HTTP_NO_CONTENT, "", 0);
}

/* Parses the fault mode in a member of obj.  Returns -1 if it is unknown. */
static int read_fault(json_t *obj, const char *member, enum fault_mode *mode)
{
	const char *name = json_string_value(json_object_get(obj, member));
	int fault = web_find_word(fault_names, FAULT_COUNT, name);

	if (!name)
		return 0;
	if (fault < 0)
		return -1;
	*mode = fault;
	return 0;
}

/* Serves POST /standin/fault. */
static enum web_result post_fault(struct web_request *req)
{
	json_t *obj = web_body(req);
	json_t *lag = json_object_get(obj, "list_lag_ms");
	int ret;

	pthread_mutex_lock(&platform.lock);
	ret = !obj || read_fault(obj, "config", &platform.config_fault) ||
	      read_fault(obj, "list", &platform.list_fault);
	if (lag)
		platform.list_lag_ms = json_integer_value(lag);
	pthread_mutex_unlock(&platform.lock);
	json_decref(obj);
	if (ret)
		return web_reply_error(req, MHD_HTTP_BAD_REQUEST, "bad fault");
	return web_reply(req, MHD_HTTP_NO_CONTENT, "", 0);
}

/* Serves GET /standin/counts. */
static enum web_result get_counts(struct web_request *req)
{
	json_t *obj;

	pthread_mutex_lock(&platform.lock);
	obj = json_pack("{s:I,s:I,s:I,s:I}", "calls",
			(json_int_t)platform.calls, "peak_second",
			(json_int_t)platform.peak_calls_per_second, "config",
			(json_int_t)platform.config_calls, "instances",
			(json_int_t)platform.list_calls);
	pthread_mutex_unlock(&platform.lock);
	return web_reply_json(req, MHD_HTTP_OK, obj);
}

static const struct {
	const char *method;
	const char *path;
	enum web_result (*handle)(struct web_request *req);
} routes[] = {
	{ "PUT", "/standin/config", put_config },
	{ "PUT", "/standin/instances", put_instances },
	{ "POST", "/standin/fault", post_fault },
	{ "GET", "/standin/counts", get_counts },
};

static enum web_result handle(struct web_request *req, void *arg)
{
	size_t i;

	if (!strcmp(req->method, "GET") && !strcmp(req->path, "/config"))
		return handle_read(req, false);
	if (!strcmp(req->method, "GET") && !strcmp(req->path, "/instances"))
		return handle_read(req, true);
	for (i = 0; i < sizeof(routes) / sizeof(routes[0]); i++)
		if (!strcmp(req->method, routes[i].method) &&
		    !strcmp(req->path, routes[i].path))
			return routes[i].handle(req);
	return web_reply_error(req, MHD_HTTP_NOT_FOUND, "no such path");
}

static const struct web_ops ops = { handle, watch_close };

/* Stand-in of the platform: configuration service and instance list. */
int main(int argc, const char **argv)
{
	int port = DEFAULT_PORT;
	const struct poptOption options[] = {
		{ "address", 'a', POPT_ARG_STRING, NULL, 'a',
		  "address or range to listen on, may be repeated", "ADDRESS" },
		{ "port", 'p', POPT_ARG_INT, &port, 0, "TCP port", "PORT" },
		POPT_AUTOHELP POPT_TABLEEND
	};
	struct web_server *server;

	options_parse(argc, argv, options, addresses_add_option);
	web_block_exit_signals();
	server = web_start(&ops, NULL, SERVER_THREADS);
	if (!server || web_start_ticker(TICK_US, on_tick, NULL))
		return 1;
	if (addresses_listen(server, port))
		return 1;
	return web_wait_for_exit_signal();
}
