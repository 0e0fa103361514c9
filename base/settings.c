#include "base/settings.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SETTINGS_FILE_MAX_BYTES (64 * 1024)
#define PORT_MAX 65535
#define KEY_LENGTH_MIN 16

static const char *const upstream_kinds[] = { "model", "plain", NULL };
static const char *const platform_kinds[] = { "service", "store", NULL };

static const struct schema_field upstream_fields[] = {
	{ "url", SCHEMA_STRING, SCHEMA_REQUIRED, 8, SETTINGS_URL_SIZE - 1, NULL,
	  NULL, NULL, "http://address:port of the upstream" },
	{ "name", SCHEMA_STRING, SCHEMA_NAME },
	{ "kind", SCHEMA_STRING, 0, 0, 0, NULL, NULL, upstream_kinds },
	{ "checks_fencing", SCHEMA_BOOLEAN },
	SCHEMA_END
};

static const struct schema_field link_fields[] = {
	{ "machine_rate", SCHEMA_INTEGER, 0, 1024, 1e12, "bytes a second" },
	{ "machine_mbps", SCHEMA_REAL, 0, 0.01, 1e6, "Mbit a second" },
	{ "cross_rate", SCHEMA_INTEGER, 0, 1024, 1e12, "bytes a second" },
	{ "transfer_share", SCHEMA_REAL, 0, 0.05, 1.0, NULL },
	SCHEMA_END
};

static const struct schema_field port_fields[] = {
	{ "http", SCHEMA_INTEGER, 0, 1, PORT_MAX, NULL },
	{ "rpc", SCHEMA_INTEGER, 0, 1, PORT_MAX, NULL },
	{ "operator", SCHEMA_INTEGER, 0, 1, PORT_MAX, NULL },
	{ "first", SCHEMA_INTEGER, 0, 1, PORT_MAX - 3, NULL, NULL, NULL,
	  "rpc, http, operator and report use this port and the next 3" },
	SCHEMA_END
};

static const struct schema_field listen_fields[] = {
	{ "callers", SCHEMA_STRING, 0, 0, SETTINGS_ADDRESS_SIZE - 1, NULL, NULL,
	  NULL, "ADDRESS:PORT to listen on for callers, or empty" },
	{ "ready", SCHEMA_STRING, 0, 0, SETTINGS_ADDRESS_SIZE - 1, NULL, NULL,
	  NULL, "ADDRESS:PORT of the readiness check, or empty" },
	SCHEMA_END
};

static const struct schema_field forward_fields[] = {
	{ "release_ms", SCHEMA_INTEGER, 0, 0, 3600000, "ms" },
	{ "stop_grace_s", SCHEMA_REAL, 0, 1, 3600, "s" },
	{ "retry_ratio", SCHEMA_REAL, 0, 0, 10, NULL },
	{ "retry_window_s", SCHEMA_REAL, 0, 1, 3600, "s" },
	{ "retry_slack", SCHEMA_REAL, 0, 0, 1e6, "repeats" },
	{ "evacuate_ms", SCHEMA_INTEGER, 0, 0, 3600000, "ms" },
	{ "cold_ratio", SCHEMA_REAL, 0, 0.1, 100, NULL },
	{ "cold_slack", SCHEMA_REAL, 0, 0, 1e6, "requests" },
	SCHEMA_END
};

static const struct schema_field region_fields[] = {
	{ "data_center", SCHEMA_STRING, SCHEMA_REQUIRED | SCHEMA_NAME },
	{ "region", SCHEMA_STRING, SCHEMA_REQUIRED | SCHEMA_NAME },
	SCHEMA_END
};

static const struct schema_field settings_fields[] = {
	{ "instance", SCHEMA_STRING, SCHEMA_REQUIRED | SCHEMA_NAME },
	{ "data_center", SCHEMA_STRING, SCHEMA_REQUIRED | SCHEMA_NAME },
	{ "region", SCHEMA_STRING, SCHEMA_NAME },
	{ "regions", SCHEMA_ARRAY, 0, 0, SETTINGS_REGIONS_MAX, NULL,
	  region_fields },
	{ "address", SCHEMA_STRING, SCHEMA_REQUIRED, 2,
	  SETTINGS_ADDRESS_SIZE - 1, NULL, NULL, NULL,
	  "the IPv4 address to listen on" },
	{ "ports", SCHEMA_OBJECT, 0, 0, 0, NULL, port_fields },
	{ "listen", SCHEMA_OBJECT, 0, 0, 0, NULL, listen_fields },
	{ "forward", SCHEMA_OBJECT, 0, 0, 0, NULL, forward_fields },
	{ "platform", SCHEMA_STRING, 0, 0, 0, NULL, NULL, platform_kinds },
	{ "platform_url", SCHEMA_STRING, SCHEMA_REQUIRED, 8,
	  SETTINGS_URL_SIZE - 1 },
	{ "platform_value_bytes", SCHEMA_INTEGER, 0, 1024, 256e6, "bytes" },
	{ "store_url", SCHEMA_STRING, 0, 8, SETTINGS_URL_SIZE - 1 },
	{ "key", SCHEMA_STRING, SCHEMA_REQUIRED, KEY_LENGTH_MIN,
	  SETTINGS_KEY_SIZE - 1, NULL, NULL, NULL,
	  "the secret shared by all instances" },
	{ "key_previous", SCHEMA_STRING, 0, KEY_LENGTH_MIN,
	  SETTINGS_KEY_SIZE - 1 },
	{ "seeds", SCHEMA_STRINGS, 0, 0, SETTINGS_SEEDS_MAX },
	{ "upstream", SCHEMA_OBJECT, 0, 0, 0, NULL, upstream_fields },
	{ "links", SCHEMA_OBJECT, 0, 0, 0, NULL, link_fields },
	{ "memory_limit", SCHEMA_INTEGER, 0, 16e6, 256e6, "bytes" },
	{ "machine_memory_mb", SCHEMA_INTEGER, 0, 16, 1e6, "MB" },
	{ "worker_threads", SCHEMA_INTEGER, 0, 1, 64, NULL },
	{ "log_debug", SCHEMA_BOOLEAN },
	{ "fault_injection", SCHEMA_BOOLEAN },
	{ "random_seed", SCHEMA_INTEGER },
	SCHEMA_END
};

static void copy_string(char *to, size_t size, const char *from)
{
	snprintf(to, size, "%s", from ? from : "");
}

static void url_check(const char *path, const char *url,
		      struct fault_list *faults)
{
	if (url && strncmp(url, "http://", strlen("http://")))
		fault_add(faults, path, "expected http://ADDRESS:PORT");
}

/* Checks what the field table cannot express. */
static void settings_check(const json_t *o, enum role role,
			   struct fault_list *faults)
{
	const char *address = schema_string(o, "address", NULL);
	const json_t *up = json_object_get(o, "upstream");
	struct in_addr in;

	if (address && inet_pton(AF_INET, address, &in) != 1)
		fault_add(faults, "address", "\"%s\" is not an IP number",
			  address);
	url_check("platform_url", schema_string(o, "platform_url", NULL),
		  faults);
	url_check("store_url", schema_string(o, "store_url", NULL), faults);
	url_check("upstream.url", schema_string(up, "url", NULL), faults);
	if (role == ROLE_AGENT && !up)
		fault_add(faults, "upstream", "is required on an agent");
	if (role == ROLE_ENTRY && up)
		fault_add(faults, "upstream", "belongs to an agent's settings");
}

static void upstream_parse(struct settings *s, const json_t *up)
{
	const char *kind = schema_string(up, "kind", "model");

	copy_string(s->upstream_url, sizeof(s->upstream_url),
		    schema_string(up, "url", ""));
	copy_string(s->upstream_name, sizeof(s->upstream_name),
		    schema_string(up, "name", s->instance));
	s->upstream_kind =
		strcmp(kind, "plain") ? UPSTREAM_MODEL : UPSTREAM_PLAIN;
	s->upstream_fencing = schema_boolean(up, "checks_fencing", 0);
}

/* A port in a seed is ignored, because all instances use the same ports. */
static void seeds_parse(struct settings *s, const json_t *seeds)
{
	const char *seed;
	size_t i;

	for (i = 0; i < json_array_size(seeds); i++) {
		seed = json_string_value(json_array_get(seeds, i));
		snprintf(s->seeds[s->seed_count++], SETTINGS_ADDRESS_SIZE,
			 "%.*s", (int)strcspn(seed, ":"), seed);
	}
}

/*
 * Parses ADDRESS:PORT.  Leaves both unchanged if text is NULL or has no
 * colon.
 */
static void endpoint_parse(const char *text, char *address, int *port)
{
	const char *colon = text ? strchr(text, ':') : NULL;

	if (!colon)
		return;
	snprintf(address, SETTINGS_ADDRESS_SIZE, "%.*s", (int)(colon - text),
		 text);
	*port = atoi(colon + 1);
}

static void ports_parse(struct settings *s, const json_t *o)
{
	const json_t *ports = json_object_get(o, "ports");
	const json_t *listen = json_object_get(o, "listen");
	int first = (int)schema_integer(ports, "first", 7100);
	char ignored[SETTINGS_ADDRESS_SIZE];

	/*
	 * With "first", the ports are a range in the order rpc, http, operator,
	 * report, so that all instances use the same ports.
	 */
	s->rpc_port = json_object_get(ports, "first") ? first : first + 1;
	s->http_port = json_object_get(ports, "first") ? first + 1 : first;
	s->operator_port = first + 2;
	s->report_port = first + 3;
	s->http_port = (int)schema_integer(ports, "http", s->http_port);
	s->rpc_port = (int)schema_integer(ports, "rpc", s->rpc_port);
	s->operator_port =
		(int)schema_integer(ports, "operator", s->operator_port);
	endpoint_parse(schema_string(listen, "callers", NULL), ignored,
		       &s->http_port);
	endpoint_parse(schema_string(listen, "ready", NULL), s->ready_address,
		       &s->ready_port);
}

static void forward_parse(struct settings *s, const json_t *o)
{
	s->release_ms = (int)schema_integer(o, "release_ms", 8000);
	s->stop_grace_s = (int)schema_real(o, "stop_grace_s", 60);
	s->retry_ratio = schema_real(o, "retry_ratio", 0.1);
	s->retry_window_s = (int)schema_real(o, "retry_window_s", 10);
	s->retry_slack = (int)schema_real(o, "retry_slack", 100);
	s->evacuate_ms = (int)schema_integer(o, "evacuate_ms", 0);
	s->cold_ratio = schema_real(o, "cold_ratio", 1);
	s->cold_slack = (int)schema_real(o, "cold_slack", 0);
}

static void regions_parse(struct settings *s, const json_t *list)
{
	const json_t *o;
	size_t i;

	json_array_foreach(list, i, o)
	{
		struct settings_region *r = &s->regions[s->region_count++];

		copy_string(r->data_center, sizeof(r->data_center),
			    schema_string(o, "data_center", ""));
		copy_string(r->region, sizeof(r->region),
			    schema_string(o, "region", ""));
	}
}

static long long link_rate_parse(const json_t *links)
{
	double mbps = schema_real(links, "machine_mbps", 0);

	if (mbps > 0)
		return (long long)(mbps * 1e6 / 8);
	return schema_integer(links, "machine_rate", 125000000);
}

static void settings_parse(struct settings *s, const json_t *o)
{
	const json_t *links = json_object_get(o, "links");

	memset(s, 0, sizeof(*s));
	copy_string(s->instance, sizeof(s->instance),
		    schema_string(o, "instance", ""));
	copy_string(s->data_center, sizeof(s->data_center),
		    schema_string(o, "data_center", ""));
	copy_string(s->region, sizeof(s->region),
		    schema_string(o, "region", s->data_center));
	copy_string(s->address, sizeof(s->address),
		    schema_string(o, "address", ""));
	ports_parse(s, o);
	forward_parse(s, json_object_get(o, "forward"));
	regions_parse(s, json_object_get(o, "regions"));
	s->platform = strcmp(schema_string(o, "platform", "service"), "store")
			      ? PLATFORM_SERVICE
			      : PLATFORM_STORE;
	copy_string(s->platform_url, sizeof(s->platform_url),
		    schema_string(o, "platform_url", ""));
	s->value_max = (size_t)schema_integer(o, "platform_value_bytes",
					      SETTINGS_VALUE_BYTES);
	s->text_max = s->value_max * SETTINGS_TEXT_GROWTH;
	copy_string(s->store_url, sizeof(s->store_url),
		    schema_string(o, "store_url", ""));
	copy_string(s->key, sizeof(s->key), schema_string(o, "key", ""));
	copy_string(s->key_previous, sizeof(s->key_previous),
		    schema_string(o, "key_previous", ""));
	seeds_parse(s, json_object_get(o, "seeds"));
	upstream_parse(s, json_object_get(o, "upstream"));
	s->link_rate = link_rate_parse(links);
	s->cross_rate = schema_integer(links, "cross_rate", 2500000);
	s->transfer_share = schema_real(links, "transfer_share", 0.9);
	s->memory_limit = schema_integer(o, "memory_limit", 256000000);
	s->machine_memory_mb = (int)schema_integer(o, "machine_memory_mb", 256);
	s->worker_threads = (int)schema_integer(o, "worker_threads", 4);
	s->log_debug = schema_boolean(o, "log_debug", 0);
	s->fault_injection = schema_boolean(o, "fault_injection", 0);
	s->random_seed =
		(unsigned long long)schema_integer(o, "random_seed", 0);
}

/*
 * Loads and validates the settings file.  Returns 0, or -1 after adding all
 * faults to the list; *s is then unchanged.
 */
int settings_load(const char *file, enum role role, struct settings *s,
		  struct fault_list *faults)
{
	json_t *o = schema_load_file(file, SETTINGS_FILE_MAX_BYTES, faults);

	if (!o)
		return -1;
	schema_check(settings_fields, o, "", faults);
	if (json_is_object(o))
		settings_check(o, role, faults);
	if (!faults->count)
		settings_parse(s, o);
	json_decref(o);
	return faults->count ? -1 : 0;
}

/* Returns 1 if the settings name another process to learn members from. */
int settings_has_seeds(const struct settings *s)
{
	int i;

	for (i = 0; i < s->seed_count; i++)
		if (strcmp(s->seeds[i], s->address))
			return 1;
	return 0;
}
