#include "base/clock.h"

#include <time.h>

/* Returns microseconds since the machine booted, suspended time included. */
apr_time_t clock_now(void)
{
	struct timespec t;

	clock_gettime(CLOCK_BOOTTIME, &t);
	return (apr_time_t)t.tv_sec * APR_USEC_PER_SEC + t.tv_nsec / 1000;
}

/* Returns the microseconds of processor time that this thread has used. */
apr_time_t clock_thread_time(void)
{
	struct timespec t;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
	return (apr_time_t)t.tv_sec * APR_USEC_PER_SEC + t.tv_nsec / 1000;
}
