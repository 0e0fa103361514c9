#include "base/board.h"

#include "config/document.h"
#include "member/instance.h"
#include "member/report.h"

#define INSTANCES_MAX 4096
#define UPSTREAMS_MAX 1024

/* Initializes an empty board. */
void board_init(struct board *b)
{
	table_init(&b->instances, "instances", RANK_MEMBER,
		   sizeof(struct instance), INSTANCES_MAX);
	table_init(&b->upstreams, "upstreams", RANK_UPSTREAM,
		   sizeof(struct upstream_report), UPSTREAMS_MAX);
	pthread_mutex_init(&b->document_mutex, NULL);
	b->document = NULL;
}

/* Frees the tables and drops the reference to the document. */
void board_destroy(struct board *b)
{
	if (b->document)
		document_unref(b->document);
	table_destroy(&b->instances);
	table_destroy(&b->upstreams);
	pthread_mutex_destroy(&b->document_mutex);
}

/* Returns a new reference to the current document, or NULL if none is set. */
struct document *board_document(struct board *b)
{
	struct document *d;

	pthread_mutex_lock(&b->document_mutex);
	d = b->document ? document_ref(b->document) : NULL;
	pthread_mutex_unlock(&b->document_mutex);
	return d;
}

/*
 * Replaces the current document if the revision of d is higher.  On success
 * the board takes over the caller's reference and 0 is returned.  Otherwise
 * returns -1, and the reference stays with the caller.
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
