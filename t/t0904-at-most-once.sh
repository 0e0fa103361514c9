#!/bin/sh

test_description='a call that may not be repeated runs at most once

Callers retry after timeouts and send some calls twice at the same time,
through the entries of two data centres.  Meanwhile agents and entries are
killed and restarted, or paused and resumed, and the data centres are
partitioned for a while.'

. "$(dirname "$0")/test-lib.sh"
. "$TEST_DIR/fleet-lib.sh"
. "$TEST_DIR/calls-lib.sh"

NET2=$(fleet_net 2)
E3=$NET2.101
plains="$CALLS_NET.41 $CALLS_NET.42 $NET2.41"
DC2_ADDRESSES="$E3 $NET2.41"
KEY_LIFETIME_S=6 # longer than a caller retries: 3 attempts of 0.8 s
NO_MANIFEST=$(printf none | sha256sum | cut -d' ' -f1)

all_routes_ready () {
	for routes_entry in $ENTRY1 $ENTRY2 $E3; do
		routes_are $routes_entry 3 || return 1
	done
}

# is_key_accepted ENTRY: a call with a key and no ticket is answered.  Agents
# accept such calls once they have followed the view for a key's lifetime.
is_key_accepted () {
	call $1 /v1/services/billing/charge -d "{}" \
		-H "Idempotency-Key: warm-$(date +%N)" >out &&
	test "$(status_of)" = 200
}

# is_answering ENTRY: a call with neither key nor ticket is answered.
is_answering () {
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
	wait_until 30 all_routes_ready
'

# Takes the key's lifetime plus the 10 s within which agents must have contact.
test_expect_success 'a key without ticket is accepted after its lifetime has passed' '
	wait_until 20 is_key_accepted $ENTRY1
'

# partition PREFIX...: partitions the second data centre from these addresses;
# without prefixes, the partition ends.
partition () {
	for partition_address in $DC2_ADDRESSES; do
		fleet_cut $partition_address "$@"
	done
}

inject_faults () {
	sleep 1.5
	fleet_restart p-1 limpet-agent KILL
	fleet_restart e-2 limpet-entry KILL
	fleet_pause 3 p-2
	partition $CALLS_NET.
	fleet_fault http://$CALLS_NET.41:7200 "{\"mode\":\"hang\"}"
	sleep 1
	fleet_fault http://$CALLS_NET.41:7200 "{\"mode\":\"ok\"}"
	fleet_restart p-2 limpet-agent KILL
	sleep 1
	partition
	fleet_pause 3 p-3 e-1
	fleet_restart e-3 limpet-entry KILL
	fleet_restart p-3 limpet-agent KILL
}

test_expect_success 'no call and no key runs twice under faults' '
	inject_faults >faults.log 2>&1 &
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

test_expect_success 'faults affected calls, and all entries answer afterwards' '
	test "$(wc -l <history.jsonl)" -ge 1400 &&
	jq -s -e "[.[] | select(any(.earlier[]?, .; .outcome == \"unknown\"))]
		| length > 20" history.jsonl &&
	jq -s -e "[.[] | select(.key and .outcome == \"answer\")] | length > 20" \
		history.jsonl &&
	for e in $ENTRY1 $ENTRY2 $E3; do
		wait_until 30 is_answering $e || return 1
	done
'

test_done
