#include <apr_general.h>
#include <arpa/inet.h>
#include <check.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/clock.h"
#include "weights/engine.h"

/*
 * Tests the order to load a version with an engine that answers each request
 * with 200, or none.
 */

#define BLOCKED_US (600 * 1000) /* longer than an order may wait */
#define POLL_US (5 * 1000)
#define SETTLE_US (100 * 1000)

static int engine_fd, engine_port;
static int is_engine_silent; /* atomic */
static int order_count;	     /* atomic: orders that the engine received */

static int listen_on_loopback(int *port)
{
	struct sockaddr_in sa = { .sin_family = AF_INET };
	socklen_t size = sizeof(sa);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	ck_assert_int_eq(bind(fd, (struct sockaddr *)&sa, sizeof(sa)), 0);
	ck_assert_int_eq(getsockname(fd, (struct sockaddr *)&sa, &size), 0);
	*port = ntohs(sa.sin_port);
	return fd;
}

static void *serve_engine(void *arg)
{
	static const char answer[] =
		"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
	char buffer[4096];
	int fd;

	while ((fd = accept(engine_fd, NULL, NULL)) >= 0) {
		if (read(fd, buffer, sizeof(buffer)) > 0) {
			__atomic_add_fetch(&order_count, 1, __ATOMIC_SEQ_CST);
			if (__atomic_load_n(&is_engine_silent,
					    __ATOMIC_SEQ_CST))
				continue;
			if (write(fd, answer, sizeof(answer) - 1) < 0)
				perror("write");
		}
		close(fd);
	}
	return arg;
}

/* An agent with one complete version whose order is due. */
struct agent {
	struct weights weights;
	struct node *node;
	struct handle row;
	struct swarm swarm;
	struct manifest manifest;
};

static void start_agent(struct agent *a)
{
	struct model_row row = { 0 };
	struct error err = ERROR_INIT;

	memset(a, 0, sizeof(*a));
	a->node = calloc(1, sizeof(*a->node));
	snprintf(a->node->settings.upstream_url,
		 sizeof(a->node->settings.upstream_url), "http://127.0.0.1:%d",
		 engine_port);
	a->node->fetcher = fetcher_start(NULL, &err);
	ck_assert_ptr_nonnull(a->node->fetcher);
	a->weights.node = a->node;
	a->weights.ops = &engine_service_ops;
	table_init(&a->weights.models, "models", RANK_MODEL,
		   sizeof(struct model_row), WEIGHTS_MODELS_MAX);
	a->swarm.manifest = &a->manifest;
	snprintf(row.name, sizeof(row.name), "m");
	row.swarm = &a->swarm;
	row.swarm_id = 1;
	row.activation.loader_bit = ACTIVATE_NOT_LOADER;
	a->row = table_add(&a->weights.models, &row);
}

static void stop_agent(struct agent *a)
{
	fetcher_stop(a->node->fetcher);
	table_destroy(&a->weights.models);
	free(a->node);
}

static void order(struct agent *a)
{
	table_lock(&a->weights.models);
	engine_load(&a->weights, a->row, table_get(&a->weights.models, a->row),
		    clock_now());
	table_unlock(&a->weights.models);
}

/* Waits for the end of the order and copies the state after it. */
static void wait_for_order(struct agent *a, struct activation *out)
{
	do {
		usleep(POLL_US);
		table_lock(&a->weights.models);
		*out = ((struct model_row *)table_get(&a->weights.models,
						      a->row))
			       ->activation;
		table_unlock(&a->weights.models);
	} while (out->is_ordering);
	usleep(SETTLE_US);
}

START_TEST(order_reaches_engine)
{
	struct activation after;
	struct agent a;

	start_agent(&a);
	order(&a);
	wait_for_order(&a, &after);
	ck_assert_int_eq(__atomic_load_n(&order_count, __ATOMIC_SEQ_CST), 1);
	ck_assert_int_eq(after.failures, 0);
	ck_assert_int_ne(after.ordered_at, 0);
	stop_agent(&a);
}
END_TEST

/* The answer may be lost although the engine carries out the order. */
START_TEST(order_without_answer_ends)
{
	struct engine_ops ops = engine_service_ops;
	struct activation after;
	struct agent a;

	ops.order_timeout_ms = 200;
	__atomic_store_n(&is_engine_silent, 1, __ATOMIC_SEQ_CST);
	start_agent(&a);
	a.weights.ops = &ops;
	order(&a);
	wait_for_order(&a, &after);
	ck_assert_int_eq(__atomic_load_n(&order_count, __ATOMIC_SEQ_CST), 1);
	ck_assert_int_eq(after.failures, 1);
	ck_assert_int_eq(after.is_running_known, 0);
	stop_agent(&a);
}
END_TEST

static int is_blocked; /* atomic */

static void block_event_thread(struct fetch *f)
{
	__atomic_store_n(&is_blocked, 1, __ATOMIC_SEQ_CST);
	usleep(BLOCKED_US);
	free(f->text);
}

START_TEST(order_that_waited_is_not_sent)
{
	static const struct fetch_ops ops = { NULL, NULL, block_event_thread };
	struct fetch f = { .ops = &ops, .url = "http://127.0.0.1:1/" };
	struct activation after;
	struct agent a;

	start_agent(&a);
	fetch_submit(a.node->fetcher, &f);
	while (!__atomic_load_n(&is_blocked, __ATOMIC_SEQ_CST))
		usleep(POLL_US);
	order(&a);
	wait_for_order(&a, &after);
	ck_assert_int_eq(__atomic_load_n(&order_count, __ATOMIC_SEQ_CST), 0);
	ck_assert_int_gt(after.not_before, 0);
	stop_agent(&a);
}
END_TEST

/* The engine may run the version of the order now, until it is read back. */
START_TEST(no_calls_after_order_for_replaced_version)
{
	struct activation after;
	struct model_row *m;
	struct agent a;

	start_agent(&a);
	table_lock(&a.weights.models);
	m = table_get(&a.weights.models, a.row);
	activation_set_version(&m->activation, "new", 0);
	activation_record_running(&m->activation, "old", 1, 1, 0, clock_now());
	table_unlock(&a.weights.models);
	order(&a);
	table_lock(&a.weights.models);
	m->swarm_id++;
	activation_set_version(&m->activation, "newest", 0);
	table_unlock(&a.weights.models);
	wait_for_order(&a, &after);
	ck_assert_int_eq(activation_can_serve(&after), 0);
	activation_record_running(&after, "old", 1, 1, 0, clock_now());
	ck_assert_int_eq(activation_can_serve(&after), 1);
	stop_agent(&a);
}
END_TEST

/* The order changed nothing, so the restart has another cause. */
START_TEST(restart_after_refused_connection_is_no_crash)
{
	struct activation after;
	struct agent a;
	apr_time_t now;

	shutdown(engine_fd, SHUT_RDWR);
	close(engine_fd);
	start_agent(&a);
	order(&a);
	wait_for_order(&a, &after);
	now = clock_now();
	ck_assert_int_gt(after.not_before, 0);
	activation_record_running(&after, "", 0, 0, 1, now);
	ck_assert_int_eq(after.has_crashed_here, 0);
	stop_agent(&a);
}
END_TEST

static void start_engine(void)
{
	pthread_t thread;

	order_count = 0;
	is_blocked = 0;
	engine_fd = listen_on_loopback(&engine_port);
	ck_assert_int_eq(listen(engine_fd, 8), 0);
	ck_assert_int_eq(pthread_create(&thread, NULL, serve_engine, NULL), 0);
	pthread_detach(thread);
}

int main(void)
{
	Suite *s = suite_create("engine-order");
	TCase *t = tcase_create("engine-order");
	SRunner *sr = srunner_create(s);
	int failed;

	apr_initialize();
	tcase_add_checked_fixture(t, start_engine, NULL);
	tcase_add_test(t, order_reaches_engine);
	tcase_add_test(t, order_without_answer_ends);
	tcase_add_test(t, order_that_waited_is_not_sent);
	tcase_add_test(t, no_calls_after_order_for_replaced_version);
	tcase_add_test(t, restart_after_refused_connection_is_no_crash);
	suite_add_tcase(s, t);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed != 0;
}
