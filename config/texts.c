#include "config/texts.h"

#include <stdlib.h>
#include <string.h>

#include "base/metric.h"
#include "config/delta.h"
#include "config/pack.h"

/* Shorter texts are sent without being deflated. */
#define DEFLATE_MIN_BYTES 512

/* Adds a text as the current one and frees the oldest.  Returns it. */
const struct value_text *texts_add(struct value_text *texts, uint64_t version,
				   const char *text, size_t size)
{
	struct value_text *t = &texts[0];

	free(texts[TEXTS_MAX - 1].data);
	memmove(&texts[1], &texts[0], (TEXTS_MAX - 1) * sizeof(*texts));
	memset(t, 0, sizeof(*t));
	t->data = malloc(size + 1);
	if (!t->data)
		abort();
	memcpy(t->data, text, size);
	t->data[size] = '\0';
	t->size = size;
	t->version = version;
	digest_of(text, size, &t->digest);
	return t;
}

/*
 * Rebuilds the complete text from a reply with a delta.  Returns NULL if the
 * base is not available, the delta does not fit it, or the result would exceed
 * size_max bytes.  The caller frees the text.
 */
char *texts_rebuild(const struct value_text *texts, const config_reply *rep,
		    size_t size_max, size_t *size)
{
	int i;

	for (i = 0; i < TEXTS_MAX; i++) {
		char *text;

		if (!texts[i].data || texts[i].version != rep->base_revision)
			continue;
		text = delta_apply(texts[i].data, texts[i].size,
				   rep->text.text_val, rep->text.text_len,
				   size_max, size);
		if (text)
			return text;
	}
	return NULL;
}

/*
 * Fills in a delta to the current text from the version that the requester
 * has.  Returns -1 if that text is not stored here, or a delta is not wanted
 * or not shorter.
 */
static int fill_delta(const struct value_text *texts, const config_request *req,
		      config_reply *rep)
{
	const config_version *old;
	size_t size;
	int i;

	if (req->full_text || req->wanted > req->have.have_len)
		return -1;
	old = &req->have.have_val[req->wanted - 1];
	for (i = 1; i < TEXTS_MAX; i++) {
		const struct value_text *t = &texts[i];

		if (!t->data || t->version != old->revision ||
		    memcmp(t->digest.bytes, old->digest, DIGEST_SIZE))
			continue;
		metric_count("config_texts_encoded", "delta", 1);
		rep->text.text_val = delta_encode(
			t->data, t->size, texts[0].data, texts[0].size, &size);
		if (!rep->text.text_val)
			return -1;
		rep->text.text_len = (u_int)size;
		rep->base_revision = t->version;
		return 0;
	}
	return -1;
}

/* Fills in the current text, or a delta to it. */
void texts_fill_reply(const struct value_text *texts, const config_request *req,
		      config_reply *rep)
{
	const struct value_text *t = &texts[0];

	if (!t->data)
		return;
	metric_count("config_texts_sent", NULL, 1);
	if (!fill_delta(texts, req, rep))
		return;
	rep->text.text_val = malloc(t->size ? t->size : 1);
	if (!rep->text.text_val)
		return;
	memcpy(rep->text.text_val, t->data, t->size);
	rep->text.text_len = (u_int)t->size;
}

/* Deflates the text of a reply if that makes it shorter. */
void texts_deflate_reply(config_reply *rep)
{
	size_t packed = 0;
	char *text;

	if (rep->text.text_len < DEFLATE_MIN_BYTES)
		return;
	metric_count("config_texts_encoded", "deflate", 1);
	text = pack_deflate(rep->text.text_val, rep->text.text_len, &packed);
	if (!text || packed >= rep->text.text_len) {
		free(text);
		return;
	}
	free(rep->text.text_val);
	rep->unpacked_size = rep->text.text_len;
	rep->text.text_val = text;
	rep->text.text_len = (u_int)packed;
}
