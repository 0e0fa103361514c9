#include "calls/limit-peers.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/digest.h"
#include "calls/limit-share.h"

/* Codes: 12 steps to the doubling, from 1/8 upwards; 0 stands for none. */
#define CODE_STEPS 12
#define CODE_FIRST 0.125
#define CODE_MAX 255
#define CODE_BITS 8
#define CODE_NOISE 2   /* steps */
#define TOKENS_UNIT 16 /* tokens are counted in units of so many */

/* Returns the code nearest to a value. */
uint8_t limit_encode(double value)
{
	double code;

	if (value < CODE_FIRST / 2)
		return 0;
	code = 1 + round(CODE_STEPS * log2(value / CODE_FIRST));
	if (code < 1)
		return 1;
	return code > CODE_MAX ? CODE_MAX : (uint8_t)code;
}

static uint8_t code_of(uint32_t codes, enum limit_value which)
{
	return codes >> (CODE_BITS * which) & CODE_MAX;
}

/* Returns the value that a code stands for. */
double limit_decode(uint32_t codes, enum limit_value which)
{
	int code = code_of(codes, which);
	double value;

	if (!code)
		return 0;
	value = CODE_FIRST * exp2((double)(code - 1) / CODE_STEPS);
	return which == LIMIT_TOKENS ? value * TOKENS_UNIT : value;
}

/* Packs three demands. */
uint32_t limit_encode_demands(double requests, double tokens, double concurrent)
{
	return (uint32_t)limit_encode(requests) |
	       (uint32_t)limit_encode(tokens / TOKENS_UNIT) << CODE_BITS |
	       (uint32_t)limit_encode(concurrent) << (2 * CODE_BITS);
}

static uint32_t codes_min(uint32_t a, uint32_t b)
{
	uint32_t mask, min = 0;
	int i;

	for (i = 0; i < LIMIT_VALUE_COUNT; i++) {
		mask = (uint32_t)CODE_MAX << (CODE_BITS * i);
		min |= (a & mask) < (b & mask) ? a & mask : b & mask;
	}
	return min;
}

void limit_peers_init(struct limit_peers *p, const char *id, uint64_t boot)
{
	memset(p, 0, sizeof(*p));
	snprintf(p->id, sizeof(p->id), "%s", id);
	p->boot = boot;
	p->snapshot_number = 1;
}

/* Returns the place of a key's hash in the hash table, or a free one. */
static uint32_t key_place(const struct limit_peers *p, uint32_t hash)
{
	uint32_t at = hash % (2 * LIMIT_KEYS_MAX);

	while (p->key_table[at] && p->key_hashes[p->key_table[at] - 1] != hash)
		at = (at + 1) % (2 * LIMIT_KEYS_MAX);
	return at;
}

static uint32_t key_hash(const char *kind, const char *name)
{
	return (uint32_t)place_hash_string(name, place_hash_string(kind, 0));
}

/* Returns the index of a key's hash, added if new; -1 when full. */
int limit_peers_get_or_add_hash(struct limit_peers *p, uint32_t hash)
{
	uint32_t at = key_place(p, hash);

	if (p->key_table[at])
		return p->key_table[at] - 1;
	if (p->key_count == LIMIT_KEYS_MAX)
		return -1;
	p->key_hashes[p->key_count] = hash;
	p->key_table[at] = (uint16_t)++p->key_count;
	return p->key_count - 1;
}

/* Returns the index of an account's or pool's demand, -1 when full. */
int limit_peers_get_or_add_key(struct limit_peers *p, const char *kind,
			       const char *name)
{
	return limit_peers_get_or_add_hash(p, key_hash(kind, name));
}

/* The same without adding it; -1 when it was never added. */
int limit_peers_find_key(const struct limit_peers *p, const char *kind,
			 const char *name)
{
	return (int)p->key_table[key_place(p, key_hash(kind, name))] - 1;
}

/* Returns the time between two exchanges of one pair. */
apr_interval_time_t limit_peers_exchange_period(const struct limit_peers *p)
{
	apr_interval_time_t period = p->peer_count * LIMIT_PERIOD_PER_PEER_US;

	if (period < LIMIT_PERIOD_MIN_US)
		return LIMIT_PERIOD_MIN_US;
	return period < LIMIT_PERIOD_MAX_US ? period : LIMIT_PERIOD_MAX_US;
}

static apr_interval_time_t lease_length(const struct limit_peers *p)
{
	apr_interval_time_t lease =
		2 * limit_peers_exchange_period(p) + 100 * 1000;

	return lease > LIMIT_LEASE_MIN_US ? lease : LIMIT_LEASE_MIN_US;
}

/* Counts towards the majority. */
static int peer_leased(const struct limit_peers *p, const struct limit_peer *q,
		       apr_time_t now)
{
	return q->last_contact && now - q->last_contact < lease_length(p);
}

/* In contact with this entry, or so lately that it may think so. */
static int peer_direct(const struct limit_peers *p, const struct limit_peer *q,
		       apr_time_t now)
{
	return q->last_contact &&
	       now - q->last_contact < lease_length(p) + LIMIT_LEASE_MARGIN_US;
}

/* Its demand counts: it may still use its slices, as far as any entry knows. */
static int peer_present(const struct limit_peers *p, const struct limit_peer *q,
			apr_time_t now)
{
	return peer_direct(p, q, now) ||
	       (q->indirect_contact &&
		now - q->indirect_contact <
			lease_length(p) + LIMIT_LEASE_MARGIN_US);
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

static struct limit_peer *peer_add(struct limit_peers *p, const char *id,
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

static int address_listed(const struct limit_address *list, int count,
			  const char *id)
{
	int i;

	for (i = 0; i < count; i++)
		if (!strcmp(list[i].id, id))
			return 1;
	return 0;
}

/* Gives each entry its place by id, and all of them a digest. */
static void order_set(struct limit_peers *p)
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

static uint64_t bit_of(int order)
{
	return (uint64_t)1 << order;
}

/* So long ago at most was an entry heard that this one vouches for. */
static apr_interval_time_t vouch_age(const struct limit_peers *p)
{
	return limit_peers_exchange_period(p) * 3 / 2;
}

/* Returns the bits of the entries heard lately. */
uint64_t limit_peers_contact_bits(const struct limit_peers *p, apr_time_t now)
{
	const struct limit_peer *q;
	uint64_t heard = bit_of(p->id_position);

	for (q = p->peers; q < p->peers + p->peer_count; q++)
		if (q->last_contact && now - q->last_contact < vouch_age(p))
			heard |= bit_of(q->id_position);
	return heard;
}

/*
 * Notes which entries another one heard, as long ago as may be: so one that
 * is out of this entry's reach alone keeps its slices, and for one that died
 * the time does not start anew.
 */
void limit_peers_merge_contacts(struct limit_peers *p,
				const struct limits_message *m, apr_time_t now)
{
	struct limit_peer *q;

	if (m->ids_digest != p->ids_digest)
		return;
	for (q = p->peers; q < p->peers + p->peer_count; q++)
		if (m->contact_bits & bit_of(q->id_position) &&
		    now - vouch_age(p) > q->indirect_contact)
			q->indirect_contact = now - vouch_age(p);
}

/* Takes over who the other entries are; this one is not in the list. */
void limit_peers_set_list(struct limit_peers *p,
			  const struct limit_address *list, int count,
			  apr_time_t now)
{
	struct limit_peer *q;
	int i;

	for (i = p->peer_count - 1; i >= 0; i--) {
		if (address_listed(list, count, p->peers[i].id))
			continue;
		p->peers[i] = p->peers[--p->peer_count];
	}
	for (i = 0; i < count; i++) {
		q = limit_peers_find(p, list[i].id);
		if (!q)
			q = peer_add(p, list[i].id, list[i].address);
		if (q && strcmp(q->address, list[i].address))
			snprintf(q->address, sizeof(q->address), "%s",
				 list[i].address);
		if (q && !q->next_exchange_at)
			q->next_exchange_at = now;
	}
	order_set(p);
}

/*
 * Its acknowledgement is waited for.  Of one that only others hear, not for
 * ever: then the demand here could not be told to anybody.
 */
static int peer_awaited(const struct limit_peers *p, const struct limit_peer *q,
			apr_time_t now)
{
	return peer_direct(p, q, now) ||
	       (peer_present(p, q, now) &&
		now - q->last_contact < LIMIT_UNREACHABLE_WAIT_US);
}

/* Returns the oldest version that an entry in contact may hold of ours. */
static uint32_t oldest_acked(const struct limit_peers *p, apr_time_t now)
{
	const struct limit_peer *q;
	uint32_t oldest = p->snapshot_number;
	int i;

	for (i = 0; i < p->peer_count; i++) {
		q = &p->peers[i];
		if (peer_awaited(p, q, now) && q->acked_snapshot &&
		    q->acked_snapshot < oldest)
			oldest = q->acked_snapshot;
	}
	return oldest;
}

/* Brings low up to date: the least of all versions that others may hold. */
static void low_update(struct limit_peers *p, apr_time_t now)
{
	uint32_t at = oldest_acked(p, now);
	int i;

	if (p->snapshot_number - at >= LIMIT_SNAPSHOTS_MAX)
		return; /* no new versions were made since: low holds */
	memcpy(p->min_codes, p->snapshots[at % LIMIT_SNAPSHOTS_MAX],
	       sizeof(p->min_codes));
	while (at++ < p->snapshot_number)
		for (i = 0; i < p->key_count; i++)
			p->min_codes[i] = codes_min(
				p->min_codes[i],
				p->snapshots[at % LIMIT_SNAPSHOTS_MAX][i]);
}

/*
 * Takes the present demand as a new version if it differs; codes has one
 * element for each key.  Not while some entry in contact holds none of the
 * versions kept.
 */
void limit_peers_publish(struct limit_peers *p, const uint32_t *codes)
{
	size_t size = p->key_count * sizeof(codes[0]);

	if (!memcmp(codes,
		    p->snapshots[p->snapshot_number % LIMIT_SNAPSHOTS_MAX],
		    size) ||
	    p->snapshot_number + 1 - oldest_acked(p, p->viewed_at) >=
		    LIMIT_SNAPSHOTS_MAX)
		return;
	p->snapshot_number++;
	memcpy(p->snapshots[p->snapshot_number % LIMIT_SNAPSHOTS_MAX], codes,
	       size);
}

/*
 * Works out the group in contact.  After a time without a majority the
 * others have divided this entry's slices; it stays at the cut-off share
 * until it heard all of them, or until those not heard must have lapsed.  So
 * does one that never saw a list of entries: it may be one of many.
 */
void limit_peers_update_view(struct limit_peers *p, apr_time_t now,
			     struct limit_view *v)
{
	const char *first = p->id;
	int i, leased, settled;

	*v = (struct limit_view){ p->peer_count + 1, 1, 1, 1, 0 };
	for (i = 0; i < p->peer_count; i++) {
		leased = peer_leased(p, &p->peers[i], now);
		v->in_contact += leased;
		v->counted_entries += peer_present(p, &p->peers[i], now);
		if (strcmp(p->peers[i].id, first) < 0) {
			first = p->peers[i].id;
			v->has_first_entry = leased;
		}
	}
	if (limit_view_budget_ratio(v, 1e-9) < 1)
		p->majority_since = 0;
	else if (!p->majority_since)
		p->majority_since = now;
	settled = v->in_contact == v->entry_count ||
		  (p->majority_since &&
		   now - p->majority_since >
			   lease_length(p) + LIMIT_LEASE_MARGIN_US);
	v->is_isolated =
		p->is_without_list ||
		(v->entry_count > 1 &&
		 (v->in_contact == 1 || (p->majority_since && !settled)));
	p->viewed_at = now;
	low_update(p, now);
}

/* Returns the part of a budget with that cut-off share to divide here. */
double limit_view_budget_ratio(const struct limit_view *v, double cut_off)
{
	if (v->is_isolated)
		return share_partition_ratio(
			1, v->entry_count + 1, 0,
			cut_off > 0 ? cut_off : 1.0 / v->entry_count);
	return share_partition_ratio(v->in_contact, v->entry_count,
				     v->has_first_entry, cut_off);
}

/* Returns the demand here that counts for this entry's slice. */
double limit_peers_own_demand(const struct limit_peers *p, int key,
			      enum limit_value which)
{
	return limit_decode(p->min_codes[key], which);
}

/* Returns the demand at the other entries, as far as they may use it. */
double limit_peers_other_demand(const struct limit_peers *p, int key,
				enum limit_value which, apr_time_t now)
{
	const struct limit_peer *q;
	double sum = 0;

	for (q = p->peers; q < p->peers + p->peer_count; q++)
		if (q->demand_codes[key] && peer_present(p, q, now))
			sum += limit_decode(q->demand_codes[key], which);
	return sum;
}

/*
 * Returns how many whole units of a budget this entry may use.  Adds the
 * slices up in the order of the entries' ids and rounds the sums, so that
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
		if (strcmp(q->id, p->id) > 0 || !peer_present(p, q, now))
			continue;
		theirs = limit_decode(q->demand_codes[key], LIMIT_CONCURRENT);
		before += share_slice(budget, theirs, own + others - theirs,
				      entries);
	}
	own = share_slice(budget, own, others, entries);
	return (int)(floor(before + own + 0.001) - floor(before + 0.001));
}
