#include "base/board.h"

#include "config/document.h"
#include "member/instance.h"
#include "member/report.h"

#define INSTANCES_MAX 4096
#define UPSTREAMS_MAX 1024

/* Makes an empty board. */
void board_init(struct board *b)
{
	table_init(&b->instances, "instances", RANK_MEMBER,
		   sizeof(struct instance), INSTANCES_MAX);
	table_init(&b->upstreams, "upstreams", RANK_UPSTREAM,
		   sizeof(struct upstream_report), UPSTREAMS_MAX);
	pthread_mutex_init(&b->document_mutex, NULL);
	b->document = NULL;
}

/* Frees the tables and lets the document go. */
void board_destroy(struct board *b)
{
	if (b->document)
		document_unref(b->document);
	table_destroy(&b->instances);
	table_destroy(&b->upstreams);
	pthread_mutex_destroy(&b->document_mutex);
}

/* Returns a reference to the document in force, or NULL. */
struct document *board_document(struct board *b)
{
	struct document *d;

	pthread_mutex_lock(&b->document_mutex);
	d = b->document ? document_ref(b->document) : NULL;
	pthread_mutex_unlock(&b->document_mutex);
	return d;
}

/*
 * Puts a document in force if its revision is above the present one; takes
 * over the reference on success.  Returns -1 when it is not above.
 */
int board_document_set(struct board *b, struct document *d)
{
	struct document *old;

	pthread_mutex_lock(&b->document_mutex);
	old = b->document;
	if (old && old->revision >= d->revision) {
		pthread_mutex_unlock(&b->document_mutex);
		return -1;
	}
	b->document = d;
	pthread_mutex_unlock(&b->document_mutex);
	if (old)
		document_unref(old);
	return 0;
}
