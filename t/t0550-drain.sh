#!/bin/sh

test_description='draining truncates no answer; disconnects cancel runs'
. "$(dirname "$0")/test-lib.sh"
ENGINE_OPTIONS="--fencing --slots 32 --token-ms 20"
. "$TEST_DIR/fleet-lib.sh"
. "$TEST_DIR/calls-lib.sh"

models="$CALLS_NET.31 $CALLS_NET.32 $CALLS_NET.33"
ENTRY3=$CALLS_NET.103
GEN=/v1/models/quotes/generate

test_expect_success 'a fleet of three engines and three entries starts' '
	mkdir -p store &&
	model_make m.bin 65536 1 &&
	model_publish store quotes 1 m.bin 16384 >digest &&
	fleet_platform_start &&
	fleet_store_start store &&
	engines_start engines $models &&
	plain_start plain $CALLS_NET.41 &&
	agent_start m-1 dc1 $CALLS_NET.31 model &&
	agent_start m-2 dc1 $CALLS_NET.32 model &&
	agent_start m-3 dc1 $CALLS_NET.33 model &&
	agent_start p-1 dc1 $CALLS_NET.41 plain &&
	entry_start e-1 dc1 $ENTRY1 &&
	entry_start e-2 dc1 $ENTRY2 &&
	entry_start e-3 dc1 $ENTRY3 &&
	fleet_publish_instances &&
	calls_config 1 "$(cat digest)" &&
	wait_until 30 routes_are $ENTRY1 4 &&
	wait_until 30 routes_are $ENTRY2 4 &&
	wait_until 30 routes_are $ENTRY3 4
'

engine_running () {
	curl -s -m 2 http://$1:7200/load | jq .running
}

engines_idle () {
	for a in $models; do
		test "$(engine_running $a)" = 0 || return 1
	done
}

test_expect_success 'a streaming caller that disconnects cancels the run' '
	call $ENTRY1 $GEN -m 0.5 -d "{\"prompt\":\"long\",\"max_tokens\":2000,\"stream\":true}" >out || true
	grep -q "\"index\":2," out &&
	wait_until 10 engines_idle
'

test_expect_success 'a caller without streaming that disconnects cancels the run' '
	call $ENTRY1 $GEN -m 0.5 -d "{\"prompt\":\"long\",\"max_tokens\":2000}" >out || true
	wait_until 10 engines_idle
'

# not_paused CURL-ARGUMENT...: sends a call; fails if it is refused with
# "paused", which happens when the machine is overloaded.
not_paused () {
	call $ENTRY1 $GEN "$@" >out &&
	test "$(jq -r .reason out)" != paused
}

test_expect_success 'a deadline truncates a stream so that the client sees an error' '
	code=0 &&
	call $ENTRY1 $GEN -H "X-Deadline-Ms: 400" -d "{\"prompt\":\"long\",\"max_tokens\":2000,\"stream\":true}" >out ||
	code=$? &&
	echo "curl ended with $code" &&
	test "$code" = 18 &&
	grep -q "\"index\":2," out &&
	cat headers.txt out | tail -3 &&
	! grep -q done out &&
	wait_until 10 engines_idle &&
	echo "engines are idle" &&
	wait_until 10 not_paused -H "X-Deadline-Ms: 300" -d "{\"prompt\":\"long\",\"max_tokens\":2000}" &&
	cat headers.txt out &&
	test "$(status_of)" = 504 &&
	test "$(jq -r .outcome out)" = unknown
'

test_expect_success 'a stream resumes at a token, and only with its own version' '
	call $ENTRY1 $GEN -d "{\"prompt\":\"some\",\"max_tokens\":8}" >whole &&
	call $ENTRY1 $GEN -H "X-Model-Version: $(cat digest)" \
		-d "{\"prompt\":\"some\",\"max_tokens\":8,\"resume_from\":5}" >rest &&
	test "$(jq -c ".tokens[5:]" whole)" = "$(jq -c .tokens rest)" &&
	call $ENTRY1 $GEN -H "X-Model-Version: $(printf x | sha256sum | cut -c1-64)" \
		-d "{\"prompt\":\"some\",\"max_tokens\":8,\"resume_from\":5}" >out &&
	test "$(status_of)" = 503 &&
	test "$(jq -r .reason out)" = version-nowhere &&
	test "$(jq -r .outcome out)" = not-run
'

# generated ADDRESS: prints the number of streams that the gate has counted.
generated () {
	curl -s http://$1:7102/status |
		jq "[.metrics.gate_streams // {} | .[]] | add"
}

# stopped NAME: succeeds if the process has exited.
stopped () {
	! kill -0 "$(pid_of "$1")" 2>/dev/null
}

# restart NAME PROGRAM: stops a process gracefully and starts it again.
restart () {
	kill -TERM "$(pid_of "$1")" &&
	wait_until 20 stopped "$1" &&
	start "$1" "$2" --settings "$1.json"
}

rolling_restart () {
	sleep 1
	restart m-1 limpet-agent &&
	sleep 3 &&
	restart e-1 limpet-entry &&
	restart m-2 limpet-agent &&
	sleep 3 &&
	restart e-2 limpet-entry &&
	restart p-1 limpet-agent &&
	restart m-3 limpet-agent
}

test_expect_success 'a rolling restart under load truncates no answer' '
	rolling_restart >rolling.log 2>&1 &
	content=$(sha256sum <m.bin | cut -d" " -f1) &&
	caller --entry $ENTRY1 --entry $ENTRY2 --entry $ENTRY3 \
		--account adubo=$KEY_ADUBO --content "$(cat digest)=$content" \
		--seed 3 --seconds 24 --rate 40 --plain-share 0.2 \
		--ticket-share 0 --key-share 0 --double-share 0 \
		--stream-share 0.7 --attempts 20 --repeat-ms 300 \
		--repeat-not-run --timeout-ms 15000 --concurrency 400 \
		--tokens 40 --history history.jsonl >summary.json
	wait
	cat summary.json rolling.log &&
	jq -s "[.[] | .outcome, (.earlier // [] | .[].outcome)] | group_by(.) | map({(.[0]): length}) | add" history.jsonl &&
	jq -e ".violations == 0 and .unknown == 0" summary.json &&
	jq -s -e "all(.[]; all(.earlier // [] | .[]; .outcome == \"not-run\" or (.outcome == \"error\" and .status == 0)))" history.jsonl &&
	jq -e ".answers == .calls" summary.json
'

test_expect_success 'a draining upstream receives no new calls after 2 s' '
	curl -s -f -X POST http://$CALLS_NET.31:7102/drain &&
	sleep 2 &&
	before=$(generated $CALLS_NET.31) &&
	caller --entry $ENTRY1 --entry $ENTRY2 --entry $ENTRY3 \
		--account adubo=$KEY_ADUBO --calls 100 --concurrency 20 \
		--stream-share 1 --tokens 4 >summary.json &&
	jq -e ".answers == 100" summary.json &&
	test "$(generated $CALLS_NET.31)" = "$before"
'

test_done
