#include "config/texts.h"

#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/metric.h"
#include "config/delta.h"
#include "config/pack.h"

/* Shorter texts are sent without being deflated. */
#define DEFLATE_MIN_BYTES 512

/* Initializes an empty list. */
void texts_init(struct texts *t)
{
	memset(t, 0, sizeof(*t));
	pthread_mutex_init(&t->mutex, NULL);
}

/* The caller holds the mutex.  text may be NULL. */
static void text_unref(struct value_text *text)
{
	if (!text || --text->ref_count)
		return;
	free(text->data);
	free(text);
}

/* The caller holds the mutex. */
static void clear_encodings(struct texts *t)
{
	int i;

	for (i = 0; i < TEXTS_MAX; i++)
		free(t->encodings[i].data);
	memset(t->encodings, 0, sizeof(t->encodings));
}

/* Frees all texts; no function may be running. */
void texts_destroy(struct texts *t)
{
	int i;

	clear_encodings(t);
	for (i = 0; i < TEXTS_MAX; i++)
		text_unref(t->list[i]);
	pthread_mutex_destroy(&t->mutex);
}

/* Adds a text as the current one and drops the oldest. */
void texts_add(struct texts *t, uint64_t version, const char *text, size_t size,
	       struct digest *digest)
{
	struct value_text *added = calloc(1, sizeof(*added));

	if (!added)
		abort();
	added->data = malloc(size + 1);
	if (!added->data)
		abort();
	memcpy(added->data, text, size);
	added->data[size] = '\0';
	added->size = size;
	added->version = version;
	added->ref_count = 1;
	digest_of(text, size, &added->digest);
	*digest = added->digest;
	pthread_mutex_lock(&t->mutex);
	clear_encodings(t);
	text_unref(t->list[TEXTS_MAX - 1]);
	memmove(&t->list[1], &t->list[0], (TEXTS_MAX - 1) * sizeof(*t->list));
	t->list[0] = added;
	pthread_mutex_unlock(&t->mutex);
}

/* Returns the bytes of the current text, 0 if there is none. */
size_t texts_current_size(struct texts *t)
{
	size_t size;

	pthread_mutex_lock(&t->mutex);
	size = t->list[0] ? t->list[0]->size : 0;
	pthread_mutex_unlock(&t->mutex);
	return size;
}

/*
 * Rebuilds the complete text from a reply with a delta.  Returns NULL if the
 * base is not available, the delta does not fit it, or the result would exceed
 * size_max bytes.  The caller frees the text.
 */
char *texts_rebuild(struct texts *t, const config_reply *rep, size_t size_max,
		    size_t *size)
{
	char *text = NULL;
	int i;

	pthread_mutex_lock(&t->mutex);
	for (i = 0; i < TEXTS_MAX && t->list[i] && !text; i++) {
		const struct value_text *base = t->list[i];

		if (base->version == rep->base_revision)
			text = delta_apply(base->data, base->size,
					   rep->text.text_val,
					   rep->text.text_len, size_max, size);
	}
	pthread_mutex_unlock(&t->mutex);
	return text;
}

/*
 * Returns the index of the text that the requester has and from which it wants
 * a delta, or 0 for the whole text.  The caller holds the mutex.
 */
static int find_base(const struct texts *t, const config_request *req)
{
	const config_version *have;
	int i;

	if (req->full_text || !req->wanted || req->wanted > req->have.have_len)
		return 0;
	have = &req->have.have_val[req->wanted - 1];
	for (i = 1; i < TEXTS_MAX && t->list[i]; i++)
		if (t->list[i]->version == have->revision &&
		    !memcmp(t->list[i]->digest.bytes, have->digest,
			    DIGEST_SIZE))
			return i;
	return 0;
}

static void encode_delta(struct encoded_text *e, const struct value_text *from,
			 const struct value_text *to)
{
	metric_count("config_texts_encoded", "delta", 1);
	e->data = delta_encode(from->data, from->size, to->data, to->size,
			       &e->size);
	if (e->data)
		e->base_revision = from->version;
}

static void encode_whole(struct encoded_text *e, const struct value_text *text)
{
	e->data = malloc(text->size ? text->size : 1);
	if (!e->data)
		abort();
	memcpy(e->data, text->data, text->size);
	e->size = text->size;
}

/* Deflates a text if that makes it shorter. */
static void deflate(struct encoded_text *e)
{
	size_t packed = 0;
	char *data;

	if (e->size < DEFLATE_MIN_BYTES)
		return;
	metric_count("config_texts_encoded", "deflate", 1);
	data = pack_deflate(e->data, e->size, &packed);
	if (!data || packed >= e->size) {
		free(data);
		return;
	}
	free(e->data);
	e->data = data;
	e->unpacked_size = e->size;
	e->size = packed;
}

/* Encodes a text, as a delta if from is not NULL and the delta is shorter. */
static void encode_text(struct encoded_text *e, const struct value_text *from,
			const struct value_text *to)
{
	apr_time_t started_at = clock_thread_time();

	memset(e, 0, sizeof(*e));
	if (from)
		encode_delta(e, from, to);
	if (!e->data)
		encode_whole(e, to);
	deflate(e);
	metric_record(metric_histogram("config_step_us", "encode"),
		      (uint64_t)(clock_thread_time() - started_at));
}

static void copy_to_reply(const struct encoded_text *e, config_reply *rep)
{
	rep->text.text_val = malloc(e->size ? e->size : 1);
	if (!rep->text.text_val)
		return;
	memcpy(rep->text.text_val, e->data, e->size);
	rep->text.text_len = (u_int)e->size;
	rep->unpacked_size = (u_int)e->unpacked_size;
	rep->base_revision = e->base_revision;
}

/* Encodes the current text without the mutex, which the caller holds. */
static void add_encoding(struct texts *t, int base)
{
	struct value_text *to = t->list[0];
	struct value_text *from = base ? t->list[base] : NULL;
	struct encoded_text e;

	to->ref_count++;
	if (from)
		from->ref_count++;
	pthread_mutex_unlock(&t->mutex);
	encode_text(&e, from, to);
	pthread_mutex_lock(&t->mutex);
	if (t->list[0] == to && !t->encodings[base].data)
		t->encodings[base] = e;
	else
		free(e.data);
	text_unref(to);
	text_unref(from);
}

/*
 * Encodes what texts_answer would send for a request, so that it need not do it
 * under the caller's locks.
 */
void texts_prepare(struct texts *t, const config_request *req)
{
	int base;

	pthread_mutex_lock(&t->mutex);
	base = find_base(t, req);
	if (t->list[0] && !t->encodings[base].data)
		add_encoding(t, base);
	pthread_mutex_unlock(&t->mutex);
}

/*
 * Fills in the current text, as a delta from the version that the requester has
 * if that is shorter.  The reply stays empty if there is no text.
 */
void texts_answer(struct texts *t, const config_request *req, config_reply *rep)
{
	int base = 0;

	pthread_mutex_lock(&t->mutex);
	/* Another text may be the current one once this one is encoded. */
	while (t->list[0] && !t->encodings[base = find_base(t, req)].data)
		add_encoding(t, base);
	if (t->list[0]) {
		metric_count("config_texts_sent", NULL, 1);
		copy_to_reply(&t->encodings[base], rep);
	}
	pthread_mutex_unlock(&t->mutex);
}
