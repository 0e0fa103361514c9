#!/bin/sh

test_description='answers and outcomes under faults, checked against actual runs'
. "$(dirname "$0")/test-lib.sh"
. "$TEST_DIR/fleet-lib.sh"
. "$TEST_DIR/calls-lib.sh"

CALLS=${CALLS:-2400}
RATE=${RATE:-200}
SEED=${SEED:-5}
ROUNDS=${ROUNDS:-1} # how often the faults are injected
# ANSWERED: minimum ratio of calls that must be answered, 0.8 by default
NET2=$(fleet_net 2)
E2=$NET2.101
models="$CALLS_NET.31 $CALLS_NET.32 $NET2.31"
plains="$CALLS_NET.41 $CALLS_NET.42 $NET2.41"

agents_start () {
	agent_start m-1 dc1 $CALLS_NET.31 model &&
	agent_start m-2 dc1 $CALLS_NET.32 model &&
	agent_start m-3 dc2 $NET2.31 model &&
	agent_start p-1 dc1 $CALLS_NET.41 plain &&
	agent_start p-2 dc1 $CALLS_NET.42 plain &&
	agent_start p-3 dc2 $NET2.41 plain
}

# daemon_restart NAME PROGRAM: kills a daemon and restarts it after 0.5 s.
daemon_restart () {
	kill -KILL "$(pid_of "$1")"
	sleep 0.5
	start "$1" "$2" --settings "$1.json"
}

# daemon_pause NAME SECONDS: stops a daemon for that time with SIGSTOP.
daemon_pause () {
	kill -STOP "$(pid_of "$1")"
	sleep "$2"
	kill -CONT "$(pid_of "$1")"
}

# partition ADDRESS PREFIX...: the process at ADDRESS drops all traffic with
# addresses of these prefixes; without prefixes, the partition ends.
partition () {
	partition_address=$1
	shift
	jq -cn '$ARGS.positional' --args "$@" |
		curl -s -f -o /dev/null -d @- http://$partition_address:7102/cut
}

inject_faults () {
	sleep 1
	fault_at $CALLS_NET.41 '{"mode":"blackhole"}'
	fault_at $CALLS_NET.31 '{"mode":"blackhole"}'
	sleep 1
	daemon_restart p-1 limpet-agent
	daemon_pause p-2 1.5
	fault_at $CALLS_NET.42 '{"mode":"crash"}'
	sleep 0.5
	daemon_restart e-2 limpet-entry
	daemon_pause m-1 1.5
	for a in $E2 $NET2.31 $NET2.41; do
		partition $a $CALLS_NET
	done
	sleep 1.5
	for a in $E2 $NET2.31 $NET2.41; do
		partition $a
	done
	daemon_pause e-1 1.2
	daemon_restart m-2 limpet-agent
	daemon_pause p-3 1.5
	fault_at $CALLS_NET.41 '{"mode":"500"}'
	sleep 0.3
	fault_at $CALLS_NET.41 '{"mode":"ok"}'
}

test_expect_success 'a fleet in two data centres starts' '
	mkdir -p store &&
	model_make m.bin 65536 1 &&
	model_publish store quotes 1 m.bin 16384 >digest &&
	fleet_platform_start &&
	fleet_store_start store &&
	engines_start engines $models &&
	start plain standin-plain --port 7200 --delay-ms 5 \
		--address $CALLS_NET.41 --address $CALLS_NET.42 \
		--address $NET2.41 &&
	agents_start &&
	entry_start e-1 dc1 $ENTRY1 &&
	entry_start e-2 dc2 $E2 &&
	fleet_publish_instances &&
	calls_config 1 "$(cat digest)" 600 &&
	wait_until 30 routes_are $ENTRY1 6 &&
	wait_until 30 routes_are $E2 6
'

test_expect_success 'no answer or outcome contradicts the actual runs' '
	for round in $(seq 1 $ROUNDS); do
		inject_faults
	done >faults.log 2>&1 &
	content=$(sha256sum <m.bin | cut -d" " -f1) &&
	caller --entry $ENTRY1 --entry $E2 --account adubo=$KEY_ADUBO \
		--content "$(cat digest)=$content" --seed $SEED \
		--calls $CALLS --rate $RATE --plain-share 0.6 \
		--stream-share 0.5 --ticket-share 0.5 --key-share 0.25 \
		--double-share 0.2 --attempts 4 --repeat-ms 300 \
		--repeat-not-run --timeout-ms 8000 --deadline-ms 3000 \
		--concurrency 2000 --tokens 6 --history history.jsonl \
		>summary.json
	cat summary.json
	wait
	sleep 6
	curl -s http://$CALLS_NET.31:7200/standin/runs >engine-runs.json &&
	curl -s http://$CALLS_NET.41:7200/standin/runs >plain-runs.json &&
	python3 "$TEST_DIR/helper/history-check.py" \
		--engine-runs engine-runs.json --plain-runs plain-runs.json \
		history.jsonl
'

test_expect_success 'most calls are answered despite the faults' '
	jq -e ".answers > ${ANSWERED:-0.8} * .calls" summary.json
'

test_done
