#ifndef BASE_CLOCK_H
#define BASE_CLOCK_H

#include <apr_time.h>

/*
 * Monotonic time in microseconds.  Only loops and I/O call it; functions
 * that decide take "now" as an argument.  It goes on while a process is
 * stopped and while the machine is suspended, so a late wake-up shows as a
 * gap, and it never steps back.
 */
apr_time_t clock_now(void);

#endif
