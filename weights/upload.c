#include "weights/internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/metric.h"

/*
 * Sends chunks to peers at the rate that transfers may use of the link. Chunks
 * are sent one after the other, so that each arrives as early as possible.
 * Peers beyond a short queue are refused and ask another peer.
 */

#define UPLOAD_QUEUE_MAX 4
#define UPLOAD_CARRIES_MAX 16 /* queue limit for other data centres */
#define UPLOAD_WRITE_MAX_BYTES (64 * 1024) /* of one write */
#define RETRY_MIN_MS 40
#define RETRY_SPREAD_MS 80
#define READ_TIMEOUT_MS 5000
#define RECEIVER_STALL_TIMEOUT_US (5 * APR_USEC_PER_SEC)

#define HTTP_OK 200
#define HTTP_NOT_FOUND 404
#define HTTP_UNAVAILABLE 503

struct upload {
	struct fetch fetch;
	struct weights *w;
	struct http_call *call;
	struct digest digest;
	struct blob *blob; /* NULL until read */
	int is_reading;	   /* a read from the engine is in flight */
	int has_failed;
	struct send_rank rank;
	size_t sent_bytes;
	int is_started;
	struct upload *next;
	char url[WEIGHTS_URL_SIZE];
};

static void upload_free(struct upload *u)
{
	blob_release(u->blob);
	free(u);
}

static void reply_status(struct http_call *c, int status)
{
	http_call_reply(c, status, "text/plain", "", 0);
}

static void reply_busy(struct http_call *c)
{
	char text[16];

	/* The spread keeps refused peers from retrying at the same time. */
	snprintf(text, sizeof(text), "%d",
		 RETRY_MIN_MS + (int)(clock_now() % RETRY_SPREAD_MS));
	http_call_set(c, "X-Limpet-Retry-Ms", text);
	metric_count("weights_uploads_refused", NULL, 1);
	reply_status(c, HTTP_UNAVAILABLE);
}

static int receive_data(struct fetch *f, const void *data, size_t size)
{
	struct upload *u = f->arg;

	if (f->status != HTTP_OK || u->sent_bytes + size > u->blob->size)
		return -1;
	memcpy(u->blob->data + u->sent_bytes, data, size);
	u->sent_bytes += size;
	return 0;
}

static void read_done(struct fetch *f)
{
	struct upload *u = f->arg;
	struct weights *w = u->w;
	int has_failed_read = f->error.code || f->status != HTTP_OK ||
			      u->sent_bytes != u->blob->size;
	struct digest d;

	digest_of(u->blob->data, u->sent_bytes, &d);
	if (!has_failed_read && !digest_equal(&d, &u->digest)) {
		weights_mark_corrupt(w, &u->digest);
		has_failed_read = 1;
	}
	free(f->text);
	if (!has_failed_read) {
		u->blob->digest = u->digest;
		blob_cache_add(&w->cache, u->blob);
	}
	pthread_mutex_lock(&w->upload_mutex);
	u->sent_bytes = 0;
	u->has_failed = has_failed_read;
	u->is_reading = 0;
	pthread_mutex_unlock(&w->upload_mutex);
}

static const struct fetch_ops read_ops = { NULL, receive_data, read_done };

/* Starts to read a chunk from the engine's staging memory. */
static void upload_start_read(struct upload *u, const char *path, size_t size)
{
	struct fetch *f = &u->fetch;

	snprintf(u->url, sizeof(u->url), "%s%s",
		 u->w->node->settings.upstream_url, path);
	u->blob = blob_new(size);
	u->is_reading = 1;
	f->ops = &read_ops;
	f->arg = u;
	f->url = u->url;
	f->timeout_ms = READ_TIMEOUT_MS;
	fetch_submit(u->w->node->fetcher, f);
}

/* Queues an upload; -1 when the queue is full. */
static int upload_enqueue(struct weights *w, struct upload *u)
{
	int limit = u->rank.is_carry ? UPLOAD_CARRIES_MAX : UPLOAD_QUEUE_MAX;
	int ret = -1;

	pthread_mutex_lock(&w->upload_mutex);
	if (w->upload_count < limit) {
		u->next = w->uploads;
		w->uploads = u;
		w->upload_count++;
		ret = 0;
	}
	pthread_mutex_unlock(&w->upload_mutex);
	return ret;
}

/* Answers GET /chunks/<digest> with the bytes of a verified chunk. */
void upload_serve(struct http_call *c, void *arg)
{
	struct weights *w = arg;
	const char *purpose = http_call_header(c, "X-Limpet-Purpose");
	const char *held = http_call_header(c, "X-Limpet-Held");
	const char *hex = http_call_path(c) + strlen("/chunks/");
	char hint[HINT_SIZE], path[ENGINE_PATH_SIZE];
	struct upload *u;
	struct digest d;
	int length, needs_read, is_unsent_chunk = 0;

	length = digest_parse(hex, &d) ? 0
				       : weights_find_held_chunk(
						 w, &d, path, &is_unsent_chunk);
	if (!length) {
		reply_status(c, HTTP_NOT_FOUND);
		return;
	}
	hint_merge_and_reply(w, http_call_header(c, HINT_SENDER_HEADER),
			     http_call_header(c, HINT_HEADER), hint);
	if (*hint)
		http_call_set(c, HINT_HEADER, hint);
	u = calloc(1, sizeof(*u));
	if (!u)
		abort();
	u->w = w;
	u->call = c;
	u->digest = d;
	u->rank.is_carry = purpose && !strcmp(purpose, "carry");
	u->rank.is_unsent = is_unsent_chunk;
	u->rank.held_permille = held ? (uint32_t)strtoul(held, NULL, 10) : 0;
	u->blob = blob_cache_find(&w->cache, &d);
	/* A queued upload that has its bytes may be freed by upload_step. */
	needs_read = !u->blob;
	u->is_reading = needs_read;
	if (upload_enqueue(w, u)) {
		upload_free(u);
		reply_busy(c);
		return;
	}
	if (needs_read)
		upload_start_read(u, path, (size_t)length);
}

/* Dequeues the upload of the highest rank whose bytes were read. */
static struct upload *upload_take_next(struct weights *w)
{
	struct upload **at, **best = NULL;
	struct upload *u = NULL;

	pthread_mutex_lock(&w->upload_mutex);
	for (at = &w->uploads; *at; at = &(*at)->next)
		if (!(*at)->is_reading &&
		    (!best ||
		     !send_rank_is_before(&(*best)->rank, &(*at)->rank)))
			best = at;
	if (best) {
		u = *best;
		*best = u->next;
		w->upload_count--;
	}
	pthread_mutex_unlock(&w->upload_mutex);
	return u;
}

static void upload_end(struct weights *w, int is_complete)
{
	struct upload *u = w->sending;

	if (u->is_started)
		http_call_stream_end(u->call, is_complete);
	else
		reply_status(u->call, HTTP_NOT_FOUND);
	w->sending = NULL;
	upload_free(u);
}

/* Writes up to the allowed bytes; returns 0 if no more may be sent now. */
static int upload_write(struct weights *w, apr_time_t now)
{
	struct upload *u = w->sending;
	size_t n = u->blob->size - u->sent_bytes;
	double level = pace_level(&w->send, now);

	if (level < 1)
		return 0;
	if (http_call_stream_is_full(u->call))
		return 0;
	if (n > UPLOAD_WRITE_MAX_BYTES)
		n = UPLOAD_WRITE_MAX_BYTES;
	if ((double)n > level)
		n = (size_t)level;
	pace_charge(&w->send, (double)n, now);
	metric_count("weights_sent_bytes", NULL, n);
	w->sent_at = now;
	if (http_call_stream_write(u->call, u->blob->data + u->sent_bytes, n)) {
		upload_end(w, 0);
		return 1;
	}
	u->sent_bytes += n;
	if (u->sent_bytes == u->blob->size)
		upload_end(w, 1);
	return 1;
}

/* Continues the upload in progress and starts the next ones. */
void upload_step(void *arg, apr_time_t now)
{
	struct weights *w = arg;

	pace_set_rate(&w->send, w->send_rate_bytes_s, now);
	do {
		if (!w->sending) {
			w->sending = upload_take_next(w);
			if (!w->sending)
				return;
			if (w->sending->has_failed ||
			    !weights_is_chunk_sendable(w,
						       &w->sending->digest)) {
				upload_end(w, 0);
				continue;
			}
			w->sending->is_started = 1;
			w->sent_at = now;
			http_call_stream_begin(
				w->sending->call, HTTP_OK,
				"application/octet-stream", FRAMING_LENGTH,
				(long long)w->sending->blob->size);
		}
		/* A receiver that stopped reading must not block the queue. */
		if (now - w->sent_at > RECEIVER_STALL_TIMEOUT_US)
			upload_end(w, 0);
	} while (!w->sending || upload_write(w, now));
}

/* Returns how many uploads are queued or being sent, for a drain. */
int upload_count_active(void *arg)
{
	struct weights *w = arg;
	int n;

	pthread_mutex_lock(&w->upload_mutex);
	n = w->upload_count + (w->sending != NULL);
	pthread_mutex_unlock(&w->upload_mutex);
	return n;
}
