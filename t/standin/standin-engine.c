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

/* Does what is due at every engine. */
static void on_tick(void *arg, int64_t now_ms)
{
	int i;

	for (i = 0; i < addresses.count; i++)
		engine_tick(engines[i], now_ms);
}

/* Sets a fault at the engine that is named, or at all. */
static enum web_verdict post_fault(struct engine *engine,
				   struct web_request *req)
{
	json_t *obj = web_body(req);
	const char *mode = json_string_value(json_object_get(obj, "mode"));
	const char *address =
		json_string_value(json_object_get(obj, "address"));
	int ms = (int)json_integer_value(json_object_get(obj, "ms"));
	int only = address ? addresses_find(address) : -1;
	int fault = web_word(fault_names, ENGINE_FAULT_COUNT, mode);
	int i;

	if (fault < 0 || (address && only < 0)) {
		json_decref(obj);
		return web_reply_error(req, MHD_HTTP_BAD_REQUEST, "bad fault");
	}
	for (i = 0; i < addresses.count; i++)
		if (!address || i == only)
			engine_set_fault(engines[i], fault, ms);
	json_decref(obj);
	return web_reply(req, MHD_HTTP_NO_CONTENT, "", 0);
}

/* Serves GET /standin/runs. */
static enum web_verdict get_runs(struct engine *engine, struct web_request *req)
{
	return web_reply_json(req, MHD_HTTP_OK,
			      json_pack("{s:o}", "runs", batch_runs()));
}

/* Serves GET /standin/counts. */
static enum web_verdict get_counts(struct engine *engine,
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

/* A path that ends in "/" stands for all paths below it. */
static const struct {
	const char *method; /* NULL for any */
	const char *path;
	enum web_verdict (*handle)(struct engine *engine,
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

/* Whether a path of the routes stands for the one asked for. */
static bool route_matches(const char *path, const char *asked)
{
	size_t len = strlen(path);

	if (path[len - 1] == '/')
		return !strncmp(path, asked, len);
	return !strcmp(path, asked);
}

/* Serves a request at the engine of its address. */
static enum web_verdict handle(struct web_request *req, void *arg)
{
	int at = addresses_find(web_local(req));
	size_t i;

	if (at < 0)
		return WEB_CLOSE;
	for (i = 0; i < sizeof(routes) / sizeof(routes[0]); i++)
		if (route_matches(routes[i].path, req->path) &&
		    (!routes[i].method ||
		     !strcmp(routes[i].method, req->method)))
			return routes[i].handle(engines[at], req);
	return web_reply_error(req, MHD_HTTP_NOT_FOUND, "no such path");
}

/* Ends the call of a request, if it made one. */
static void request_end(struct web_request *req, void *arg)
{
	call_close(req);
}

static const struct web_ops ops = { handle, request_end };

/* Creates the engines and lets them be reached. */
static int engines_start(void)
{
	struct web_server *server = web_start(&ops, NULL, SERVER_THREADS);
	int i;

	addresses_default();
	engines = calloc((size_t)addresses.count, sizeof(struct engine *));
	if (!server || !engines)
		return -1;
	for (i = 0; i < addresses.count; i++) {
		engines[i] = engine_create(server, addresses.names[i]);
		if (!engines[i])
			return -1;
	}
	if (web_ticker(TICK_US, on_tick, NULL))
		return -1;
	return addresses_listen(server, engine_settings.port);
}

/* Runs engines on the addresses given. */
int main(int argc, const char **argv)
{
	struct engine_settings *set = &engine_settings;
	const struct poptOption options[] = {
		{ "address", 'a', POPT_ARG_STRING, NULL, 'a',
		  "address of an engine, may be repeated", "ADDRESS" },
		{ "addresses", 'A', POPT_ARG_STRING, NULL, 'a',
		  "addresses of many engines", "FIRST-LAST" },
		{ "port", 'p', POPT_ARG_INT, &set->port, 0, "TCP port",
		  "PORT" },
		{ "fencing", 'f', POPT_ARG_NONE, &set->fencing, 0,
		  "refuse an order with a lower fence", NULL },
		{ "slots", 's', POPT_ARG_INT, &set->slots, 0,
		  "calls in the batch at once", "N" },
		{ "token-ms", 't', POPT_ARG_INT, &set->token_ms, 0,
		  "time of one step of the batch", "MS" },
		{ "staging", 'm', POPT_ARG_LONGLONG, &set->staging_bytes, 0,
		  "size of the staging memory, 0 for no limit", "BYTES" },
		{ "load-lag", 'l', POPT_ARG_INT, &set->load_lag_ms, 0,
		  "age of the load reports", "MS" },
		{ "load-ms", 'o', POPT_ARG_INT, &set->load_ms, 0,
		  "time from a load order until the model is ready", "MS" },
		{ "prefill-us", 'u', POPT_ARG_INT, &set->prefill_us, 0,
		  "time for each block of a prompt that is not cached", "US" },
		{ "cache", 'c', POPT_ARG_INT, &set->cache_blocks, 0,
		  "blocks in the prefix cache", "N" },
		{ "event-lag", 'e', POPT_ARG_INT, &set->event_lag_ms, 0,
		  "age of the cache events", "MS" },
		{ "event-gap", 'g', POPT_ARG_INT, &set->event_gap, 0,
		  "every event with this step is lost", "N" },
		POPT_AUTOHELP POPT_TABLEEND
	};

	set->port = DEFAULT_PORT;
	set->slots = DEFAULT_SLOTS;
	set->token_ms = DEFAULT_TOKEN_MS;
	set->cache_blocks = DEFAULT_CACHE_BLOCKS;
	options_read(argc, argv, options, addresses_option);
	web_block_signals();
	if (apr_initialize() || engines_start())
		return 1;
	return web_wait_for_signal();
}
