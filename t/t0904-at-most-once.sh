#!/bin/sh

test_description='a call that may not be repeated runs at most once

Callers repeat after timeouts and send calls twice at once through the
entries of two data centres, while agents and entries die and come back,
sleep and wake up late, and the data centres part and heal.'

. "$(dirname "$0")/test-lib.sh"
. "$TEST_DIR/fleet-lib.sh"
. "$TEST_DIR/calls-lib.sh"

NET2=$(fleet_net 2)
E3=$NET2.101
plains="$CALLS_NET.41 $CALLS_NET.42 $NET2.41"
SECOND="$E3 $NET2.41"
KEY_LIFETIME_S=6 # beyond the last repeat of a caller, 3 attempts of 0.8 s
NO_MANIFEST=$(printf none | sha256sum | cut -d' ' -f1)

routes_all () {
	for routes_at in $ENTRY1 $ENTRY2 $E3; do
		routes_are $routes_at 3 || return 1
	done
}

# key_taken: a key alone is accepted, as its lifetime has passed once.
key_taken () {
	call $1 /v1/services/billing/charge -d "{}" \
		-H "Idempotency-Key: warm-$(date +%N)" >out &&
	test "$(status_of)" = 200
}

# runs ENTRY: it gets a call of its own answered.
runs () {
	call $1 /v1/services/billing/charge -d "{}" >out &&
	test "$(status_of)" = 200
}

test_expect_success 'a fleet in two data centres starts' '
	fleet_platform_start &&
	start plain standin-plain --port 7200 --delay-ms 60 \
		--address $CALLS_NET.41 --address $CALLS_NET.42 \
		--address $NET2.41 &&
	agent_start p-1 dc1 $CALLS_NET.41 plain &&
	agent_start p-2 dc1 $CALLS_NET.42 plain &&
	agent_start p-3 dc2 $NET2.41 plain &&
	entry_start e-1 dc1 $ENTRY1 &&
	entry_start e-2 dc1 $ENTRY2 &&
	entry_start e-3 dc2 $E3 &&
	fleet_publish_instances &&
	calls_config 1 $NO_MANIFEST $KEY_LIFETIME_S &&
	wait_until 30 routes_all
'

# The lifetime and the 10 s in which agents must have heard of each other.
test_expect_success 'a key alone is accepted once its lifetime has passed' '
	wait_until 20 key_taken $ENTRY1
'

part () {
	for part_at in $SECOND; do
		fleet_cut $part_at "$@"
	done
}

faults () {
	sleep 1.5
	fleet_restart p-1 limpet-agent KILL
	fleet_restart e-2 limpet-entry KILL
	fleet_pause 3 p-2
	part $CALLS_NET.
	fleet_fault http://$CALLS_NET.41:7200 "{\"mode\":\"hang\"}"
	sleep 1
	fleet_fault http://$CALLS_NET.41:7200 "{\"mode\":\"ok\"}"
	fleet_restart p-2 limpet-agent KILL
	sleep 1
	part
	fleet_pause 3 p-3 e-1
	fleet_restart e-3 limpet-entry KILL
	fleet_restart p-3 limpet-agent KILL
}

test_expect_success 'no call and no key ran twice under faults' '
	faults >faults.log 2>&1 &
	caller --entry $ENTRY1 --entry $ENTRY2 --entry $E3 \
		--account adubo=$KEY_ADUBO --seed 4 --calls 1400 --rate 100 \
		--plain-share 1 --ticket-share 0.5 --key-share 0.4 \
		--double-share 0.4 --attempts 3 --repeat-ms 100 \
		--repeat-not-run --timeout-ms 800 --deadline-ms 700 \
		--concurrency 400 --history history.jsonl >summary.json
	wait
	cat summary.json faults.log &&
	curl -s http://$CALLS_NET.41:7200/standin/runs >plain-runs.json &&
	python3 "$TEST_DIR/helper/history-check.py" \
		--plain-runs plain-runs.json history.jsonl
'

test_expect_success 'the faults struck, and calls ran before and after' '
	test "$(wc -l <history.jsonl)" -ge 1400 &&
	jq -s -e "[.[] | select(any(.earlier[]?, .; .outcome == \"unknown\"))]
		| length > 20" history.jsonl &&
	jq -s -e "[.[] | select(.key and .outcome == \"answer\")] | length > 20" \
		history.jsonl &&
	for e in $ENTRY1 $ENTRY2 $E3; do
		wait_until 30 runs $e || return 1
	done
'

test_done
