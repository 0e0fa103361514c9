#ifndef BASE_LOG_WRITER_H
#define BASE_LOG_WRITER_H

#include <stddef.h>

/*
 * Writes log lines to a file descriptor from a dedicated thread.  If the
 * reader of the descriptor stops reading, lines are dropped, but the callers
 * never block.
 */

void log_writer_start(int fd);
void log_writer_put(const char *line, size_t size);
unsigned long long log_writer_dropped(void);
void log_writer_flush(int timeout_ms);

#endif
