#include "weights/swarm.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* A digest and its position, sorted to find equal digests. */
struct digest_position {
	const struct digest *digest;
	uint32_t at; /* position in the manifest */
};

static int digest_position_compare(const void *a, const void *b)
{
	const struct digest_position *x = a, *y = b;
	int c = memcmp(x->digest, y->digest, sizeof(*x->digest));

	if (c)
		return c;
	return x->at < y->at ? -1 : x->at > y->at;
}

static void *allocate(size_t count, size_t size)
{
	void *p = calloc(count ? count : 1, size);

	if (!p)
		abort();
	return p;
}

/*
 * Stores for each chunk of the manifest the position of the first chunk with
 * the same digest.
 */
static void find_first_positions(const struct manifest *m, uint32_t *first)
{
	struct digest_position *positions =
		allocate(m->chunk_count, sizeof(*positions));
	uint32_t i;

	for (i = 0; i < m->chunk_count; i++) {
		positions[i].digest = &m->chunks[i];
		positions[i].at = i;
	}
	qsort(positions, m->chunk_count, sizeof(*positions),
	      digest_position_compare);
	for (i = 0; i < m->chunk_count; i++)
		first[positions[i].at] =
			i && digest_equal(positions[i].digest,
					  positions[i - 1].digest)
				? first[positions[i - 1].at]
				: positions[i].at;
	free(positions);
}

static void create_chunks(struct swarm *s)
{
	const struct manifest *m = s->manifest;
	uint32_t *first = allocate(m->chunk_count, sizeof(*first));
	uint32_t i;

	find_first_positions(m, first);
	for (i = 0; i < m->chunk_count; i++) {
		struct swarm_chunk *c;

		if (first[i] != i) {
			s->chunk_by_position[i] =
				s->chunk_by_position[first[i]];
			continue;
		}
		s->chunk_by_position[i] = s->chunk_count;
		c = &s->chunks[s->chunk_count++];
		c->digest = m->chunks[i];
		c->length = manifest_chunk_length(m, i);
		c->carrier_rank = -1;
		c->permit = PLACE_NO_PERMIT;
	}
	free(first);
}

/*
 * Creates the state for distributing a version. Takes ownership of the
 * manifest.
 */
struct swarm *swarm_new(struct manifest *m, const struct swarm_policy *policy,
			uint64_t seed, apr_time_t now)
{
	struct swarm *s = allocate(1, sizeof(*s));

	s->manifest = m;
	s->policy = *policy;
	s->seed = seed;
	s->started_at = now;
	s->epoch = 1;
	s->chunks = allocate(m->chunk_count, sizeof(*s->chunks));
	s->log = allocate(m->chunk_count, sizeof(*s->log));
	s->chunk_by_position =
		allocate(m->chunk_count, sizeof(*s->chunk_by_position));
	create_chunks(s);
	return s;
}

/* Frees a swarm. NULL is allowed. */
void swarm_free(struct swarm *s)
{
	int i;

	if (!s)
		return;
	for (i = 0; i < s->peer_count; i++)
		free(s->peers[i].chunk_bits);
	manifest_free(s->manifest);
	free(s->chunks);
	free(s->log);
	free(s->chunk_by_position);
	free(s);
}

/* Returns the peer with an ID, or NULL. */
struct swarm_peer *swarm_find_peer(struct swarm *s, const char *id)
{
	int i;

	for (i = 0; i < s->peer_count; i++)
		if (!strcmp(s->peers[i].id, id))
			return &s->peers[i];
	return NULL;
}

static void adjust_holders(struct swarm *s, const struct swarm_peer *p, int by)
{
	uint32_t i;

	for (i = 0; i < s->chunk_count; i++)
		if (bit_get(p->chunk_bits, i))
			s->chunks[i].holders =
				(uint16_t)(s->chunks[i].holders + by);
}

static void peer_clear_log(struct swarm *s, struct swarm_peer *p)
{
	adjust_holders(s, p, -1);
	memset(p->chunk_bits, 0, s->chunk_count / 8 + 1);
	p->received_count = 0;
	p->is_complete = 0;
}

static void peer_update(struct swarm *s, const struct place_view *v, int member,
			apr_time_t now)
{
	const struct place_member *m = &v->members[member];
	struct swarm_peer *p = swarm_find_peer(s, m->id);

	if (!p) {
		if (s->peer_count == SWARM_PEERS_MAX)
			return;
		p = &s->peers[s->peer_count++];
		memset(p, 0, sizeof(*p));
		snprintf(p->id, sizeof(p->id), "%s", m->id);
		p->chunk_bits = allocate(s->chunk_count / 8 + 1, 1);
		p->progress_at = now;
	}
	snprintf(p->address, sizeof(p->address), "%s", m->address);
	p->is_local = m->data_center == v->members[v->self].data_center;
	p->is_carrier = place_is_carrier(v, member);
	p->is_live = m->is_live;
}

/*
 * Frees the slots of peers that are no longer neighbours and have nothing in
 * flight.
 */
static void remove_stale_peers(struct swarm *s)
{
	struct swarm_peer *p;
	int i;

	for (i = s->peer_count - 1; i >= 0; i--) {
		p = &s->peers[i];
		if (p->is_live || p->requests_in_flight || p->is_exchanging)
			continue;
		/*
		 * Transfers hold indexes of peers, so only the last slot can
		 * be freed.
		 */
		if (i != s->peer_count - 1) {
			if (p->received_count)
				peer_clear_log(s, p);
			continue;
		}
		adjust_holders(s, p, -1);
		free(p->chunk_bits);
		s->peer_count--;
	}
}

static void update_ranks(struct swarm *s, const struct place_view *v)
{
	int self_dc = v->members[v->self].data_center;
	uint32_t i;

	s->is_carrier = place_is_carrier(v, v->self);
	for (i = 0; i < s->chunk_count; i++) {
		struct swarm_chunk *c = &s->chunks[i];
		int rank = place_member_rank(v, v->self, &c->digest);

		c->carrier_rank = (int8_t)(rank > 127 ? 127 : rank);
		c->data_center_rank =
			(int8_t)place_data_center_rank(v, self_dc, &c->digest);
		c->permit = (int8_t)place_member_permit(v, v->self, &c->digest,
							s->policy.permits_max);
	}
}

/* Records since when no instance of a data centre is live. */
static void update_lost_since(struct swarm *s, const struct place_view *v,
			      apr_time_t now)
{
	int live[PLACE_DATA_CENTERS_MAX] = { 0 };
	int i;

	for (i = 0; i < v->member_count; i++)
		live[v->members[i].data_center] += v->members[i].is_live;
	for (i = 0; i < v->data_center_count; i++) {
		if (live[i])
			s->lost_since[i] = 0;
		else if (!s->lost_since[i])
			s->lost_since[i] = now;
	}
}

/*
 * Applies a changed view: updates the neighbours, and the ranks and permits of
 * this instance for each chunk. The view must stay valid until the next call.
 */
void swarm_apply_view(struct swarm *s, const struct place_view *v,
		      apr_time_t now)
{
	int out[SWARM_PEERS_MAX];
	int i, n;

	for (i = 0; i < s->peer_count; i++)
		s->peers[i].is_live = 0;
	s->view = v;
	if (v->self < 0)
		return;
	n = place_list_neighbours(v, out, SWARM_PEERS_MAX);
	for (i = 0; i < n; i++)
		peer_update(s, v, out[i], now);
	remove_stale_peers(s);
	update_lost_since(s, v, now);
	update_ranks(s, v);
}

/* Records that a chunk is verified and staged. */
void swarm_mark_held(struct swarm *s, uint32_t chunk, apr_time_t now)
{
	(void)now;
	if (s->chunks[chunk].status == CHUNK_HELD)
		return;
	s->chunks[chunk].status = CHUNK_HELD;
	s->log[s->held_count++] = chunk;
}

/*
 * Records that a held chunk is no longer staged. The log restarts under a new
 * epoch.
 */
void swarm_mark_lost(struct swarm *s, const struct digest *d)
{
	int at = swarm_find_chunk(s, d);
	uint32_t i, kept = 0;

	if (at < 0 || s->chunks[at].status != CHUNK_HELD)
		return;
	s->chunks[at].status = CHUNK_MISSING;
	for (i = 0; i < s->held_count; i++)
		if (s->log[i] != (uint32_t)at)
			s->log[kept++] = s->log[i];
	s->held_count = kept;
	s->epoch++;
}

/*
 * Marks all held chunks as missing, after the engine lost its staging memory.
 */
void swarm_clear_held(struct swarm *s, apr_time_t now)
{
	uint32_t i;

	s->epoch++;
	s->held_count = 0;
	s->started_at = now;
	for (i = 0; i < s->chunk_count; i++)
		if (s->chunks[i].status == CHUNK_HELD)
			s->chunks[i].status = CHUNK_MISSING;
}

/* Returns 1 when every chunk is verified and staged. */
int swarm_is_complete(const struct swarm *s)
{
	return s->held_count == s->chunk_count;
}

/* Returns the number of the chunk with a digest, or -1. */
int swarm_find_chunk(const struct swarm *s, const struct digest *d)
{
	uint32_t i;

	for (i = 0; i < s->chunk_count; i++)
		if (digest_equal(&s->chunks[i].digest, d))
			return (int)i;
	return -1;
}

/*
 * Fills in the message to a peer: the log entries that the peer has not
 * acknowledged, and the state of the first loaders. The lists are allocated
 * with malloc and freed by xdr_free.
 */
void swarm_make_have(const struct swarm *s, const struct swarm_peer *p,
		     struct weights_have *out, apr_time_t now)
{
	uint32_t start = p->acked_epoch == s->epoch ? p->acked_count : 0;
	uint32_t n, i;

	if (start > s->held_count)
		start = 0;
	n = s->held_count - start;
	if (n > WEIGHTS_ENTRIES_MAX)
		n = WEIGHTS_ENTRIES_MAX;
	memcpy(out->digest, s->manifest->id.bytes, DIGEST_SIZE);
	out->epoch = s->epoch;
	out->start = start;
	out->total = s->held_count;
	out->is_complete = (u_int)swarm_is_complete(s);
	out->received_epoch = p->log_epoch;
	out->received_count = p->received_count;
	out->loaded_mask = s->loaded_mask;
	out->crashed_mask = s->crashed_mask;
	if (s->origin_not_before > now)
		out->origin_wait_ms =
			(u_int)((s->origin_not_before - now) / 1000);
	out->entries.entries_val = NULL;
	out->entries.entries_len = 0;
	if (n && !p->is_complete && !out->is_complete) {
		out->entries.entries_val = allocate(n, sizeof(u_int));
		for (i = 0; i < n; i++)
			out->entries.entries_val[i] = s->log[start + i];
		out->entries.entries_len = n;
	}
	out->given_up.given_up_val =
		allocate(WEIGHTS_GIVEN_UP_MAX, sizeof(u_int));
	out->given_up.given_up_len = 0;
	for (i = 0; s->is_carrier && i < s->chunk_count; i++)
		if (s->chunks[i].is_permit_used &&
		    s->chunks[i].status == CHUNK_MISSING &&
		    out->given_up.given_up_len < WEIGHTS_GIVEN_UP_MAX)
			out->given_up
				.given_up_val[out->given_up.given_up_len++] = i;
}

static void peer_add_chunk(struct swarm *s, struct swarm_peer *p,
			   uint32_t chunk)
{
	if (chunk >= s->chunk_count || bit_get(p->chunk_bits, chunk))
		return;
	bit_set(p->chunk_bits, chunk);
	s->chunks[chunk].holders++;
}

static void peer_merge_log(struct swarm *s, struct swarm_peer *p,
			   const struct weights_have *in, apr_time_t now)
{
	uint32_t i;

	if (in->epoch != p->log_epoch) {
		peer_clear_log(s, p);
		p->log_epoch = in->epoch;
	}
	if (in->total > p->received_count)
		p->progress_at = now;
	if (in->is_complete) {
		for (i = 0; i < s->chunk_count && !p->is_complete; i++)
			peer_add_chunk(s, p, i);
		p->received_count = in->total;
		p->is_complete = 1;
		return;
	}
	if (in->start > p->received_count)
		return;
	for (i = 0; i < in->entries.entries_len; i++)
		peer_add_chunk(s, p, in->entries.entries_val[i]);
	if (in->start + i > p->received_count)
		p->received_count = in->start + i;
}

/*
 * Merges a hint that came with a chunk: which chunks the peer holds, and how
 * much of this instance's log it has acknowledged.
 */
void swarm_merge_hint(struct swarm *s, struct swarm_peer *p,
		      const struct weights_have *in, apr_time_t now)
{
	peer_merge_log(s, p, in, now);
	/*
	 * A hint that a later message overtook must not lower the acknowledged
	 * count.
	 */
	if (in->received_epoch != p->acked_epoch ||
	    in->received_count > p->acked_count) {
		p->acked_epoch = in->received_epoch;
		p->acked_count = in->received_count;
	}
}

/*
 * Merges a message from a peer. Returns 1 when the masks of the first loaders
 * changed, which is to be forwarded at once.
 */
int swarm_merge_have(struct swarm *s, struct swarm_peer *p,
		     const struct weights_have *in, apr_time_t now)
{
	uint32_t loaded = s->loaded_mask | in->loaded_mask;
	uint32_t crashed = s->crashed_mask | in->crashed_mask;
	int is_changed = loaded != s->loaded_mask || crashed != s->crashed_mask;
	u_int i;

	peer_merge_log(s, p, in, now);
	p->acked_epoch = in->received_epoch;
	p->acked_count = in->received_count;
	p->revision = in->revision;
	p->received_at = now;
	p->exchanged_at = now;
	p->failures = 0;
	p->origin_wait_until =
		in->origin_wait_ms ? now + in->origin_wait_ms * 1000LL : 0;
	p->given_up_count = (int)in->given_up.given_up_len;
	for (i = 0; i < in->given_up.given_up_len; i++)
		p->given_up[i] = in->given_up.given_up_val[i];
	s->loaded_mask = loaded;
	s->crashed_mask = crashed;
	return is_changed;
}
