#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "calls/gate-internal.h"

/*
 * Finds out whether the upstream died when connections to it broke, and
 * which requests it was running then.
 */

#define LOST_RECENT_US (2 * APR_USEC_PER_SEC)
#define CHECK_TIMEOUT_MS 500
#define CHECK_PERIOD_US APR_USEC_PER_SEC

struct check {
	struct gate *g;
	struct fetch fetch;
	char url[SETTINGS_URL_SIZE + 16];
};

/* Returns -1 with the refusal when the request must not run here now. */
int gate_crash_admit(struct gate *g, const struct hop *h, apr_time_t now,
		     struct refusal *why)
{
	struct digest fp;
	int retry_after_s = 0;

	if (digest_parse(h->fingerprint, &fp) ||
	    crash_begin_run(g->crashes, &fp, g->n->settings.upstream_name, now,
			    &retry_after_s))
		return 0;
	refusal_set(why, 503, OUTCOME_NOT_RUN, AGAIN_SAME, "crashing-request",
		    "gate", "upstreams died while they ran this request");
	why->retry_after_ms = retry_after_s * 1000;
	return -1;
}

/* Ends what gate_crash_admit allowed. */
void gate_crash_request_finished(struct gate *g, const struct hop *h,
				 int finished)
{
	struct digest fp;

	if (!digest_parse(h->fingerprint, &fp))
		crash_end_run(g->crashes, &fp, g->n->settings.upstream_name,
			      finished, clock_now());
}

/* Takes the recent losses out of the ring.  The gate's mutex is held. */
static int losses_take(struct gate *g, apr_time_t now, struct digest *fps)
{
	int i, n = 0;

	for (i = 0; i < GATE_BROKEN_REQUESTS_MAX; i++) {
		if (!g->lost[i].at || now - g->lost[i].at > LOST_RECENT_US)
			continue;
		fps[n++] = g->lost[i].fingerprint;
		g->lost[i].at = 0;
	}
	return n;
}

/* Notes the boot that the upstream states.  Returns 1 if it is another. */
static int boot_changed(struct gate *g, const struct fetch *f)
{
	json_t *o = f->text ? json_loadb(f->text, f->text_size, 0, NULL) : NULL;
	const char *boot = json_string_value(json_object_get(o, "boot"));
	int changed = 0;

	if (boot) {
		changed = *g->upstream_boot &&
			  strcmp(boot, g->upstream_boot) != 0;
		snprintf(g->upstream_boot, sizeof(g->upstream_boot), "%s",
			 boot);
	}
	json_decref(o);
	return changed;
}

static void check_done(struct fetch *f)
{
	struct check *k = f->arg;
	struct gate *g = k->g;
	struct digest fps[GATE_BROKEN_REQUESTS_MAX];
	apr_time_t now = clock_now();
	uint64_t death = 0;
	int n = 0;

	pthread_mutex_lock(&g->mutex);
	g->checking = 0;
	if (f->error.code ? f->never_sent : boot_changed(g, f)) {
		g->reachable = !f->error.code;
		n = losses_take(g, now, fps);
		death = n ? ++g->deaths : 0;
	}
	pthread_mutex_unlock(&g->mutex);
	if (n) {
		log_warning("upstream-death", g->n->settings.upstream_name,
			    "died with %d requests in flight", n);
		crash_record_death(g->crashes, g->n->settings.upstream_name,
				   g->n->self.boot + death, fps, n, now);
	}
	free(f->text);
	free(k);
}

static void check_turn(void *arg, apr_time_t now)
{
	static const struct fetch_ops ops = { NULL, NULL, check_done };
	struct gate *g = arg;
	struct check *k;
	int checking;

	(void)now;
	pthread_mutex_lock(&g->mutex);
	checking = g->checking;
	g->checking = 1;
	pthread_mutex_unlock(&g->mutex);
	if (checking)
		return;
	k = calloc(1, sizeof(*k));
	if (!k)
		abort();
	k->g = g;
	snprintf(k->url, sizeof(k->url), "%s/running",
		 g->n->settings.upstream_url);
	k->fetch.ops = &ops;
	k->fetch.arg = k;
	k->fetch.url = k->url;
	k->fetch.timeout_ms = CHECK_TIMEOUT_MS;
	k->fetch.once = 1;
	fetch_submit(g->n->fetcher, &k->fetch);
}

/* Notes that the connection of a request broke, and looks why. */
void gate_crash_connection_lost(struct gate *g, const struct hop *h)
{
	apr_time_t now = clock_now();
	struct gate_broken_request *lost;

	pthread_mutex_lock(&g->mutex);
	lost = &g->lost[g->lost_next++ % GATE_BROKEN_REQUESTS_MAX];
	lost->at = digest_parse(h->fingerprint, &lost->fingerprint) ? 0 : now;
	pthread_mutex_unlock(&g->mutex);
	check_turn(g, now);
}

/* Adds the regular look at the upstream's boot. */
void gate_crash_start(struct gate *g)
{
	node_add_controller(g->n, "gate-boot", CHECK_PERIOD_US, check_turn, g);
}
