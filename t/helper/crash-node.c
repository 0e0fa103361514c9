#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "calls/crash.h"
#include "config/config.h"
#include "member/member.h"
#include "net/daemon.h"

/*
 * Usage: crash-node --settings FILE
 *
 * An entry that runs the configuration, membership and the list of crash items
 * only.  Operators' requests stand for what happens to calls:
 *
 * POST /crash/died?upstream=NAME&boot=NUMBER&part=NAME
 * POST /crash/sound?part=NAME
 * GET /crash/check?part=NAME    answers {"verdict": 0, 1 or 2}
 */

#define RUN_US (20 * 1000)

static struct crash_list *crashes;

static void read_items(struct http_call *c, struct crash_items *s)
{
	const char *part = http_call_query(c, "part");

	crash_items_init(s, "account");
	if (part)
		crash_items_add_part(s, part, strlen(part));
}

static void serve_died(struct http_call *c, void *arg)
{
	const char *upstream = http_call_query(c, "upstream");
	const char *boot = http_call_query(c, "boot");
	apr_time_t now = clock_now();
	struct crash_run run;

	(void)arg;
	memset(&run, 0, sizeof(run));
	read_items(c, &run.items);
	run.sent_at = now - RUN_US;
	if (upstream && boot)
		crash_record_runs(crashes, upstream, strtoull(boot, NULL, 10),
				  &run, 1, now);
	http_call_reply_json(c, 200, json_object());
}

static void serve_sound(struct http_call *c, void *arg)
{
	struct crash_items s;

	(void)arg;
	read_items(c, &s);
	crash_record_sound(crashes, &s, clock_now());
	http_call_reply_json(c, 200, json_object());
}

static void serve_check(struct http_call *c, void *arg)
{
	struct crash_finding f;
	struct crash_items s;
	enum crash_verdict v;

	(void)arg;
	read_items(c, &s);
	v = crash_check_items(crashes, &s, clock_now(), &f);
	http_call_reply_json(c, 200, json_pack("{s:i}", "verdict", (int)v));
}

static int crash_node_start(struct node *n, struct error *err)
{
	if (config_start(n, err) || member_start(n, err) ||
	    crash_start_entries(n, &crashes, err))
		return -1;
	node_add_operator_route(n, "POST", "/crash/died", 0, serve_died, NULL);
	node_add_operator_route(n, "POST", "/crash/sound", 0, serve_sound,
				NULL);
	node_add_operator_route(n, "GET", "/crash/check", 0, serve_check, NULL);
	return 0;
}

int main(int argc, const char **argv)
{
	return daemon_main(argc, argv, "crash-node", ROLE_ENTRY,
			   crash_node_start);
}
