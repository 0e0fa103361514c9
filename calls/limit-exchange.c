#include <stdlib.h>
#include <string.h>

#include "calls/limit-peers.h"

/*
 * The messages of limit-peers.h: when to ask whom, what to tell, what to
 * take from an answer.
 */

/* In each pair the entry with the lower id asks; the other one if it fails. */
static apr_interval_time_t ask_after(const struct limit_peers *p,
				     const struct limit_peer *q)
{
	apr_interval_time_t period = limit_peers_exchange_period(p);

	return strcmp(p->id, q->id) < 0 ? period : period + period / 4;
}

/*
 * Chooses which entries to ask now and marks them as being asked.  Returns
 * how many indexes it put into out.
 */
int limit_peers_start_due(struct limit_peers *p, apr_time_t now, int *out,
			  int max)
{
	struct limit_peer *q;
	int i, count = 0, absent = 0;

	for (i = 0; i < p->peer_count; i++)
		absent += p->peers[i].asking && p->peers[i].failures;
	for (i = 0; i < p->peer_count && count < max; i++) {
		q = &p->peers[i];
		if (q->asking || now < q->due)
			continue;
		if (q->failures && absent++ >= LIMIT_FAILED_EXCHANGES_MAX)
			continue;
		q->asking = 1;
		q->asked = now;
		out[count++] = i;
	}
	return count;
}

/*
 * Returns 1 if a demand was another one at any time since a version.  The
 * receiver may hold any version after that one, so a value that went and
 * came back has to be told as well.
 */
static int changed_since(const struct limit_peers *p, uint32_t base, int key)
{
	uint32_t was = p->ring[base % LIMIT_SNAPSHOTS_MAX][key], i;

	for (i = base + 1; i <= p->number; i++)
		if (p->ring[i % LIMIT_SNAPSHOTS_MAX][key] != was)
			return 1;
	return 0;
}

/* Writes the message for a peer; the cells are the caller's to free. */
void limit_peers_fill_message(const struct limit_peers *p,
			      const struct limit_peer *q,
			      struct limits_message *m, apr_time_t now)
{
	const uint32_t *codes = p->ring[p->number % LIMIT_SNAPSHOTS_MAX];
	struct limits_cell *cell;
	int i;

	memset(m, 0, sizeof(*m));
	m->boot = p->boot;
	m->number = p->number;
	m->have_boot = q->boot;
	m->have = q->held;
	m->known = p->known;
	m->heard = limit_peers_contact_bits(p, now);
	if (q->acked && p->number - q->acked < LIMIT_SNAPSHOTS_MAX)
		m->base = q->acked;
	m->cells.cells_val = calloc(p->key_count + 1, sizeof(*cell));
	if (!m->cells.cells_val)
		abort();
	for (i = 0; i < p->key_count; i++) {
		if (m->base ? !changed_since(p, m->base, i) : !codes[i])
			continue;
		cell = &m->cells.cells_val[m->cells.cells_len++];
		cell->key = p->keys[i];
		cell->codes = codes[i];
	}
}

static void cells_take(struct limit_peers *p, struct limit_peer *q,
		       const struct limits_message *m)
{
	u_int i;
	int key;

	if (m->number < q->held || (m->base && q->held < m->base))
		return;
	if (!m->base)
		memset(q->codes, 0, sizeof(q->codes));
	for (i = 0; i < m->cells.cells_len; i++) {
		key = limit_peers_get_or_add_hash(p, m->cells.cells_val[i].key);
		if (key >= 0)
			q->codes[key] = m->cells.cells_val[i].codes;
	}
	q->held = m->number;
}

static void message_take(struct limit_peers *p, struct limit_peer *q,
			 const struct limits_message *m, apr_time_t contact)
{
	if (q->boot != m->boot) {
		q->boot = m->boot;
		q->held = q->acked = 0;
		memset(q->codes, 0, sizeof(q->codes));
	}
	cells_take(p, q, m);
	if (m->have_boot != p->boot)
		q->acked = 0; /* it knows nothing of this process yet */
	else if (m->have <= p->number && m->have > q->acked)
		q->acked = m->have;
	if (contact > q->contact)
		q->contact = contact;
	limit_peers_merge_contacts(p, m, contact);
}

/* Takes the answer to a message that was sent at the time sent. */
void limit_peers_receive_reply(struct limit_peers *p, const char *id,
			       const struct limits_message *m, apr_time_t sent,
			       apr_time_t now)
{
	struct limit_peer *q = limit_peers_find(p, id);

	if (!q)
		return;
	q->asking = 0;
	q->failures = 0;
	q->due = now + ask_after(p, q);
	message_take(p, q, m, sent);
}

/* Notes that no answer came. */
void limit_peers_record_failure(struct limit_peers *p, const char *id,
				apr_time_t now)
{
	struct limit_peer *q = limit_peers_find(p, id);

	if (!q)
		return;
	q->asking = 0;
	q->failures++;
	q->due = now +
		 (q->failures > 2 ? LIMIT_FAILED_RETRY_US : LIMIT_RETRY_US);
}

/*
 * Takes a message in; returns -1 if the sender is not known as an entry.
 * The slices must be divided anew before limit_peers_fill_message writes the answer,
 * for that acknowledges what was taken.
 */
int limit_peers_receive_message(struct limit_peers *p, const char *id,
				uint64_t boot, const struct limits_message *m,
				apr_time_t now)
{
	struct limit_peer *q = limit_peers_find(p, id);

	if (!q || m->boot != boot)
		return -1;
	message_take(p, q, m, now);
	q->failures = 0;
	if (!q->asking)
		q->due = now + ask_after(p, q);
	return 0;
}
