#include <stdlib.h>
#include <string.h>
#include <apr_general.h>

#include "t/standin/lib-addresses.h"
#include "t/standin/lib-engine.h"
#include "t/standin/lib-options.h"

#define DEFAULT_PORT 7200
#define DEFAULT_SLOTS 8
#define DEFAULT_TOKEN_MS 5
#define DEFAULT_CACHE_BLOCKS 1024
#define SERVER_THREADS 6
#define TICK_US 1000

static struct engine **engines;

static const char *const fault_names[ENGINE_FAULT_COUNT] = {
	"ok",		"blackhole", "refuse-orders", "crash-on-load",
	"ignore-fence", "slow"
};

/* Runs the periodic work of every engine. */
static void on_tick(void *arg, int64_t now_ms)
{
	int i;

	for (i = 0; i < addresses.count; i++)
		engine_tick(engines[i], now_ms);
}

/* Serves POST /standin/fault: sets a fault at one engine or at all. */
static enum web_result post_fault(struct engine *engine,
				  struct web_request *req)
{
	json_t *obj = web_body(req);
	const char *mode = json_string_value(json_object_get(obj, "mode"));
	const char *address =
		json_string_value(json_object_get(obj, "address"));
	int ms = (int)json_integer_value(json_object_get(obj, "ms"));
	int target_index = address ? addresses_find(address) : -1;
	int fault = web_find_word(fault_names, ENGINE_FAULT_COUNT, mode);
	int i;

	if (fault < 0 || (address && target_index < 0)) {
		json_decref(obj);
		return web_reply_error(req, MHD_HTTP_BAD_REQUEST, "bad fault");
	}
	for (i = 0; i < addresses.count; i++)
		if (!address || i == target_index)
			engine_set_fault(engines[i], fault, ms);
	json_decref(obj);
	return web_reply(req, MHD_HTTP_NO_CONTENT, "", 0);
}

/* Serves GET /standin/runs. */
static enum web_result get_runs(struct engine *engine, struct web_request *req)
{
	return web_reply_json(req, MHD_HTTP_OK,
			      json_pack("{s:o}", "runs", batch_runs()));
}

/* Serves GET /standin/counts. */
static enum web_result get_counts(struct engine *engine,
				  struct web_request *req)
{
	const struct engine_counts *counts = &engine_counts;

	return web_reply_json(
		req, MHD_HTTP_OK,
		json_pack("{s:I,s:I,s:I,s:I,s:I,s:I,s:I}", "calls",
			  (json_int_t)counts->calls, "tokens",
			  (json_int_t)counts->tokens, "cancelled",
			  (json_int_t)counts->cancelled, "orders",
			  (json_int_t)counts->orders, "crashes",
			  (json_int_t)counts->crashes, "staged_bytes",
			  (json_int_t)counts->staged_bytes, "read_bytes",
			  (json_int_t)counts->read_bytes));
}

/* A path that ends in "/" matches all paths below it. */
static const struct {
	const char *method; /* NULL for any */
	const char *path;
	enum web_result (*handle)(struct engine *engine,
				  struct web_request *req);
} routes[] = {
	{ "POST", "/v1/generate", generate_handle },
	{ "POST", "/v1/cancel", cancel_handle },
	{ NULL, "/staging/", staging_handle },
	{ "GET", "/staging", staging_handle },
	{ "POST", "/orders", orders_handle },
	{ "GET", "/running", running_handle },
	{ "GET", "/load", load_handle },
	{ "GET", "/cache-events", events_handle },
	{ NULL, "/kv/", kv_handle },
	{ "POST", "/standin/fault", post_fault },
	{ "GET", "/standin/runs", get_runs },
	{ "GET", "/standin/counts", get_counts },
};

/* Returns whether a path of the route table matches a requested path. */
static bool route_matches(const char *path, const char *requested)
{
	size_t len = strlen(path);

	if (path[len - 1] == '/')
		return !strncmp(path, requested, len);
	return !strcmp(path, requested);
}

/* Dispatches a request to the engine of its local address. */
static enum web_result handle(struct web_request *req, void *arg)
{
	int engine_index = addresses_find(web_local_address(req));
	size_t i;

	if (engine_index < 0)
		return WEB_CLOSE;
	for (i = 0; i < sizeof(routes) / sizeof(routes[0]); i++)
		if (route_matches(routes[i].path, req->path) &&
		    (!routes[i].method ||
		     !strcmp(routes[i].method, req->method)))
			return routes[i].handle(engines[engine_index], req);
	return web_reply_error(req, MHD_HTTP_NOT_FOUND, "no such path");
}

static void request_end(struct web_request *req, void *arg)
{
	call_close(req);
}

static const struct web_ops ops = { handle, request_end };

/* Creates the engines and starts listening on their addresses. */
static int engines_start(void)
{
	struct web_server *server = web_start(&ops, NULL, SERVER_THREADS);
	int i;

	addresses_set_default();
	engines = calloc((size_t)addresses.count, sizeof(struct engine *));
	if (!server || !engines)
		return -1;
	for (i = 0; i < addresses.count; i++) {
		engines[i] = engine_create(server, addresses.names[i]);
		if (!engines[i])
			return -1;
	}
	if (web_start_ticker(TICK_US, on_tick, NULL))
		return -1;
	return addresses_listen(server, engine_settings.port);
}

int main(int argc, const char **argv)
{
	struct engine_settings *settings = &engine_settings;
	const struct poptOption options[] = {
		{ "address", 'a', POPT_ARG_STRING, NULL, 'a',
		  "address of an engine, may be repeated", "ADDRESS" },
		{ "addresses", 'A', POPT_ARG_STRING, NULL, 'a',
		  "range of addresses of engines, may be repeated",
		  "FIRST-LAST" },
		{ "port", 'p', POPT_ARG_INT, &settings->port, 0, "TCP port",
		  "PORT" },
		{ "fencing", 'f', POPT_ARG_NONE, &settings->fencing, 0,
		  "refuse orders with a lower fence", NULL },
		{ "slots", 's', POPT_ARG_INT, &settings->slots, 0,
		  "maximum number of calls in the batch", "N" },
		{ "token-ms", 't', POPT_ARG_INT, &settings->token_ms, 0,
		  "duration of one decoding step", "MS" },
		{ "staging", 'm', POPT_ARG_LONGLONG, &settings->staging_bytes,
		  0, "size of the staging memory, 0 for unlimited", "BYTES" },
		{ "load-lag", 'l', POPT_ARG_INT, &settings->load_lag_ms, 0,
		  "delay of load reports", "MS" },
		{ "load-ms", 'o', POPT_ARG_INT, &settings->load_ms, 0,
		  "time from a load order until the model is ready", "MS" },
		{ "prefill-us", 'u', POPT_ARG_INT, &settings->prefill_us, 0,
		  "prefill time per uncached block of a prompt", "US" },
		{ "cache", 'c', POPT_ARG_INT, &settings->cache_blocks, 0,
		  "capacity of the prefix cache in blocks", "N" },
		{ "event-lag", 'e', POPT_ARG_INT, &settings->event_lag_ms, 0,
		  "delay of cache events", "MS" },
		{ "event-gap", 'g', POPT_ARG_INT, &settings->event_gap, 0,
		  "lose every Nth cache event, 0 for none", "N" },
		POPT_AUTOHELP POPT_TABLEEND
	};

	settings->port = DEFAULT_PORT;
	settings->slots = DEFAULT_SLOTS;
	settings->token_ms = DEFAULT_TOKEN_MS;
	settings->cache_blocks = DEFAULT_CACHE_BLOCKS;
	options_parse(argc, argv, options, addresses_add_option);
	web_block_exit_signals();
	if (apr_initialize() || engines_start())
		return 1;
	return web_wait_for_exit_signal();
}
