#!/bin/sh
# Usage: p0001-rollout.sh [N]
# Measures a rollout to N instances in three data centres, real processes on
# loopback.  Prints a JSON line.
#
# In T = 20 s the origin's link carries 4 copies, the link of each machine 2
# and each link between data centres CROSS_COPIES.  The lower bound of the
# rollout time is that of one copy over the slowest of these links.
#
# Environment: SIZE, CHUNK, T, CROSS_COPIES, SHARE, TIME_WEIGHT, FAULTS=1, and
# NAIVE, the number of instances that each fetch the file from the store for
# comparison (0 for none).

test_description='rollout'
N=${1:-10}
SIZE=${SIZE:-16777216}
CHUNK=${CHUNK:-131072}
T=${T:-20}
CROSS_COPIES=${CROSS_COPIES:-4}
SHARE=${SHARE:-1}
TIME_WEIGHT=${TIME_WEIGHT:-0.5}
NAIVE=${NAIVE:-4}
LINK_RATE=$((SIZE * 2 / T))
CROSS_RATE=$((SIZE * CROSS_COPIES / T))
STORE_RATE=$((SIZE * 4 / T))
FLEET_THREADS=${FLEET_THREADS:-4}
. "$(dirname "$0")/../test-lib.sh"
. "$TEST_DIR/fleet-lib.sh"
ENGINES_A_PROCESS=30 # keeps its connections under 1024 descriptors
AGENT_IDS=

now_ms () {
	date +%s%3N
}

# agent_settings_share NAME DATA_CENTER ADDRESS KIND: like agent_settings, with
# the share of the machine's link for transfers.
agent_settings_share () {
	agent_settings "$@" | sed "s/\"machine_rate\"/\"transfer_share\":$SHARE,&/"
}

agent_launch () {
	agent_settings_share "$1" "$2" "$3" model >"$1.json"
	instance_add "$1" agent "$2" "$3" "$1"
	start "$1" limpet-agent --settings "$1.json"
	AGENT_IDS="$AGENT_IDS $1"
}

address_of () {
	sed -n 's/.*"address":"\([0-9.]*\)".*/\1/p' "$1.json"
}

# addresses DC COUNT: prints the addresses of a data centre's machines.
addresses () {
	addresses_net=$(fleet_net "$1")
	seq 11 $((10 + $2)) | sed "s/^/$addresses_net./"
}

dc_count () {
	echo $(((N + 3 - $1) / 3))
}

fleet_launch () {
	fleet_platform_start && fleet_store_start store || return 1
	for dc in 1 2 3; do
		addresses $dc "$(dc_count $dc)" | xargs -n $ENGINES_A_PROCESS \
			>engines.$dc
		part=0
		while read -r list; do
			part=$((part + 1))
			engines_start "engines-$dc-$part" $list
		done <engines.$dc
		for a in $(addresses $dc "$(dc_count $dc)"); do
			agent_launch "agent-$dc-${a##*.}" dc$dc $a
		done
	done
	fleet_publish_instances
	for id in $AGENT_IDS; do
		echo "url = http://$(address_of $id):7200/running"
		echo "output = -"
	done >running.urls
	for id in $AGENT_IDS; do
		echo "url = http://$(address_of $id):7102/status"
		echo "output = -"
	done >status.urls
}

document_publish () {
	jq -nc --arg m "$1" --argjson r "$2" --argjson w "$TIME_WEIGHT" '
		{revision:$r,fleet:{fencing:["agent-*"]},accounts:[
		 {account:"adubo",keys:[],models:[{name:"quotes",
		  manifest:$m,upstreams:["agent-*"],time_weight:$w}]}]}' \
		>document.json
	fleet_publish_config document.json
}

document_publish_empty () {
	echo '{"revision":1,"accounts":[]}' >document.json
	fleet_publish_config document.json
}

# ready_count VERSION CONTENT: prints the number of engines that are ready with
# a version and content digest.
ready_count () {
	curl -s -m 5 --parallel --parallel-max 40 -K running.urls 2>/dev/null |
		grep -o "\"version\":\"$1\",\"content\":\"$2\",\"fence\":[0-9]*,\"state\":\"ready\"" |
		wc -l
}

# rollout_wait VERSION CONTENT COUNT SECONDS: waits until COUNT engines are
# ready and sets $rollout_ms.
rollout_wait () {
	wait_end=$(($(now_ms) + $4 * 1000))
	while test "$(ready_count "$1" "$2")" -lt "$3"; do
		if test "$(now_ms)" -gt $wait_end; then
			echo "only $(ready_count "$1" "$2") of $3 engines are ready" >&2
			return 1
		fi
		sleep 0.1
	done
	rollout_ms=$(($(now_ms) - rollout_start))
}

status_all () {
	curl -s -m 5 --parallel --parallel-max 40 -K status.urls 2>/dev/null >"$1"
}

# metric_sum FILE NAME [LABEL]: prints the sum of a counter over all agents.
metric_sum () {
	jq -s --arg n "$2" --arg l "${3:-}" '[.[] | .metrics[$n] // 0 |
		if type == "object" then (.[$l] // 0) else . end] | add // 0' "$1"
}

agents_cpu_ticks () {
	for id in $AGENT_IDS; do
		awk '{print $14 + $15}' "/proc/$(cat $id.pid)/stat" 2>/dev/null
	done | awk '{s += $1} END {print s + 0}'
}

agents_rss_kb () {
	for id in $AGENT_IDS; do
		awk '/^VmHWM/ {print $2}' "/proc/$(cat $id.pid)/status" 2>/dev/null
	done | sort -n | tail -1
}

store_counts () {
	curl -s $STORE_URL/standin/counts
}

# origin_bytes_of DC FILE: prints the bytes that the machines of a data centre
# fetched from the store, from the store's counts in FILE.
origin_bytes_of () {
	jq --arg p "$(fleet_net "$1")." '[.by_client | to_entries[] |
		select(.key | startswith($p)) | .value] | add // 0' "$2"
}

# cross_copies DC: prints the number of copies received by a data centre from
# others.  The store counts as part of the first.
cross_copies () {
	cross_bytes=0
	for id in $AGENT_IDS; do
		case $id in agent-$1-*) cat "status-$id" ;; esac
	done >dc.status 2>/dev/null
	cross_bytes=$(metric_sum dc.status weights_received_bytes cross)
	if test "$1" != 1; then
		cross_bytes=$((cross_bytes +
			$(origin_bytes_of "$1" store.after) -
			$(origin_bytes_of "$1" store.before)))
	fi
	echo "$cross_bytes $SIZE" | awk '{printf "%.3f", $1 / $2}'
}

status_split () {
	rm -f status-*
	for id in $AGENT_IDS; do
		echo "url = http://$(address_of $id):7102/status"
		echo "output = status-$id"
	done >split.urls
	curl -s -m 5 --parallel --parallel-max 40 -K split.urls >/dev/null 2>&1
	cat status-* >status.after
}

ratio () {
	awk "BEGIN {printf \"%.${3:-3}f\", ($1) / ($2)}"
}

bound_ms () {
	awk "BEGIN {m = $SIZE / $LINK_RATE; c = $SIZE / $CROSS_RATE
		o = $SIZE / $STORE_RATE; b = m > c ? m : c
		printf \"%d\", 1000 * (b > o ? b : o)}"
}

# faults_run: kills every tenth agent and partitions the third data centre for
# T/3; the store corrupts 1% of its responses.
faults_run () {
	curl -s -d '{"mode":"corrupt","share":0.01}' $STORE_URL/standin/fault \
		>/dev/null
	sleep 1
	killed=0
	for id in $AGENT_IDS; do
		killed=$((killed + 1))
		test $((killed % 10)) = 5 || continue
		kill -KILL "$(cat $id.pid)" 2>/dev/null
		echo "$id" >>killed.ids
	done
	cut_set '["'"$(fleet_net 3)"'."]' "$(fleet_net 1)" "$(fleet_net 2)"
	cut_set '["'"$(fleet_net 1)"'.","'"$(fleet_net 2)"'.","'"$TEST_NET"'."]' \
		"$(fleet_net 3)"
	sleep $((T / 3))
	cut_set '[]' "$(fleet_net 1)" "$(fleet_net 2)" "$(fleet_net 3)"
}

# cut_set PREFIXES NET...: sets the partition of every agent in the networks.
cut_set () {
	cut_body=$1
	shift
	for cut_net; do
		for id in $AGENT_IDS; do
			cut_address=$(address_of $id)
			case $cut_address in $cut_net.*) ;; *) continue ;; esac
			echo "next"
			echo "url = http://$cut_address:7102/cut"
			echo "data = \"$(echo "$cut_body" | sed 's/"/\\"/g')\""
			echo "output = /dev/null"
		done
	done | sed 1d >cut.urls
	curl -s -m 3 --parallel --parallel-max 40 -K cut.urls >/dev/null 2>&1
}

# naive_run: each of NAIVE instances fetches the whole file from the store.
naive_run () {
	curl -s -d '{"mode":"ok"}' $STORE_URL/standin/fault >/dev/null
	naive_before=$(store_counts | jq .bytes)
	naive_start=$(now_ms)
	naive_pids=
	for i in $(seq 1 "$NAIVE"); do
		curl -s --limit-rate $LINK_RATE -o /dev/null \
			--interface "$(fleet_net 1).$((10 + i))" \
			"$STORE_URL/weights/quotes-1.bin" &
		naive_pids="$naive_pids $!"
	done
	wait $naive_pids
	naive_ms=$(($(now_ms) - naive_start))
	naive_bytes=$(($(store_counts | jq .bytes) - naive_before))
}

# measure LABEL VERSION REVISION FILE: publishes a version, waits for it and
# prints a JSON line.
measure () {
	content=$(sha256sum <"$4" | cut -d' ' -f1)
	store_counts >store.before
	status_all status.before
	cpu_before=$(agents_cpu_ticks)
	rollout_start=$(now_ms)
	document_publish "$2" "$3"
	replicas=$N
	if test "$1" = faults; then
		faults_run
		replicas=$((N - $(wc -l <killed.ids)))
	fi
	rollout_wait "$2" "$content" "$replicas" $((T * 6)) || failed=1
	cpu_after=$(agents_cpu_ticks)
	store_counts >store.after
	status_split
	bound=$(bound_ms)
	control=$(($(metric_sum status.after rpc_sent_bytes) +
		$(metric_sum status.after rpc_received_bytes) -
		$(metric_sum status.before rpc_sent_bytes) -
		$(metric_sum status.before rpc_received_bytes)))
	jq -cn --arg bench rollout --arg run "$1" \
		--argjson replicas "$replicas" --argjson size_bytes "$SIZE" \
		--argjson seconds "$(ratio $rollout_ms 1000)" \
		--argjson bound_seconds "$(ratio $bound 1000)" \
		--argjson ratio "$(ratio $rollout_ms $bound)" \
		--argjson origin_copies "$(ratio "$(jq .bytes store.after) - $(jq .bytes store.before)" $SIZE)" \
		--argjson cross_copies "[$(cross_copies 1),$(cross_copies 2),$(cross_copies 3)]" \
		--argjson naive_replicas "$NAIVE" \
		--argjson naive_seconds "$(ratio ${naive_ms:-0} 1000)" \
		--argjson naive_origin_copies "$(ratio ${naive_bytes:-0} $SIZE)" \
		--argjson agent_rss_mb "$(ratio "$(agents_rss_kb)" 1024 1)" \
		--argjson agent_cpu_percent "$(ratio "($cpu_after - $cpu_before) * 1000" "$N * $rollout_ms")" \
		--argjson control_bytes_per_second "$(ratio "$control * 1000" "$N * $rollout_ms" 0)" \
		'$ARGS.named'
}

model_make one.bin $SIZE 1
version=$(model_publish store quotes 1 one.bin $CHUNK) || exit 1
fleet_launch && document_publish_empty || exit 1
fleet_ready 60 $(for id in $AGENT_IDS; do address_of $id; done) || exit 1
test "$NAIVE" = 0 || naive_run
failed=0
label=plain
test -z "$FAULTS" || label=faults
measure $label "$version" 2 one.bin
stop_all
exit $failed
