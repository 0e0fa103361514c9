#include "config/spread.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "config/spread-internal.h"

#define START_OWN_PEERS 3    /* of the instance list, asked at the start */
#define START_REMOTE_PEERS 2 /* same, in other data centres */

/* Prepares a process that knows nothing yet. */
void spread_init(struct spread *s, const char *self_address, apr_time_t now)
{
	memset(s, 0, sizeof(*s));
	snprintf(s->self_address, sizeof(s->self_address), "%s", self_address);
	s->began = now;
	s->watch_s = SPREAD_WATCH_HOLD_S;
	s->overlay.data_center_count = 1;
}

/* Frees what spread_set_members took over. */
void spread_destroy(struct spread *s)
{
	free(s->members);
	s->members = NULL;
	s->member_count = 0;
}

/* Adds a peer that is asked before this process is ready. */
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

/* Adds up to wanted random members in [from, to) to those asked at first. */
static void start_peers_draw(struct spread *s, int from, int to, int wanted,
			     struct random *r)
{
	int tries = 4 * wanted;

	while (wanted > 0 && tries-- > 0 && to > from) {
		int before = s->start_count;
		uint32_t at = random_below(r, (uint32_t)(to - from));

		spread_add_start_peer(s, s->members[from + (int)at].address);
		wanted -= s->start_count - before;
	}
}

static const struct spread_peer *peer_find(const struct spread_peer *list,
					   int count, const char *address)
{
	int i;

	for (i = 0; i < count; i++) {
		if (!strcmp(list[i].address, address))
			return &list[i];
	}
	return NULL;
}

static void peer_add(struct spread *s, const struct spread_peer *old,
		     int old_count, const char *address)
{
	const struct spread_peer *known = peer_find(old, old_count, address);
	struct spread_peer *p;

	if (!strcmp(address, s->self_address) ||
	    peer_find(s->peers, s->peer_count, address))
		return;
	p = &s->peers[s->peer_count++];
	memset(p, 0, sizeof(*p));
	if (known)
		*p = *known;
	else
		p->pending = 1;
	snprintf(p->address, sizeof(p->address), "%s", address);
}

/* Takes over the overlay's neighbours, keeping what goes on with the old. */
static void peers_renew(struct spread *s)
{
	struct spread_peer old[SPREAD_PEERS_MAX];
	int count = s->peer_count, i;

	memcpy(old, s->peers, sizeof(old));
	s->peer_count = 0;
	for (i = 0; i < s->overlay.neighbor_count; i++)
		peer_add(s, old, count, s->overlay.neighbors[i]);
	for (i = 0; i < s->overlay.extra_peer_count; i++)
		peer_add(s, old, count, s->overlay.extra_peers[i]);
}

/* Moves the members of the own data centre to the front. */
static void members_part(struct spread *s, const char *data_center)
{
	struct overlay_member m;
	int i, own = 0;

	for (i = 0; i < s->member_count; i++) {
		if (strcmp(s->members[i].data_center, data_center))
			continue;
		m = s->members[i];
		s->members[i] = s->members[own];
		s->members[own++] = m;
	}
	s->own_count = own;
}

/*
 * Takes over the array of all instances that take part, self included (it
 * must come from malloc), and works the neighbours out anew.
 */
void spread_set_members(struct spread *s, struct overlay_member *members,
			int count, const struct overlay_member *self,
			struct random *r)
{
	free(s->members);
	s->members = members;
	s->member_count = count;
	overlay_build(&s->overlay, members, count, self);
	members_part(s, self->data_center);
	peers_renew(s);
	if (s->members_asked || count < 2)
		return;
	s->members_asked = 1;
	start_peers_draw(s, 0, s->own_count, START_OWN_PEERS, r);
	start_peers_draw(s, s->own_count, count, START_REMOTE_PEERS, r);
}

static int offer_is_news(const struct spread_value *v, uint64_t version,
			 const struct digest *digest)
{
	if (version <= v->version)
		return 0;
	return version != v->refused ||
	       !digest_equal(digest, &v->refused_digest);
}

/* Drops the offers that the version held, or refused, has overtaken. */
static void offers_prune(struct spread_value *v)
{
	int i;

	for (i = 0; i < SPREAD_OFFERS_MAX; i++) {
		if (!offer_is_news(v, v->offers[i].version,
				   &v->offers[i].digest))
			v->offers[i].version = 0;
	}
}

/* Remembers who has a version; the lowest of all gives way. */
static void offer_add(struct spread_value *v, const char *address,
		      uint64_t version, const struct digest *digest)
{
	struct spread_offer *at = &v->offers[0];
	int i;

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

/* Returns 1 when versions follow each other closely. */
int spread_is_in_burst(const struct spread_value *v, apr_time_t now)
{
	return v->taken_before &&
	       now - v->taken_before < SPREAD_BURST_WINDOW_US;
}

/* Notes that a version was put in force here; neighbours are to be told. */
void spread_record_applied(struct spread *s, int value, uint64_t version,
			   const struct digest *digest, apr_time_t now)
{
	struct spread_value *v = &s->values[value];
	int i;

	if (version <= v->version)
		return;
	v->version = version;
	v->digest = *digest;
	v->taken_before = v->taken;
	v->taken = now;
	if (spread_is_in_burst(v, now))
		v->pull_after = now + SPREAD_BURST_GAP_US;
	offers_prune(v);
	for (i = 0; i < s->peer_count; i++)
		s->peers[i].pending = 1;
}

/* Notes that a version is invalid, so that it isn't fetched again. */
void spread_record_rejected(struct spread *s, int value, uint64_t version,
			    const struct digest *digest)
{
	struct spread_value *v = &s->values[value];

	if (version < v->refused)
		return;
	v->refused = version;
	v->refused_digest = *digest;
	offers_prune(v);
}

/* A peer's word on the platform's last sign of life. */
static void platform_heard(struct spread_value *v, uint32_t age_ms,
			   apr_time_t now)
{
	apr_time_t at;

	if (age_ms == SPREAD_PLATFORM_AGE_UNKNOWN)
		return;
	at = now - (apr_time_t)age_ms * 1000;
	if (at > v->platform_heard)
		v->platform_heard = at;
}

/* Takes in what a peer says it holds. */
void spread_merge_versions(struct spread *s, const char *address,
			   const struct spread_version *said, int count,
			   apr_time_t now)
{
	int i, same = 1;

	for (i = 0; i < count && i < SPREAD_VALUE_COUNT; i++) {
		struct spread_value *v = &s->values[i];

		platform_heard(v, said[i].platform_age_ms, now);
		if (offer_is_news(v, said[i].version, &said[i].digest))
			offer_add(v, address, said[i].version, &said[i].digest);
		if (said[i].version < v->version)
			same = 0;
	}
	for (i = 0; same && i < s->peer_count; i++) {
		if (!strcmp(s->peers[i].address, address))
			s->peers[i].pending = 0;
	}
}

/* Fills in what this process says, for SPREAD_VALUE_COUNT values. */
void spread_get_versions(const struct spread *s, struct spread_version *said,
			 apr_time_t now)
{
	int i;

	for (i = 0; i < SPREAD_VALUE_COUNT; i++) {
		const struct spread_value *v = &s->values[i];
		apr_time_t age = (now - v->platform_heard) / 1000;

		said[i].version = v->version;
		said[i].digest = v->digest;
		said[i].platform_age_ms = SPREAD_PLATFORM_AGE_UNKNOWN;
		if (v->platform_heard && age < SPREAD_PLATFORM_AGE_UNKNOWN)
			said[i].platform_age_ms = (uint32_t)(age < 0 ? 0 : age);
	}
}

/* Notes the end of an exchange; what the peer said came by spread_merge_versions. */
void spread_finish_exchange(struct spread *s, const struct spread_action *a,
			    int ok, apr_time_t now)
{
	int i;

	for (i = 0; i < s->peer_count; i++) {
		if (!strcmp(s->peers[i].address, a->address))
			s->peers[i].busy = 0;
	}
	if (a->starting) {
		s->start_over++;
		s->start_replies += ok;
	}
	if (a->want >= 0)
		spread_finish_pull(&s->values[a->want], a->address, now);
}

/*
 * Returns 1 when this process may begin to serve: it holds a document, and
 * everybody it was to ask has answered or failed, so that a platform that
 * went back to an older revision can't take it back with it.
 */
int spread_is_ready(const struct spread *s, apr_time_t now)
{
	const struct spread_value *d = &s->values[SPREAD_DOCUMENT];
	const struct spread_value *l = &s->values[SPREAD_INSTANCES];
	int i;

	(void)now;
	if (!d->version || s->start_over < s->start_count)
		return 0;
	if (!l->version && !l->watch_answers)
		return 0;
	if (l->version && !s->members_asked && s->member_count > 1)
		return 0;
	for (i = 0; i < SPREAD_OFFERS_MAX; i++) {
		if (d->offers[i].version > d->version)
			return 0;
	}
	return 1;
}
