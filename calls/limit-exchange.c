#include <stdlib.h>
#include <string.h>

#include "calls/limit-peers.h"

/*
 * Exchange of messages between entries: when to send to which entry, what to
 * send, and how a received message is merged.
 */

/*
 * Returns the delay until the next request to an entry.  In each pair the entry
 * with the lower id sends the request; the other one sends it only if none
 * arrived, a quarter of a period later.
 */
static apr_interval_time_t next_exchange_delay(const struct limit_peers *p,
					       const struct limit_peer *q)
{
	apr_interval_time_t period = limit_peers_exchange_period(p);

	return strcmp(p->id, q->id) < 0 ? period : period + period / 4;
}

/*
 * Chooses the entries to send a request to now and marks them as exchanging.
 * Writes at most max indexes of entries to out and returns their number.
 */
int limit_peers_start_due(struct limit_peers *p, apr_time_t now, int *out,
			  int max)
{
	struct limit_peer *q;
	int i, count = 0, failing = 0;

	for (i = 0; i < p->peer_count; i++)
		failing += p->peers[i].is_exchanging &&
			   p->peers[i].consecutive_failures;
	for (i = 0; i < p->peer_count && count < max; i++) {
		q = &p->peers[i];
		if (q->is_exchanging || now < q->next_exchange_at)
			continue;
		if (q->consecutive_failures &&
		    failing++ >= LIMIT_FAILED_EXCHANGES_MAX)
			continue;
		q->is_exchanging = 1;
		q->exchange_started_at = now;
		out[count++] = i;
	}
	return count;
}

/*
 * Returns 1 if a demand was changed at any time since a snapshot.  The receiver
 * may have any snapshot after that one, so a value that changed and changed
 * back has to be sent as well.
 */
static int has_changed_since(const struct limit_peers *p, uint32_t since,
			     int key)
{
	uint32_t old_codes = p->snapshots[since % LIMIT_SNAPSHOTS_MAX][key], i;

	for (i = since + 1; i <= p->snapshot_number; i++)
		if (p->snapshots[i % LIMIT_SNAPSHOTS_MAX][key] != old_codes)
			return 1;
	return 0;
}

/* Writes the message for a peer.  The caller frees the cells. */
void limit_peers_fill_message(const struct limit_peers *p,
			      const struct limit_peer *q,
			      struct limits_message *m, apr_time_t now)
{
	const uint32_t *codes =
		p->snapshots[p->snapshot_number % LIMIT_SNAPSHOTS_MAX];
	struct limits_cell *cell;
	int i;

	memset(m, 0, sizeof(*m));
	m->boot = p->boot;
	m->snapshot = p->snapshot_number;
	m->acked_boot = q->boot;
	m->acked_snapshot = q->received_snapshot;
	m->ids_digest = p->ids_digest;
	m->contact_bits = limit_peers_contact_bits(p, now);
	if (q->acked_snapshot &&
	    p->snapshot_number - q->acked_snapshot < LIMIT_SNAPSHOTS_MAX)
		m->base_snapshot = q->acked_snapshot;
	m->cells.cells_val = calloc(p->key_count + 1, sizeof(*cell));
	if (!m->cells.cells_val)
		abort();
	for (i = 0; i < p->key_count; i++) {
		if (m->base_snapshot
			    ? !has_changed_since(p, m->base_snapshot, i)
			    : !codes[i])
			continue;
		cell = &m->cells.cells_val[m->cells.cells_len++];
		cell->key = p->key_hashes[i];
		cell->codes = codes[i];
	}
}

static void merge_cells(struct limit_peers *p, struct limit_peer *q,
			const struct limits_message *m)
{
	u_int i;
	int key;

	if (m->snapshot < q->received_snapshot ||
	    (m->base_snapshot && q->received_snapshot < m->base_snapshot))
		return;
	if (!m->base_snapshot)
		memset(q->demand_codes, 0, sizeof(q->demand_codes));
	for (i = 0; i < m->cells.cells_len; i++) {
		key = limit_peers_get_or_add_hash(p, m->cells.cells_val[i].key);
		if (key >= 0)
			q->demand_codes[key] = m->cells.cells_val[i].codes;
	}
	q->received_snapshot = m->snapshot;
}

static void merge_message(struct limit_peers *p, struct limit_peer *q,
			  const struct limits_message *m, apr_time_t contact)
{
	if (q->boot != m->boot) {
		q->boot = m->boot;
		q->received_snapshot = q->acked_snapshot = 0;
		memset(q->demand_codes, 0, sizeof(q->demand_codes));
	}
	merge_cells(p, q, m);
	if (m->acked_boot != p->boot)
		q->acked_snapshot = 0; /* for an earlier process, or none */
	else if (m->acked_snapshot <= p->snapshot_number &&
		 m->acked_snapshot > q->acked_snapshot)
		q->acked_snapshot = m->acked_snapshot;
	if (contact > q->last_contact)
		q->last_contact = contact;
	limit_peers_merge_contacts(p, m, contact);
}

/* Merges the reply to a message that was sent at the time `sent`. */
void limit_peers_receive_reply(struct limit_peers *p, const char *id,
			       const struct limits_message *m, apr_time_t sent,
			       apr_time_t now)
{
	struct limit_peer *q = limit_peers_find(p, id);

	if (!q)
		return;
	q->is_exchanging = 0;
	q->consecutive_failures = 0;
	q->next_exchange_at = now + next_exchange_delay(p, q);
	merge_message(p, q, m, sent);
}

/* Records that an exchange failed and schedules the next one. */
void limit_peers_record_failure(struct limit_peers *p, const char *id,
				apr_time_t now)
{
	struct limit_peer *q = limit_peers_find(p, id);

	if (!q)
		return;
	q->is_exchanging = 0;
	q->consecutive_failures++;
	q->next_exchange_at =
		now + (q->consecutive_failures > 2 ? LIMIT_FAILED_RETRY_US
						   : LIMIT_RETRY_US);
}

/*
 * Merges a received message.  Returns -1 if the sender is not a known entry or
 * the message names another boot.  The slices must be divided again before
 * limit_peers_fill_message() writes the reply, because the reply acknowledges
 * the demand that was merged.
 */
int limit_peers_receive_message(struct limit_peers *p, const char *id,
				uint64_t boot, const struct limits_message *m,
				apr_time_t now)
{
	struct limit_peer *q = limit_peers_find(p, id);

	if (!q || m->boot != boot)
		return -1;
	merge_message(p, q, m, now);
	q->consecutive_failures = 0;
	if (!q->is_exchanging)
		q->next_exchange_at = now + next_exchange_delay(p, q);
	return 0;
}
