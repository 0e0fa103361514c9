#include "net/cut.h"

#include <pthread.h>
#include <stdio.h>
#include <string.h>

#define CUT_PREFIXES_MAX 32
#define CUT_PREFIX_SIZE 64

static struct {
	pthread_rwlock_t lock;
	int count; /* read without the lock as a quick "nothing is cut" */
	char prefixes[CUT_PREFIXES_MAX][CUT_PREFIX_SIZE];
} cut = { PTHREAD_RWLOCK_INITIALIZER };

/* Replaces the set of prefixes, such as "127.2." or a whole address. */
void cut_set(const char *const *prefixes, int count)
{
	int i;

	if (count > CUT_PREFIXES_MAX)
		count = CUT_PREFIXES_MAX;
	pthread_rwlock_wrlock(&cut.lock);
	for (i = 0; i < count; i++)
		snprintf(cut.prefixes[i], CUT_PREFIX_SIZE, "%s", prefixes[i]);
	__atomic_store_n(&cut.count, count, __ATOMIC_RELEASE);
	pthread_rwlock_unlock(&cut.lock);
}

/* Returns 1 when nothing may be exchanged with address. */
int cut_blocks(const char *address)
{
	int i, blocked = 0;

	if (!__atomic_load_n(&cut.count, __ATOMIC_ACQUIRE))
		return 0;
	pthread_rwlock_rdlock(&cut.lock);
	for (i = 0; i < cut.count && !blocked; i++)
		blocked = !strncmp(address, cut.prefixes[i],
				   strlen(cut.prefixes[i]));
	pthread_rwlock_unlock(&cut.lock);
	return blocked;
}

/* Same, for the host of an http:// URL. */
int cut_blocks_url(const char *url)
{
	const char *host = strstr(url, "://");

	return cut_blocks(host ? host + 3 : url);
}
