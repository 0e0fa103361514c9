#!/bin/sh

test_description='thousands of open streams do not need a thread each'
. "$(dirname "$0")/test-lib.sh"
ENGINE_OPTIONS="--fencing --slots 2000 --token-ms 250"
. "$TEST_DIR/fleet-lib.sh"
. "$TEST_DIR/calls-lib.sh"

models="$CALLS_NET.31 $CALLS_NET.32"
STREAMS=2000
ulimit -n "$(ulimit -H -n)"

test_expect_success 'two engines and an entry start' '
	mkdir -p store &&
	model_make m.bin 65536 1 &&
	model_publish store quotes 1 m.bin 16384 >digest &&
	fleet_platform_start &&
	fleet_store_start store &&
	engines_start engines $models &&
	agent_start m-1 dc1 $CALLS_NET.31 model &&
	agent_start m-2 dc1 $CALLS_NET.32 model &&
	entry_start e-1 dc1 $ENTRY1 &&
	fleet_publish_instances &&
	calls_config 1 "$(cat digest)" &&
	wait_until 30 routes_are $ENTRY1 2
'

in_flight_all () {
	test "$(curl -s http://$ENTRY1:7102/status | jq .calls.in_flight)" = \
		$STREAMS
}

test_expect_success 'all streams are open at once, on few threads, and complete' '
	start load caller --history history.jsonl --entry $ENTRY1 --account adubo=$KEY_ADUBO \
		--calls $STREAMS --concurrency $STREAMS --stream-share 1 \
		--tokens 40 --timeout-ms 60000 --deadline-ms 50000 --threads 2 \
		--attempts 50 --repeat-not-run --repeat-ms 200 &&
	wait_until 8 in_flight_all &&
	threads=$(ls /proc/$(pid_of e-1)/task | wc -l) &&
	echo "threads: $threads" &&
	test "$threads" -lt 64 &&
	grep VmRSS /proc/$(pid_of e-1)/status &&
	grep VmRSS /proc/$(pid_of m-1)/status &&
	test "$(awk "/VmRSS/ {print \$2}" /proc/$(pid_of m-1)/status)" -lt 262144 &&
	wait_until 30 grep -q violations load.out &&
	cat load.out &&
	jq -e ".answers == $STREAMS and .violations == 0" load.out
'

test_done
