#!/bin/sh

test_description='a revision reaches every process and none goes back

Nine processes in three data centres against a platform that is slow, stale,
flapping, cut short or gone.'

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

test_expect_success 'with nothing to start from /ready says so and waits' '
	wait_until 5 curl -s $N1.11:7102/ready &&
	sleep 1 &&
	curl -s $N1.11:7102/ready >out &&
	jq -e ".waits_for | index(\"configuration\")" out
'

test_expect_success 'the first revision is put in force everywhere' '
	fleet_publish_instances &&
	publish 1 &&
	wait_until 6 revision_is 1 $ALL &&
	fleet_ready 6 $ALL
'

test_expect_success 'a later one too, and few processes ask the platform' '
	publish 2 &&
	wait_until 6 revision_is 2 $ALL &&
	for a in $ALL; do status $a; done |
		jq -s -e "[.[] | select(.config.watches)] | length == 6"
'

test_expect_success 'an invalid one is refused whole and named in status' '
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

test_expect_success 'half a document changes nothing; the whole one comes' '
	fault "{\"config\":\"half\"}" &&
	publish 5 &&
	sleep 2 &&
	revision_is 4 $ALL &&
	fault "{\"config\":\"ok\"}" &&
	wait_until 6 revision_is 5 $ALL
'

test_expect_success 'a platform that goes back takes nobody back' '
	publish 6 &&
	wait_until 6 revision_is 6 $ALL &&
	fault "{\"config\":\"stale\"}" &&
	sleep 3 &&
	revision_is 6 $ALL
'

test_expect_success 'nor a process that starts while it does' '
	kill -KILL $(cat a1.pid) && sleep 0.2 &&
	control_start a1 agent dc1 $N1.21 &&
	fleet_ready 10 $N1.21 &&
	revision_is 6 $N1.21
'

test_expect_success 'a platform that flaps delivers the newest only' '
	fault "{\"config\":\"flap\"}" &&
	publish 7 &&
	wait_until 6 revision_is 7 $ALL &&
	sleep 2 &&
	revision_is 7 $ALL
'

test_expect_success 'a watch held for ever is given up' '
	fault "{\"config\":\"hold\"}" &&
	sleep 1 &&
	publish 8 &&
	sleep 1 &&
	fault "{\"config\":\"ok\"}" &&
	wait_until 10 revision_is 8 $ALL
'

test_expect_success 'a platform down: a process starts from its peers' '
	fault "{\"config\":\"down\",\"list\":\"down\"}" &&
	kill -KILL $(cat b2.pid) && sleep 0.2 &&
	control_start b2 agent dc2 $N2.22 &&
	fleet_ready 10 $N2.22 &&
	revision_is 8 $N2.22 &&
	fault "{\"config\":\"ok\",\"list\":\"ok\"}"
'

# part NET OTHERS...: cuts the processes of NET off from OTHERS.
part () {
	part_net=$1
	shift
	for part_host in 11 21 22; do
		cut_off $part_net.$part_host "$@"
	done
}

test_expect_success 'cut off: a fresh instance gets it from a neighbour' '
	part $N1 $PLATFORM $N2. $N3. &&
	part $N2 $N1. &&
	part $N3 $N1. &&
	publish 9 &&
	wait_until 6 revision_is 9 $N2.11 $N2.21 $N2.22 $N3.11 $N3.21 $N3.22 &&
	revision_is 8 $N1.11 $N1.21 $N1.22 &&
	kill -KILL $(cat a1.pid) && sleep 0.2 &&
	FLEET_SEEDS="\"$N1.11\",\"$N1.22\"" control_start a1 agent dc1 $N1.21 &&
	wait_until 5 curl -s $N1.21:7102/ready &&
	cut_off $N1.21 $PLATFORM $N2. $N3. &&
	fleet_ready 10 $N1.21
'

test_expect_success 'healed towards a neighbour only, the higher one wins' '
	part $N1 $PLATFORM $N3. &&
	part $N2 "" &&
	wait_until 8 revision_is 9 $ALL
'

test_expect_success 'three ways apart, healed one after the other' '
	part $N1 $PLATFORM $N2. $N3. &&
	part $N2 $PLATFORM $N1. $N3. &&
	part $N3 $N1. $N2. &&
	publish 10 &&
	wait_until 6 revision_is 10 $N3.11 $N3.21 $N3.22 &&
	revision_is 9 $N1.11 $N2.11 &&
	part $N2 $PLATFORM $N1. &&
	part $N3 $N1. &&
	wait_until 8 revision_is 10 $N2.11 $N2.21 $N2.22 &&
	revision_is 9 $N1.11 &&
	part $N1 $PLATFORM $N3. &&
	part $N2 $PLATFORM &&
	wait_until 8 revision_is 10 $ALL &&
	part $N1 "" && part $N2 "" && part $N3 ""
'

test_expect_success 'and healed in the other order' '
	part $N1 $N2. $N3. &&
	part $N2 $PLATFORM $N1. $N3. &&
	part $N3 $PLATFORM $N1. $N2. &&
	publish 11 &&
	wait_until 6 revision_is 11 $N1.11 $N1.21 $N1.22 &&
	part $N1 $N2. &&
	part $N3 $PLATFORM $N2. &&
	wait_until 8 revision_is 11 $N3.11 $N3.21 $N3.22 &&
	revision_is 10 $N2.11 &&
	part $N2 $PLATFORM $N1. && part $N3 $PLATFORM &&
	wait_until 8 revision_is 11 $ALL &&
	part $N1 "" && part $N2 "" && part $N3 ""
'

# answering: the addresses that answer, one a line.
answering () {
	for answering_at in $ALL; do
		! curl -s -m 1 -o /dev/null $answering_at:7102/ready ||
			echo $answering_at
	done
}

pid_at () {
	cat $(status $1 | jq -r .instance).pid
}

test_expect_success 'half the watchers die at the moment of a change' '
	for a in $ALL; do
		status $a | jq -e ".config.watch_rank == 0" >/dev/null &&
		pid_at $a || :
	done >watchers &&
	test $(wc -l <watchers) = 3 &&
	publish 12 &&
	kill -KILL $(cat watchers) &&
	answering >left &&
	test $(wc -l <left) = 6 &&
	wait_until 6 revision_is 12 $(cat left) &&
	never_lower $(cat left)
'

test_expect_success 'watchers that pause together are replaced' '
	for net in $N1. $N2. $N3.; do
		pid_at $(grep -F $net left | head -1)
	done >stopped &&
	kill -STOP $(cat stopped) &&
	publish 13 &&
	answering >running &&
	test $(wc -l <running) = 3 &&
	wait_until 8 revision_is 13 $(cat running) &&
	kill -CONT $(cat stopped) &&
	wait_until 8 revision_is 13 $(cat left) &&
	never_lower $(cat left)
'

test_done
