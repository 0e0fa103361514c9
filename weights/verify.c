#include "weights/engine.h"

#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/metric.h"

/*
 * Reads all staged chunks back right before the order to load them, where
 * the engine takes whatever lies there.  Spoilt ones are fetched again.
 */

#define READS_MAX 8		      /* under way */
#define VERIFIED_FOR_US (1500 * 1000) /* an order may follow for so long */

static void reads_begin(struct weights *w, struct handle h,
			struct model_row *m);

static void read_done(struct fetch *f)
{
	struct engine_call *x = f->arg;
	struct weights *w = x->w;
	struct model_row *m;
	int good = engine_read_is_valid(x);

	table_lock(&w->models);
	m = table_get(&w->models, x->model);
	if (m && m->swarm_id == x->swarm_id && m->verify.running) {
		m->verify.pending--;
		if (!good) {
			m->verify.bad++;
			swarm_mark_lost(m->swarm, &x->digest);
		}
		reads_begin(w, x->model, m);
	}
	table_unlock(&w->models);
	engine_call_free(x);
}

static void read_begin(struct weights *w, struct handle h, struct model_row *m,
		       uint32_t chunk)
{
	struct engine_call *x = engine_read_new(w, h, m, chunk, read_done);

	m->verify.pending++;
	fetch_submit(w->node->fetcher, &x->fetch);
}

static void verify_end(struct weights *w, struct model_row *m)
{
	m->verify.running = 0;
	m->verify.good = !m->verify.bad;
	if (!m->verify.bad)
		return;
	metric_count("weights_corrupt_chunks", "staged",
		     (uint64_t)m->verify.bad);
	log_warning("verify", m->name,
		    "%d staged chunks of version %.12s have spoilt",
		    m->verify.bad, m->version_hex);
	(void)w;
}

static void reads_begin(struct weights *w, struct handle h, struct model_row *m)
{
	while (m->verify.pending < READS_MAX &&
	       m->verify.next < m->swarm->chunk_count)
		read_begin(w, h, m, m->verify.next++);
	if (!m->verify.pending)
		verify_end(w, m);
}

/*
 * Returns 1 when all staged chunks were found good a moment ago; begins to
 * read them back when not.  Locked.
 */
int weights_is_staging_verified(struct weights *w, struct handle h,
				struct model_row *m, apr_time_t now)
{
	if (m->verify.running)
		return 0;
	if (m->verify.good && m->verify.swarm_id == m->swarm_id &&
	    now - m->verify.began < VERIFIED_FOR_US)
		return 1;
	memset(&m->verify, 0, sizeof(m->verify));
	m->verify.swarm_id = m->swarm_id;
	m->verify.running = 1;
	m->verify.began = now;
	reads_begin(w, h, m);
	return 0;
}
