#!/bin/sh

test_description='entries of two data centres tell each other of crashing parts

t/helper/crash-node.c runs the list of crash items with the configuration and
the membership.'

. "$(dirname "$0")/test-lib.sh"
. "$TEST_DIR/fleet-lib.sh"
. "$TEST_DIR/lib-control.sh"

N1=$(fleet_net 1)
N2=$(fleet_net 2)
ENTRY_1=$N1.11
ENTRY_2=$N1.12
FAR_ENTRY=$N2.11

crash_start () {
	instance_add "$1" entry "$2" "$3"
	entry_settings "$1" "$2" "$3" >"$1.json"
	start "$1" crash-node --settings "$1.json"
}

post () {
	curl -s -f -m 2 -X POST "http://$1:7102/crash/$2" >/dev/null
}

# verdict_is VERDICT PART ADDRESS...: each process has that verdict on the part.
verdict_is () {
	is_verdict=$1
	is_part=$2
	shift 2
	for is_address; do
		curl -s -m 2 "http://$is_address:7102/crash/check?part=$is_part" |
			jq -e ".verdict == $is_verdict" >/dev/null || return 1
	done
}

messages () {
	for at in $ENTRY_1 $ENTRY_2 $FAR_ENTRY; do
		status $at
	done | jq -s "[.[].metrics.crash_messages // 0] | add"
}

fleet_platform_start
publish 1
crash_start e1 dc1 $ENTRY_1
crash_start e2 dc1 $ENTRY_2
crash_start e9 dc2 $FAR_ENTRY
fleet_publish_instances

test_expect_success 'the entries become ready and know each other' '
	wait_until 30 ready $ENTRY_1 &&
	wait_until 30 ready $ENTRY_2 &&
	wait_until 30 ready $FAR_ENTRY &&
	wait_until 30 has_member $ENTRY_1 e9 &&
	wait_until 30 has_member $ENTRY_1 e2 &&
	wait_until 30 has_member $ENTRY_2 e9 &&
	wait_until 30 has_member $FAR_ENTRY e1 &&
	wait_until 30 has_member $FAR_ENTRY e2
'

# Guards against: messages while there is nothing to tell.
test_expect_success 'no message is sent before a death' '
	sleep 2 &&
	before=$(messages) &&
	sleep 2 &&
	test "$(messages)" = "$before"
'

# Guards against: each entry counts its own share of the crashes only.
test_expect_success 'crashes that each entry saw one of are blamed by all' '
	post $ENTRY_1 "died?upstream=u1&boot=1&part=bad" &&
	sleep 0.2 &&
	post $ENTRY_2 "died?upstream=u2&boot=1&part=bad" &&
	sleep 0.2 &&
	post $FAR_ENTRY "died?upstream=u3&boot=1&part=bad" &&
	wait_until 10 verdict_is 2 bad $ENTRY_1 $ENTRY_2 $FAR_ENTRY &&
	verdict_is 0 other $ENTRY_1 $ENTRY_2 $FAR_ENTRY &&
	status $ENTRY_1 | jq -e ".crash.blamed | length == 1 and
		.[0].kind == \"part\" and .[0].deaths == 3"
'

# Guards against: a sound answer at one entry doesn't acquit at the others.
test_expect_success 'a sound answer acquits everywhere' '
	post $ENTRY_1 "died?upstream=u1&boot=2&part=rare" &&
	sleep 0.2 &&
	post $ENTRY_1 "died?upstream=u2&boot=2&part=rare" &&
	wait_until 10 verdict_is 1 rare $ENTRY_2 $FAR_ENTRY &&
	post $FAR_ENTRY "sound?part=rare" &&
	wait_until 10 verdict_is 0 rare $ENTRY_1 $ENTRY_2 $FAR_ENTRY
'

# Guards against: a restarted entry serves before it knows the blames.
test_expect_success 'a restarted entry has the blames when it is ready' '
	control_kill e9 &&
	wait_until 10 fleet_has_exited e9 &&
	start e9 crash-node --settings e9.json &&
	wait_until 30 ready $FAR_ENTRY &&
	verdict_is 2 bad $FAR_ENTRY
'

test_done
