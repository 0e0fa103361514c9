#!/bin/sh

test_description='a rolling restart of entries and agents interrupts no call

Guards against calls that are in flight at an entry or agent being cut when
it is stopped with SIGTERM.'
. "$(dirname "$0")/test-lib.sh"
ENGINE_OPTIONS='--fencing --slots 64 --token-ms 20'
. "$TEST_DIR/fleet-lib.sh"
. "$TEST_DIR/calls-lib.sh"

ENTRY3=$CALLS_NET.103
ALL_ENTRIES="$ENTRY1 $ENTRY2 $ENTRY3"
models="$CALLS_NET.31 $CALLS_NET.32"
plains="$CALLS_NET.41 $CALLS_NET.42"

routes_all () {
	for routes_at in $ALL_ENTRIES; do
		routes_are $routes_at 4 || return 1
	done
}

test_expect_success 'a fleet of 3 entries and 4 agents starts' '
	mkdir store &&
	model_make m.bin 65536 1 &&
	model_publish store quotes 1 m.bin 16384 >digest &&
	fleet_platform_start &&
	fleet_store_start store &&
	engines_start engines $models &&
	start plain standin-plain --port 7200 --delay-ms 200 \
		--address $CALLS_NET.41 --address $CALLS_NET.42 &&
	agent_start m-1 dc1 $CALLS_NET.31 model &&
	agent_start m-2 dc1 $CALLS_NET.32 model &&
	agent_start p-1 dc1 $CALLS_NET.41 plain &&
	agent_start p-2 dc1 $CALLS_NET.42 plain &&
	entry_start e-1 dc1 $ENTRY1 &&
	entry_start e-2 dc1 $ENTRY2 &&
	entry_start e-3 dc1 $ENTRY3 &&
	fleet_publish_instances &&
	calls_config 1 "$(cat digest)" &&
	wait_until 30 routes_all
'

# restart NAME PROGRAM [NAME PROGRAM]: restarts one or two processes and waits
# until all upstreams can be routed to again.
restart () {
	{ test $# -lt 3 || fleet_restart $3 $4 TERM; } &
	restart_pid=$!
	fleet_restart $1 $2 TERM
	wait $restart_pid
	wait_until 30 routes_all || echo "not all routes are back after: $*"
}

rolling_restart () {
	restart p-1 limpet-agent e-1 limpet-entry
	restart m-1 limpet-agent e-2 limpet-entry
	restart p-2 limpet-agent e-3 limpet-entry
	restart m-2 limpet-agent
	touch restarted
}

# read_strictly: reads answers of the first two entries byte by byte, on kept
# connections, until they are stopped for the first time.
read_strictly () {
	echo "{\"prompt\":\"a\",\"max_tokens\":40,\"stream\":true}" >stream.in
	echo "{\"prompt\":\"a\",\"max_tokens\":20}" >model.in
	echo "{}" >plain.in
	words="method=POST,Authorization:Bearer $KEY_ADUBO,Content-Type:application/json"
	for address in $ENTRY1 $ENTRY2; do
		python3 "$TEST_DIR/helper/strict-caller.py" $address:7100 60 \
			"/v1/models/quotes/generate,$words,body=stream.in" \
			"/v1/models/quotes/generate,$words,body=model.in" \
			"/v1/services/billing/look,$words,body=plain.in" \
			>strict-$address &
	done
	wait
}

# load_rounds: runs the load in rounds of 3 s until the rolling restart is
# complete, at most 20 times.
load_rounds () {
	content=$(sha256sum <m.bin | cut -d" " -f1)
	for round in $(seq 1 20); do
		caller --entry $ENTRY1 --entry $ENTRY2 --entry $ENTRY3 \
			--account adubo=$KEY_ADUBO --seed $round \
			--name round$round --seconds 3 --rate 60 \
			--content "$(cat digest)=$content" --plain-share 0.4 \
			--ticket-share 0 --key-share 0 --double-share 0 \
			--stream-share 0.7 --tokens 40 --concurrency 400 \
			--attempts 30 --repeat-ms 300 --repeat-not-run \
			--timeout-ms 20000 --history round$round.jsonl \
			>round$round.json
		test ! -f restarted || break
	done
}

test_expect_success 'each process is restarted under load' '
	read_strictly &
	sleep 1
	rolling_restart >restart.log 2>&1 &
	load_rounds
	wait
	cat restart.log
	test -f restarted && test ! -s restart.log &&
	cat round*.jsonl >history.jsonl &&
	curl -s http://$CALLS_NET.31:7200/standin/runs >engine-runs.json &&
	curl -s http://$CALLS_NET.41:7200/standin/runs >plain-runs.json &&
	python3 "$TEST_DIR/helper/history-check.py" \
		--engine-runs engine-runs.json --plain-runs plain-runs.json \
		history.jsonl
'

# An attempt that was refused or could not connect was not in flight.
test_expect_success 'no attempt in flight was interrupted, each call was answered' '
	jq -c "select(.outcome != \"answer\" or any(.earlier[]?;
		.outcome != \"not-run\" and
		(.outcome != \"error\" or .status != 0)))" history.jsonl \
		>interrupted &&
	head -5 interrupted && test ! -s interrupted &&
	test "$(wc -l <history.jsonl)" -gt 300
'

# Guards against heads that are wrong in a process that stops only (issue 59).
test_expect_success 'answers of entries that stop are strict HTTP' '
	for address in $ENTRY1 $ENTRY2; do
		jq -c "[.path, .status, .framing, .closing, .end, .faults]" \
			strict-$address | sort | uniq -c &&
		jq -es "all(.[]; .faults == [])" strict-$address &&
		jq -es "any(.[]; .closing) and any(.[]; .status == 200 and
			.framing == \"chunked\")" strict-$address || exit 1
	done
'

test_expect_success 'some attempts were refused or could not connect' '
	jq -s -e "any(.[]; any(.earlier[]?; .outcome == \"not-run\" or
		.status == 0))" history.jsonl
'

test_done
