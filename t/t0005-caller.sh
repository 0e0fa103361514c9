#!/bin/sh

test_description='load generator with entries: tickets, duplicates, refusals'

. "$(dirname "$0")/test-lib.sh"
. "$TEST_DIR/fleet-lib.sh"
. "$TEST_DIR/calls-lib.sh"

P1=$CALLS_NET.31
P2=$CALLS_NET.32
entries="--entry $ENTRY1 --entry $ENTRY2 --account adubo=$KEY_ADUBO"

# judge HISTORY...: checks histories against the runs of both services.
judge () {
	curl -s http://$P1:7200/standin/runs >runs1 &&
	curl -s http://$P2:7200/standin/runs >runs2 &&
	python3 "$TOP/t/helper/history-check.py" --plain-runs runs1 \
		--plain-runs runs2 "$@"
}

test_expect_success 'a fleet with two plain services starts' '
	fleet_platform_start &&
	plain_start plain1 $P1 &&
	plain_start plain2 $P2 &&
	agent_start p-1 dc1 $P1 plain &&
	agent_start p-2 dc1 $P2 plain &&
	entry_start e-1 dc1 $ENTRY1 &&
	entry_start e-2 dc1 $ENTRY2 &&
	fleet_publish_instances &&
	calls_config 1 $(printf none | sha256sum | cut -d" " -f1) &&
	wait_until 20 routes_are $ENTRY1 2 &&
	wait_until 20 routes_are $ENTRY2 2
'

test_expect_success 'a call and its duplicate with one ticket run once' '
	caller $entries --plain-share 1 --calls 50 --concurrency 8 --seed 1 \
		--key-share 0 --ticket-share 1 --double-share 1 \
		--history doubles >summary &&
	jq -e ".calls == 100 and .answers == 100" summary &&
	jq -s -e "map(select(.ticket and .double and .run == 1)) |
		length == 100" doubles &&
	jq -s -e "map(.entry) | unique | length == 2" doubles &&
	judge doubles >rows &&
	grep "^a call runs at most once  *50  *0$" rows
'

test_expect_success 'a call without key or ticket is not retried after "unknown"' '
	fault_at $P1 "{\"mode\":\"hang\"}" &&
	fault_at $P2 "{\"mode\":\"hang\"}" &&
	caller $entries --plain-share 1 --calls 4 --seed 2 --key-share 0 \
		--attempts 3 --timeout-ms 1000 --history cut >summary &&
	jq -e ".unknown == 4 and .attempts == 4" summary &&
	judge cut >rows && grep "^a call runs at most once  *4  *0$" rows &&
	fault_at $P1 "{\"mode\":\"ok\"}" && fault_at $P2 "{\"mode\":\"ok\"}"
'

test_expect_success 'a refusal is recorded with its reason' '
	caller $entries --plain-share 1 --calls 3 --seed 3 --operation none \
		--history refused >summary &&
	jq -e ".not_run == 3" summary &&
	jq -s -e "all(.[]; .reason == \"no-such-operation\" and
		.scope == \"attempt\" and .status == 404)" refused &&
	judge refused >rows &&
	grep "^a request reported as not run did not run  *3  *0$" rows
'

test_expect_success 'a call to an absent entry ends in an error' '
	caller --entry $CALLS_NET.199 --account adubo=$KEY_ADUBO --calls 3 \
		--attempts 2 --history absent >summary &&
	jq -e ".errors == 3 and .attempts == 6" summary &&
	jq -s -e "all(.[]; .status == 0)" absent
'

test_done
