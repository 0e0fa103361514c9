#!/bin/sh
# Measures real entries at 1, 2 and 5 times the capacity of their engines.
# Prints one JSON line: goodput_2x and goodput_5x (answers within the deadline,
# relative to those at capacity), refused_p99_ms of all refusals, and
# attempts_per_call (runs per call that ran).

test_description='overload'
. "$(dirname "$0")/../test-lib.sh"
ENGINE_OPTIONS="--fencing --slots 16 --token-ms 4"
. "$TEST_DIR/fleet-lib.sh"
. "$TEST_DIR/calls-lib.sh"
ENTRY_COUNT=4
UPSTREAMS=2
CAPACITY=${CAPACITY:-320} # 2 engines of 16 slots, 100 ms a call
SECONDS_EACH=${SECONDS_EACH:-10}
DEADLINE_MS=1500

fail () {
	echo "p0006: $*" >&2
	exit 1
}

models_start "$UPSTREAMS" || fail "no engines"
entries=
for i in $(seq $ENTRY_COUNT); do
	entry_start e-$i dc1 $CALLS_NET.$((100 + i))
	entries="$entries --entry $CALLS_NET.$((100 + i))"
done
fleet_publish_instances
calls_config 1 "$digest"
for i in $(seq $ENTRY_COUNT); do
	wait_until 30 routes_are $CALLS_NET.$((100 + i)) $UPSTREAMS ||
		fail "no upstreams at entry $i"
done

# load NAME FACTOR SECONDS: sends calls at FACTOR times the capacity.
load () {
	caller --account adubo=$KEY_ADUBO --content "$digest=$content" \
		$entries --rate $((CAPACITY * $2)) --seconds $3 \
		--concurrency 8000 --threads 4 --tokens 25 \
		--deadline-ms $DEADLINE_MS --timeout-ms 10000 --seed 7 \
		--name $1 --history $1.history >$1.json ||
		fail "$1: $(cat $1.json)"
}

for factor in 1 2 5; do
	load warm-$factor $factor 4
	load load-$factor $factor $SECONDS_EACH
done

# goodput NAME: prints the answers within the deadline per second.
goodput () {
	jq -s --argjson d $DEADLINE_MS --argjson s $SECONDS_EACH \
		'[.[] | select(.outcome == "answer" and
		.end_ms - .start_ms <= $d)] | length / $s' $1.history
}

for factor in 1 2 5; do
	goodput load-$factor
done | jq -s . >goodput.json
cat load-2.history load-5.history |
	jq -s '[.[] | select(.outcome != "answer") | .end_ms - .start_ms] |
		sort | .[(length - 1) * 0.99 | floor]' >refused.json
jq -s '[.[] | .violations] | add' load-*.json >violations.json
first=$(echo $models | cut -d' ' -f1)
curl -s http://$first:7200/standin/runs | jq '[.runs[]] | {runs: add,
	calls: length}' >runs.json
jq -n -c --slurpfile g goodput.json --slurpfile r refused.json \
	--slurpfile runs runs.json --slurpfile v violations.json '
	{ goodput_per_second: $g[0], goodput_2x: ($g[0][1] / $g[0][0]),
	  goodput_5x: ($g[0][2] / $g[0][0]), refused_p99_ms: $r[0],
	  attempts_per_call: ($runs[0].runs / $runs[0].calls),
	  violations: $v[0] }'
