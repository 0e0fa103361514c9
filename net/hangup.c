#include "net/hangup.h"

#include <pthread.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#define EVENTS_MAX 256
/* Id of the event that wakes the thread for a stop; generations start at 1. */
#define WAKEUP_ID 0

/* One watched connection; an id is its slot and the slot's generation. */
struct slot {
	void *arg;
	uint32_t generation;
	uint32_t next_free; /* slot plus one */
};

struct hangup_watch {
	const struct hangup_ops *ops;
	int epoll;
	int wakeup; /* eventfd */
	int stopping;
	pthread_t thread;
	pthread_mutex_t mutex; /* innermost; guards the slots */
	struct slot *slots;
	uint32_t count;
	uint32_t first_free;
};

/* Returns a new reference to the argument of a watched id, or NULL. */
static void *ref_slot_arg(struct hangup_watch *w, uint64_t id)
{
	uint32_t i = (uint32_t)id;
	void *arg = NULL;

	pthread_mutex_lock(&w->mutex);
	if (i < w->count && w->slots[i].generation == (uint32_t)(id >> 32))
		arg = w->slots[i].arg;
	if (arg)
		w->ops->ref(arg);
	pthread_mutex_unlock(&w->mutex);
	return arg;
}

static void *watch_main(void *p)
{
	struct epoll_event events[EVENTS_MAX];
	struct hangup_watch *w = p;
	void *arg;
	int i, n;

	while (!__atomic_load_n(&w->stopping, __ATOMIC_ACQUIRE)) {
		n = epoll_wait(w->epoll, events, EVENTS_MAX, -1);
		for (i = 0; i < n; i++) {
			if (events[i].data.u64 == WAKEUP_ID)
				continue;
			arg = ref_slot_arg(w, events[i].data.u64);
			if (arg)
				w->ops->hung_up(arg);
		}
	}
	return NULL;
}

/* Starts the watch and its thread. */
struct hangup_watch *hangup_start(const struct hangup_ops *ops)
{
	struct epoll_event e = { .events = EPOLLIN,
				 .data = { .u64 = WAKEUP_ID } };
	struct hangup_watch *w = calloc(1, sizeof(*w));

	if (!w)
		abort();
	w->ops = ops;
	pthread_mutex_init(&w->mutex, NULL);
	w->epoll = epoll_create1(EPOLL_CLOEXEC);
	w->wakeup = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
	if (w->epoll < 0 || w->wakeup < 0 ||
	    epoll_ctl(w->epoll, EPOLL_CTL_ADD, w->wakeup, &e) ||
	    pthread_create(&w->thread, NULL, watch_main, w))
		abort();
	return w;
}

/* Ends the thread and frees the watch. */
void hangup_stop(struct hangup_watch *w)
{
	__atomic_store_n(&w->stopping, 1, __ATOMIC_RELEASE);
	if (eventfd_write(w->wakeup, 1))
		abort();
	pthread_join(w->thread, NULL);
	close(w->wakeup);
	close(w->epoll);
	pthread_mutex_destroy(&w->mutex);
	free(w->slots);
	free(w);
}

static uint32_t allocate_slot(struct hangup_watch *w)
{
	uint32_t i = w->first_free;

	if (i) {
		w->first_free = w->slots[i - 1].next_free;
		return i - 1;
	}
	if (!(w->count & (w->count - 1))) {
		w->slots = realloc(w->slots,
				   sizeof(*w->slots) *
					   (w->count ? w->count * 2 : 1));
		if (!w->slots)
			abort();
	}
	w->slots[w->count] = (struct slot){ 0 };
	return w->count++;
}

/* Watches a connection.  Returns the id to remove it by, never 0. */
uint64_t hangup_add(struct hangup_watch *w, int fd, void *arg)
{
	struct epoll_event e = { .events = EPOLLRDHUP | EPOLLET };
	uint32_t i;

	pthread_mutex_lock(&w->mutex);
	i = allocate_slot(w);
	w->slots[i].arg = arg;
	w->slots[i].generation++;
	e.data.u64 = (uint64_t)w->slots[i].generation << 32 | i;
	pthread_mutex_unlock(&w->mutex);
	epoll_ctl(w->epoll, EPOLL_CTL_ADD, fd, &e);
	return e.data.u64;
}

/* Stops watching; fd must still be open. */
void hangup_remove(struct hangup_watch *w, uint64_t id, int fd)
{
	uint32_t i = (uint32_t)id;

	epoll_ctl(w->epoll, EPOLL_CTL_DEL, fd, NULL);
	pthread_mutex_lock(&w->mutex);
	w->slots[i].arg = NULL;
	w->slots[i].next_free = w->first_free;
	w->first_free = i + 1;
	pthread_mutex_unlock(&w->mutex);
}
