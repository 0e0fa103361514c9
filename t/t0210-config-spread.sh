#!/bin/sh

test_description='every process applies each new revision, and none an older one

Nine processes in three data centres read from a platform that holds calls
for ever, returns stale, alternating or truncated documents, or is down.
Other cases partition the data centres and kill or pause watchers.'

. "$(dirname "$0")/test-lib.sh"
. "$TEST_DIR/fleet-lib.sh"
. "$TEST_DIR/lib-control.sh"

N1=$(fleet_net 1)
N2=$(fleet_net 2)
N3=$(fleet_net 3)
ALL=
for net in $N1 $N2 $N3; do
	ALL="$ALL $net.11 $net.21 $net.22"
done
FLEET_SEEDS="\"$N1.11\",\"$N2.11\""

control_dc () {
	control_add e$1 entry dc$1 $(fleet_net $1).11
	control_add a$1 agent dc$1 $(fleet_net $1).21
	control_add b$1 agent dc$1 $(fleet_net $1).22
}

fleet_platform_start
for dc in 1 2 3; do
	control_dc $dc
done

test_expect_success '/ready names the configuration while it is missing' '
	wait_until 5 curl -s $N1.11:7102/ready &&
	sleep 1 &&
	curl -s $N1.11:7102/ready >out &&
	jq -e ".waits_for | index(\"configuration\")" out
'

test_expect_success 'every process applies the first revision' '
	fleet_publish_instances &&
	publish 1 &&
	wait_until 6 revision_is 1 $ALL &&
	fleet_ready 6 $ALL
'

test_expect_success 'every process applies a later one; only six watch' '
	publish 2 &&
	wait_until 6 revision_is 2 $ALL &&
	for a in $ALL; do status $a; done |
		jq -s -e "[.[] | select(.config.watches)] | length == 6"
'

test_expect_success 'an invalid revision is rejected, its faults in status' '
	printf "%s" "{\"revision\":3,\"accounts\":[{\"account\":\"a b\"}]}" \
		>bad.json &&
	fleet_publish_config bad.json &&
	wait_until 6 sh -c "for a in $N1.11 $N1.21 $N1.22; do
		curl -s \$a:7102/status; done | jq -s -e \
		\"any(.config.refused_revision == 3 and
		(.config.faults[0] | contains(\\\"accounts[0].account\\\")))\"" &&
	revision_is 2 $ALL &&
	publish 4 &&
	wait_until 6 revision_is 4 $ALL
'

test_expect_success 'a truncated document is ignored until it is complete' '
	fault "{\"config\":\"half\"}" &&
	publish 5 &&
	sleep 2 &&
	revision_is 4 $ALL &&
	fault "{\"config\":\"ok\"}" &&
	wait_until 6 revision_is 5 $ALL
'

test_expect_success 'no process applies an older revision of the platform' '
	publish 6 &&
	wait_until 6 revision_is 6 $ALL &&
	fault "{\"config\":\"stale\"}" &&
	sleep 3 &&
	revision_is 6 $ALL
'

test_expect_success 'nor does a process that restarts meanwhile' '
	kill -KILL $(cat a1.pid) && sleep 0.2 &&
	control_start a1 agent dc1 $N1.21 &&
	fleet_ready 10 $N1.21 &&
	revision_is 6 $N1.21
'

test_expect_success 'with alternating revisions, the newest one stays applied' '
	fault "{\"config\":\"flap\"}" &&
	publish 7 &&
	wait_until 6 revision_is 7 $ALL &&
	sleep 2 &&
	revision_is 7 $ALL
'

test_expect_success 'a watch that the platform never answers times out' '
	fault "{\"config\":\"hold\"}" &&
	sleep 1 &&
	publish 8 &&
	sleep 1 &&
	fault "{\"config\":\"ok\"}" &&
	wait_until 10 revision_is 8 $ALL
'

test_expect_success 'with the platform down, a process starts from its peers' '
	fault "{\"config\":\"down\",\"list\":\"down\"}" &&
	kill -KILL $(cat b2.pid) && sleep 0.2 &&
	control_start b2 agent dc2 $N2.22 &&
	fleet_ready 10 $N2.22 &&
	revision_is 8 $N2.22 &&
	fault "{\"config\":\"ok\",\"list\":\"ok\"}"
'

# partition NET OTHERS...: separates the processes of NET from OTHERS.
partition () {
	partition_net=$1
	shift
	for partition_host in 11 21 22; do
		cut_off $partition_net.$partition_host "$@"
	done
}

test_expect_success 'partitioned: a new instance starts from its neighbours' '
	partition $N1 $PLATFORM $N2. $N3. &&
	partition $N2 $N1. &&
	partition $N3 $N1. &&
	publish 9 &&
	wait_until 6 revision_is 9 $N2.11 $N2.21 $N2.22 $N3.11 $N3.21 $N3.22 &&
	revision_is 8 $N1.11 $N1.21 $N1.22 &&
	kill -KILL $(cat a1.pid) && sleep 0.2 &&
	FLEET_SEEDS="\"$N1.11\",\"$N1.22\"" control_start a1 agent dc1 $N1.21 &&
	wait_until 5 curl -s $N1.21:7102/ready &&
	cut_off $N1.21 $PLATFORM $N2. $N3. &&
	fleet_ready 10 $N1.21
'

test_expect_success 'healed in part: the higher revision reaches everyone' '
	partition $N1 $PLATFORM $N3. &&
	partition $N2 "" &&
	wait_until 8 revision_is 9 $ALL
'

test_expect_success 'three partitions, healed one after the other' '
	partition $N1 $PLATFORM $N2. $N3. &&
	partition $N2 $PLATFORM $N1. $N3. &&
	partition $N3 $N1. $N2. &&
	publish 10 &&
	wait_until 6 revision_is 10 $N3.11 $N3.21 $N3.22 &&
	revision_is 9 $N1.11 $N2.11 &&
	partition $N2 $PLATFORM $N1. &&
	partition $N3 $N1. &&
	wait_until 8 revision_is 10 $N2.11 $N2.21 $N2.22 &&
	revision_is 9 $N1.11 &&
	partition $N1 $PLATFORM $N3. &&
	partition $N2 $PLATFORM &&
	wait_until 8 revision_is 10 $ALL &&
	partition $N1 "" && partition $N2 "" && partition $N3 ""
'

test_expect_success 'three partitions, healed in another order' '
	partition $N1 $N2. $N3. &&
	partition $N2 $PLATFORM $N1. $N3. &&
	partition $N3 $PLATFORM $N1. $N2. &&
	publish 11 &&
	wait_until 6 revision_is 11 $N1.11 $N1.21 $N1.22 &&
	partition $N1 $N2. &&
	partition $N3 $PLATFORM $N2. &&
	wait_until 8 revision_is 11 $N3.11 $N3.21 $N3.22 &&
	revision_is 10 $N2.11 &&
	partition $N2 $PLATFORM $N1. && partition $N3 $PLATFORM &&
	wait_until 8 revision_is 11 $ALL &&
	partition $N1 "" && partition $N2 "" && partition $N3 ""
'

# answering: prints the addresses that answer, one per line.
answering () {
	for answering_at in $ALL; do
		! curl -s -m 1 -o /dev/null $answering_at:7102/ready ||
			echo $answering_at
	done
}

pid_at () {
	cat $(status $1 | jq -r .instance).pid
}

test_expect_success 'half the watchers are killed at the time of a change' '
	for a in $ALL; do
		status $a | jq -e ".config.watch_rank == 0" >/dev/null &&
		pid_at $a || :
	done >watchers &&
	test $(wc -l <watchers) = 3 &&
	publish 12 &&
	kill -KILL $(cat watchers) &&
	answering >survivors &&
	test $(wc -l <survivors) = 6 &&
	wait_until 6 revision_is 12 $(cat survivors) &&
	revisions_increase $(cat survivors)
'

test_expect_success 'other processes watch while the watchers are paused' '
	for net in $N1. $N2. $N3.; do
		pid_at $(grep -F $net survivors | head -1)
	done >stopped &&
	kill -STOP $(cat stopped) &&
	publish 13 &&
	answering >running &&
	cat stopped running &&
	test $(wc -l <running) = 3 &&
	wait_until 8 revision_is 13 $(cat running) &&
	kill -CONT $(cat stopped) &&
	wait_until 8 revision_is 13 $(cat survivors) &&
	revisions_increase $(cat survivors)
'

test_done
