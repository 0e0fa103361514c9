#ifndef BASE_CLOCK_H
#define BASE_CLOCK_H

#include <apr_time.h>

/*
 * Monotonic time in microseconds.  The clock never steps back.  It advances
 * while the process is stopped and while the machine is suspended, so that a
 * late wake-up is visible as a gap.  Only event loops and I/O code call this
 * function; decision functions take "now" as an argument.
 */
apr_time_t clock_now(void);

/* Processor time of the calling thread, for what it spends on a step. */
apr_time_t clock_thread_time(void);

#endif
