#!/bin/sh

test_description='a draining upstream gets no new calls while the list lags

Guards against calls to an upstream that is draining.  The instance list
shows it as leaving only after 10 s, and one entry is stopped while the
agent announces the drain.'

. "$(dirname "$0")/test-lib.sh"
ENGINE_OPTIONS='--fencing --slots 64 --token-ms 10'
. "$TEST_DIR/fleet-lib.sh"
. "$TEST_DIR/calls-lib.sh"

ENTRY3=$CALLS_NET.103
LEAVING=$CALLS_NET.31
LEAVING_PLAIN=$CALLS_NET.41

routes_all () {
	for routes_at in $ENTRY1 $ENTRY2 $ENTRY3; do
		routes_are $routes_at 4 || return 1
	done
}

# Counts are per process, so each upstream is a process of its own.
test_expect_success 'a fleet of 3 entries and 4 agents starts' '
	mkdir store &&
	model_make m.bin 65536 1 &&
	model_publish store quotes 1 m.bin 16384 >digest &&
	fleet_platform_start &&
	fleet_store_start store &&
	engines_start engine-1 $LEAVING &&
	engines_start engine-2 $CALLS_NET.32 &&
	plain_start plain-1 $LEAVING_PLAIN &&
	plain_start plain-2 $CALLS_NET.42 &&
	agent_start m-1 dc1 $LEAVING model &&
	agent_start m-2 dc1 $CALLS_NET.32 model &&
	agent_start p-1 dc1 $LEAVING_PLAIN plain &&
	agent_start p-2 dc1 $CALLS_NET.42 plain &&
	entry_start e-1 dc1 $ENTRY1 &&
	entry_start e-2 dc1 $ENTRY2 &&
	entry_start e-3 dc1 $ENTRY3 &&
	fleet_publish_instances &&
	calls_config 1 "$(cat digest)" &&
	wait_until 30 routes_all &&
	fleet_fault $PLATFORM_URL "{\"list_lag_ms\":10000}"
'

calls_at () {
	curl -s -f http://$1:7200/standin/counts | jq .calls
}

plain_runs_at () {
	curl -s -f http://$1:7200/standin/runs | jq ".requests | length"
}

leave () {
	sed "s/\(\"id\":\"[mp]-1\".*\)live/\1leaving/" instances.rows |
		jq -cs . >instances.json &&
	curl -s -f -X PUT --data-binary @instances.json \
		$PLATFORM_URL/standin/instances &&
	fleet_signal e-3 STOP &&
	for a in $LEAVING $LEAVING_PLAIN; do
		curl -s -f -o /dev/null -X POST http://$a:7102/drain || return 1
	done
	sleep 2
	calls_at $LEAVING >calls-1
	plain_runs_at $LEAVING_PLAIN >runs-1
	calls_at $CALLS_NET.32 >calls-2
	fleet_signal e-3 CONT
}

test_expect_success 'two agents are drained under load' '
	{ sleep 2; leave; } >leave.log 2>&1 &
	content=$(sha256sum <m.bin | cut -d" " -f1) &&
	caller --entry $ENTRY1 --entry $ENTRY2 --entry $ENTRY3 \
		--account adubo=$KEY_ADUBO --content "$(cat digest)=$content" \
		--seed 1 --seconds 9 --rate 80 --plain-share 0.4 \
		--ticket-share 0 --key-share 0 --sessions 8 --tokens 60 \
		--stream-share 0.7 --concurrency 400 --attempts 20 \
		--repeat-ms 300 --repeat-not-run --timeout-ms 20000 \
		--history history.jsonl >summary.json
	wait
	cat summary.json leave.log &&
	cat calls-1 runs-1
'

test_expect_success 'their upstreams get no new calls after 2 s' '
	test "$(cat calls-1)" -gt 0 &&
	test "$(cat runs-1)" -gt 0 &&
	test "$(calls_at $LEAVING)" = "$(cat calls-1)" &&
	test "$(plain_runs_at $LEAVING_PLAIN)" = "$(cat runs-1)"
'

test_expect_success 'the others serve the load and every call is answered' '
	test "$(calls_at $CALLS_NET.32)" -gt $(($(cat calls-2) + 100)) &&
	jq -e ".violations == 0 and .unknown == 0 and .answers == .calls" \
		summary.json
'

test_done
