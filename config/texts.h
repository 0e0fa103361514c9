#ifndef CONFIG_TEXTS_H
#define CONFIG_TEXTS_H

#include <pthread.h>
#include <stddef.h>
#include <stdint.h>

#include "base/digest.h"
#include "config/config_proto.h"

/*
 * The last texts of a value: the current one, which peers ask for, and older
 * ones, from which deltas lead to it.  What is sent to one peer is kept for the
 * others that ask for the same: encoding a large text takes far longer than
 * sending it.
 */

/* Texts kept per value: the current one and older bases of deltas. */
#define TEXTS_MAX 4

/* The text of a value at one version.  Immutable. */
struct value_text {
	int ref_count; /* guarded by the mutex of the texts */
	uint64_t version;
	struct digest digest;
	char *data;
	size_t size;
};

/* The current text as it is sent. */
struct encoded_text {
	char *data; /* NULL: not encoded yet */
	size_t size;
	size_t unpacked_size;	/* 0: not deflated */
	uint64_t base_revision; /* 0: not a delta */
};

struct texts {
	pthread_mutex_t mutex;
	struct value_text *list[TEXTS_MAX]; /* newest first */
	/* encodings[0] is that of the whole text, others by index of the base */
	struct encoded_text encodings[TEXTS_MAX];
};

void texts_init(struct texts *t);
void texts_destroy(struct texts *t);
void texts_add(struct texts *t, uint64_t version, const char *text, size_t size,
	       struct digest *digest);
size_t texts_current_size(struct texts *t);
char *texts_rebuild(struct texts *t, const config_reply *rep, size_t size_max,
		    size_t *size);
void texts_prepare(struct texts *t, const config_request *req);
void texts_answer(struct texts *t, const config_request *req,
		  config_reply *rep);

#endif
