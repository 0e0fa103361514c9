#include "member/detect.h"

#include <stdio.h>
#include <string.h>

/* More than the exchange may take, by so much, means this process slept. */
#define OVERRUN_US (300 * 1000)

/* Direct word this fresh outweighs what others say. */
#define HEARSAY_US (1500 * 1000)

/* Difference of two estimates of when one boot began. */
#define BOOT_BEGAN_SLACK_US (200 * 1000)

/* Returns the name of a state for logs and JSON. */
const char *instance_state_name(enum instance_state s)
{
	switch (s) {
	case INSTANCE_LIVE:
		return "live";
	case INSTANCE_DRAINING:
		return "leaving";
	case INSTANCE_SUSPECT:
		return "suspect";
	case INSTANCE_DEAD:
		return "dead";
	}
	return "unknown";
}

/*
 * Returns 1 for a failed exchange that says nothing of the peer, as this
 * process was paused before its end.
 */
int evidence_is_invalid(const struct evidence *e, apr_time_t pause_end)
{
	if (e->kind == EVIDENCE_ANSWER || e->kind == EVIDENCE_OTHER_INSTANCE)
		return 0;
	if (e->started_at <= pause_end)
		return 1;
	return e->finished_at - e->started_at > e->max_duration + OVERRUN_US;
}

static void state_set(struct instance *row, enum instance_state state,
		      apr_time_t now)
{
	if (state == INSTANCE_DRAINING && !row->draining_since)
		row->draining_since = now;
	if (state == INSTANCE_DEAD && row->state != INSTANCE_DEAD)
		row->dead_since = now;
	if (state == INSTANCE_LIVE) {
		row->draining_since = 0;
		row->dead_since = 0;
	}
	row->state = state;
}

/* A boot is leaving for good: leaving wins over live. */
static int is_leaving(const struct instance *row)
{
	return row->draining_since &&
	       (!row->draining_boot || row->draining_boot == row->boot);
}

/* Takes over another boot of the same instance. */
static void boot_set(struct instance *row, uint64_t boot, uint32_t age_ms,
		     uint32_t incarnation, apr_time_t now)
{
	int leaving = row->draining_since && !row->draining_boot && !row->boot;

	row->previous_boot = row->boot;
	row->boot = boot;
	row->boot_started = now - (apr_time_t)age_ms * 1000;
	row->incarnation = incarnation;
	row->suspect_since = 0;
	if (leaving)
		row->draining_boot = boot; /* the list meant this one */
	else if (!is_leaving(row))
		state_set(row, INSTANCE_LIVE, now);
}

static void answer_take(struct instance *row, const struct evidence *e,
			apr_time_t now)
{
	if (row->boot != e->boot)
		boot_set(row, e->boot, e->boot_age_ms, e->incarnation, now);
	if (e->incarnation > row->incarnation)
		row->incarnation = e->incarnation;
	row->last_contact = e->finished_at;
	row->suspect_since = 0;
	if (e->is_draining)
		row->draining_boot = row->boot;
	if (e->is_draining || is_leaving(row))
		state_set(row, INSTANCE_DRAINING, now);
	else
		state_set(row, INSTANCE_LIVE, now);
}

/* Silent, but reachable by a fresh connection or not tried yet. */
static void silence_take(struct instance *row, const struct evidence *e,
			 apr_time_t pause_end, apr_time_t now)
{
	apr_time_t since;

	if (!row->suspect_since)
		row->suspect_since = e->started_at;
	if (row->state == INSTANCE_LIVE)
		state_set(row, INSTANCE_SUSPECT, now);
	since = row->suspect_since > pause_end ? row->suspect_since : pause_end;
	if (e->kind == EVIDENCE_RECONNECT_NO_ANSWER &&
	    now - since >= DEAD_AFTER_SILENT_US)
		state_set(row, INSTANCE_DEAD, now);
}

/*
 * Takes in the outcome of one exchange.  pause_end is when this process
 * was last found to have been paused, 0 for never.  Returns 1 when the
 * state or the boot changed.
 */
int instance_apply_evidence(struct instance *row, const struct evidence *e,
			    apr_time_t pause_end, apr_time_t now)
{
	enum instance_state before = row->state;
	uint64_t boot = row->boot;

	if (evidence_is_invalid(e, pause_end))
		return 0;
	switch (e->kind) {
	case EVIDENCE_ANSWER:
		answer_take(row, e, now);
		break;
	case EVIDENCE_NO_ANSWER:
	case EVIDENCE_RECONNECT_NO_ANSWER:
		if (row->last_contact < e->started_at) /* not heard of since */
			silence_take(row, e, pause_end, now);
		break;
	case EVIDENCE_RECONNECT_FAILED:
		if (row->last_contact < e->started_at)
			state_set(row, INSTANCE_DEAD, now);
		break;
	case EVIDENCE_OTHER_INSTANCE:
		state_set(row, INSTANCE_DEAD, now);
		break;
	}
	return row->state != before || row->boot != boot;
}

/*
 * Others say it is dead.  One heard from just now is only suspect: this
 * process tries it itself.
 */
static void death_take(struct instance *row, apr_time_t now)
{
	if (!row->last_contact || now - row->last_contact > HEARSAY_US) {
		state_set(row, INSTANCE_DEAD, now);
	} else if (row->state == INSTANCE_LIVE) {
		row->suspect_since = now;
		state_set(row, INSTANCE_SUSPECT, now);
	}
}

static void same_boot_fact(struct instance *row, const struct fact *f,
			   apr_time_t now)
{
	int newer = f->incarnation > row->incarnation;

	if (newer)
		row->incarnation = f->incarnation;
	switch (f->state) {
	case INSTANCE_DRAINING:
		row->draining_boot = row->boot;
		if (row->state != INSTANCE_DEAD || newer)
			state_set(row, INSTANCE_DRAINING, now);
		break;
	case INSTANCE_DEAD:
		if (f->incarnation >= row->incarnation)
			death_take(row, now);
		break;
	case INSTANCE_LIVE:
		if (!newer)
			break;
		row->suspect_since = 0;
		state_set(row,
			  is_leaving(row) ? INSTANCE_DRAINING : INSTANCE_LIVE,
			  now);
		break;
	case INSTANCE_SUSPECT:
		break;
	}
}

/*
 * Takes in what another process says.  Of two boots the one that began
 * later counts, so that late word of an old boot changes nothing.  Returns
 * 1 when the state or the boot changed, which is then worth passing on.
 */
int instance_apply_fact(struct instance *row, const struct fact *f,
			apr_time_t now)
{
	enum instance_state before = row->state;
	apr_time_t began = now - (apr_time_t)f->boot_age_ms * 1000;
	uint64_t boot = row->boot;

	if (!f->boot || f->boot == row->previous_boot)
		return 0;
	if (f->boot != row->boot) {
		if (row->boot &&
		    began < row->boot_started + BOOT_BEGAN_SLACK_US)
			return 0;
		boot_set(row, f->boot, f->boot_age_ms, f->incarnation, now);
	}
	same_boot_fact(row, f, now);
	return row->state != before || row->boot != boot;
}

static void copy(char *to, size_t size, const char *from)
{
	snprintf(to, size, "%s", from);
}

/* Makes a row of an instance that only others have told of so far. */
void instance_init_from_fact(struct instance *row, const struct fact *f,
			     apr_time_t now)
{
	memset(row, 0, sizeof(*row));
	copy(row->id, sizeof(row->id), f->id);
	copy(row->data_center, sizeof(row->data_center), f->data_center);
	copy(row->address, sizeof(row->address), f->address);
	copy(row->upstream, sizeof(row->upstream), f->upstream);
	row->role = f->role;
	row->unlisted_since = now;
	row->boot = f->boot;
	row->boot_started = now - (apr_time_t)f->boot_age_ms * 1000;
	row->incarnation = f->incarnation;
	if (f->state == INSTANCE_DRAINING)
		row->draining_boot = f->boot;
	state_set(row, f->state, now);
}

/* Fills in what to say of a row. */
void fact_from_instance(struct fact *f, const struct instance *row,
			apr_time_t now)
{
	apr_time_t age = (now - row->boot_started) / 1000;

	memset(f, 0, sizeof(*f));
	copy(f->id, sizeof(f->id), row->id);
	copy(f->data_center, sizeof(f->data_center), row->data_center);
	copy(f->address, sizeof(f->address), row->address);
	copy(f->upstream, sizeof(f->upstream), row->upstream);
	f->role = row->role;
	f->boot = row->boot;
	f->boot_age_ms = age < 0	    ? 0
			 : age > UINT32_MAX ? UINT32_MAX
					    : (uint32_t)age;
	f->incarnation = row->incarnation;
	f->state = row->state;
}
