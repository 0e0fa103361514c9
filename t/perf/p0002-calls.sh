#!/bin/sh
# Measures the latency that an entry and an agent add to a call, compared with
# direct calls to the same engines in the same run, and the throughput of one
# entry.  Prints one JSON line: added_p50_ms and added_p99_ms at RATE calls per
# second; calls_per_second and events_per_second of one entry; and its
# cpu_percent (100 is one core) and rss_mb during the event load.

test_description='calls'
. "$(dirname "$0")/../test-lib.sh"
ENGINE_OPTIONS="--fencing --slots 512 --token-ms 0"
. "$TEST_DIR/fleet-lib.sh"
. "$TEST_DIR/calls-lib.sh"
RATE=${RATE:-1000}
SECONDS_EACH=${SECONDS_EACH:-4}
ROUNDS=${ROUNDS:-3}
UPSTREAMS=${UPSTREAMS:-4}

fail () {
	echo "p0002: $*" >&2
	exit 1
}

models=
for i in $(seq 1 "$UPSTREAMS"); do
	models="$models $CALLS_NET.$((30 + i))"
done
models_start "$UPSTREAMS" || fail "no engines"
entry_start e-1 dc1 $ENTRY1
fleet_publish_instances
calls_config 1 "$digest"
wait_until 30 routes_are $ENTRY1 "$UPSTREAMS" || fail "no upstreams"

direct=
for m in $models; do
	direct="$direct --entry $m:7200"
done

# load NAME ARGUMENT...: runs a load and writes its summary to NAME.json.
load () {
	load_name=$1
	shift
	caller --account adubo=$KEY_ADUBO --content "$digest=$content" \
		--stream-share 1 --timeout-ms 10000 --seed 7 "$@" \
		>"$load_name.json" || fail "$load_name: $(cat "$load_name.json")"
	jq -e '.violations == 0 and .answers == .calls' "$load_name.json" \
		>/dev/null || fail "$load_name: $(jq -c . "$load_name.json")"
}

cpu_ticks () {
	cut -d' ' -f14,15 "/proc/$(cat e-1.pid)/stat" | tr ' ' '+' |
		awk -F+ '{print $1 + $2}'
}

for round in $(seq 1 "$ROUNDS"); do
	load direct-$round --direct $direct --rate "$RATE" --tokens 4 \
		--seconds "$SECONDS_EACH" --threads 2
	load through-$round --entry $ENTRY1 --rate "$RATE" --tokens 4 \
		--seconds "$SECONDS_EACH" --threads 2
done
load calls --entry $ENTRY1 --concurrency 48 --tokens 2 --threads 4 \
	--seconds "$SECONDS_EACH"
ticks=$(cpu_ticks)
start_ns=$(date +%s%N)
load events --entry $ENTRY1 --concurrency 48 --tokens 32 --threads 4 \
	--seconds "$SECONDS_EACH"
end_ns=$(date +%s%N)
ticks=$(($(cpu_ticks) - ticks))
rss=$(awk '/VmRSS/ {print $2}' "/proc/$(cat e-1.pid)/status")

# Medians over the rounds.  Direct and indirect rounds alternate, so that other
# load on the machine affects both alike.
jq -n -c --slurpfile d1 direct-1.json --slurpfile c calls.json \
	--slurpfile e events.json --argjson ticks "$ticks" \
	--argjson ns $((end_ns - start_ns)) --argjson rss "$rss" \
	--argjson hz "$(getconf CLK_TCK)" \
	--argjson direct "$(jq -s . direct-*.json)" \
	--argjson through "$(jq -s . through-*.json)" '
	def median: sort | .[length / 2 | floor];
	def at(f): [range($direct | length)] |
		map(($through[.] | f) - ($direct[.] | f)) | median;
	{ added_p50_ms: at(.p50_ms), added_p99_ms: at(.p99_ms),
	  calls_per_second: $c[0].calls_per_second,
	  events_per_second: $e[0].events_per_second,
	  cpu_percent: (100 * $ticks / $hz / ($ns / 1e9)),
	  rss_mb: ($rss / 1024) }'
