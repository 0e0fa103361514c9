#!/bin/sh

test_description='sessions: affinity, transfer of KV caches, pauses'
. "$(dirname "$0")/test-lib.sh"
ENGINE_OPTIONS="--fencing --slots 8 --token-ms 5"
. "$TEST_DIR/fleet-lib.sh"
. "$TEST_DIR/calls-lib.sh"

models="$CALLS_NET.31 $CALLS_NET.32 $CALLS_NET.33"
GEN=/v1/models/quotes/generate
# Longer than the blocks of a prompt that the engines hash.
PROMPT=$(printf 'What does urea cost in Petrolina today? %.0s' 1 2 3 4 5 6 7 8)

test_expect_success 'a fleet of three engines starts' '
	mkdir -p store &&
	model_make m.bin 65536 1 &&
	model_publish store quotes 1 m.bin 16384 >digest &&
	fleet_platform_start &&
	fleet_store_start store &&
	engines_start engines $models &&
	agent_start m-1 dc1 $CALLS_NET.31 model &&
	agent_start m-2 dc1 $CALLS_NET.32 model &&
	agent_start m-3 dc1 $CALLS_NET.33 model &&
	entry_start e-1 dc1 $ENTRY1 &&
	fleet_publish_instances &&
	calls_config 1 "$(cat digest)" &&
	wait_until 30 routes_are $ENTRY1 3
'

session_call () {
	call $ENTRY1 $GEN -H "X-Request-Id: s$1" -H "X-Session: buyer-1" \
		-d "{\"prompt\":\"$PROMPT $1\",\"max_tokens\":3}" >out &&
	test "$(status_of)" = 200
}

# upstream_of ID: prints the agent that answered a call.
upstream_of () {
	curl -s "http://$ENTRY1:7102/explain?id=$1" |
		jq -r ".calls[0].steps[-1].step" | sed "s/answered by //"
}

test_expect_success 'the calls of a session go to one upstream' '
	for i in 1 2 3 4 5 6 7 8 9 10; do
		session_call $i && upstream_of s$i || exit 1
	done | sort | uniq -c >places &&
	cat places &&
	test "$(wc -l <places)" = 1
'

test_expect_success 'when the upstream drains, its KV cache is transferred' '
	home=$(upstream_of s10) &&
	curl -s -f -X POST http://$CALLS_NET.3${home#m-}:7102/drain &&
	sleep 2 &&
	session_call 11 &&
	next=$(upstream_of s11) &&
	test "$next" != "$home" &&
	curl -s http://$CALLS_NET.3${next#m-}:7102/status |
		jq -e ".metrics.gate_kv.imported == 1" &&
	session_call 12 &&
	test "$(upstream_of s12)" = "$next" &&
	curl -s http://$CALLS_NET.3${next#m-}:7102/status |
		jq -e ".metrics.gate_kv.imported == 1" &&
	curl -s -o out -w "%{http_code}" \
		http://$CALLS_NET.3${next#m-}:7100/kv/buyer-1 >code &&
	test "$(cat code)" = 401
'

test_expect_success 'a call to a stopped agent is answered by another within 3 s' '
	for i in 1 2 3; do
		kill -STOP "$(pid_of m-$i)" &&
		call $ENTRY1 $GEN -H "X-Request-Id: p$i" -w "%{time_total}" \
			-d "{\"prompt\":\"short $i\",\"max_tokens\":3}" >out &&
		kill -CONT "$(pid_of m-$i)" &&
		cat out && test "$(status_of)" = 200 &&
		took=$(sed "s/.*}//" out) &&
		test "${took%.*}" -lt 3 &&
		sleep 3 || exit 1
	done
'

test_expect_success 'an entry refuses calls that waited while it was stopped' '
	kill -STOP "$(pid_of e-1)" &&
	{ call $ENTRY1 $GEN -d "{\"prompt\":\"late\"}" >late & } &&
	sleep 1.5 &&
	kill -CONT "$(pid_of e-1)" &&
	wait &&
	cat late &&
	test "$(jq -r .reason late)" = paused &&
	test "$(jq -r .outcome late)" = not-run
'

test_done
