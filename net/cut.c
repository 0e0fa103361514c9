#include "net/cut.h"

#include <pthread.h>
#include <stdio.h>
#include <string.h>

#define PREFIXES_MAX 32
#define PREFIX_SIZE 64

static struct {
	pthread_rwlock_t lock;
	int count; /* read without the lock: 0 means no partition */
	char prefixes[PREFIXES_MAX][PREFIX_SIZE];
} partition = { PTHREAD_RWLOCK_INITIALIZER };

/* Replaces the set of prefixes, such as "127.2." or a whole address. */
void partition_set(const char *const *prefixes, int count)
{
	int i;

	if (count > PREFIXES_MAX)
		count = PREFIXES_MAX;
	pthread_rwlock_wrlock(&partition.lock);
	for (i = 0; i < count; i++)
		snprintf(partition.prefixes[i], PREFIX_SIZE, "%s", prefixes[i]);
	__atomic_store_n(&partition.count, count, __ATOMIC_RELEASE);
	pthread_rwlock_unlock(&partition.lock);
}

/* Returns 1 when address matches one of the prefixes. */
int is_address_partitioned(const char *address)
{
	int i, is_match = 0;

	if (!__atomic_load_n(&partition.count, __ATOMIC_ACQUIRE))
		return 0;
	pthread_rwlock_rdlock(&partition.lock);
	for (i = 0; i < partition.count && !is_match; i++)
		is_match = !strncmp(address, partition.prefixes[i],
				    strlen(partition.prefixes[i]));
	pthread_rwlock_unlock(&partition.lock);
	return is_match;
}

/* Returns 1 when the host of an http:// URL matches a prefix. */
int is_url_partitioned(const char *url)
{
	const char *host = strstr(url, "://");

	return is_address_partitioned(host ? host + 3 : url);
}
