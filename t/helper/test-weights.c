#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "weights/activate.h"
#include "weights/manifest.h"
#include "weights/place.h"

#define SECOND_US APR_USEC_PER_SEC

static char *manifest_text(int chunks, const char *chunk, long size)
{
	char *text = malloc(4096);
	int i, at;

	at = sprintf(text,
		     "{\"model\":\"m\",\"version\":\"1\",\"source\":\"f\","
		     "\"size\":%ld,\"chunk_size\":4096,\"chunks\":[",
		     size);
	for (i = 0; i < chunks; i++)
		at += sprintf(text + at, "%s\"%s\"", i ? "," : "", chunk);
	sprintf(text + at, "]}");
	return text;
}

static const char *const chunk_digest =
	"0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef";

START_TEST(manifest_with_wrong_chunk_count_is_rejected)
{
	static const struct {
		int chunks;
		long size;
		int is_valid;
	} cases[] = { { 2, 8192, 1 }, { 2, 4097, 1 }, { 2, 4096, 0 },
		      { 2, 8193, 0 }, { 1, 0, 0 },    { 1, 1, 1 } };
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		char *text = manifest_text(cases[i].chunks, chunk_digest,
					   cases[i].size);
		struct error err = ERROR_INIT;
		struct manifest *m =
			manifest_parse(text, strlen(text), NULL, &err);

		ck_assert_int_eq(m != NULL, cases[i].is_valid);
		ck_assert_int_eq(err.code != ERROR_NONE, !cases[i].is_valid);
		manifest_free(m);
		free(text);
	}
}
END_TEST

START_TEST(manifest_must_match_its_digest)
{
	char *text = manifest_text(2, chunk_digest, 8192);
	struct error err = ERROR_INIT;
	struct digest d;
	struct manifest *m;

	digest_of(text, strlen(text), &d);
	m = manifest_parse(text, strlen(text), &d, &err);
	ck_assert_ptr_nonnull(m);
	ck_assert_uint_eq(manifest_chunk_length(m, 1), 4096);
	manifest_free(m);
	text[strlen(text) - 5] ^= 1;
	ck_assert_ptr_null(manifest_parse(text, strlen(text), &d, &err));
	ck_assert_int_eq(err.code, ERROR_CORRUPT);
	free(text);
}
END_TEST

static void make_view(struct place_view *v, int dcs, int each, int dead_mod,
		      const char *self, const struct digest *version)
{
	char id[32], dc[16];
	int i, j;

	memset(v, 0, sizeof(*v));
	for (i = 0; i < dcs; i++) {
		for (j = 0; j < each; j++) {
			sprintf(id, "i%d-%d", i, j);
			sprintf(dc, "dc%d", i);
			place_view_add(v, id, id, dc,
				       !strcmp(id, self) || !dead_mod ||
					       j % dead_mod != 0);
		}
	}
	place_view_rank_members(v, self, version);
}

/* Reference rank: order of all counted members by hash, carriers by chunk. */
static int naive_rank(const struct place_view *v, int member,
		      const struct digest *chunk)
{
	const struct place_member *m = &v->members[member];
	int i, rank = 0;

	for (i = 0; i < v->member_count; i++) {
		const struct place_member *o = &v->members[i];
		uint64_t a = m->hash, b = o->hash;

		if (i == member || o->carrier_order < 0 ||
		    o->data_center != m->data_center)
			continue;
		if (m->carrier_order < PLACE_CARRIERS_MAX) {
			if (o->carrier_order >= PLACE_CARRIERS_MAX)
				continue;
			a = place_hash(chunk, sizeof(*chunk), m->hash);
			b = place_hash(chunk, sizeof(*chunk), o->hash);
		}
		rank += b > a;
	}
	return rank;
}

START_TEST(place_ranks_equal_naive_ranks)
{
	struct digest version, chunk;
	struct place_view v;
	int seed, i;

	for (seed = 0; seed < 50; seed++) {
		digest_of(&seed, sizeof(seed), &version);
		make_view(&v, 1 + seed % 4, 1 + seed % 17, seed % 5, "i0-0",
			  &version);
		digest_of(&version, sizeof(version), &chunk);
		for (i = 0; i < v.member_count; i++) {
			if (v.members[i].carrier_order < 0)
				continue;
			ck_assert_int_eq(place_member_rank(&v, i, &chunk),
					 naive_rank(&v, i, &chunk));
			ck_assert_int_eq(
				place_member_at_rank(
					&v, v.members[i].data_center, &chunk,
					place_member_rank(&v, i, &chunk)),
				i);
		}
		place_view_clear(&v);
	}
}
END_TEST

START_TEST(place_assigns_exactly_four_permits)
{
	struct digest version, chunk;
	struct place_view v;
	int dcs, c, i, permit, seen[PLACE_PERMITS_MAX];

	digest_of("v", 1, &version);
	for (dcs = 1; dcs <= 10; dcs++) {
		make_view(&v, dcs, 9, 0, "i0-0", &version);
		for (c = 0; c < 100; c++) {
			digest_of(&c, sizeof(c), &chunk);
			memset(seen, 0, sizeof(seen));
			for (i = 0; i < v.member_count; i++) {
				permit = place_member_permit(&v, i, &chunk, 4);
				if (permit != PLACE_NO_PERMIT)
					seen[permit]++;
			}
			for (i = 0; i < PLACE_PERMITS_MAX; i++)
				ck_assert_int_eq(seen[i], 1);
		}
		place_view_clear(&v);
	}
}
END_TEST

/*
 * Each instance sees all others as dead. The number of permits must not grow
 * with the number of such instances, or each would fetch from the origin.
 */
START_TEST(place_isolated_instances_share_four_permits)
{
	struct digest version, chunk;
	struct place_view v;
	char self[32];
	int c, i, j, k, total;

	digest_of("v", 1, &version);
	for (c = 0; c < 50; c++) {
		digest_of(&c, sizeof(c), &chunk);
		total = 0;
		for (i = 0; i < 3; i++) {
			for (j = 0; j < 9; j++) {
				sprintf(self, "i%d-%d", i, j);
				make_view(&v, 3, 9, 1, self, &version);
				k = place_member_permit(&v, v.self, &chunk, 4);
				total += k != PLACE_NO_PERMIT;
				place_view_clear(&v);
			}
		}
		ck_assert_int_le(total, PLACE_PERMITS_MAX);
	}
}
END_TEST

START_TEST(place_neighbours_connect_a_data_center)
{
	struct digest version;
	struct place_view v;
	int reached[100] = { 0 }, queue[100], out[48];
	int head = 0, tail = 0, i, n;

	digest_of("v", 1, &version);
	make_view(&v, 1, 87, 0, "i0-0", &version);
	queue[tail++] = v.self;
	reached[v.self] = 1;
	while (head < tail) {
		v.self = queue[head++];
		n = place_list_neighbours(&v, out, 48);
		ck_assert_int_le(n, 20);
		for (i = 0; i < n; i++) {
			if (reached[out[i]])
				continue;
			reached[out[i]] = 1;
			queue[tail++] = out[i];
		}
	}
	ck_assert_int_eq(tail, 87);
	place_view_clear(&v);
}
END_TEST

static void init_activation(struct activation *a)
{
	memset(a, 0, sizeof(*a));
	a->loader_bit = ACTIVATE_NOT_LOADER;
	a->loader_rank = 5;
	a->fence = 7;
	activation_set_version(a, "new", 0);
	activation_record_running(a, "old", 1, 6, 0, SECOND_US);
}

START_TEST(activation_orders_only_complete_version)
{
	struct activation a;

	init_activation(&a);
	ck_assert_int_eq(activation_step(&a, SECOND_US), ACTIVATION_FETCHING);
	ck_assert_int_eq(activation_can_serve(&a), 1);
	a.is_complete = 1;
	ck_assert_int_eq(activation_step(&a, SECOND_US), ACTIVATION_READY);
	a.is_ordering = 1;
	ck_assert_int_eq(activation_step(&a, SECOND_US), ACTIVATION_ORDERED);
	activation_record_order(&a, 1, SECOND_US);
	ck_assert_int_eq(activation_can_serve(&a),
			 0); /* not reported by the engine yet */
	activation_record_running(&a, "new", 1, 7, 0, 2 * SECOND_US);
	ck_assert_int_eq(activation_step(&a, 2 * SECOND_US),
			 ACTIVATION_SERVING);
	ck_assert_int_eq(activation_can_serve(&a), 1);
}
END_TEST

START_TEST(activation_never_orders_below_known_fence)
{
	struct activation a;

	init_activation(&a);
	a.is_complete = 1;
	a.peer_revision = 8;
	ck_assert_int_eq(activation_step(&a, SECOND_US), ACTIVATION_STALE);
	a.peer_revision = 0;
	activation_record_running(&a, "newer", 1, 9, 0, SECOND_US);
	ck_assert_int_eq(activation_step(&a, SECOND_US), ACTIVATION_STALE);
}
END_TEST

START_TEST(activation_checks_view_after_pause)
{
	struct activation a;

	init_activation(&a);
	a.is_complete = 1;
	a.view_checked_at = 9 * SECOND_US;
	a.pause_end = 10 * SECOND_US;
	ck_assert_int_eq(activation_step(&a, 11 * SECOND_US),
			 ACTIVATION_CHECKING);
	ck_assert_int_eq(activation_can_serve(&a), 0);
	a.view_checked_at = 11 * SECOND_US;
	ck_assert_int_eq(activation_step(&a, 11 * SECOND_US), ACTIVATION_READY);
	/* No neighbour answers for 7 s: the instance continues alone. */
	a.view_checked_at = 9 * SECOND_US;
	ck_assert_int_eq(activation_step(&a, 17 * SECOND_US), ACTIVATION_READY);
}
END_TEST

START_TEST(activation_does_not_serve_version_of_old_order)
{
	struct activation a;

	init_activation(&a);
	a.is_complete = 1;
	activation_record_running(&a, "new", 1, 7, 0, SECOND_US);
	activation_step(&a, SECOND_US);
	activation_record_running(&a, "old", 1, 5, 0, 2 * SECOND_US);
	ck_assert_int_eq(activation_can_serve(&a), 0);
	ck_assert_int_eq(activation_step(&a, 2 * SECOND_US), ACTIVATION_READY);
}
END_TEST

START_TEST(activation_halts_after_first_loader_crash)
{
	struct activation a;

	init_activation(&a);
	a.is_complete = 1;
	a.loaders_required = 1;
	ck_assert_int_eq(activation_step(&a, SECOND_US), ACTIVATION_WAITING);
	a.crashed_mask = 1;
	ck_assert_int_eq(activation_step(&a, SECOND_US), ACTIVATION_HALTED);

	init_activation(&a);
	a.is_complete = 1;
	a.loaders_required = 1;
	a.loader_bit = 0;
	a.loader_rank = 0;
	a.is_ordering = 1;
	activation_record_order(&a, 0, SECOND_US);
	activation_record_running(&a, "", 0, 0, 1, 2 * SECOND_US);
	ck_assert_uint_eq(a.crashed_mask, 1);
	ck_assert_int_eq(activation_step(&a, 3 * SECOND_US), ACTIVATION_HALTED);
	/* The halt expires, and the first loader tries once more. */
	ck_assert_int_eq(activation_step(&a, 32 * SECOND_US),
			 ACTIVATION_HALTED);
	ck_assert_int_eq(activation_step(&a, 34 * SECOND_US), ACTIVATION_READY);
	/* The halt does not apply to another version. */
	activation_set_version(&a, "newest", 0);
	a.is_complete = 1;
	ck_assert_int_eq(activation_step(&a, 3 * SECOND_US), ACTIVATION_READY);
}
END_TEST

/* Engine that runs "old" while "new" is named at 10 s, "newest" at 12 s. */
static void init_superseded(struct activation *a)
{
	init_activation(a);
	activation_record_running(a, "new", 1, 6, 0, SECOND_US);
	activation_step(a, SECOND_US);
	activation_set_version(a, "superseded", 10 * SECOND_US);
	a->load_time_limit = 8 * SECOND_US;
	a->live_count = 3;
	a->is_complete = 1;
	a->completed_at = 11 * SECOND_US;
	activation_set_version(a, "newest", 12 * SECOND_US);
}

/* Guards against engines that load a release that another one superseded. */
START_TEST(activation_drops_superseded_version)
{
	struct activation a;

	init_superseded(&a);
	/* Nothing that was staged counts for the newest version. */
	ck_assert_int_eq(a.is_complete, 0);
	ck_assert_int_eq(activation_step(&a, 13 * SECOND_US),
			 ACTIVATION_FETCHING);
	ck_assert_int_eq(activation_step(&a, 30 * SECOND_US),
			 ACTIVATION_FETCHING);
	ck_assert_int_eq(activation_can_serve(&a), 1);
	/* An engine that runs nothing does not load it either. */
	activation_record_running(&a, "", 0, 0, 0, 13 * SECOND_US);
	ck_assert_int_eq(activation_step(&a, 13 * SECOND_US),
			 ACTIVATION_FETCHING);
	a.is_complete = 1;
	ck_assert_int_eq(activation_step(&a, 13 * SECOND_US), ACTIVATION_READY);
}
END_TEST

/*
 * What an engine runs expires with the limit of the version after it, also if
 * that one was superseded.
 */
START_TEST(activation_turns_end_before_running_version_expires)
{
	struct activation a;

	init_superseded(&a);
	a.is_complete = 1;
	a.loader_rank = 0; /* turns from 15.36 s to 16.4 s */
	ck_assert_int_eq(activation_step(&a, 15 * SECOND_US),
			 ACTIVATION_WAITING);
	ck_assert_int_eq(activation_step(&a, 15400 * 1000), ACTIVATION_READY);
	a.loader_rank = 2;
	ck_assert_int_eq(activation_step(&a, 16300 * 1000), ACTIVATION_WAITING);
	ck_assert_int_eq(activation_step(&a, 16500 * 1000), ACTIVATION_READY);

	/* A third one in a row, after the last turn. */
	activation_set_version(&a, "third", 17 * SECOND_US);
	a.is_complete = 1;
	ck_assert_int_eq(activation_step(&a, 17500 * 1000), ACTIVATION_READY);

	/* After a load the limit counts from the next version. */
	activation_record_running(&a, "third", 1, 7, 0, 18 * SECOND_US);
	activation_step(&a, 18 * SECOND_US);
	activation_set_version(&a, "fourth", 20 * SECOND_US);
	a.is_complete = 1;
	a.loader_rank = 0;
	ck_assert_int_eq(activation_step(&a, 23 * SECOND_US),
			 ACTIVATION_WAITING);
	ck_assert_int_eq(activation_step(&a, 23400 * 1000), ACTIVATION_READY);
}
END_TEST

/* An order can't be taken back: the newest version is ordered after it. */
START_TEST(activation_orders_newest_after_superseded_order)
{
	struct activation a;

	init_superseded(&a);
	a.is_ordering = 1;
	a.is_complete = 1;
	a.loader_rank = 0;
	ck_assert_int_eq(activation_step(&a, 16 * SECOND_US),
			 ACTIVATION_ORDERED);
	activation_record_replaced_order(&a);
	ck_assert_int_eq(activation_step(&a, 16 * SECOND_US),
			 ACTIVATION_ORDERED);
	activation_record_running(&a, "superseded", 1, 7, 0, 16 * SECOND_US);
	ck_assert_int_eq(activation_step(&a, 16 * SECOND_US), ACTIVATION_READY);
}
END_TEST

START_TEST(activation_loads_in_turn_within_time_limit)
{
	struct activation a;

	init_activation(&a);
	activation_record_running(&a, "new", 1, 6, 0, SECOND_US);
	activation_step(&a, SECOND_US);
	activation_set_version(&a, "newer", 10 * SECOND_US);
	a.is_complete = 1;
	a.load_time_limit = 8 * SECOND_US; /* turns from 13.36 s to 16.4 s */
	a.live_count = 3;
	a.loader_rank = 0;
	ck_assert_int_eq(activation_step(&a, 13 * SECOND_US),
			 ACTIVATION_WAITING);
	ck_assert_int_eq(activation_step(&a, 14 * SECOND_US), ACTIVATION_READY);
	a.loader_rank = 2;
	ck_assert_int_eq(activation_step(&a, 15 * SECOND_US),
			 ACTIVATION_WAITING);
	ck_assert_int_eq(activation_step(&a, 17 * SECOND_US), ACTIVATION_READY);
	/* An engine without a running version does not wait. */
	activation_record_running(&a, "", 0, 0, 0, 10 * SECOND_US);
	ck_assert_int_eq(activation_step(&a, 10 * SECOND_US), ACTIVATION_READY);
}
END_TEST

START_TEST(activation_skips_first_loader_that_does_not_load)
{
	struct activation a;

	init_activation(&a);
	a.is_complete = 1;
	a.completed_at = SECOND_US;
	a.loaders_required = 1;
	a.loader_rank = 2;
	ck_assert_int_eq(activation_step(&a, 2 * SECOND_US),
			 ACTIVATION_WAITING);
	ck_assert_int_eq(activation_step(&a, 12 * SECOND_US),
			 ACTIVATION_WAITING);
	ck_assert_int_eq(activation_step(&a, 22 * SECOND_US), ACTIVATION_READY);
	a.loaded_mask = 1u << 9; /* any instance may run it */
	ck_assert_int_eq(activation_step(&a, 2 * SECOND_US), ACTIVATION_READY);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("weights");
	TCase *tc = tcase_create("core");
	SRunner *r = srunner_create(s);
	int failed;

	suite_add_tcase(s, tc);
	tcase_add_test(tc, manifest_with_wrong_chunk_count_is_rejected);
	tcase_add_test(tc, manifest_must_match_its_digest);
	tcase_add_test(tc, place_ranks_equal_naive_ranks);
	tcase_add_test(tc, place_assigns_exactly_four_permits);
	tcase_add_test(tc, place_isolated_instances_share_four_permits);
	tcase_add_test(tc, place_neighbours_connect_a_data_center);
	tcase_add_test(tc, activation_orders_only_complete_version);
	tcase_add_test(tc, activation_never_orders_below_known_fence);
	tcase_add_test(tc, activation_checks_view_after_pause);
	tcase_add_test(tc, activation_does_not_serve_version_of_old_order);
	tcase_add_test(tc, activation_loads_in_turn_within_time_limit);
	tcase_add_test(tc, activation_drops_superseded_version);
	tcase_add_test(tc, activation_turns_end_before_running_version_expires);
	tcase_add_test(tc, activation_orders_newest_after_superseded_order);
	tcase_add_test(tc, activation_halts_after_first_loader_crash);
	tcase_add_test(tc, activation_skips_first_loader_that_does_not_load);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
