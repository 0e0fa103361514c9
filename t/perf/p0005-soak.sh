#!/bin/sh
# Usage: p0005-soak.sh [SECONDS] [SEED]
# Soak test: rollouts, calls of both kinds from 10 accounts, configuration
# changes, and faults chosen with the seed, all at the same time.  Checks the
# invariants at the end and exits with 1 on a violation.  The last line of the
# output is JSON.

test_description='soak'
. "$(dirname "$0")/../test-lib.sh"
SECONDS_LONG=${1:-60}
SEED=${2:-1}
SIZE=${SOAK_BYTES:-4194304}
LINK_RATE=$((SIZE / 2))
STORE_RATE=$SIZE
CROSS_RATE=$SIZE
ENGINE_OPTIONS='--slots 16 --token-ms 2 --load-lag 200 --event-lag 200 --event-gap 17'
FLEET_FENCING=false
. "$TOP/t/fleet-lib.sh"

mkdir -p store
versions=
for v in 1 2 3 4; do
	for m in quotes appraise; do
		model_make $m-$v.bin "$SIZE" $((SEED * 100 + v * 10 + ${#m}))
		digest=$(model_publish store $m $v $m-$v.bin) || exit 1
		content=$(sha256sum <$m-$v.bin | cut -d' ' -f1)
		rm $m-$v.bin
		echo "$m $digest $content" >>versions.rows
		versions="$versions --content $digest=$content"
	done
done
accounts=
keys=
for a in 0 1 2 3 4 5 6 7 8 9; do
	accounts="$accounts --account account-$a=key-$a"
	keys="$keys $(key_digest key-$a)"
done

fleet_platform_start && fleet_store_start store || exit 1
for dc in 1 2 3; do
	net=$(fleet_net $dc)
	# Counts are per process, so each engine is a process of its own.
	for host in 11 12 13; do
		engines_start engine-$dc-$host $net.$host
	done
	plain_start plain-up-$dc $net.14
	for host in 11 12 13; do
		agent_start agent-$dc-$host dc$dc $net.$host
	done
	agent_start plain-$dc-14 dc$dc $net.14 plain
	entry_start entry-$dc dc$dc $net.101
done
fleet_publish_instances

python3 "$TOP/t/perf/soak.py" --seconds "$SECONDS_LONG" --seed "$SEED" \
	--platform $PLATFORM_URL --store $STORE_URL --keys "$keys" \
	--publish-only >publish.log 2>&1 || { cat publish.log; exit 1; }
fleet_ready 20 $ENTRIES || exit 1
model_agents=
for dc in 1 2 3; do
	net=$(fleet_net $dc)
	model_agents="$model_agents $net.11 $net.12 $net.13"
done
for m in quotes appraise; do
	first=$(awk -v m=$m '$1 == m {print $2; exit}' versions.rows)
	wait_until 40 serving_all 9 $m "$first" $model_agents || exit 1
done
start_bytes=$(curl -s $STORE_URL/standin/counts | jq .bytes)

entry_args=
for e in $ENTRIES; do
	entry_args="$entry_args --entry $e"
done
call_load () {
	load_name=$1
	shift
	start "$load_name" caller $entry_args $accounts $versions \
		--name "$load_name" --history "$load_name.jsonl" \
		--seconds "$SECONDS_LONG" --rate 60 --concurrency 400 \
		--timeout-ms 8000 "$@"
}
call_load caller-quotes --model quotes --seed "$SEED" --stream-share 0.8 \
	--plain-share 0 --tokens 12 --sessions 20
call_load caller-appraise --model appraise --seed $((SEED + 1)) \
	--stream-share 0.5 --plain-share 0 --tokens 12
call_load caller-plain --model quotes --service register --operation reserve \
	--seed $((SEED + 2)) --plain-share 1 --ticket-share 0.6 --key-share 0.3 \
	--double-share 0.2 --attempts 3 --repeat-ms 300

python3 "$TOP/t/perf/soak.py" --seconds "$SECONDS_LONG" --seed "$SEED" \
	--platform $PLATFORM_URL --store $STORE_URL --keys "$keys" \
	>soak.out 2>soak.err
soak_status=$?
for c in caller-quotes caller-appraise caller-plain; do
	caller_pid=$(cat $c.pid)
	wait_until 30 sh -c "! kill -0 $caller_pid 2>/dev/null"
done
for dc in 1 2 3; do
	net=$(fleet_net $dc)
	for host in 11 12 13; do
		curl -s http://$net.$host:7200/standin/runs \
			>runs-model-$dc-$host.json
	done
	curl -s http://$net.14:7200/standin/runs >runs-plain-$dc.json
done
end_bytes=$(curl -s $STORE_URL/standin/counts | jq .bytes)
stop_all

python3 "$TOP/t/helper/history-check.py" \
	$(for f in runs-model-*.json; do echo "--engine-runs $f"; done) \
	$(for f in runs-plain-*.json; do echo "--plain-runs $f"; done) \
	caller-quotes.jsonl caller-appraise.jsonl caller-plain.jsonl \
	>check.out 2>&1
check_status=$?
cat check.out soak.out
tail -5 soak.err >&2
jq -cn --argjson seconds "$SECONDS_LONG" --argjson seed "$SEED" \
	--argjson origin_bytes "$((end_bytes - start_bytes))" \
	--argjson violations "$((check_status + soak_status))" \
	--slurpfile c caller-quotes.out --slurpfile a caller-appraise.out \
	--slurpfile p caller-plain.out \
	'{bench: "soak", seconds: $seconds, seed: $seed,
	  calls: ($c[0].calls + $a[0].calls + $p[0].calls),
	  answers: ($c[0].answers + $a[0].answers + $p[0].answers),
	  not_run: ($c[0].not_run + $a[0].not_run + $p[0].not_run),
	  unknown: ($c[0].unknown + $a[0].unknown + $p[0].unknown),
	  origin_bytes: $origin_bytes, failed_checks: $violations}'
test $((check_status + soak_status)) = 0
