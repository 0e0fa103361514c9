#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "calls/gate-internal.h"

/*
 * Detects crashes of the upstream.  Its boot is fetched periodically and when a
 * connection breaks.  If the boot has changed, or the upstream accepts no
 * connection, the requests whose connections broke recently are recorded as in
 * flight at the crash.
 */

#define BROKEN_REQUEST_MAX_AGE_US (2 * APR_USEC_PER_SEC)
#define BOOT_CHECK_TIMEOUT_MS 500
#define BOOT_CHECK_PERIOD_US APR_USEC_PER_SEC

struct boot_check {
	struct gate *g;
	struct fetch fetch;
	char url[SETTINGS_URL_SIZE + 16];
};

/*
 * Returns -1 and fills in why when the request must not run here now, because
 * upstreams crashed while they ran it.
 */
int gate_crash_admit(struct gate *g, const struct hop *h, apr_time_t now,
		     struct refusal *why)
{
	struct digest fingerprint;
	int retry_after_s = 0;

	if (digest_parse(h->fingerprint, &fingerprint) ||
	    crash_begin_run(g->crashes, &fingerprint,
			    g->n->settings.upstream_name, now, &retry_after_s))
		return 0;
	refusal_set(why, 503, OUTCOME_NOT_RUN, AGAIN_SAME, "crashing-request",
		    "gate", "upstreams died while they ran this request");
	why->retry_after_ms = retry_after_s * 1000;
	return -1;
}

/* Ends a request that gate_crash_admit admitted. */
void gate_crash_request_finished(struct gate *g, const struct hop *h,
				 int finished)
{
	struct digest fingerprint;

	if (!digest_parse(h->fingerprint, &fingerprint))
		crash_end_run(g->crashes, &fingerprint,
			      g->n->settings.upstream_name, finished,
			      clock_now());
}

/*
 * Removes the entries of the ring that are recent, and copies their
 * fingerprints.  Returns their count.  The gate's mutex is held.
 */
static int collect_broken_requests(struct gate *g, apr_time_t now,
				   struct digest *fingerprints)
{
	int i, n = 0;

	for (i = 0; i < GATE_BROKEN_REQUESTS_MAX; i++) {
		if (!g->broken[i].broken_at ||
		    now - g->broken[i].broken_at > BROKEN_REQUEST_MAX_AGE_US)
			continue;
		fingerprints[n++] = g->broken[i].fingerprint;
		g->broken[i].broken_at = 0;
	}
	return n;
}

/*
 * Records the boot that the upstream reports.  Returns 1 if it differs from the
 * one reported before.
 */
static int update_upstream_boot(struct gate *g, const struct fetch *f)
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

static void on_boot_checked(struct fetch *f)
{
	struct boot_check *k = f->arg;
	struct gate *g = k->g;
	struct digest fingerprints[GATE_BROKEN_REQUESTS_MAX];
	apr_time_t now = clock_now();
	uint64_t crash_number = 0;
	int n = 0;

	pthread_mutex_lock(&g->mutex);
	g->is_checking_boot = 0;
	if (f->error.code ? f->never_sent : update_upstream_boot(g, f)) {
		g->is_reachable = !f->error.code;
		n = collect_broken_requests(g, now, fingerprints);
		crash_number = n ? ++g->upstream_crashes : 0;
	}
	pthread_mutex_unlock(&g->mutex);
	if (n) {
		log_warning("upstream-death", g->n->settings.upstream_name,
			    "upstream crashed with %d requests in flight; "
			    "recording their fingerprints",
			    n);
		crash_record_death(g->crashes, g->n->settings.upstream_name,
				   g->n->self.boot + crash_number, fingerprints,
				   n, now);
	}
	free(f->text);
	free(k);
}

static void boot_check_step(void *arg, apr_time_t now)
{
	static const struct fetch_ops ops = { NULL, NULL, on_boot_checked };
	struct gate *g = arg;
	struct boot_check *k;
	int checking;

	(void)now;
	pthread_mutex_lock(&g->mutex);
	checking = g->is_checking_boot;
	g->is_checking_boot = 1;
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
	k->fetch.timeout_ms = BOOT_CHECK_TIMEOUT_MS;
	k->fetch.text_max = GATE_TEXT_MAX;
	k->fetch.once = 1;
	fetch_submit(g->n->fetcher, &k->fetch);
}

/*
 * Records that the upstream connection of a request broke, and checks whether
 * the upstream restarted.
 */
void gate_crash_connection_lost(struct gate *g, const struct hop *h)
{
	apr_time_t now = clock_now();
	struct gate_broken_request *broken;

	pthread_mutex_lock(&g->mutex);
	broken = &g->broken[g->broken_next++ % GATE_BROKEN_REQUESTS_MAX];
	broken->broken_at =
		digest_parse(h->fingerprint, &broken->fingerprint) ? 0 : now;
	pthread_mutex_unlock(&g->mutex);
	boot_check_step(g, now);
}

/* Adds the periodic check of the upstream's boot. */
void gate_crash_start(struct gate *g)
{
	node_add_controller(g->n, "gate-boot", BOOT_CHECK_PERIOD_US,
			    boot_check_step, g);
}
