#ifndef BASE_BOARD_H
#define BASE_BOARD_H

#include <pthread.h>

#include "base/table.h"

struct document;

/*
 * Shared state of the controllers: the tables that more than one controller
 * reads or writes, and the current configuration document.  A table used by
 * a single controller belongs to that controller.  The document is immutable
 * and reference-counted.  document_mutex is innermost in the lock order: no
 * other lock may be taken while it is held.
 */
struct board {
	struct table instances; /* struct instance, member/instance.h */
	struct table upstreams; /* struct upstream_report, member/report.h */
	pthread_mutex_t document_mutex;
	struct document *document; /* current; NULL until one is set */
};

void board_init(struct board *b);
void board_destroy(struct board *b);
struct document *board_document(struct board *b);
int board_document_set(struct board *b, struct document *d);

#endif
