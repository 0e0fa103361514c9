#!/bin/sh

test_description='membership of a fleet of real processes

Runs two data centres and checks the specified bounds: a crash is detected
within 3 s, a draining upstream gets no new requests after 2 s.'

. "$(dirname "$0")/test-lib.sh"
. "$TEST_DIR/fleet-lib.sh"
. "$TEST_DIR/lib-control.sh"

N1=$(fleet_net 1)
N2=$(fleet_net 2)
ENTRY_1=$N1.11
ENTRY_2=$N1.12
AGENT_1=$N1.21
AGENT_2=$N1.22
AGENT_3=$N1.23
FAR_ENTRY=$N2.11
FAR_AGENT=$N2.21

# report ADDRESS ID FILTER: applies FILTER to the report of agent ID in the
# status of the process at ADDRESS.
report () {
	status $1 | jq -e --arg id "$2" \
		".members.upstreams[] | select(.instance == \$id) | $3"
}

reported () {
	report $1 $2 '.heard_ms >= 0 and .heard_ms < 2500'
}

# deaths: prints the log lines in which the two paused processes mark
# running instances as dead.
deaths () {
	grep -E '"peer":"(e1|e2|e9|a1|c2|a3|a9)","message":"is dead' \
		e1.out a1.out || :
}

# failures: counts failed exchanges of all kinds at all processes; whichever
# exchange is first after a connection went silent fails.
failures () {
	for failures_at in $ENTRY_1 $ENTRY_2 $AGENT_1 $AGENT_2 $FAR_ENTRY; do
		status $failures_at
	done | jq -s "[.[].metrics | .member_report_failures,
		.member_silent_connections, .config_exchange_failures] |
		map(. // 0) | add"
}

fleet_platform_start
publish 1
control_add e1 entry dc1 $ENTRY_1
control_add e2 entry dc1 $ENTRY_2
control_add a1 agent dc1 $AGENT_1
control_add a2 agent dc1 $AGENT_2
control_add e9 entry dc2 $FAR_ENTRY
control_add a9 agent dc2 $FAR_AGENT
# a3 uses a different port; relays translate in both directions.
instance_add a3 agent dc1 $AGENT_3 a3
agent_settings a3 dc1 $AGENT_3 plain |
	jq '.ports = {rpc: 7201}' >a3.json
start a3 control-node agent --settings a3.json
start relay tcp-relay $AGENT_3 7101 7201
for peer in $ENTRY_1 $ENTRY_2 $AGENT_1 $AGENT_2 $FAR_ENTRY $FAR_AGENT; do
	start relay-$peer tcp-relay $peer 7201 7101
done
fleet_publish_instances

test_expect_success 'entries get reports of local and remote agents' '
	for e in $ENTRY_1 $ENTRY_2; do
		for a in a1 a2 a3 a9; do wait_until 8 reported $e $a; done
	done
'

test_expect_success 'a silent connection marks no instance dead' '
	failures >before &&
	kill -USR1 $(cat relay.pid) &&
	sleep 3 &&
	wait_until 5 reported $ENTRY_1 a3 &&
	! grep "\"peer\":\"a3\",\"message\":\"is dead" *.out &&
	test $(failures) -gt $(cat before)
'

test_expect_success 'a crash is detected within 3 s in its data centre' '
	control_kill a1 &&
	wait_until 3 member_state_is_all dead a1 $ENTRY_1 $ENTRY_2 $AGENT_2 $AGENT_3 &&
	wait_until 5 member_state_is_all dead a1 $FAR_ENTRY $FAR_AGENT &&
	! report $ENTRY_1 a1 .
'

test_expect_success 'a list with a dead instance as live changes nothing' '
	instance_add late agent dc1 $N1.99 &&
	fleet_publish_instances &&
	wait_until 5 has_member $ENTRY_1 late &&
	sleep 1 &&
	member_state_is_all dead a1 $ENTRY_1 $ENTRY_2
'

test_expect_success 'a listed instance that never started becomes dead' '
	wait_until 5 member_state_is_all dead late $ENTRY_1 $ENTRY_2
'

test_expect_success 'a restarted instance is live with its new boot' '
	control_start a1 agent dc1 $AGENT_1 &&
	wait_until 5 member_state_is_all live a1 $ENTRY_1 $ENTRY_2 $AGENT_2 &&
	wait_until 3 reported $ENTRY_1 a1
'

test_expect_success 'a list without a live instance changes nothing' '
	grep -v "\"a2\"" instances.rows >fewer &&
	cp instances.rows all.rows &&
	cp fewer instances.rows &&
	fleet_publish_instances &&
	wait_until 5 sh -c "curl -s $ENTRY_1:7102/status | jq -e \
		\".members.instances[] | select(.id == \\\"a2\\\") |
		.listed | not\"" &&
	sleep 2 &&
	member_state_is_all live a2 $ENTRY_1 $ENTRY_2 &&
	reported $ENTRY_1 a2 &&
	cp all.rows instances.rows &&
	fleet_publish_instances
'

test_expect_success 'a draining upstream is marked within 2 s' '
	curl -s -f -X POST $AGENT_2:7102/drain >/dev/null &&
	wait_until 2 sh -c "for e in $ENTRY_1 $ENTRY_2; do
		curl -s \$e:7102/status; done | jq -s -e \
		\"[.[].members.upstreams[] | select(.instance == \\\"a2\\\") |
		.draining] | length <= 2 and all\"" &&
	wait_until 2 member_state_is_all leaving a2 $ENTRY_1 $ENTRY_2 $AGENT_1
'

test_expect_success 'draining takes precedence over live in the list' '
	instance_add later agent dc2 $N2.99 &&
	fleet_publish_instances &&
	wait_until 5 has_member $ENTRY_1 later &&
	sleep 1 &&
	member_state_is_all leaving a2 $ENTRY_1 $ENTRY_2
'

test_expect_success 'another instance at the address of a dead one' '
	control_kill a2 &&
	wait_until 3 member_state_is_all dead a2 $ENTRY_1 $ENTRY_2 &&
	control_add c2 agent dc1 $AGENT_2 &&
	fleet_publish_instances &&
	wait_until 8 member_state_is_all live c2 $ENTRY_1 $ENTRY_2 $AGENT_1 &&
	wait_until 5 reported $ENTRY_1 c2 &&
	member_state_is_all dead a2 $ENTRY_1 $ENTRY_2
'

test_expect_success 'processes paused for 5 s mark no instance dead' '
	deaths >before &&
	kill -STOP $(cat e1.pid) $(cat a1.pid) &&
	sleep 5 &&
	kill -CONT $(cat e1.pid) $(cat a1.pid) &&
	sleep 4 &&
	deaths >after &&
	test_cmp before after &&
	member_state_is_all live c2 $ENTRY_1 &&
	member_state_is_all live a1 $ENTRY_1 $ENTRY_2 &&
	member_state_is_all live e1 $ENTRY_2 $AGENT_1 &&
	reported $ENTRY_1 c2
'

test_expect_success 'partitioned instances reconnect after the partition' '
	cut_off $ENTRY_1 $AGENT_1 &&
	cut_off $AGENT_1 $ENTRY_1 &&
	wait_until 5 member_state_is $ENTRY_1 a1 dead &&
	cut_off $ENTRY_1 "" && cut_off $AGENT_1 "" &&
	wait_until 8 member_state_is_all live a1 $ENTRY_1 $ENTRY_2 &&
	wait_until 3 reported $ENTRY_1 a1
'

test_expect_success 'a clock that is an hour off makes no difference' '
	cat >clock.c <<-\EOC &&
	#define _GNU_SOURCE
	#include <dlfcn.h>
	#include <sys/time.h>
	#include <time.h>
	int clock_gettime(clockid_t id, struct timespec *ts)
	{
		int (*real)(clockid_t, struct timespec *) =
			dlsym(RTLD_NEXT, "clock_gettime");
		int ret = real(id, ts);
		if (id == CLOCK_REALTIME)
			ts->tv_sec -= 3600;
		return ret;
	}
	int gettimeofday(struct timeval *tv, void *zone)
	{
		struct timespec ts;
		clock_gettime(CLOCK_REALTIME, &ts);
		tv->tv_sec = ts.tv_sec;
		tv->tv_usec = ts.tv_nsec / 1000;
		return 0;
	}
	EOC
	gcc -shared -fPIC -o clock.so clock.c -ldl &&
	control_kill c2 &&
	agent_settings c2 dc1 $AGENT_2 plain >c2.json &&
	sleep 0.2 &&
	start c2 env LD_PRELOAD=./clock.so \
		ASAN_OPTIONS=verify_asan_link_order=0 control-node agent --settings c2.json &&
	publish 2 &&
	wait_until 6 revision_is 2 $AGENT_2 $ENTRY_1 &&
	wait_until 6 member_state_is_all live c2 $ENTRY_1 $ENTRY_2 &&
	wait_until 3 reported $ENTRY_1 c2 &&
	at=$(status $AGENT_2 | jq ".config.changes[-1].at_ms") &&
	test $(($(date +%s000) - at)) -gt 3000000
'

test_done
