#include <apr_general.h>
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "config/diff.h"
#include "config/document.h"
#include "config/overlay.h"
#include "config/spread.h"

#define HEX_A "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
#define HEX_B "bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb"
#define SECOND APR_USEC_PER_SEC

static struct document *parse(const char *text)
{
	struct fault_list faults = { 0 };
	struct document *d = document_parse(text, strlen(text), &faults);

	ck_assert_int_eq(d != NULL, faults.count == 0);
	fault_list_clear(&faults);
	return d;
}

/* Expects a refusal in which some fault contains each of the words. */
static void refused(const char *text, const char *a, const char *b)
{
	struct fault_list faults = { 0 };
	size_t i, found = 0;

	ck_assert_ptr_null(document_parse(text, strlen(text), &faults));
	for (i = 0; i < faults.count; i++)
		found += strstr(faults.lines[i], a) &&
			 strstr(faults.lines[i], b);
	ck_assert_msg(found, "no fault with \"%s\" and \"%s\"", a, b);
	fault_list_clear(&faults);
}

static const char whole[] =
	"{\"revision\":9,\"fleet\":{\"budget\":{\"concurrent\":50},"
	"\"fencing\":[\"m-*\"]},\"accounts\":["
	"{\"account\":\"adubo\",\"keys\":[\"" HEX_A "\"],\"models\":["
	"{\"name\":\"quotes\",\"manifest\":\"" HEX_A
	"\",\"upstreams\":[\"m-*\"],"
	"\"data_centers\":[\"ne\"]},"
	"{\"name\":\"ada\",\"base\":\"quotes\",\"manifest\":\"" HEX_B "\","
	"\"upstreams\":[\"m-1\"]}]},"
	"{\"account\":\"sigyeru\",\"keys\":[\"" HEX_B "\"],\"services\":["
	"{\"name\":\"register\",\"upstreams\":[\"p-*-x\"],\"operations\":["
	"{\"name\":\"check\",\"repeatable\":true},{\"name\":\"reserve\"}]}]}]}";

START_TEST(document_is_bound_with_defaults)
{
	struct document *d = parse(whole);
	const struct model_spec *m = document_find_model(d, "quotes");
	const struct service_spec *s = document_find_service(d, "register");
	struct account_key key;

	ck_assert_uint_eq(d->revision, 9);
	ck_assert(is_model_assigned(m, "m-7", "ne"));
	ck_assert(!is_model_assigned(m, "m-7", "se"));
	ck_assert(!is_model_assigned(m, "p-7", "ne"));
	ck_assert(
		is_model_assigned(document_find_model(d, "ada"), "m-1", "se"));
	ck_assert(
		has_matching_pattern(s->upstreams, s->upstream_count, "p-1-x"));
	ck_assert(!has_matching_pattern(s->upstreams, s->upstream_count,
					"p-1-y"));
	ck_assert(service_find_operation(s, "check")->is_repeatable);
	ck_assert(!service_find_operation(s, "reserve")->is_repeatable);
	ck_assert_ptr_null(service_find_operation(s, "other"));
	ck_assert_ptr_null(document_find_model(d, "quote"));
	account_key_parse(HEX_B, &key);
	ck_assert_str_eq(
		d->accounts[document_find_account_by_key(d, &key)].name,
		"sigyeru");
	key.bytes[0] ^= 1;
	ck_assert_int_eq(document_find_account_by_key(d, &key), -1);
	document_unref(d);
}
END_TEST

#define DOCUMENT(accounts)                                                     \
	"{\"revision\":1,\"fleet\":{\"budget\":{\"concurrent\":5}},"           \
	"\"accounts\":[" accounts "]}"
#define MODEL(name, more)                                                      \
	"{\"name\":\"" name "\",\"manifest\":\"" HEX_A                         \
	"\",\"upstreams\":[\"*\"]" more "}"

START_TEST(document_is_refused_whole)
{
	refused("{\"revision\":1,\"accounts\":[", "line 1", "");
	refused("{\"accounts\":[]}", "revision", "required");
	refused("{\"revision\":0,\"accounts\":[]}", "revision", "range");
	refused("{\"revision\":1,\"revision\":2,\"accounts\":[]}", "duplicate",
		"");
	refused(DOCUMENT("{\"account\":\"a\",\"sharee\":1}"),
		"accounts[0].sharee", "\"share\"");
	refused(DOCUMENT("{\"account\":\"a\"},{\"account\":\"a\"}"),
		"accounts[1].account", "already");
	refused(DOCUMENT("{\"account\":\"a\",\"models\":[" MODEL(
			"m", "") "]},"
				 "{\"account\":\"b\",\"models\":[" MODEL(
					 "m", "") "]}"),
		"accounts[1].models[0].name", "\"a\"");
	refused(DOCUMENT("{\"account\":\"a\",\"models\":[" MODEL(
			"m", "") "]},"
				 "{\"account\":\"b\",\"models\":[" MODEL(
					 "n", ",\"base\":\"m\"") "]}"),
		"accounts[1].models[0].base", "account");
	refused(DOCUMENT("{\"account\":\"a\",\"limits\":{\"concurrent\":6}}"),
		"accounts[0].limits.concurrent", "budget");
	refused(DOCUMENT("{\"account\":\"a\",\"keys\":[\"secret\"]}"),
		"accounts[0].keys[0]", "SHA-256");
	refused(DOCUMENT("{\"account\":\"a\",\"keys\":[\"" HEX_A "\"]},"
			 "{\"account\":\"b\",\"keys\":[\"" HEX_A "\"]}"),
		"accounts[1].keys[0]", "already");
}
END_TEST

static int said(const struct diff_lines *l, const char *a, const char *b)
{
	size_t i;

	for (i = 0; i < l->count; i++) {
		if (strstr(l->lines[i], a) && strstr(l->lines[i], b))
			return 1;
	}
	return 0;
}

START_TEST(diff_names_what_changes_and_whom_it_touches)
{
	struct document *a = parse(whole), *same, *b;
	struct diff_lines l = { 0 };

	same = parse(whole);
	document_diff(a, same, &l);
	ck_assert_uint_eq(l.count, 0);
	b = parse("{\"revision\":10,\"fleet\":{\"budget\":{\"concurrent\":60},"
		  "\"fencing\":[\"m-*\"]},\"accounts\":["
		  "{\"account\":\"adubo\",\"keys\":[\"" HEX_A
		  "\"],\"share\":2,\"models\":["
		  "{\"name\":\"quotes\",\"manifest\":\"" HEX_B
		  "\",\"upstreams\":[\"m-*\"],\"data_centers\":[\"ne\"]}]},"
		  "{\"account\":\"sigyeru\",\"keys\":[\"" HEX_B
		  "\"],\"services\":[{\"name\":\"register\","
		  "\"upstreams\":[\"p-*-x\"],\"operations\":["
		  "{\"name\":\"check\"},{\"name\":\"reserve\"}]}]}]}");
	document_diff(a, b, &l);
	ck_assert(said(&l, "concurrent 50 -> 60", "all accounts"));
	ck_assert(said(&l, "share 1 -> 2", "adubo"));
	ck_assert(said(&l, "\"quotes\"", "upstreams m-*"));
	ck_assert(said(&l, "\"ada\"", "goes"));
	ck_assert(said(&l, "\"check\"", "may not be repeated"));
	ck_assert_uint_eq(l.count, 5);
	diff_lines_clear(&l);
	document_unref(a);
	document_unref(same);
	document_unref(b);
}
END_TEST

/* Fills in members of three data centres, in random order. */
static int make_fleet(struct overlay_member *m, int count, struct random *r)
{
	int i;

	memset(m, 0, (size_t)count * sizeof(*m));
	for (i = 0; i < count; i++) {
		snprintf(m[i].id, sizeof(m[i].id), "i%u",
			 (unsigned)random_next(r) % 100000 * 1000 + i);
		snprintf(m[i].data_center, sizeof(m[i].data_center), "dc%u",
			 random_below(r, 3));
		snprintf(m[i].address, sizeof(m[i].address), "127.0.%d.%d",
			 i / 200, i % 200 + 1);
		overlay_compute_scores(&m[i]);
	}
	return count;
}

/*
 * Reference implementation of the watch rank: counts the members with a
 * lower score, without sorting.
 */
static int compute_naive_rank(const struct overlay_member *m, int count,
			      const struct overlay_member *self)
{
	int i, rank = 0;

	for (i = 0; i < count; i++) {
		if (!strcmp(m[i].data_center, self->data_center) &&
		    place_hash_string(m[i].id, 0x77617463) <
			    place_hash_string(self->id, 0x77617463))
			rank++;
	}
	return rank;
}

START_TEST(watch_rank_matches_naive_ranking)
{
	struct overlay_member m[120], copy[120], self;
	struct overlay o;
	struct random r;
	int n, i, round;

	random_seed(&r, 11);
	for (round = 0; round < 30; round++) {
		n = make_fleet(m, 1 + (int)random_below(&r, 120), &r);
		for (i = 0; i < n; i++) {
			memcpy(copy, m, sizeof(copy));
			self = m[i];
			overlay_build(&o, copy, n, &self);
			ck_assert_int_eq(o.watch_rank,
					 compute_naive_rank(m, n, &self));
			ck_assert_int_le(o.neighbor_count, OVERLAY_DEGREE);
			ck_assert(o.watch_rank < OVERLAY_WATCHERS ||
				  !o.extra_peer_count);
		}
	}
}
END_TEST

static int index_of(const struct overlay_member *m, int n, const char *address)
{
	int i;

	for (i = 0; i < n; i++) {
		if (!strcmp(m[i].address, address))
			return i;
	}
	return -1;
}

START_TEST(overlay_reaches_all_members_in_few_hops)
{
	struct overlay_member m[600], copy[600], self;
	int neighbors_of[600][OVERLAY_DEGREE], count[600], distance[600];
	struct overlay o;
	struct random r;
	int n, i, j, hops, reached = 1, in_degree[600] = { 0 };

	random_seed(&r, 5);
	n = make_fleet(m, 600, &r);
	for (i = 0; i < n; i++) {
		memcpy(m[i].data_center, "one", 4);
		distance[i] = -1;
	}
	for (i = 0; i < n; i++) {
		memcpy(copy, m, sizeof(copy));
		self = m[i];
		overlay_build(&o, copy, n, &self);
		count[i] = o.neighbor_count;
		for (j = 0; j < count[i]; j++) {
			neighbors_of[i][j] = index_of(m, n, o.neighbors[j]);
			ck_assert_int_ge(neighbors_of[i][j], 0);
			in_degree[neighbors_of[i][j]]++;
		}
	}
	distance[0] = 0;
	for (hops = 0; reached < n && hops < 50; hops++) {
		for (i = 0; i < n; i++) {
			for (j = 0; distance[i] == hops && j < count[i]; j++) {
				if (distance[neighbors_of[i][j]] >= 0)
					continue;
				distance[neighbors_of[i][j]] = hops + 1;
				reached++;
			}
		}
	}
	ck_assert_int_eq(reached, n);
	ck_assert_int_le(hops, 24); /* 3 (b - 1), b = 9 */
	for (i = 0; i < n; i++)
		ck_assert_int_eq(in_degree[i], OVERLAY_DEGREE);
}
END_TEST

/* One process under test and two peers in its data centre. */
struct fixture {
	struct spread s;
	struct random r;
	struct spread_actions out;
};

static void init_fixture(struct fixture *g)
{
	struct overlay_member *m = calloc(3, sizeof(*m));
	struct overlay_member self;
	int i;

	random_seed(&g->r, 3);
	spread_init(&g->s, "127.0.0.1", SECOND);
	for (i = 0; i < 3; i++) {
		snprintf(m[i].id, sizeof(m[i].id), "p%d", i);
		snprintf(m[i].data_center, sizeof(m[i].data_center), "dc");
		snprintf(m[i].address, sizeof(m[i].address), "127.0.0.%d",
			 i + 1);
		overlay_compute_scores(&m[i]);
	}
	self = m[0];
	spread_set_members(&g->s, m, 3, &self, &g->r);
}

static const struct spread_action *
find_action(struct fixture *g, enum spread_action_kind kind, int want)
{
	int i;

	for (i = 0; i < g->out.count; i++) {
		const struct spread_action *a = &g->out.list[i];

		if (a->kind == kind &&
		    (kind == SPREAD_WATCH ? a->value : a->wanted_value) == want)
			return a;
	}
	return NULL;
}

static void set_version(struct spread_version v[SPREAD_VALUE_COUNT],
			uint64_t version, unsigned char digest_byte)
{
	memset(v, 0, SPREAD_VALUE_COUNT * sizeof(*v));
	v[0].version = version;
	v[0].digest.bytes[0] = digest_byte;
	v[0].platform_age_ms = v[1].platform_age_ms = UINT32_MAX;
}

START_TEST(older_and_rejected_versions_are_not_pulled)
{
	struct spread_version v[SPREAD_VALUE_COUNT];
	struct spread_action pull;
	struct fixture g;

	init_fixture(&g);
	set_version(v, 5, 5);
	spread_record_applied(&g.s, 0, 5, &v[0].digest, SECOND);
	set_version(v, 4, 4);
	spread_merge_versions(&g.s, "127.0.0.2", v, SPREAD_VALUE_COUNT, SECOND);
	spread_decide(&g.s, SECOND, &g.r, &g.out);
	ck_assert_ptr_null(find_action(&g, SPREAD_EXCHANGE, 0));
	set_version(v, 6, 6);
	spread_merge_versions(&g.s, "127.0.0.2", v, SPREAD_VALUE_COUNT, SECOND);
	spread_decide(&g.s, 2 * SECOND, &g.r, &g.out);
	ck_assert_ptr_nonnull(find_action(&g, SPREAD_EXCHANGE, 0));
	pull = *find_action(&g, SPREAD_EXCHANGE, 0);
	ck_assert_str_eq(pull.address, "127.0.0.2");
	spread_record_rejected(&g.s, 0, 6, &v[0].digest);
	spread_finish_exchange(&g.s, &pull, 1, 2 * SECOND);
	spread_merge_versions(&g.s, "127.0.0.3", v, SPREAD_VALUE_COUNT,
			      2 * SECOND);
	spread_decide(&g.s, 9 * SECOND, &g.r, &g.out);
	ck_assert_ptr_null(find_action(&g, SPREAD_EXCHANGE, 0));
	spread_record_applied(&g.s, 0, 3, &v[0].digest, 9 * SECOND);
	ck_assert_uint_eq(g.s.values[0].version, 5);
	spread_destroy(&g.s);
}
END_TEST

START_TEST(not_ready_before_all_start_exchanges_finish)
{
	struct spread_version v[SPREAD_VALUE_COUNT];
	struct spread_action peer[2];
	struct fixture g;
	int i, n = 0;

	init_fixture(&g);
	spread_decide(&g.s, SECOND, &g.r, &g.out);
	ck_assert_ptr_nonnull(find_action(&g, SPREAD_WATCH, 0));
	ck_assert(!find_action(&g, SPREAD_WATCH, 0)->can_hold);
	for (i = 0; i < g.out.count; i++) {
		if (g.out.list[i].is_start_exchange)
			peer[n++] = g.out.list[i];
	}
	ck_assert_int_eq(n, 2);
	/* The platform returns version 3, older than that of the peers. */
	set_version(v, 3, 3);
	spread_record_applied(&g.s, 0, 3, &v[0].digest, SECOND);
	spread_finish_watch(&g.s, 0, 1, 1, SECOND, SECOND, &g.r);
	spread_finish_watch(&g.s, 1, 1, 0, SECOND, SECOND, &g.r);
	ck_assert(!spread_is_ready(&g.s, SECOND));
	spread_finish_exchange(&g.s, &peer[0], 0, SECOND);
	ck_assert(!spread_is_ready(&g.s, SECOND));
	/* A peer has version 4: the process must pull it first. */
	set_version(v, 4, 4);
	spread_finish_exchange(&g.s, &peer[1], 1, SECOND);
	spread_merge_versions(&g.s, peer[1].address, v, SPREAD_VALUE_COUNT,
			      SECOND);
	ck_assert(!spread_is_ready(&g.s, SECOND));
	spread_record_applied(&g.s, 0, 4, &v[0].digest, SECOND);
	ck_assert(spread_is_ready(&g.s, SECOND));
	spread_destroy(&g.s);
}
END_TEST

START_TEST(failed_pull_is_retried_from_next_source)
{
	struct spread_version v[SPREAD_VALUE_COUNT];
	struct spread_action pull;
	struct fixture g;

	init_fixture(&g);
	set_version(v, 7, 7);
	spread_merge_versions(&g.s, "127.0.0.2", v, SPREAD_VALUE_COUNT, SECOND);
	set_version(v, 6, 6);
	spread_merge_versions(&g.s, "127.0.0.3", v, SPREAD_VALUE_COUNT, SECOND);
	spread_decide(&g.s, SECOND, &g.r, &g.out);
	pull = *find_action(&g, SPREAD_EXCHANGE, 0);
	ck_assert_str_eq(pull.address, "127.0.0.2");
	spread_finish_exchange(&g.s, &pull, 0, 2 * SECOND);
	spread_decide(&g.s, 3 * SECOND, &g.r, &g.out);
	ck_assert_str_eq(find_action(&g, SPREAD_EXCHANGE, 0)->address,
			 "127.0.0.3");
	spread_destroy(&g.s);
}
END_TEST

/*
 * Counts the exchanges with random peers while a version is known that nobody
 * has any more; those that finish do so at once.
 */
static int count_search_exchanges(int finishes)
{
	struct spread_version v[SPREAD_VALUE_COUNT];
	struct spread_action a;
	struct fixture g;
	apr_time_t now;
	int i, exchanges = 0;

	init_fixture(&g);
	set_version(v, 7, 7);
	spread_merge_versions(&g.s, "127.0.0.2", v, SPREAD_VALUE_COUNT, SECOND);
	spread_decide(&g.s, SECOND, &g.r, &g.out);
	a = *find_action(&g, SPREAD_EXCHANGE, 0);
	spread_finish_exchange(&g.s, &a, 0, 2 * SECOND);
	for (now = 2 * SECOND; now < 20 * SECOND; now += SECOND / 100) {
		spread_decide(&g.s, now, &g.r, &g.out);
		for (i = 0; i < g.out.count; i++) {
			exchanges += g.out.list[i].is_random;
			if (finishes && g.out.list[i].is_random)
				spread_finish_exchange(&g.s, &g.out.list[i], 0,
						       now);
		}
	}
	spread_destroy(&g.s);
	return exchanges;
}

START_TEST(search_for_a_source_ends)
{
	int exchanges = count_search_exchanges(1);

	/* Ten a second for four seconds, then one. */
	ck_assert_int_ge(exchanges, 30 + 10);
	ck_assert_int_le(exchanges, 60 + 20);
}
END_TEST

/*
 * Guards against exchanges that queue up behind paused peers, and hold up the
 * end of the process.
 */
START_TEST(search_does_not_queue_up_exchanges)
{
	ck_assert_int_le(count_search_exchanges(0), SPREAD_NOTICE_THREADS + 1);
}
END_TEST

/*
 * Guards against a release that counts as declared when this process heard of it,
 * as nobody told when that was.
 */
START_TEST(peers_tell_until_when_the_current_version_was_the_newest)
{
	struct spread_version v[SPREAD_VALUE_COUNT];
	struct fixture g;

	init_fixture(&g);
	set_version(v, 5, 5);
	spread_record_applied(&g.s, 0, 5, &v[0].digest, SECOND);
	spread_confirm_versions(&g.s, v, SPREAD_VALUE_COUNT, 2 * SECOND);
	ck_assert_int_eq(g.s.values[0].known_current_at, 0);
	v[0].platform_age_ms = 1500;
	spread_confirm_versions(&g.s, v, SPREAD_VALUE_COUNT, 4 * SECOND);
	ck_assert_int_eq(g.s.values[0].known_current_at, 2500 * 1000);
	spread_record_current(&g.s, 0, 2 * SECOND);
	ck_assert_int_eq(g.s.values[0].known_current_at, 2500 * 1000);
	/* A peer with a newer version proves nothing about this one. */
	set_version(v, 6, 6);
	v[0].platform_age_ms = 100;
	spread_merge_versions(&g.s, "127.0.0.2", v, SPREAD_VALUE_COUNT,
			      8 * SECOND);
	spread_confirm_versions(&g.s, v, SPREAD_VALUE_COUNT, 8 * SECOND);
	ck_assert_int_eq(g.s.values[0].known_current_at, 2500 * 1000);
	/* Nor does this process to others, before it has that version. */
	spread_get_versions(&g.s, v, 9 * SECOND);
	ck_assert_uint_eq(v[0].version, 5);
	ck_assert_uint_eq(v[0].platform_age_ms, UINT32_MAX);
	set_version(v, 6, 6);
	spread_record_applied(&g.s, 0, 6, &v[0].digest, 9 * SECOND);
	spread_get_versions(&g.s, v, 9 * SECOND);
	ck_assert_uint_eq(v[0].platform_age_ms, 1100);
	spread_destroy(&g.s);
}
END_TEST

/* The peer that sent a document does not answer the question for ages. */
START_TEST(other_peers_are_asked_instead_of_one)
{
	char peers[2][SETTINGS_ADDRESS_SIZE];
	struct fixture g;

	init_fixture(&g);
	ck_assert_int_eq(spread_pick_peers(&g.s, NULL, peers, 2, &g.r), 2);
	ck_assert_str_ne(peers[0], peers[1]);
	ck_assert_int_eq(spread_pick_peers(&g.s, NULL, peers, 1, &g.r), 1);
	ck_assert_int_eq(spread_pick_peers(&g.s, "127.0.0.2", peers, 2, &g.r),
			 1);
	ck_assert_str_eq(peers[0], "127.0.0.3");
	/* Without neighbours, those that it was started with. */
	g.s.peer_count = 0;
	g.s.start_count = 0;
	ck_assert_int_eq(spread_pick_peers(&g.s, NULL, peers, 2, &g.r), 0);
	spread_add_start_peer(&g.s, "127.0.0.9");
	ck_assert_int_eq(spread_pick_peers(&g.s, NULL, peers, 2, &g.r), 1);
	ck_assert_str_eq(peers[0], "127.0.0.9");
	spread_destroy(&g.s);
}
END_TEST

START_TEST(silent_watchers_are_substituted_by_few_in_turn)
{
	int ranks = 40, rank, watching, watch_counts[40] = { 0 }, covered = 0;
	struct fixture g;
	apr_time_t now;

	init_fixture(&g);
	g.s.overlay.local_count = ranks;
	for (now = SECOND; now < 80 * SECOND; now += SECOND) {
		watching = 0;
		for (rank = 0; rank < ranks; rank++) {
			g.s.overlay.watch_rank = rank;
			g.s.values[0].is_watching = 0;
			g.s.values[0].watches_finished = 1;
			spread_decide(&g.s, now, &g.r, &g.out);
			if (!find_action(&g, SPREAD_WATCH, 0))
				continue;
			watching++;
			covered += !watch_counts[rank]++;
		}
		ck_assert_int_ge(watching, OVERLAY_WATCHERS);
		ck_assert_int_le(watching, OVERLAY_WATCHERS + 3);
		if (now < 15 * SECOND)
			ck_assert_int_eq(watching, OVERLAY_WATCHERS);
	}
	ck_assert_int_eq(covered, ranks);
	spread_destroy(&g.s);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("config");
	TCase *t = tcase_create("config");
	SRunner *r;
	int failed;

	apr_initialize();
	tcase_add_test(t, document_is_bound_with_defaults);
	tcase_add_test(t, document_is_refused_whole);
	tcase_add_test(t, diff_names_what_changes_and_whom_it_touches);
	tcase_add_test(t, watch_rank_matches_naive_ranking);
	tcase_add_test(t, overlay_reaches_all_members_in_few_hops);
	tcase_add_test(t, older_and_rejected_versions_are_not_pulled);
	tcase_add_test(t, not_ready_before_all_start_exchanges_finish);
	tcase_add_test(t, failed_pull_is_retried_from_next_source);
	tcase_add_test(t, search_for_a_source_ends);
	tcase_add_test(t, search_does_not_queue_up_exchanges);
	tcase_add_test(
		t, peers_tell_until_when_the_current_version_was_the_newest);
	tcase_add_test(t, other_peers_are_asked_instead_of_one);
	tcase_add_test(t, silent_watchers_are_substituted_by_few_in_turn);
	tcase_set_timeout(t, 60);
	suite_add_tcase(s, t);
	r = srunner_create(s);
	srunner_run_all(r, CK_VERBOSE);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
