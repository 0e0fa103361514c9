#ifndef NET_HTTPD_GUARD_H
#define NET_HTTPD_GUARD_H

#include <arpa/inet.h>
#include <pthread.h>

#include "net/intake.h"

/*
 * Connections of an HTTP server and what each is doing. The bodies of all
 * servers of the process share one bound.
 */

struct guarded_connection {
	int fd;
	char peer[INET_ADDRSTRLEN];
	struct intake_progress progress;
	int is_closing; /* shut down by the guard */
	struct guarded_connection *next;
	struct guarded_connection **link;
};

struct http_guard {
	pthread_mutex_t mutex;
	struct guarded_connection *first;
	int count;
};

void guard_set_memory(long long bytes);
int guard_connections_max(void);

void guard_init(struct http_guard *g);
void guard_destroy(struct http_guard *g);
struct guarded_connection *guard_add(struct http_guard *g, int fd,
				     const char *peer, apr_time_t now);
void guard_remove(struct http_guard *g, struct guarded_connection *c);
void guard_enter(struct http_guard *g, struct guarded_connection *c,
		 enum intake_state state, size_t bytes, apr_time_t now);
void guard_record_bytes(struct http_guard *g, struct guarded_connection *c,
			size_t bytes, apr_time_t now);
int guard_has_room(size_t size, size_t growth);
int guard_charge(struct http_guard *g, struct guarded_connection *c,
		 size_t size, size_t growth, apr_time_t now);
void guard_count(size_t bytes);
size_t guard_stream_limit(void);
void guard_discharge(size_t bytes);
void guard_sweep(struct http_guard *g, apr_time_t now);

#endif
