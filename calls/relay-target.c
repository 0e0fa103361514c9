#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "base/clock.h"
#include "calls/entry-internal.h"
#include "calls/home.h"

#define RETRY_AFTER_MS 200

/* Chooses by load, affinity and health.  Returns the row, or -1 and *why. */
static int choose_row_by_load(struct relay *r, struct refusal *why)
{
	struct entry *e = r->e;
	struct route_query q = { 0 };
	struct route_choice choice;
	apr_time_t now = clock_now();
	int i;

	q.class = r->class;
	q.version = r->kind == UPSTREAM_MODEL ? r->version : NULL;
	q.is_version_required = r->is_version_required;
	q.min_version_share = r->min_version_share;
	q.affinity = r->affinity;
	for (i = 0; i < r->attempted_agent_count; i++)
		q.excluded[q.excluded_count++] = r->attempted_agents[i];
	if (relay_check_quarantine(r, now, why))
		return -1;
	pthread_mutex_lock(&e->mutex);
	relay_choose_upstream(r, &q, now, &choice);
	if (choice.index >= 0)
		explain_add_step(&r->explain, now, "%s of %d, wait %.1f ms%s",
				 e->routes.rows[choice.index].instance,
				 choice.eligible_count,
				 choice.estimated_wait_us / 1000,
				 choice.is_affine ? ", affine" : "");
	pthread_mutex_unlock(&e->mutex);
	if (choice.index < 0) {
		explain_add_step(&r->explain, now, "no upstream: %s",
				 choice.reason);
		refusal_set(why, 503, OUTCOME_NOT_RUN, AGAIN_SAME,
			    choice.reason, "route", "no upstream can take it");
		why->retry_after_ms = RETRY_AFTER_MS;
		return -1;
	}
	if (r->kind == UPSTREAM_MODEL)
		snprintf(r->version, sizeof(r->version), "%s", choice.version);
	r->needs_new_connection = choice.needs_new_connection;
	r->is_affine = choice.is_affine;
	return choice.index;
}

/* Returns the row of an instance, or -1. */
static int find_row(struct entry *e, const char *instance)
{
	struct route_upstream *u;
	int i;

	pthread_mutex_lock(&e->mutex);
	u = route_find(&e->routes, instance);
	i = u ? (int)(u - e->routes.rows) : -1;
	pthread_mutex_unlock(&e->mutex);
	return i;
}

/* Returns the row of the key's home agent, or -1 with the refusal. */
static int find_home_row(struct relay *r, struct refusal *why)
{
	struct home_agent *agents = calloc(HOME_AGENTS_MAX, sizeof(*agents));
	struct document *d = board_document(&r->e->n->board);
	const struct service_spec *s =
		d ? document_find_service(d, r->name) : NULL;
	int n = 0, home = -1, row = -1;

	if (!agents)
		abort();
	if (s)
		n = home_list_agents(&r->e->n->board, s, agents,
				     HOME_AGENTS_MAX);
	if (n <= HOME_AGENTS_MAX)
		home = home_pick(agents, n, r->ticket.identity);
	if (home >= 0) {
		snprintf(r->ticket.agent, sizeof(r->ticket.agent), "%s",
			 agents[home].id);
		row = find_row(r->e, agents[home].id);
		explain_add_step(&r->explain, clock_now(),
				 "home of the key: %s", agents[home].id);
	}
	if (row < 0) {
		refusal_set(why, 503, OUTCOME_NOT_RUN, AGAIN_SAME,
			    "home-unreachable", "route",
			    "the one agent that may run this key is not there");
		why->retry_after_ms = RETRY_AFTER_MS;
	}
	free(agents);
	if (d)
		document_unref(d);
	return row;
}

static int find_ticket_row(struct relay *r, struct refusal *why)
{
	int row = find_row(r->e, r->ticket.agent);

	explain_add_step(&r->explain, clock_now(), "bound by its ticket to %s",
			 r->ticket.agent);
	if (row < 0) {
		refusal_set(why, 502, OUTCOME_UNKNOWN, AGAIN_CHECK,
			    "agent-gone", "route",
			    "the agent that the ticket names is not there");
		why->scope = SCOPE_KEY;
	}
	return row;
}

/* Mints a ticket for a call whose caller sent none. */
void relay_mint_ticket(struct relay *r, const struct route_upstream *u)
{
	snprintf(r->ticket.agent, sizeof(r->ticket.agent), "%s", u->instance);
	snprintf(r->ticket.account, sizeof(r->ticket.account), "%s",
		 r->account);
	snprintf(r->ticket.service, sizeof(r->ticket.service), "%s", r->name);
	r->ticket.boot = u->boot;
	r->ticket.expiry = (uint64_t)time(NULL) +
			   (uint64_t)(*r->idempotency_key ? r->lifetime_s
							  : TICKET_LIFETIME_S);
	if (!*r->idempotency_key)
		ticket_set_random_identity(&r->ticket);
	ticket_mint(&r->ticket, r->e->n->self.keys.current, r->ticket_text);
}

/*
 * Chooses the upstream of the next attempt: the agent of the caller's ticket,
 * the home agent of its key, or else by load.  Returns the row, or -1 with the
 * refusal.
 */
int relay_choose_row(struct relay *r, struct refusal *why)
{
	if (r->is_repeatable)
		return choose_row_by_load(r, why);
	if (r->has_caller_ticket)
		return find_ticket_row(r, why);
	if (*r->idempotency_key) {
		snprintf(r->ticket.account, sizeof(r->ticket.account), "%s",
			 r->account);
		snprintf(r->ticket.service, sizeof(r->ticket.service), "%s",
			 r->name);
		ticket_set_key_identity(&r->ticket, r->idempotency_key);
		return find_home_row(r, why);
	}
	return choose_row_by_load(r, why);
}
