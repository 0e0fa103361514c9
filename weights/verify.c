#include "weights/engine.h"

#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/metric.h"

/*
 * Verifies all staged chunks right before the order to load them, for engines
 * that load staged bytes without a check. Corrupt chunks are fetched again.
 */

#define READS_MAX 8			    /* reads in flight */
#define VERIFICATION_VALID_US (1500 * 1000) /* until the order is sent */

static void start_reads(struct weights *w, struct handle h,
			struct model_row *m);

static void read_done(struct fetch *f)
{
	struct engine_call *x = f->arg;
	struct weights *w = x->w;
	struct model_row *m;
	int is_valid = engine_read_is_valid(x);

	table_lock(&w->models);
	m = table_get(&w->models, x->model);
	if (m && m->swarm_id == x->swarm_id && m->verify.is_running) {
		m->verify.reads_in_flight--;
		if (!is_valid) {
			m->verify.corrupt_count++;
			swarm_mark_lost(m->swarm, &x->digest);
		}
		start_reads(w, x->model, m);
	}
	table_unlock(&w->models);
	engine_call_free(x);
}

static void start_read(struct weights *w, struct handle h, struct model_row *m,
		       uint32_t chunk)
{
	struct engine_call *x = engine_read_new(w, h, m, chunk, read_done);

	m->verify.reads_in_flight++;
	fetch_submit(w->node->fetcher, &x->fetch);
}

static void finish_verification(struct weights *w, struct model_row *m)
{
	m->verify.is_running = 0;
	m->verify.is_valid = !m->verify.corrupt_count;
	if (!m->verify.corrupt_count)
		return;
	metric_count("weights_corrupt_chunks", "staged",
		     (uint64_t)m->verify.corrupt_count);
	log_warning("verify", m->name,
		    "%d staged chunks of version %.12s are corrupt; "
		    "fetching them again",
		    m->verify.corrupt_count, m->version_hex);
	(void)w;
}

static void start_reads(struct weights *w, struct handle h, struct model_row *m)
{
	while (m->verify.reads_in_flight < READS_MAX &&
	       m->verify.next_chunk < m->swarm->chunk_count)
		start_read(w, h, m, m->verify.next_chunk++);
	if (!m->verify.reads_in_flight)
		finish_verification(w, m);
}

/*
 * Returns 1 if all staged chunks were verified within VERIFICATION_VALID_US;
 * otherwise starts a verification. The caller holds the lock of the models.
 */
int weights_is_staging_verified(struct weights *w, struct handle h,
				struct model_row *m, apr_time_t now)
{
	if (m->verify.is_running)
		return 0;
	if (m->verify.is_valid && m->verify.swarm_id == m->swarm_id &&
	    now - m->verify.started_at < VERIFICATION_VALID_US)
		return 1;
	memset(&m->verify, 0, sizeof(m->verify));
	m->verify.swarm_id = m->swarm_id;
	m->verify.is_running = 1;
	m->verify.started_at = now;
	start_reads(w, h, m);
	return 0;
}
