#include "config/spread.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "config/spread-internal.h"

/*
 * Number of random members of the local and of remote data centres that are
 * added to the start peers once the instance list is available.
 */
#define START_LOCAL_PEERS 3
#define START_REMOTE_PEERS 2

/* Initializes the state of a process without any version. */
void spread_init(struct spread *s, const char *self_address, apr_time_t now)
{
	memset(s, 0, sizeof(*s));
	snprintf(s->self_address, sizeof(s->self_address), "%s", self_address);
	s->started_at = now;
	s->watch_hold_ms = SPREAD_WATCH_HOLD_MS;
	s->value_count = SPREAD_VALUE_COUNT_BASE;
	s->overlay.data_center_count = 1;
}

/* Frees the member array passed to spread_set_members. */
void spread_destroy(struct spread *s)
{
	free(s->members);
	s->members = NULL;
	s->member_count = 0;
}

/*
 * Adds a peer that is asked before this process becomes ready.  Does nothing
 * if the list is full, or if address is in it or is that of this process.
 */
void spread_add_start_peer(struct spread *s, const char *address)
{
	int i;

	if (!strcmp(address, s->self_address) ||
	    s->start_count == SPREAD_START_PEERS_MAX)
		return;
	for (i = 0; i < s->start_count; i++) {
		if (!strcmp(s->start_peers[i], address))
			return;
	}
	snprintf(s->start_peers[s->start_count++], SETTINGS_ADDRESS_SIZE, "%s",
		 address);
}

/* Adds up to wanted random members in [from, to) to the start peers. */
static void add_random_start_peers(struct spread *s, int from, int to,
				   int wanted, struct random *r)
{
	int tries = 4 * wanted;

	while (wanted > 0 && tries-- > 0 && to > from) {
		int before = s->start_count;
		uint32_t at = random_below(r, (uint32_t)(to - from));

		spread_add_start_peer(s, s->members[from + (int)at].address);
		wanted -= s->start_count - before;
	}
}

static const struct spread_peer *find_peer(const struct spread_peer *list,
					   int count, const char *address)
{
	int i;

	for (i = 0; i < count; i++) {
		if (!strcmp(list[i].address, address))
			return &list[i];
	}
	return NULL;
}

static void add_peer(struct spread *s, const struct spread_peer *old,
		     int old_count, const char *address)
{
	const struct spread_peer *existing = find_peer(old, old_count, address);
	struct spread_peer *p;

	if (!strcmp(address, s->self_address) ||
	    find_peer(s->peers, s->peer_count, address))
		return;
	p = &s->peers[s->peer_count++];
	memset(p, 0, sizeof(*p));
	if (existing)
		*p = *existing;
	else
		p->is_notify_pending = 1;
	snprintf(p->address, sizeof(p->address), "%s", address);
}

/*
 * Replaces the peers by those of the overlay.  A peer that was in the list
 * before keeps its state.
 */
static void update_peers(struct spread *s)
{
	struct spread_peer old[SPREAD_PEERS_MAX];
	int count = s->peer_count, i;

	memcpy(old, s->peers, sizeof(old));
	s->peer_count = 0;
	for (i = 0; i < s->overlay.neighbor_count; i++)
		add_peer(s, old, count, s->overlay.neighbors[i]);
	for (i = 0; i < s->overlay.extra_peer_count; i++)
		add_peer(s, old, count, s->overlay.extra_peers[i]);
}

/* Moves the members of the local data centre to the front. */
static void move_local_members_first(struct spread *s, const char *data_center)
{
	struct overlay_member m;
	int i, local = 0;

	for (i = 0; i < s->member_count; i++) {
		if (strcmp(s->members[i].data_center, data_center))
			continue;
		m = s->members[i];
		s->members[i] = s->members[local];
		s->members[local++] = m;
	}
	s->local_count = local;
}

/*
 * Sets the instances that take part, including self, and recomputes the
 * neighbours.  members must come from malloc; s owns it afterwards.
 */
void spread_set_members(struct spread *s, struct overlay_member *members,
			int count, const struct overlay_member *self,
			struct random *r)
{
	free(s->members);
	s->members = members;
	s->member_count = count;
	s->is_entry = self->is_entry;
	overlay_build(&s->overlay, members, count, self);
	move_local_members_first(s, self->data_center);
	update_peers(s);
	if (s->has_member_start_peers || count < 2)
		return;
	s->has_member_start_peers = 1;
	add_random_start_peers(s, 0, s->local_count, START_LOCAL_PEERS, r);
	add_random_start_peers(s, s->local_count, count, START_REMOTE_PEERS, r);
}

/* Returns 1 if version is newer than the current one and not rejected. */
static int is_version_wanted(const struct spread_value *v, uint64_t version,
			     const struct digest *digest)
{
	if (version <= v->version)
		return 0;
	return version != v->rejected_version ||
	       !digest_equal(digest, &v->rejected_digest);
}

/* Drops the offers that are not newer or whose version was rejected. */
static void prune_offers(struct spread_value *v)
{
	int i;

	for (i = 0; i < SPREAD_OFFERS_MAX; i++) {
		if (!is_version_wanted(v, v->offers[i].version,
				       &v->offers[i].digest))
			v->offers[i].version = 0;
	}
}

/*
 * Stores that a peer has a version.  An older offer of this peer is
 * replaced; otherwise the offer with the lowest version is, unless that
 * version is above the new one.
 */
static void add_offer(struct spread_value *v, const char *address,
		      uint64_t version, const struct digest *digest,
		      apr_time_t now)
{
	struct spread_offer *at = &v->offers[0];
	int i;

	if (version >= v->offered_version) {
		v->offered_version = version;
		v->offered_at = now;
	}
	for (i = 0; i < SPREAD_OFFERS_MAX; i++) {
		struct spread_offer *o = &v->offers[i];

		if (o->version && !strcmp(o->address, address)) {
			at = o;
			break;
		}
		if (o->version < at->version)
			at = o;
	}
	if (at->version > version && strcmp(at->address, address))
		return;
	at->version = version;
	at->digest = *digest;
	snprintf(at->address, sizeof(at->address), "%s", address);
}

/* Returns 1 if new versions currently follow each other closely. */
int spread_is_in_burst(const struct spread_value *v, apr_time_t now)
{
	return v->previous_applied_at &&
	       now - v->previous_applied_at < SPREAD_BURST_WINDOW_US;
}

/* Records that a version was applied; neighbours are to be notified. */
void spread_record_applied(struct spread *s, int value, uint64_t version,
			   const struct digest *digest, apr_time_t now)
{
	struct spread_value *v = &s->values[value];
	int i;

	if (version <= v->version)
		return;
	v->version = version;
	v->digest = *digest;
	v->disputed_at = 0;
	v->previous_applied_at = v->applied_at;
	v->applied_at = now;
	if (spread_is_in_burst(v, now))
		v->pull_after = now + SPREAD_BURST_GAP_US;
	prune_offers(v);
	for (i = 0; i < s->peer_count; i++)
		s->peers[i].is_notify_pending = 1;
}

/* Records that a version is invalid, so that it isn't pulled again. */
void spread_record_rejected(struct spread *s, int value, uint64_t version,
			    const struct digest *digest)
{
	struct spread_value *v = &s->values[value];

	if (version < v->rejected_version)
		return;
	v->rejected_version = version;
	v->rejected_digest = *digest;
	if (v->offered_version <= version)
		v->offered_version = v->version;
	prune_offers(v);
}

/* Merges the age of the last platform contact that a peer reported. */
static void update_platform_contact(struct spread_value *v, uint32_t age_ms,
				    apr_time_t now)
{
	apr_time_t at;

	if (age_ms == SPREAD_PLATFORM_AGE_UNKNOWN)
		return;
	at = now - (apr_time_t)age_ms * 1000;
	if (at > v->platform_last_contact)
		v->platform_last_contact = at;
}

/*
 * Notes that a peer has another text under the current version: only a read of
 * the platform tells which is right.  The version of a document is its
 * operators', so that a read can't give it a newer one.
 */
static void note_dispute(struct spread *s, int value,
			 const struct spread_version *theirs, apr_time_t now)
{
	struct spread_value *v = &s->values[value];

	if (value != SPREAD_DOCUMENT && v->version && !v->disputed_at &&
	    now >= v->dispute_after && theirs->version == v->version &&
	    !digest_equal(&theirs->digest, &v->digest))
		v->disputed_at = now;
}

/*
 * Merges the versions that a peer reported: stores its offers and clears its
 * pending notification if it has all current versions.
 */
void spread_merge_versions(struct spread *s, const char *address,
			   const struct spread_version *versions, int count,
			   apr_time_t now)
{
	int i, is_peer_current = 1;

	for (i = 0; i < count && i < s->value_count; i++) {
		struct spread_value *v = &s->values[i];

		update_platform_contact(v, versions[i].platform_age_ms, now);
		note_dispute(s, i, &versions[i], now);
		if (is_version_wanted(v, versions[i].version,
				      &versions[i].digest))
			add_offer(v, address, versions[i].version,
				  &versions[i].digest, now);
		if (versions[i].version < v->version)
			is_peer_current = 0;
	}
	for (i = 0; is_peer_current && i < s->peer_count; i++) {
		if (!strcmp(s->peers[i].address, address))
			s->peers[i].is_notify_pending = 0;
	}
}

/* Records that the platform had no version above the current one at a time. */
void spread_record_current(struct spread *s, int value, apr_time_t at)
{
	struct spread_value *v = &s->values[value];

	if (at > v->known_current_at)
		v->known_current_at = at;
}

/*
 * Records when the platform was last read by anyone, as far as a peer that was
 * asked at asked_at knows, for the values of which it has the current version.
 */
void spread_confirm_versions(struct spread *s,
			     const struct spread_version *versions, int count,
			     apr_time_t asked_at)
{
	int i;

	for (i = 0; i < count && i < s->value_count; i++) {
		uint32_t age_ms = versions[i].platform_age_ms;

		if (versions[i].version == s->values[i].version &&
		    age_ms != SPREAD_PLATFORM_AGE_UNKNOWN)
			spread_record_current(
				s, i, asked_at - (apr_time_t)age_ms * 1000);
	}
}

static int has_newer_offer(const struct spread_value *v)
{
	int i;

	for (i = 0; i < SPREAD_OFFERS_MAX; i++)
		if (v->offers[i].version > v->version)
			return 1;
	return 0;
}

/*
 * Fills in what this process reports, for the values in use.  The last
 * contact with the platform may have been that of a peer with a newer version
 * while such a version is offered, so it is not reported then.
 */
void spread_get_versions(const struct spread *s,
			 struct spread_version *versions, apr_time_t now)
{
	int i;

	for (i = 0; i < s->value_count; i++) {
		const struct spread_value *v = &s->values[i];
		apr_time_t age = (now - v->platform_last_contact) / 1000;

		versions[i].version = v->version;
		versions[i].digest = v->digest;
		versions[i].platform_age_ms = SPREAD_PLATFORM_AGE_UNKNOWN;
		if (v->platform_last_contact && !has_newer_offer(v) &&
		    age < SPREAD_PLATFORM_AGE_UNKNOWN)
			versions[i].platform_age_ms =
				(uint32_t)(age < 0 ? 0 : age);
	}
}

/*
 * Records the end of an exchange.  The versions that the peer reported are
 * passed to spread_merge_versions.
 */
void spread_finish_exchange(struct spread *s, const struct spread_action *a,
			    int ok, apr_time_t now)
{
	int i;

	for (i = 0; i < s->peer_count; i++) {
		if (!a->asks_read && !strcmp(s->peers[i].address, a->address))
			s->peers[i].is_in_exchange = 0;
	}
	s->random_in_exchange -= a->is_random;
	if (a->is_start_exchange) {
		s->start_finished++;
		s->start_replies += ok;
	}
	if (a->wanted_value >= 0)
		spread_finish_pull(&s->values[a->wanted_value], a->address, ok,
				   now);
}

/*
 * Copies the addresses of up to max neighbours, or of start peers while there
 * are none, in a random rotation.  except is left out; it may be NULL.  Returns
 * the number.
 */
int spread_pick_peers(const struct spread *s, const char *except,
		      char (*out)[SETTINGS_ADDRESS_SIZE], int max,
		      struct random *r)
{
	int total = s->peer_count ? s->peer_count : s->start_count;
	int from = total ? (int)random_below(r, (uint32_t)total) : 0;
	int count = 0, i;

	for (i = 0; i < total && count < max; i++) {
		int at = (from + i) % total;
		const char *address = s->peer_count ? s->peers[at].address
						    : s->start_peers[at];

		if (!except || strcmp(address, except))
			memcpy(out[count++], address, SETTINGS_ADDRESS_SIZE);
	}
	return count;
}

/*
 * Returns 1 if this process may begin to serve: it has a document, it has
 * the instance list or a watch for that has finished, each start peer has
 * answered or failed, no peer offers a newer document, and the evacuations are
 * known where there are any.  Without asking
 * the peers, a process that restarts while the platform returns an older
 * revision would serve that older revision.
 */
int spread_is_ready(const struct spread *s, apr_time_t now)
{
	const struct spread_value *d = &s->values[SPREAD_DOCUMENT];
	const struct spread_value *l = &s->values[SPREAD_INSTANCES];
	const struct spread_value *e = &s->values[SPREAD_EVACUATIONS];

	(void)now;
	if (!d->version || s->start_finished < s->start_count)
		return 0;
	if (!l->version && !l->watches_finished)
		return 0;
	if (l->version && !s->has_member_start_peers && s->member_count > 1)
		return 0;
	if (s->value_count > SPREAD_EVACUATIONS &&
	    (!e->version || has_newer_offer(e)))
		return 0;
	return !has_newer_offer(d);
}
