#include "base/settings.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <string.h>

#define SETTINGS_FILE_MAX (64 * 1024)
#define PORT_MAX 65535
#define KEY_LENGTH_MIN 16

static const char *const upstream_kinds[] = { "model", "plain", NULL };

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
	{ "cross_rate", SCHEMA_INTEGER, 0, 1024, 1e12, "bytes a second" },
	{ "transfer_share", SCHEMA_REAL, 0, 0.05, 1.0, NULL },
	SCHEMA_END
};

static const struct schema_field port_fields[] = {
	{ "http", SCHEMA_INTEGER, 0, 1, PORT_MAX, NULL },
	{ "rpc", SCHEMA_INTEGER, 0, 1, PORT_MAX, NULL },
	{ "operator", SCHEMA_INTEGER, 0, 1, PORT_MAX, NULL },
	SCHEMA_END
};

static const struct schema_field settings_fields[] = {
	{ "instance", SCHEMA_STRING, SCHEMA_REQUIRED | SCHEMA_NAME },
	{ "data_center", SCHEMA_STRING, SCHEMA_REQUIRED | SCHEMA_NAME },
	{ "region", SCHEMA_STRING, SCHEMA_NAME },
	{ "address", SCHEMA_STRING, SCHEMA_REQUIRED, 2,
	  SETTINGS_ADDRESS_SIZE - 1, NULL, NULL, NULL,
	  "the IP number to listen on" },
	{ "ports", SCHEMA_OBJECT, 0, 0, 0, NULL, port_fields },
	{ "platform_url", SCHEMA_STRING, SCHEMA_REQUIRED, 8,
	  SETTINGS_URL_SIZE - 1 },
	{ "store_url", SCHEMA_STRING, 0, 8, SETTINGS_URL_SIZE - 1 },
	{ "key", SCHEMA_STRING, SCHEMA_REQUIRED, KEY_LENGTH_MIN,
	  SETTINGS_KEY_SIZE - 1, NULL, NULL, NULL,
	  "the secret shared by the system's own processes" },
	{ "key_previous", SCHEMA_STRING, 0, KEY_LENGTH_MIN,
	  SETTINGS_KEY_SIZE - 1 },
	{ "seeds", SCHEMA_STRINGS, 0, 0, SETTINGS_SEEDS_MAX },
	{ "upstream", SCHEMA_OBJECT, 0, 0, 0, NULL, upstream_fields },
	{ "links", SCHEMA_OBJECT, 0, 0, 0, NULL, link_fields },
	{ "memory_limit", SCHEMA_INTEGER, 0, 16e6, 256e6, "bytes" },
	{ "worker_threads", SCHEMA_INTEGER, 0, 1, 64, NULL },
	{ "log_debug", SCHEMA_BOOLEAN },
	{ "fault_injection", SCHEMA_BOOLEAN },
	{ "random_seed", SCHEMA_INTEGER },
	SCHEMA_END
};

static void copy(char *to, size_t size, const char *from)
{
	snprintf(to, size, "%s", from ? from : "");
}

static void url_check(const char *path, const char *url,
		      struct fault_list *faults)
{
	if (url && strncmp(url, "http://", strlen("http://")))
		fault_add(faults, path, "expected http://ADDRESS:PORT");
}

static void semantic_check(const json_t *o, enum role role,
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

static void upstream_bind(struct settings *s, const json_t *up)
{
	const char *kind = schema_string(up, "kind", "model");

	copy(s->upstream_url, sizeof(s->upstream_url),
	     schema_string(up, "url", ""));
	copy(s->upstream_name, sizeof(s->upstream_name),
	     schema_string(up, "name", s->instance));
	s->upstream_kind =
		strcmp(kind, "plain") ? UPSTREAM_MODEL : UPSTREAM_PLAIN;
	s->upstream_fencing = schema_boolean(up, "checks_fencing", 0);
}

static void seeds_bind(struct settings *s, const json_t *seeds)
{
	size_t i;

	for (i = 0; i < json_array_size(seeds); i++)
		copy(s->seeds[s->seed_count++], SETTINGS_ADDRESS_SIZE,
		     json_string_value(json_array_get(seeds, i)));
}

static void settings_bind(struct settings *s, const json_t *o)
{
	const json_t *ports = json_object_get(o, "ports");
	const json_t *links = json_object_get(o, "links");

	memset(s, 0, sizeof(*s));
	copy(s->instance, sizeof(s->instance),
	     schema_string(o, "instance", ""));
	copy(s->data_center, sizeof(s->data_center),
	     schema_string(o, "data_center", ""));
	copy(s->region, sizeof(s->region),
	     schema_string(o, "region", s->data_center));
	copy(s->address, sizeof(s->address), schema_string(o, "address", ""));
	s->http_port = (int)schema_integer(ports, "http", 7100);
	s->rpc_port = (int)schema_integer(ports, "rpc", 7101);
	s->operator_port = (int)schema_integer(ports, "operator", 7102);
	copy(s->platform_url, sizeof(s->platform_url),
	     schema_string(o, "platform_url", ""));
	copy(s->store_url, sizeof(s->store_url),
	     schema_string(o, "store_url", ""));
	copy(s->key, sizeof(s->key), schema_string(o, "key", ""));
	copy(s->key_previous, sizeof(s->key_previous),
	     schema_string(o, "key_previous", ""));
	seeds_bind(s, json_object_get(o, "seeds"));
	upstream_bind(s, json_object_get(o, "upstream"));
	s->link_rate = schema_integer(links, "machine_rate", 125000000);
	s->cross_rate = schema_integer(links, "cross_rate", 2500000);
	s->transfer_share = schema_real(links, "transfer_share", 0.9);
	s->memory_limit = schema_integer(o, "memory_limit", 256000000);
	s->worker_threads = (int)schema_integer(o, "worker_threads", 4);
	s->log_debug = schema_boolean(o, "log_debug", 0);
	s->fault_injection = schema_boolean(o, "fault_injection", 0);
	s->random_seed =
		(unsigned long long)schema_integer(o, "random_seed", 0);
}

/*
 * Loads and checks the settings file.  Returns 0, or -1 with every fault
 * listed; *s is then unchanged.
 */
int settings_load(const char *file, enum role role, struct settings *s,
		  struct fault_list *faults)
{
	json_t *o = schema_load_file(file, SETTINGS_FILE_MAX, faults);

	if (!o)
		return -1;
	schema_check(settings_fields, o, "", faults);
	if (json_is_object(o))
		semantic_check(o, role, faults);
	if (!faults->count)
		settings_bind(s, o);
	json_decref(o);
	return faults->count ? -1 : 0;
}
