#include "member/detect.h"

#include <stdio.h>
#include <string.h>

/*
 * An exchange that exceeds its maximum duration by this much shows that
 * this process was paused.
 */
#define PAUSE_OVERRUN_US (300 * 1000)

/*
 * Time for which a message received from an instance outweighs a report by
 * others that it is dead.
 */
#define DIRECT_CONTACT_VALID_US (1500 * 1000)

/*
 * Maximum difference between two estimates of one boot's start time.  A boot
 * counts as later than another one only if its start is later by this much.
 */
#define BOOT_STARTED_TOLERANCE_US (200 * 1000)

/*
 * Silence after which an instance loses its position among the others.  Most
 * pauses of a process are shorter.
 */
#define PRESENT_SILENCE_MAX_US (3 * APR_USEC_PER_SEC)

/*
 * Returns 1 for a live instance, and for a suspect that may just be paused: its
 * tasks stay with it, since whoever takes them over has to begin anew.
 */
int instance_is_present(const struct instance *row, apr_time_t now)
{
	return row->state == INSTANCE_LIVE ||
	       (row->state == INSTANCE_SUSPECT &&
		now - row->suspect_since < PRESENT_SILENCE_MAX_US);
}

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
 * Returns 1 for a failed exchange that is no evidence against the peer
 * because this process was paused before the exchange finished.
 */
int evidence_is_invalid(const struct evidence *e, apr_time_t pause_end)
{
	if (e->kind == EVIDENCE_ANSWER || e->kind == EVIDENCE_OTHER_INSTANCE)
		return 0;
	if (e->started_at <= pause_end)
		return 1;
	return e->finished_at - e->started_at >
	       e->max_duration + PAUSE_OVERRUN_US;
}

static void set_state(struct instance *row, enum instance_state state,
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

/* Draining is final for a boot: it takes precedence over live. */
static int is_boot_draining(const struct instance *row)
{
	return row->draining_since &&
	       (!row->draining_boot || row->draining_boot == row->boot);
}

/* Replaces the boot in the row by another boot of the same instance. */
static void set_boot(struct instance *row, uint64_t boot, uint32_t age_ms,
		     uint32_t incarnation, apr_time_t now)
{
	int applies_to_boot =
		row->draining_since && !row->draining_boot && !row->boot;

	row->previous_boot = row->boot;
	row->boot = boot;
	row->boot_started = now - (apr_time_t)age_ms * 1000;
	row->incarnation = incarnation;
	row->suspect_since = 0;
	if (applies_to_boot)
		row->draining_boot = boot; /* the list referred to this boot */
	else if (!is_boot_draining(row))
		set_state(row, INSTANCE_LIVE, now);
}

static void apply_answer(struct instance *row, const struct evidence *e,
			 apr_time_t now)
{
	if (row->boot != e->boot)
		set_boot(row, e->boot, e->boot_age_ms, e->incarnation, now);
	if (e->incarnation > row->incarnation)
		row->incarnation = e->incarnation;
	row->last_contact = e->finished_at;
	row->suspect_since = 0;
	if (e->is_draining)
		row->draining_boot = row->boot;
	if (e->is_draining || is_boot_draining(row))
		set_state(row, INSTANCE_DRAINING, now);
	else
		set_state(row, INSTANCE_LIVE, now);
}

/* The peer is silent, but no new connection to it has failed to open. */
static void apply_silence(struct instance *row, const struct evidence *e,
			  apr_time_t pause_end, apr_time_t now)
{
	apr_time_t since;

	if (!row->suspect_since)
		row->suspect_since = e->started_at;
	if (row->state == INSTANCE_LIVE)
		set_state(row, INSTANCE_SUSPECT, now);
	since = row->suspect_since > pause_end ? row->suspect_since : pause_end;
	if (e->kind == EVIDENCE_RECONNECT_NO_ANSWER &&
	    now - since >= DEAD_AFTER_SILENT_US)
		set_state(row, INSTANCE_DEAD, now);
}

/*
 * Applies the result of one exchange to a row.  pause_end is when the last
 * pause of this process was detected, 0 for never.  Returns 1 when the
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
		apply_answer(row, e, now);
		break;
	case EVIDENCE_NO_ANSWER:
	case EVIDENCE_RECONNECT_NO_ANSWER:
		if (row->last_contact < e->started_at) /* no message since */
			apply_silence(row, e, pause_end, now);
		break;
	case EVIDENCE_RECONNECT_FAILED:
		if (row->last_contact < e->started_at)
			set_state(row, INSTANCE_DEAD, now);
		break;
	case EVIDENCE_OTHER_INSTANCE:
		set_state(row, INSTANCE_DEAD, now);
		break;
	}
	return row->state != before || row->boot != boot;
}

/*
 * Applies a report by others that the instance is dead.  If this process
 * received a message from it recently, the instance becomes suspect only
 * and this process checks it itself.
 */
static void apply_reported_death(struct instance *row, apr_time_t now)
{
	if (!row->last_contact ||
	    now - row->last_contact > DIRECT_CONTACT_VALID_US) {
		set_state(row, INSTANCE_DEAD, now);
	} else if (row->state == INSTANCE_LIVE) {
		row->suspect_since = now;
		set_state(row, INSTANCE_SUSPECT, now);
	}
}

static void apply_same_boot_fact(struct instance *row, const struct fact *f,
				 apr_time_t now)
{
	int is_newer = f->incarnation > row->incarnation;

	if (is_newer)
		row->incarnation = f->incarnation;
	switch (f->state) {
	case INSTANCE_DRAINING:
		row->draining_boot = row->boot;
		if (row->state != INSTANCE_DEAD || is_newer)
			set_state(row, INSTANCE_DRAINING, now);
		break;
	case INSTANCE_DEAD:
		if (f->incarnation >= row->incarnation)
			apply_reported_death(row, now);
		break;
	case INSTANCE_LIVE:
		if (!is_newer)
			break;
		row->suspect_since = 0;
		set_state(row,
			  is_boot_draining(row) ? INSTANCE_DRAINING
						: INSTANCE_LIVE,
			  now);
		break;
	case INSTANCE_SUSPECT:
		break;
	}
}

/*
 * Applies a fact reported by another process.  Of two boots the one that
 * started later counts, so that a delayed fact about an old boot changes
 * nothing.  Returns 1 when the state or the boot changed; the caller then
 * forwards the change to its neighbours.
 */
int instance_apply_fact(struct instance *row, const struct fact *f,
			apr_time_t now)
{
	enum instance_state before = row->state;
	apr_time_t boot_started = now - (apr_time_t)f->boot_age_ms * 1000;
	uint64_t boot = row->boot;

	if (!f->boot || f->boot == row->previous_boot)
		return 0;
	if (f->boot != row->boot) {
		if (row->boot &&
		    boot_started <
			    row->boot_started + BOOT_STARTED_TOLERANCE_US)
			return 0;
		set_boot(row, f->boot, f->boot_age_ms, f->incarnation, now);
	}
	apply_same_boot_fact(row, f, now);
	return row->state != before || row->boot != boot;
}

static void copy_string(char *to, size_t size, const char *from)
{
	snprintf(to, size, "%s", from);
}

/*
 * Initializes the row of an instance that is known only from facts of other
 * processes.
 */
void instance_init_from_fact(struct instance *row, const struct fact *f,
			     apr_time_t now)
{
	memset(row, 0, sizeof(*row));
	copy_string(row->id, sizeof(row->id), f->id);
	copy_string(row->data_center, sizeof(row->data_center), f->data_center);
	copy_string(row->address, sizeof(row->address), f->address);
	copy_string(row->upstream, sizeof(row->upstream), f->upstream);
	row->role = f->role;
	row->unlisted_since = now;
	row->boot = f->boot;
	row->boot_started = now - (apr_time_t)f->boot_age_ms * 1000;
	row->incarnation = f->incarnation;
	if (f->state == INSTANCE_DRAINING)
		row->draining_boot = f->boot;
	set_state(row, f->state, now);
}

/* Fills in the fact that describes a row; the boot's age is in ms. */
void fact_from_instance(struct fact *f, const struct instance *row,
			apr_time_t now)
{
	apr_time_t age = (now - row->boot_started) / 1000;

	memset(f, 0, sizeof(*f));
	copy_string(f->id, sizeof(f->id), row->id);
	copy_string(f->data_center, sizeof(f->data_center), row->data_center);
	copy_string(f->address, sizeof(f->address), row->address);
	copy_string(f->upstream, sizeof(f->upstream), row->upstream);
	f->role = row->role;
	f->boot = row->boot;
	f->boot_age_ms = age < 0	    ? 0
			 : age > UINT32_MAX ? UINT32_MAX
					    : (uint32_t)age;
	f->incarnation = row->incarnation;
	f->state = row->state;
}
