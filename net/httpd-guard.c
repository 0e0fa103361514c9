#include "net/httpd-guard.h"

#include <stdio.h>
#include <stdlib.h>
#include <sys/resource.h>
#include <sys/socket.h>

#include "base/log.h"
#include "base/metric.h"

/* Of a machine whose settings don't name its memory. */
#define MEMORY_DEFAULT_BYTES 256000000LL
#define DESCRIPTORS_DEFAULT 4096

/* Share of the bounds from which the slowest give way to others. */
#define CROWDED_SHARE 0.875
/* Least time between two bodies that give way: closing takes a moment. */
#define EVICT_GAP_US (5 * 1000)

static struct intake_bounds bounds; /* set before the first server starts */
static size_t body_bytes;     /* atomic: of all bodies and unsent answers */
static apr_time_t evicted_at; /* atomic */

static long find_descriptor_limit(void)
{
	struct rlimit r;

	if (getrlimit(RLIMIT_NOFILE, &r) || r.rlim_cur == RLIM_INFINITY)
		return DESCRIPTORS_DEFAULT;
	return (long)r.rlim_cur;
}

/*
 * Sets the memory of the machine, from which all bounds follow. To be called
 * before the first server starts.
 */
void guard_set_memory(long long bytes)
{
	intake_set_bounds(&bounds, bytes, find_descriptor_limit());
}

/* Returns the most connections of one server. */
int guard_connections_max(void)
{
	if (!bounds.connections)
		guard_set_memory(MEMORY_DEFAULT_BYTES);
	return bounds.connections;
}

void guard_init(struct http_guard *g)
{
	pthread_mutex_init(&g->mutex, NULL);
	g->first = NULL;
	g->count = 0;
}

void guard_destroy(struct http_guard *g)
{
	pthread_mutex_destroy(&g->mutex);
}

/* Closes a connection; its server notices and frees it. Mutex held. */
static void close_locked(struct guarded_connection *c, const char *reason)
{
	if (c->is_closing)
		return;
	c->is_closing = 1;
	metric_count("http_closed", reason, 1);
	if (log_is_enabled(LOG_SEV_INFO, 1))
		log_info("http-close", c->peer,
			 "closing a connection (%s), %zu bytes in its state",
			 reason, c->progress.bytes);
	shutdown(c->fd, SHUT_RDWR);
}

/*
 * Returns the connection that loses least by being closed: the one that has been
 * idle for longest, or else the slowest body.
 */
static struct guarded_connection *
find_victim(struct http_guard *g, const struct guarded_connection *except,
	    int is_for_body, apr_time_t now)
{
	struct guarded_connection *c, *idle = NULL, *slow = NULL;

	for (c = g->first; c; c = c->next) {
		const struct intake_progress *p = &c->progress;

		if (c == except || c->is_closing)
			continue;
		if (p->state == INTAKE_IDLE && !is_for_body &&
		    (!idle || p->progress_at < idle->progress.progress_at))
			idle = c;
		if (intake_may_evict(p, now) &&
		    (!slow ||
		     intake_rate(p, now) < intake_rate(&slow->progress, now)))
			slow = c;
	}
	return idle ? idle : slow;
}

/*
 * Adds a connection that was accepted. When they are nearly as many as allowed,
 * another one is closed, so that accepting never stops.
 */
struct guarded_connection *guard_add(struct http_guard *g, int fd,
				     const char *peer, apr_time_t now)
{
	struct guarded_connection *c = calloc(1, sizeof(*c)), *victim;

	if (!c)
		abort();
	c->fd = fd;
	snprintf(c->peer, sizeof(c->peer), "%s", peer);
	c->progress.since = c->progress.progress_at = now;
	pthread_mutex_lock(&g->mutex);
	c->next = g->first;
	c->link = &g->first;
	if (c->next)
		c->next->link = &c->next;
	g->first = c;
	g->count++;
	if (g->count > CROWDED_SHARE * bounds.connections) {
		victim = find_victim(g, c, 0, now);
		if (victim)
			close_locked(victim, "crowded");
	}
	pthread_mutex_unlock(&g->mutex);
	return c;
}

/* Removes and frees a connection whose descriptor is about to be closed. */
void guard_remove(struct http_guard *g, struct guarded_connection *c)
{
	pthread_mutex_lock(&g->mutex);
	*c->link = c->next;
	if (c->next)
		c->next->link = c->link;
	g->count--;
	pthread_mutex_unlock(&g->mutex);
	free(c);
}

/*
 * Records what a connection does from now on. bytes is the size of an answer
 * that the caller is to read. c may be NULL.
 */
void guard_enter(struct http_guard *g, struct guarded_connection *c,
		 enum intake_state state, size_t bytes, apr_time_t now)
{
	if (!c)
		return;
	pthread_mutex_lock(&g->mutex);
	c->progress.state = state;
	c->progress.since = c->progress.progress_at = now;
	c->progress.bytes = bytes;
	pthread_mutex_unlock(&g->mutex);
}

/* Records bytes of a body that arrived. c may be NULL. */
void guard_record_bytes(struct http_guard *g, struct guarded_connection *c,
			size_t bytes, apr_time_t now)
{
	if (!c)
		return;
	pthread_mutex_lock(&g->mutex);
	c->progress.bytes += bytes;
	c->progress.progress_at = now;
	pthread_mutex_unlock(&g->mutex);
}

/* Returns 1 if a body of this size could take so much more memory now. */
int guard_has_room(size_t size, size_t growth)
{
	return intake_has_room(&bounds,
			       __atomic_load_n(&body_bytes, __ATOMIC_RELAXED),
			       size, growth);
}

static void make_room(struct http_guard *g, const struct guarded_connection *c,
		      apr_time_t now)
{
	struct guarded_connection *victim;

	if (now - __atomic_load_n(&evicted_at, __ATOMIC_RELAXED) < EVICT_GAP_US)
		return;
	pthread_mutex_lock(&g->mutex);
	victim = find_victim(g, c, 1, now);
	if (victim) {
		__atomic_store_n(&evicted_at, now, __ATOMIC_RELAXED);
		close_locked(victim, "memory");
	}
	pthread_mutex_unlock(&g->mutex);
}

/*
 * Takes memory for a body that will have `size` bytes. When it runs short, the
 * slowest body is closed before there is none. Returns -1 if there is none.
 */
int guard_charge(struct http_guard *g, struct guarded_connection *c,
		 size_t size, size_t growth, apr_time_t now)
{
	size_t used = __atomic_add_fetch(&body_bytes, growth, __ATOMIC_RELAXED);

	if (!intake_has_room(&bounds, (size_t)(used / CROWDED_SHARE), size, 0))
		make_room(g, c, now);
	if (intake_has_room(&bounds, used - growth, size, growth))
		return 0;
	guard_discharge(growth);
	metric_count("http_refused", "memory", 1);
	return -1;
}

/* Counts memory of an answer, which its sender limits by itself. */
void guard_count(size_t bytes)
{
	__atomic_add_fetch(&body_bytes, bytes, __ATOMIC_RELAXED);
}

/* Returns how much of an answer may lie unsent now. */
size_t guard_stream_limit(void)
{
	return intake_stream_limit(
		&bounds, __atomic_load_n(&body_bytes, __ATOMIC_RELAXED));
}

/* Gives memory of a body or an answer back. */
void guard_discharge(size_t bytes)
{
	__atomic_sub_fetch(&body_bytes, bytes, __ATOMIC_RELAXED);
}

/* Closes the connections that get no further. */
void guard_sweep(struct http_guard *g, apr_time_t now)
{
	static const char *const reasons[] = {
		[INTAKE_IDLE] = "idle",	    [INTAKE_HEAD] = "head",
		[INTAKE_BODY] = "body",	    [INTAKE_SERVED] = "served",
		[INTAKE_ANSWER] = "answer",
	};
	struct guarded_connection *c;

	pthread_mutex_lock(&g->mutex);
	for (c = g->first; c; c = c->next)
		if (intake_is_stalled(&c->progress, now))
			close_locked(c, reasons[c->progress.state]);
	pthread_mutex_unlock(&g->mutex);
	metric_set(metric_gauge("http_body_bytes", NULL),
		   (int64_t)__atomic_load_n(&body_bytes, __ATOMIC_RELAXED));
}
