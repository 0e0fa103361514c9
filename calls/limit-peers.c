#include "calls/limit-peers.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/digest.h"
#include "calls/limit-share.h"

/*
 * A code is a value on a logarithmic scale with 12 codes per doubling, starting
 * at 1/8; 0 is no demand.
 */
#define CODES_PER_DOUBLING 12
#define CODE_VALUE_MIN 0.125
#define CODE_MAX 255
#define CODE_BITS 8
#define CODE_NOISE 2   /* codes */
#define TOKENS_UNIT 16 /* tokens per unit that is encoded */

/* Returns the code nearest to a value; 0 below half of the minimum value. */
uint8_t limit_encode(double value)
{
	double code;

	if (value < CODE_VALUE_MIN / 2)
		return 0;
	code = 1 + round(CODES_PER_DOUBLING * log2(value / CODE_VALUE_MIN));
	if (code < 1)
		return 1;
	return code > CODE_MAX ? CODE_MAX : (uint8_t)code;
}

static uint8_t get_code(uint32_t codes, enum limit_value which)
{
	return codes >> (CODE_BITS * which) & CODE_MAX;
}

/* Returns the decoded value of one of the three packed codes. */
double limit_decode(uint32_t codes, enum limit_value which)
{
	int code = get_code(codes, which);
	double value;

	if (!code)
		return 0;
	value = CODE_VALUE_MIN * exp2((double)(code - 1) / CODES_PER_DOUBLING);
	return which == LIMIT_TOKENS ? value * TOKENS_UNIT : value;
}

/* Encodes three demands and packs them into one word. */
uint32_t limit_encode_demands(double requests, double tokens, double concurrent)
{
	return (uint32_t)limit_encode(requests) |
	       (uint32_t)limit_encode(tokens / TOKENS_UNIT) << CODE_BITS |
	       (uint32_t)limit_encode(concurrent) << (2 * CODE_BITS);
}

static uint32_t min_of_codes(uint32_t a, uint32_t b)
{
	uint32_t mask, min = 0;
	int i;

	for (i = 0; i < LIMIT_VALUE_COUNT; i++) {
		mask = (uint32_t)CODE_MAX << (CODE_BITS * i);
		min |= (a & mask) < (b & mask) ? a & mask : b & mask;
	}
	return min;
}

/* Initializes the state of the entry with this id and boot, without peers. */
void limit_peers_init(struct limit_peers *p, const char *id, uint64_t boot)
{
	memset(p, 0, sizeof(*p));
	snprintf(p->id, sizeof(p->id), "%s", id);
	p->boot = boot;
	p->snapshot_number = 1;
}

/*
 * Returns the position of a key's hash in the hash table, or the free position
 * for it.
 */
static uint32_t find_key_position(const struct limit_peers *p, uint32_t hash)
{
	uint32_t position = hash % (2 * LIMIT_KEYS_MAX);

	while (p->key_table[position] &&
	       p->key_hashes[p->key_table[position] - 1] != hash)
		position = (position + 1) % (2 * LIMIT_KEYS_MAX);
	return position;
}

static uint32_t hash_key(const char *kind, const char *name)
{
	return (uint32_t)place_hash_string(name, place_hash_string(kind, 0));
}

/*
 * Returns the index of a key by its hash, which is added if new; -1 when the
 * table is full.
 */
int limit_peers_get_or_add_hash(struct limit_peers *p, uint32_t hash)
{
	uint32_t position = find_key_position(p, hash);

	if (p->key_table[position])
		return p->key_table[position] - 1;
	if (p->key_count == LIMIT_KEYS_MAX)
		return -1;
	p->key_hashes[p->key_count] = hash;
	p->key_table[position] = (uint16_t)++p->key_count;
	return p->key_count - 1;
}

/*
 * Returns the index of the demand of an account or pool, which is added if new;
 * -1 when the table is full.
 */
int limit_peers_get_or_add_key(struct limit_peers *p, const char *kind,
			       const char *name)
{
	return limit_peers_get_or_add_hash(p, hash_key(kind, name));
}

/*
 * Returns the index of the demand of an account or pool; -1 if it was never
 * added.
 */
int limit_peers_find_key(const struct limit_peers *p, const char *kind,
			 const char *name)
{
	return (int)p->key_table[find_key_position(p, hash_key(kind, name))] -
	       1;
}

/* Returns the time between two exchanges of one pair of entries. */
apr_interval_time_t limit_peers_exchange_period(const struct limit_peers *p)
{
	apr_interval_time_t period = p->peer_count * LIMIT_PERIOD_PER_PEER_US;

	if (period < LIMIT_PERIOD_MIN_US)
		return LIMIT_PERIOD_MIN_US;
	return period < LIMIT_PERIOD_MAX_US ? period : LIMIT_PERIOD_MAX_US;
}

static apr_interval_time_t lease_duration(const struct limit_peers *p)
{
	apr_interval_time_t lease =
		2 * limit_peers_exchange_period(p) + 100 * 1000;

	return lease > LIMIT_LEASE_MIN_US ? lease : LIMIT_LEASE_MIN_US;
}

/* Returns 1 if an entry is within its lease and counts for the majority. */
static int is_peer_in_contact(const struct limit_peers *p,
			      const struct limit_peer *q, apr_time_t now)
{
	return q->last_contact && now - q->last_contact < lease_duration(p);
}

/*
 * Returns 1 if an entry is in contact with this one, or was so recently that it
 * may still count this entry as in contact.
 */
static int has_direct_contact(const struct limit_peers *p,
			      const struct limit_peer *q, apr_time_t now)
{
	return q->last_contact &&
	       now - q->last_contact <
		       lease_duration(p) + LIMIT_LEASE_MARGIN_US;
}

/*
 * Returns 1 if the demand of an entry counts: by its contacts with this entry
 * or others, it may still use its slices.
 */
static int is_peer_counted(const struct limit_peers *p,
			   const struct limit_peer *q, apr_time_t now)
{
	return has_direct_contact(p, q, now) ||
	       (q->indirect_contact &&
		now - q->indirect_contact <
			lease_duration(p) + LIMIT_LEASE_MARGIN_US);
}

/* Returns the peer of that id, or NULL. */
struct limit_peer *limit_peers_find(struct limit_peers *p, const char *id)
{
	int i;

	for (i = 0; i < p->peer_count; i++)
		if (!strcmp(p->peers[i].id, id))
			return &p->peers[i];
	return NULL;
}

static struct limit_peer *add_peer(struct limit_peers *p, const char *id,
				   const char *address)
{
	struct limit_peer *q;

	if (p->peer_count == LIMIT_PEERS_MAX)
		return NULL;
	q = &p->peers[p->peer_count++];
	memset(q, 0, sizeof(*q));
	snprintf(q->id, sizeof(q->id), "%s", id);
	snprintf(q->address, sizeof(q->address), "%s", address);
	return q;
}

static int is_address_listed(const struct limit_address *list, int count,
			     const char *id)
{
	int i;

	for (i = 0; i < count; i++)
		if (!strcmp(list[i].id, id))
			return 1;
	return 0;
}

/* Sets the position of each entry by id, and the digest of all ids. */
static void assign_order(struct limit_peers *p)
{
	struct limit_peer *q, *o;
	uint64_t hash = 0;

	p->id_position = 0;
	for (q = p->peers; q < p->peers + p->peer_count; q++) {
		p->id_position += strcmp(q->id, p->id) < 0;
		q->id_position = strcmp(p->id, q->id) < 0;
		for (o = p->peers; o < p->peers + p->peer_count; o++)
			q->id_position += strcmp(o->id, q->id) < 0;
		hash += place_hash_string(q->id, 0);
	}
	p->ids_digest = hash + place_hash_string(p->id, 0);
}

static uint64_t order_bit(int order)
{
	return (uint64_t)1 << order;
}

/* Returns the maximum age of a contact that is reported to other entries. */
static apr_interval_time_t max_contact_age(const struct limit_peers *p)
{
	return limit_peers_exchange_period(p) * 3 / 2;
}

/*
 * Returns a bit for each entry with a recent contact, by position, with the bit
 * of this entry set.
 */
uint64_t limit_peers_contact_bits(const struct limit_peers *p, apr_time_t now)
{
	const struct limit_peer *q;
	uint64_t bits = order_bit(p->id_position);

	for (q = p->peers; q < p->peers + p->peer_count; q++)
		if (q->last_contact &&
		    now - q->last_contact < max_contact_age(p))
			bits |= order_bit(q->id_position);
	return bits;
}

/*
 * Merges the contacts that another entry reports, each with the maximum age
 * that it may have.  So an entry that only this one cannot reach keeps its
 * slices, and for an entry that died the lease does not start again.
 */
void limit_peers_merge_contacts(struct limit_peers *p,
				const struct limits_message *m, apr_time_t now)
{
	struct limit_peer *q;

	if (m->ids_digest != p->ids_digest)
		return;
	for (q = p->peers; q < p->peers + p->peer_count; q++)
		if (m->contact_bits & order_bit(q->id_position) &&
		    now - max_contact_age(p) > q->indirect_contact)
			q->indirect_contact = now - max_contact_age(p);
}

/* Applies the list of the other entries; this entry is not in the list. */
void limit_peers_set_list(struct limit_peers *p,
			  const struct limit_address *list, int count,
			  apr_time_t now)
{
	struct limit_peer *q;
	int i;

	for (i = p->peer_count - 1; i >= 0; i--) {
		if (is_address_listed(list, count, p->peers[i].id))
			continue;
		p->peers[i] = p->peers[--p->peer_count];
	}
	for (i = 0; i < count; i++) {
		q = limit_peers_find(p, list[i].id);
		if (!q)
			q = add_peer(p, list[i].id, list[i].address);
		if (q && strcmp(q->address, list[i].address))
			snprintf(q->address, sizeof(q->address), "%s",
				 list[i].address);
		if (q && !q->next_exchange_at)
			q->next_exchange_at = now;
	}
	assign_order(p);
}

/*
 * Returns 1 if the acknowledgement of an entry is awaited.  For an entry that
 * only others can reach the wait is limited: otherwise a rise of the demand
 * here would never count.
 */
static int is_ack_awaited(const struct limit_peers *p,
			  const struct limit_peer *q, apr_time_t now)
{
	return has_direct_contact(p, q, now) ||
	       (is_peer_counted(p, q, now) &&
		now - q->last_contact < LIMIT_UNREACHABLE_WAIT_US);
}

/* Returns the oldest own snapshot that an entry in contact may have. */
static uint32_t find_oldest_acked(const struct limit_peers *p, apr_time_t now)
{
	const struct limit_peer *q;
	uint32_t oldest = p->snapshot_number;
	int i;

	for (i = 0; i < p->peer_count; i++) {
		q = &p->peers[i];
		if (is_ack_awaited(p, q, now) && q->acked_snapshot &&
		    q->acked_snapshot < oldest)
			oldest = q->acked_snapshot;
	}
	return oldest;
}

/* Sets min_codes to the minimum of all snapshots that others may have. */
static void update_min_codes(struct limit_peers *p, apr_time_t now)
{
	uint32_t snapshot = find_oldest_acked(p, now);
	int i;

	if (p->snapshot_number - snapshot >= LIMIT_SNAPSHOTS_MAX)
		return; /* no snapshot was added since: min_codes is valid */
	memcpy(p->min_codes, p->snapshots[snapshot % LIMIT_SNAPSHOTS_MAX],
	       sizeof(p->min_codes));
	while (snapshot++ < p->snapshot_number)
		for (i = 0; i < p->key_count; i++)
			p->min_codes[i] = min_of_codes(
				p->min_codes[i],
				p->snapshots[snapshot % LIMIT_SNAPSHOTS_MAX]
					    [i]);
}

/*
 * Adds the current demand as a new snapshot if it differs; codes has one
 * element per key.  No snapshot is added while some entry in contact has none
 * of the snapshots retained.
 */
void limit_peers_publish(struct limit_peers *p, const uint32_t *codes)
{
	size_t size = p->key_count * sizeof(codes[0]);

	if (!memcmp(codes,
		    p->snapshots[p->snapshot_number % LIMIT_SNAPSHOTS_MAX],
		    size) ||
	    p->snapshot_number + 1 - find_oldest_acked(p, p->viewed_at) >=
		    LIMIT_SNAPSHOTS_MAX)
		return;
	p->snapshot_number++;
	memcpy(p->snapshots[p->snapshot_number % LIMIT_SNAPSHOTS_MAX], codes,
	       size);
}

/*
 * Determines the group of entries in contact.  After some time without a
 * majority the others have divided this entry's slices, so this entry stays at
 * its cut-off share until it has had contact with all of them, or until the
 * leases of the remaining ones must have expired.  The same holds for an entry
 * that never received a list of entries, as it may be one of many.
 */
void limit_peers_update_view(struct limit_peers *p, apr_time_t now,
			     struct limit_view *v)
{
	const char *first_id = p->id;
	int i, in_contact, is_settled;

	*v = (struct limit_view){ p->peer_count + 1, 1, 1, 1, 0 };
	for (i = 0; i < p->peer_count; i++) {
		in_contact = is_peer_in_contact(p, &p->peers[i], now);
		v->in_contact += in_contact;
		v->counted_entries += is_peer_counted(p, &p->peers[i], now);
		if (strcmp(p->peers[i].id, first_id) < 0) {
			first_id = p->peers[i].id;
			v->has_first_entry = in_contact;
		}
	}
	if (limit_view_budget_ratio(v, 1e-9) < 1)
		p->majority_since = 0;
	else if (!p->majority_since)
		p->majority_since = now;
	is_settled = v->in_contact == v->entry_count ||
		     (p->majority_since &&
		      now - p->majority_since >
			      lease_duration(p) + LIMIT_LEASE_MARGIN_US);
	v->is_isolated =
		p->is_without_list ||
		(v->entry_count > 1 &&
		 (v->in_contact == 1 || (p->majority_since && !is_settled)));
	p->viewed_at = now;
	update_min_codes(p, now);
}

/*
 * Returns the ratio of a budget that the entries in contact divide, given the
 * budget's cut-off share.
 */
double limit_view_budget_ratio(const struct limit_view *v, double cut_off)
{
	if (v->is_isolated)
		return share_partition_ratio(
			1, v->entry_count + 1, 0,
			cut_off > 0 ? cut_off : 1.0 / v->entry_count);
	return share_partition_ratio(v->in_contact, v->entry_count,
				     v->has_first_entry, cut_off);
}

/* Returns the demand at this entry that counts for its slice. */
double limit_peers_own_demand(const struct limit_peers *p, int key,
			      enum limit_value which)
{
	return limit_decode(p->min_codes[key], which);
}

/* Returns the sum of the demands at the other entries whose demand counts. */
double limit_peers_other_demand(const struct limit_peers *p, int key,
				enum limit_value which, apr_time_t now)
{
	const struct limit_peer *q;
	double sum = 0;

	for (q = p->peers; q < p->peers + p->peer_count; q++)
		if (q->demand_codes[key] && is_peer_counted(p, q, now))
			sum += limit_decode(q->demand_codes[key], which);
	return sum;
}

/*
 * Returns how many whole units of a budget this entry may use.  The slices are
 * added up in the order of the entries' ids and the sums are rounded, so that
 * the units of all entries add up to the budget.
 */
int limit_peers_slot_count(const struct limit_peers *p, int key, double budget,
			   int entries, apr_time_t now)
{
	double own = limit_peers_own_demand(p, key, LIMIT_CONCURRENT);
	double others = limit_peers_other_demand(p, key, LIMIT_CONCURRENT, now);
	double before = 0, theirs;
	const struct limit_peer *q;

	for (q = p->peers; q < p->peers + p->peer_count; q++) {
		if (strcmp(q->id, p->id) > 0 || !is_peer_counted(p, q, now))
			continue;
		theirs = limit_decode(q->demand_codes[key], LIMIT_CONCURRENT);
		before += share_slice(budget, theirs, own + others - theirs,
				      entries);
	}
	own = share_slice(budget, own, others, entries);
	return (int)(floor(before + own + 0.001) - floor(before + 0.001));
}
