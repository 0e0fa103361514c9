#include <stdlib.h>
#include <string.h>

#include "base/metric.h"
#include "calls/crash-table.h"

/*
 * Blame of items: of a request itself and of the parts of its prompt.
 *
 * A death adds one row for each item in flight at it.  A sound answer clears
 * the deaths of its items so far.  Entries tell each other of sound answers only
 * if these cleared a death.  Blames and acquittals are counted (turns), and the
 * higher count wins.
 *
 * Times are sent as ages and so become later with each message.  Deaths and
 * sound answers are therefore named, and keep the earliest time that each was
 * told with.
 */

#define US_PER_MS 1000
/* Two entries' times of sending may differ by this without a message. */
#define RUN_STEP_US (20 * US_PER_MS)
#define DEATH_STEP_US APR_USEC_PER_SEC
#define IDLE_STEP_US (10 * APR_USEC_PER_SEC)
#define SOUND_UNIT_US (16 * US_PER_MS)

static uint64_t *find_sound_slot(struct crash_list *c, const unsigned char *key,
				 uint32_t *tag)
{
	uint32_t index;

	memcpy(&index, key + 4, sizeof(index));
	memcpy(tag, key + 8, sizeof(*tag));
	return &c->sound[index % CRASH_SOUND_SLOTS];
}

static void remember_sound(struct crash_list *c, const unsigned char *key,
			   apr_time_t now)
{
	uint32_t tag, time = (uint32_t)(now / SOUND_UNIT_US);
	uint64_t *slot = find_sound_slot(c, key, &tag);
	uint64_t value = (uint64_t)tag << 32 | time;
	uint64_t old = __atomic_load_n(slot, __ATOMIC_RELAXED);

	if (old >> 32 != tag || old < value)
		__atomic_store_n(slot, value, __ATOMIC_RELAXED);
}

/* Returns the time of the last sound answer remembered here, or 0. */
static apr_time_t recall_sound(struct crash_list *c, const unsigned char *key)
{
	uint32_t tag;
	uint64_t *slot = find_sound_slot(c, key, &tag);
	uint64_t value = __atomic_load_n(slot, __ATOMIC_RELAXED);

	if (value >> 32 != tag)
		return 0;
	return (apr_time_t)(uint32_t)value * SOUND_UNIT_US;
}

static int is_item_expired(const struct crash_row *r, apr_time_t now)
{
	apr_time_t last = crash_last_death(r);

	if (r->changed_at > last)
		last = r->changed_at;
	if (!r->turns && !r->death_count)
		return now - last > CRASH_EMPTY_US;
	if (!crash_is_blamed(r))
		return now - last > CRASH_SUSPICION_US;
	if (r->refused_at > last)
		last = r->refused_at;
	return now >= r->refused_until && now - last > CRASH_BLAME_IDLE_US;
}

static void publish_item(struct crash_list *c, struct crash_row *r,
			 apr_time_t now)
{
	r->changed_at = now;
	crash_publish(c, r);
}

/* Notes a sound answer at this entry, of which the others don't know. */
static void note_own_sound(struct crash_list *c, struct crash_row *r,
			   apr_time_t at)
{
	uint64_t id[3] = { c->self, at, 0 };

	memcpy(&id[2], r->key, sizeof(id[2]));
	r->sound = place_hash(id, sizeof(id), 0) | 1;
	r->sound_at = r->own_sound_at = at;
	r->is_sound_told = 0;
}

/* Returns the item's row, added if need be, or NULL if there is no room. */
static struct crash_row *get_row(struct crash_list *c, const unsigned char *key,
				 uint64_t account, int place, apr_time_t now)
{
	struct handle h;
	struct crash_row *r = crash_find(c, key, &h);
	apr_time_t sound_at;

	if (r)
		return r;
	r = crash_add(c, key, account, now);
	if (!r)
		return NULL;
	r->place = place;
	r->changed_at = now;
	sound_at = recall_sound(c, key);
	if (sound_at)
		note_own_sound(c, r, sound_at);
	return r;
}

/* Returns the earliest time that this event was told with. */
static apr_time_t correct_time(struct crash_list *c, uint64_t id, apr_time_t at)
{
	struct crash_event *e = &c->events[id % CRASH_EVENT_SLOTS];

	if (e->id == id && e->at < at)
		return e->at;
	e->id = id;
	e->at = at;
	return at;
}

static apr_time_t correct_death_time(struct crash_list *c, uint64_t upstream,
				     uint64_t boot, apr_time_t died_at)
{
	uint64_t pair[2] = { upstream, boot };

	return correct_time(c, place_hash(pair, sizeof(pair), 0), died_at);
}

/* Returns the slot for one more death, or NULL if the row keeps its own. */
static struct crash_seen_death *choose_death_slot(struct crash_row *r,
						  apr_time_t died_at)
{
	struct crash_seen_death *d, *oldest = r->deaths;

	if (r->death_count < CRASH_DEATHS_MAX)
		return &r->deaths[r->death_count++];
	for (d = r->deaths; d < r->deaths + r->death_count; d++)
		if (d->died_at < oldest->died_at)
			oldest = d;
	/* Others send a death again that was dropped; it seems later then. */
	return oldest->died_at + DEATH_STEP_US < died_at ? oldest : NULL;
}

/* Adds a death or what is new about it.  Returns 1 if anything was. */
static int merge_death(struct crash_row *r, const struct crash_seen_death *in)
{
	struct crash_seen_death *d;

	for (d = r->deaths; d < r->deaths + r->death_count; d++) {
		if (d->upstream != in->upstream || d->boot != in->boot)
			continue;
		if (in->died_at < d->died_at)
			d->died_at = in->died_at;
		if (in->run + RUN_STEP_US > d->run)
			return 0;
		d->run = in->run;
		return 1;
	}
	d = choose_death_slot(r, in->died_at);
	if (!d)
		return 0;
	*d = *in;
	return 1;
}

/* Drops the deaths up to this time.  Returns their number. */
static int drop_deaths(struct crash_row *r, apr_time_t until)
{
	int i, kept = 0, dropped;

	for (i = 0; i < r->death_count; i++)
		if (r->deaths[i].died_at > until)
			r->deaths[kept++] = r->deaths[i];
	dropped = r->death_count - kept;
	r->death_count = kept;
	return dropped;
}

/* Makes the list judge until the news of now are settled. */
static void expect_judgement(struct crash_list *c, apr_time_t now)
{
	if (c->judge_until < now + 2 * CRASH_SETTLE_SOUND_US)
		c->judge_until = now + 2 * CRASH_SETTLE_SOUND_US;
}

static void blame(struct crash_list *c, struct crash_row *r,
		  apr_interval_time_t length, apr_time_t now)
{
	r->turns += crash_is_blamed(r) ? 2 : 1;
	r->refused_until = now + length;
	r->trial_at = 0;
	publish_item(c, r, now);
	__atomic_add_fetch(&c->blames, 1, __ATOMIC_RELAXED);
	metric_count("crash_blamed", NULL, 1);
}

/* Forgets which deaths blamed items explain; the next judgement finds out. */
static void forget_explained(struct crash_list *c, apr_time_t now)
{
	struct handle h = HANDLE_NONE;
	struct crash_row *r;
	int i;

	while ((r = table_next(&c->rows, &h)))
		for (i = 0; i < r->death_count; i++)
			r->deaths[i].is_explained = 0;
	expect_judgement(c, now);
}

/* Ends a blame, or a later turn of another entry that did. */
static void end_blame(struct crash_list *c, struct crash_row *r, apr_time_t now)
{
	r->turns += crash_is_blamed(r);
	r->refused_until = r->trial_at = 0;
	r->failed_trials = r->death_count = 0;
	forget_explained(c, now);
	metric_count("crash_acquitted", NULL, 1);
}

/* Clears the deaths up to a sound answer here. */
static void clear_row(struct crash_list *c, struct crash_row *r,
		      apr_time_t ended_at, apr_time_t now)
{
	int is_new = !r->sound;

	if (ended_at > r->sound_at)
		note_own_sound(c, r, ended_at);
	is_new |= drop_deaths(r, ended_at) > 0;
	if (crash_is_blamed(r) && !r->death_count) {
		end_blame(c, r, now);
		is_new = 1;
	} else if (r->was_suspect && !r->death_count) {
		metric_count("crash_acquitted", NULL, 1);
	}
	r->was_suspect &= r->death_count > 0;
	if (!is_new)
		return;
	r->is_sound_told = 1;
	publish_item(c, r, now);
}

/*
 * Records a complete, sound answer to a request with these items, which ended
 * at now or, if that was found out late, before.
 */
void crash_record_sound(struct crash_list *c, const struct crash_items *s,
			apr_time_t now)
{
	struct crash_row *r;
	struct handle h;
	int i;

	for (i = 0; i < s->count; i++)
		remember_sound(c, s->keys[i].bytes, now);
	if (!__atomic_load_n(&c->row_count, __ATOMIC_RELAXED))
		return;
	table_lock(&c->rows);
	for (i = 0; i < s->count; i++) {
		r = crash_find(c, s->keys[i].bytes, &h);
		if (r)
			clear_row(c, r, now, now);
	}
	table_unlock(&c->rows);
}

/* Returns a hash of the request that has these items, or 0. */
static uint64_t find_request(const struct crash_items *s)
{
	uint64_t hash = 0;
	int i;

	for (i = 0; i < s->count; i++)
		if (s->kinds[i] == CRASH_ITEM_REQUEST)
			memcpy(&hash, s->keys[i].bytes, sizeof(hash));
	return hash;
}

static apr_time_t choose_death_time(const struct crash_run *run, apr_time_t now)
{
	return run->broken_at >= run->sent_at && run->broken_at &&
			       run->broken_at <= now
		       ? run->broken_at
		       : now;
}

/*
 * Records the runs that the death of an upstream ended here.  boot identifies
 * the process that died; all entries must pass the same.
 */
void crash_record_runs(struct crash_list *c, const char *upstream,
		       uint64_t boot, const struct crash_run *runs, int count,
		       apr_time_t now)
{
	struct crash_seen_death d;
	const struct crash_items *s;
	struct crash_row *r;
	int i, j;

	memset(&d, 0, sizeof(d));
	d.upstream = place_hash_string(upstream, 0);
	d.boot = boot;
	d.learned_at = now;
	if (!count)
		return;
	metric_count("crash_deaths", NULL, 1);
	table_lock(&c->rows);
	for (i = 0; i < count; i++) {
		s = &runs[i].items;
		d.request = find_request(s);
		d.run = choose_death_time(&runs[i], now) - runs[i].sent_at;
		d.died_at = correct_death_time(c, d.upstream, boot,
					       runs[i].sent_at + d.run);
		for (j = 0; j < s->count; j++) {
			r = get_row(c, s->keys[j].bytes, s->account,
				    s->kinds[j] == CRASH_ITEM_REQUEST ? 0
								      : j + 1,
				    now);
			if (!r)
				continue;
			if (merge_death(r, &d))
				publish_item(c, r, now);
			if (crash_is_trial_due(r, now) &&
			    runs[i].sent_at >= r->refused_until) {
				r->failed_trials++;
				blame(c, r,
				      CRASH_QUARANTINE_US << r->failed_trials,
				      now);
			}
		}
	}
	expect_judgement(c, now);
	table_unlock(&c->rows);
}

/* Takes over a later blame or acquittal.  Returns 1 if it was later. */
static int merge_turns(struct crash_list *c, struct crash_row *r,
		       const struct crash_record *in, apr_time_t now)
{
	int was_blamed = crash_is_blamed(r);

	if (in->turns <= r->turns)
		return 0;
	r->turns = in->turns;
	r->failed_trials = in->failed_trials;
	r->trial_at = 0;
	r->refused_until = now + (apr_time_t)in->refused_ms * US_PER_MS;
	if (crash_is_blamed(r)) {
		__atomic_add_fetch(&c->blames, 1, __ATOMIC_RELAXED);
		expect_judgement(c, now);
	} else if (was_blamed) {
		end_blame(c, r, now);
	}
	return 1;
}

/* What a record's deaths are beside the sound answers known here. */
struct death_news {
	int is_new;
	int is_cleared;	 /* the sender doesn't know of a sound answer */
	apr_time_t last; /* death of the record */
};

/* Merges the deaths after the last sound answer. */
static struct death_news merge_deaths(struct crash_list *c, struct crash_row *r,
				      const struct crash_record *in,
				      apr_time_t now)
{
	struct death_news news = { 0, 0, 0 };
	const struct crash_death *from;
	struct crash_seen_death d;
	u_int i;

	for (i = 0; i < in->deaths.deaths_len; i++) {
		from = &in->deaths.deaths_val[i];
		memset(&d, 0, sizeof(d));
		d.upstream = from->upstream;
		d.boot = from->boot;
		d.died_at = correct_death_time(c, d.upstream, d.boot,
					       now - (apr_time_t)from->age_ms *
							       US_PER_MS);
		d.learned_at = now;
		d.run = (apr_interval_time_t)from->run_ms * US_PER_MS;
		d.request = from->request;
		if (d.died_at > news.last)
			news.last = d.died_at;
		if (d.died_at <= r->sound_at)
			news.is_cleared = 1;
		else if (!r->sound_at ||
			 d.died_at > r->sound_at + CRASH_DELAY_US)
			news.is_new |= merge_death(r, &d);
	}
	return news;
}

/* Returns 1 if a sound answer here came after all deaths of a blamed item. */
static int is_acquitted_here(const struct crash_row *r, apr_time_t last_told)
{
	return crash_is_blamed(r) && last_told &&
	       last_told <= r->own_sound_at &&
	       crash_last_death(r) <= r->own_sound_at;
}

/*
 * Takes over a later sound answer that others had.  It doesn't end a blame: the
 * turns of the entry that had it do.
 */
static int merge_sound(struct crash_list *c, struct crash_row *r,
		       const struct crash_record *in, apr_time_t now)
{
	apr_time_t at;
	int is_first;

	if (!in->sound || in->sound == r->sound)
		return 0;
	at = correct_time(c, in->sound,
			  now - (apr_time_t)in->sound_ms * US_PER_MS);
	if (at <= r->sound_at)
		return 0;
	is_first = !r->sound;
	r->sound = in->sound;
	r->sound_at = at;
	r->is_sound_told = 1;
	return (!crash_is_blamed(r) && drop_deaths(r, at)) || is_first;
}

/* Merges the record of an item.  Returns 1 if it contained anything new. */
static int merge_item(struct crash_list *c, const struct crash_record *in,
		      apr_time_t now)
{
	apr_time_t idle = (apr_time_t)in->idle_ms * US_PER_MS;
	const unsigned char *key = (const unsigned char *)in->key;
	int is_new, knows_more;
	struct death_news news;
	struct crash_row *r;
	struct handle h;

	if (!crash_find(c, key, &h) &&
	    (!in->deaths.deaths_len ||
	     idle > (in->turns & 1 ? CRASH_BLAME_IDLE_US : CRASH_SUSPICION_US)))
		return 0;
	r = get_row(c, key, in->account, in->place, now);
	if (!r)
		return 0;
	is_new = merge_sound(c, r, in, now);
	is_new |= merge_turns(c, r, in, now);
	news = merge_deaths(c, r, in, now);
	if (news.is_new) {
		expect_judgement(c, now);
		is_new = 1;
	}
	if (is_acquitted_here(r, news.last)) {
		end_blame(c, r, now);
		is_new = 1;
	}
	knows_more = r->turns > in->turns || (r->sound && !in->sound) ||
		     news.is_cleared;
	if (knows_more && !r->is_sound_told)
		r->is_sound_told = is_new = 1;
	if (now - idle > r->refused_at + IDLE_STEP_US)
		r->refused_at = now - idle;
	if (is_new)
		publish_item(c, r, now);
	else if (knows_more && !r->rounds_left)
		r->rounds_left = 1;
	return is_new;
}

static void update_suspects(struct crash_row **rows, int count, apr_time_t now)
{
	int i, is_suspect;

	for (i = 0; i < count; i++) {
		is_suspect = crash_is_suspect(rows[i], now);
		if (is_suspect && !rows[i]->was_suspect)
			metric_count("crash_suspects", NULL, 1);
		rows[i]->was_suspect = is_suspect;
	}
}

/*
 * Blames items as of now.  To be called at each step; does nothing unless
 * there were news of late.
 */
void crash_judge(struct crash_list *c, apr_time_t now)
{
	struct crash_row *rows[CRASH_SUSPECTS_MAX], *out[CRASH_SUSPECTS_MAX];
	struct handle h = HANDLE_NONE;
	struct crash_row *r;
	int i, found, count = 0;

	if (!__atomic_load_n(&c->row_count, __ATOMIC_RELAXED))
		return;
	table_lock(&c->rows);
	while (c->judge_until && (r = table_next(&c->rows, &h)))
		rows[count++] = r;
	found = crash_infer(rows, count, now, out);
	for (i = 0; i < found; i++) {
		out[i]->failed_trials = 0;
		blame(c, out[i], CRASH_QUARANTINE_US, now);
	}
	update_suspects(rows, count, now);
	if (now > c->judge_until)
		c->judge_until = 0;
	table_unlock(&c->rows);
}

/* Removes expired rows. */
void crash_purge(struct crash_list *c, apr_time_t now)
{
	table_lock(&c->rows);
	crash_remove_expired(c, now);
	table_unlock(&c->rows);
}

/* Returns a hash of the blames and deaths of all rows, in any order. */
uint64_t crash_summary(struct crash_list *c, apr_time_t now)
{
	struct handle h = HANDLE_NONE;
	struct crash_row *r;
	uint64_t sum = 0, state[3];
	int i;

	table_lock(&c->rows);
	while ((r = table_next(&c->rows, &h))) {
		if (is_item_expired(r, now))
			continue;
		if (!r->turns && !r->death_count)
			continue;
		state[0] = r->turns;
		state[1] = 0;
		for (i = 0; i < r->death_count; i++)
			state[1] += place_hash(&r->deaths[i].upstream,
					       2 * sizeof(uint64_t), 0);
		memcpy(&state[2], r->key, sizeof(state[2]));
		sum += place_hash(state, sizeof(state), 0);
	}
	table_unlock(&c->rows);
	return sum;
}

const struct crash_rules crash_item_rules = {
	.deaths_max = CRASH_DEATHS_MAX,
	.is_expired = is_item_expired,
	.make_room = crash_make_item_room,
	.merge = merge_item,
};
