#include "base/clock.h"
#include "base/metric.h"
#include "config/component.h"
#include "config/config_proto.h"
#include "config/declared.h"

/* Timeout of a request for the ages of releases. */
#define AGES_TIMEOUT_MS 250

/* Peers that are asked for them until one answers, beside the sender. */
#define AGES_PEERS_MAX 2

/*
 * Asks a peer how long ago the releases of a document were declared.  Returns
 * -1 if it does not answer; a peer of an older build does not know the question.
 */
static int ask_ages(struct config *c, struct document *d, const char *peer)
{
	config_ages_request req = { d->revision };
	struct error err = ERROR_INIT;
	apr_time_t asked_at = clock_now();
	config_ages_reply rep;

	if (rpc_exchange(c->node->rpc, peer, c->node->settings.rpc_port,
			 &config_kinds[KIND_AGES], &req, &rep, AGES_TIMEOUT_MS,
			 &err)) {
		metric_count("config_ages_failures", NULL, 1);
		return -1;
	}
	document_set_ages(d, &rep, asked_at);
	xdr_free((xdrproc_t)xdr_config_ages_reply, &rep);
	return 0;
}

/*
 * Completes a document with the times that a peer tells.  The one that sent it
 * is asked first; NULL if it comes from the platform.  Others are asked until
 * one answers.
 */
void config_fetch_ages(struct config *c, struct document *d, const char *sender)
{
	char peers[AGES_PEERS_MAX][SETTINGS_ADDRESS_SIZE];
	int count, i;

	if (sender && !ask_ages(c, d, sender))
		return;
	pthread_mutex_lock(&c->mutex);
	count = spread_pick_peers(&c->spread, sender, peers, AGES_PEERS_MAX,
				  &c->random);
	pthread_mutex_unlock(&c->mutex);
	for (i = 0; i < count; i++)
		if (!ask_ages(c, d, peers[i]))
			return;
}
