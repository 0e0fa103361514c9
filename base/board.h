#ifndef BASE_BOARD_H
#define BASE_BOARD_H

#include <pthread.h>

#include "base/table.h"

struct document;

/*
 * The blackboard: tables that more than one controller reads or writes.
 * Tables of a single controller live with it.  The document in force is an
 * immutable, reference-counted value behind a lock of its own, which is
 * innermost: nothing else is locked while it is held.
 */
struct board {
	struct table instances; /* struct instance, member/instance.h */
	struct table upstreams; /* struct upstream_report, member/report.h */
	pthread_mutex_t document_mutex;
	struct document *document; /* in force, NULL before the first */
};

void board_init(struct board *b);
void board_destroy(struct board *b);
struct document *board_document(struct board *b);
int board_document_set(struct board *b, struct document *d);

#endif
