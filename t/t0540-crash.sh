#!/bin/sh

test_description='recovery from silent connections and from a crashing request'
. "$(dirname "$0")/test-lib.sh"
ENGINE_OPTIONS="--fencing --slots 8 --token-ms 5"
. "$TEST_DIR/fleet-lib.sh"
. "$TEST_DIR/calls-lib.sh"

models="$CALLS_NET.31 $CALLS_NET.32 $CALLS_NET.33 $CALLS_NET.34"
GEN=/v1/models/quotes/generate

test_expect_success 'a fleet of four engines and two entries starts' '
	mkdir -p store &&
	model_make m.bin 65536 1 &&
	model_publish store quotes 1 m.bin 16384 >digest &&
	fleet_platform_start &&
	fleet_store_start store &&
	engines_start engines $models &&
	agent_start m-1 dc1 $CALLS_NET.31 model &&
	agent_start m-2 dc1 $CALLS_NET.32 model &&
	agent_start m-3 dc1 $CALLS_NET.33 model &&
	agent_start m-4 dc1 $CALLS_NET.34 model &&
	entry_start e-1 dc1 $ENTRY1 &&
	entry_start e-2 dc1 $ENTRY2 &&
	fleet_publish_instances &&
	calls_config 1 "$(cat digest)" &&
	wait_until 30 routes_are $ENTRY1 4 &&
	wait_until 30 routes_are $ENTRY2 4
'

boots () {
	for a in $models; do
		curl -s -m 2 http://$a:7200/running | jq -r .boot
	done
}

test_expect_success 'calls recover from silent connections within 3 s' '
	for a in $models; do
		fault_at $a "{\"mode\":\"blackhole\",\"address\":\"$a\"}"
	done &&
	caller --entry $ENTRY1 --entry $ENTRY2 --account adubo=$KEY_ADUBO \
		--calls 200 --concurrency 20 --stream-share 0.5 --tokens 8 \
		--seed 1 >summary.json &&
	jq -e ".answers == 200 and .violations == 0" summary.json &&
	for a in $models; do
		curl -s http://$a:7102/status
	done | jq -s -e "[.[].metrics.gate_resumed.silent // 0] | add > 0" &&
	test "$(routes_count $ENTRY1)" = 4 &&
	jq -e ".p99_ms < 3000" summary.json
'

test_expect_success 'a crashing request takes down at most two upstreams' '
	boots >before &&
	for round in 1 2 3 4 5 6 7 8 9 10 11 12; do
		for entry in $ENTRY1 $ENTRY2; do
			call $entry $GEN -d "{\"prompt\":\"x @crash y\"}" >out.$round.$entry &
			waits="$waits $!"
		done
		test $round -lt 6 || sleep 0.4
	done &&
	wait $waits
	cat out.*
	wait_until 10 boots &&
	sleep 2 &&
	boots >after &&
	test_cmp before after >differs || true
	test "$(grep -c "^+[0-9a-f]" differs)" -le 2 &&
	test "$(grep -c "^+[0-9a-f]" differs)" -ge 1 &&
	call $ENTRY1 $GEN -d "{\"prompt\":\"x @crash y\"}" >out &&
	test "$(jq -r .outcome out)" = not-run &&
	test "$(jq -r .reason out)" = crashing-request &&
	test "$(header_of Retry-After)" -gt 0
'

test_done
