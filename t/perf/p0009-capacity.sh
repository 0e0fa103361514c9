#!/bin/sh
# Usage: p0009-capacity.sh [PROCESSES...]
# Measures the resources that one instance uses, at three values of each cause:
# processes of the fleet (control traffic), calls per second, events per second
# and open streams.  Prints a JSON line per measurement; capacity.py fits lines
# to them.

test_description='capacity'
. "$(dirname "$0")/../test-lib.sh"
ENGINE_OPTIONS='--fencing --slots 1024 --token-ms 4'
FLEET_THREADS=2
. "$TOP/t/fleet-lib.sh"
PROCESSES=${*:-18 36 72}
IDLE_SECONDS=${IDLE_SECONDS:-15}
LOAD_SECONDS=${LOAD_SECONDS:-6}
HZ=$(getconf CLK_TCK)

fail () {
	echo "p0009: $*" >&2
	exit 1
}

document () {
	cat >document.json <<-EOF
	{"revision":1,"fleet":{},"accounts":[{"account":"a",
	 "keys":["$(key_digest k)"],"share":1,"models":[{"name":"quotes",
	 "manifest":"$1","upstreams":["agent-*"]}]}]}
	EOF
	fleet_publish_config document.json
}

# ticks PID: prints the CPU time of a process in clock ticks.
ticks () {
	sed 's/.*) //' "/proc/$1/stat" | awk '{print $12 + $13}'
}

rss_kb () {
	awk '/^VmRSS/ {print $2}' "/proc/$1/status"
}

# control_bytes ADDRESS: prints the RPC bytes sent and received by an instance.
control_bytes () {
	curl -s -m 5 "http://$1:7102/status" |
		jq '.metrics.rpc_sent_bytes + .metrics.rpc_received_bytes'
}

# usage_begin NAME ADDRESS: starts a measurement of one instance.
usage_begin () {
	usage_ticks=$(ticks "$(cat "$1.pid")")
	usage_bytes=$(control_bytes "$2")
	usage_ns=$(date +%s%N)
}

# usage_end NAME ADDRESS: ends it and sets $usage_cpu, $usage_bps (means) and
# $usage_rss.
usage_end () {
	usage_s=$(echo "$(date +%s%N) $usage_ns" | awk '{print ($1 - $2) / 1e9}')
	usage_cpu=$(echo "$(ticks "$(cat "$1.pid")") $usage_ticks $usage_s $HZ" |
		awk '{print 100 * ($1 - $2) / $4 / $3}')
	usage_bps=$(echo "$(control_bytes "$2") $usage_bytes $usage_s" |
		awk '{print ($1 - $2) / $3}')
	usage_rss=$(rss_kb "$(cat "$1.pid")" | awk '{print $1 / 1024}')
}

# usage_print ROLE CAUSE X: prints the measurement as a JSON line.
usage_print () {
	jq -cn --arg role "$1" --arg cause "$2" --argjson x "$3" \
		--argjson cpu "$usage_cpu" --argjson bps "$usage_bps" \
		--argjson rss "$usage_rss" \
		'{bench: "capacity", role: $role, cause: $cause, x: $x,
		  cpu_percent: $cpu, control_bytes_per_second: $bps,
		  rss_mb: $rss}'
}

fleet_launch () {
	ENTRIES=
	AGENTS=
	rm -f instances.rows
	fleet_platform_start && fleet_store_start store || return 1
	addresses=
	launch_i=0
	while test $launch_i -lt "$1"; do
		dc=$((launch_i % 3 + 1))
		address=$(fleet_net $dc).$((11 + launch_i / 3))
		if test $((launch_i / 3 % 6)) = 0; then
			entry_start entry-$launch_i dc$dc $address
		else
			agent_start agent-$launch_i dc$dc $address
			addresses="$addresses $address"
		fi
		launch_i=$((launch_i + 1))
	done
	engines_start engines $addresses
	fleet_publish_instances
	document "$digest"
	wait_until 60 serving_all "$(echo $addresses | wc -w)" quotes "$digest" \
		$addresses || return 1
	sleep 2
}

# measure_idle N: measures an entry and an agent of an idle fleet of N.
measure_idle () {
	for instance in "entry entry-0 $(fleet_net 1).11" \
		"agent agent-18 $(fleet_net 1).17"; do
		set -- "$1" $instance
		test -f "$3.pid" || set -- "$1" agent agent-3 "$(fleet_net 1).12"
		usage_begin "$3" "$4"
		sleep "$IDLE_SECONDS"
		usage_end "$3" "$4"
		usage_print "$2" processes "$1"
	done
}

# measure_load CAUSE X ARGUMENTS...: measures entry-0, which gets all calls,
# and agent-3, assuming that the agents of their data centre get equal parts.
measure_load () {
	load_cause=$1
	load_x=$2
	shift 2
	entry=$(fleet_net 1).11
	start load caller --entry $entry:7100 --account a=k --model quotes \
		--plain-share 0 --stream-share 1 \
		--threads 2 --seconds $((LOAD_SECONDS + 4)) "$@"
	sleep 2
	usage_begin entry-0 "$entry"
	agent_ticks=$(ticks "$(cat agent-3.pid)")
	sleep "$LOAD_SECONDS"
	agent_cpu=$(echo "$(ticks "$(cat agent-3.pid)") $agent_ticks $LOAD_SECONDS $HZ" |
		awk '{print 100 * ($1 - $2) / $4 / $3}')
	usage_end entry-0 "$entry"
	wait_until 40 sh -c "! kill -0 $(cat load.pid) 2>/dev/null"
	jq -e '.violations == 0' load.out >/dev/null || fail "invalid answers"
	case "$load_cause" in
	calls) load_x=$(jq .calls_per_second load.out) ;;
	events) load_x=$(jq .events_per_second load.out) ;;
	esac
	usage_print entry "$load_cause" "$load_x"
	agents_in_dc=$(echo $addresses | tr ' ' '\n' | grep -c "^$(fleet_net 1)")
	usage_cpu=$agent_cpu
	usage_bps=0
	usage_rss=$(rss_kb "$(cat agent-3.pid)" | awk '{print $1 / 1024}')
	usage_print agent "$load_cause" \
		"$(echo "$load_x $agents_in_dc" | awk '{print $1 / $2}')"
}

mkdir -p store
model_make m.bin 1048576 1
digest=$(model_publish store quotes 1 m.bin 65536) || fail "no manifest"
for n in $PROCESSES; do
	fleet_launch "$n" || fail "a fleet of $n did not start"
	measure_idle "$n"
	if test "$n" = 18; then
		for rate in 200 400 800; do
			measure_load calls $rate --rate $rate --tokens 4 \
				--concurrency 2000
		done
		for tokens in 25 50 100; do
			measure_load events $((200 * tokens)) --rate 200 \
				--tokens $tokens --concurrency 2000
		done
		for open in 100 300 900; do
			measure_load streams $open --concurrency $open \
				--tokens 200
		done
	fi
	stop_all
done
