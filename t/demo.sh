#!/bin/sh
# End-to-end demo on one machine: stand-ins, 2 entries and 9 agents in 3 data
# centres; a rollout, calls during a second rollout, a reservation sent twice
# and a drain.  Prints a summary and exits with 0 only if all checks passed.

test_description='demo'
. "$(dirname "$0")/test-lib.sh"
SIZE=${DEMO_BYTES:-8388608}
LINK_RATE=$((SIZE / 4)) # a copy over a machine's link takes 4 s
STORE_RATE=$((SIZE / 2))
CROSS_RATE=$SIZE
. "$TEST_DIR/fleet-lib.sh"

step () {
	printf '%-58s' "$1"
	shift
	if "$@" >"step.log" 2>&1; then
		echo ok
	else
		echo FAILED
		sed 's/^/    /' step.log | tail -15
		exit 1
	fi
}

now_ms () {
	date +%s%3N
}

account_files () {
	mkdir -p accounts
	cat >accounts/fleet.json <<-EOF
	{"fleet":{"budget":{"requests_per_second":1000,"concurrent":200},
	 "fencing":["agent-*"]}}
	EOF
	cat >accounts/adubo.json <<-EOF
	{"account":"adubo","keys":["$(key_digest adubo-key)"],"share":2,
	 "models":[{"name":"quotes","manifest":"$1","upstreams":["agent-*"]}]}
	EOF
	cat >accounts/sigyeru.json <<-EOF
	{"account":"sigyeru","keys":["$(key_digest sigyeru-key)"],"share":1,
	 "services":[{"name":"register","upstreams":["plain-*"],
	  "operations":[{"name":"reserve","repeatable":false}]}]}
	EOF
	limpetctl check accounts/*.json &&
	limpetctl collect --revision "$2" accounts >document.json &&
	fleet_publish_config document.json
}

fleet_start () {
	fleet_platform_start && fleet_store_start store || return 1
	model_nets=
	for dc in 1 2 3; do
		net=$(fleet_net $dc)
		for host in 11 12 13; do
			test $dc.$host = 2.13 || model_nets="$model_nets $net.$host"
		done
	done
	# Counts are per process, so the engine that is drained gets its own.
	engines_start engines $(echo $model_nets | tr ' ' '\n' |
		grep -vxF "$drain_address") &&
	engines_start drained $drain_address &&
	plain_start plain "$(fleet_net 2).13" || return 1
	for dc in 1 2 3; do
		net=$(fleet_net $dc)
		for host in 11 12 13; do
			if test $dc.$host = 2.13; then
				agent_start plain-$dc-$host dc$dc $net.$host plain
			else
				agent_start agent-$dc-$host dc$dc $net.$host
			fi
		done
	done
	entry_start entry-1 dc1 "$(fleet_net 1).101"
	entry_start entry-2 dc2 "$(fleet_net 2).101"
	fleet_publish_instances
}

entries_ready () {
	fleet_ready 15 $ENTRIES
}

rollout_wait () {
	wait_until 40 serving_all 8 quotes "$1" $model_nets
}

origin_bytes () {
	curl -s $STORE_URL/standin/counts | jq .bytes
}

# counter NAME LABEL: prints the sum of a metric over all agents.
counter () {
	for a in $AGENTS; do
		curl -s -m 2 http://$a:7102/status
	done | jq -s --arg n "$1" --arg l "$2" \
		'[.[] | .metrics[$n][$l]? // 0] | add'
}

calls_during () {
	caller --entry "$ENTRY1:7100" --entry "$ENTRY2:7100" \
		--account adubo=adubo-key --model quotes --stream-share 1 \
		--plain-share 0 --calls 400 --rate 50 \
		--content "$digest1=$content1" --content "$digest2=$content2" \
		--history calls.jsonl >calls.json
}

reserve () {
	curl -s -m 10 -D headers.$1 -H 'Authorization: Bearer sigyeru-key' \
		-H 'Idempotency-Key: watch-7' ${ticket:+-H "X-Ticket: $ticket"} \
		-H 'Content-Type: application/json' -d '{"watch":7}' \
		"http://$2:7100/v1/services/register/reserve" >answer.$1 &&
	grep -q '"run":1' answer.$1
}

ticket_get () {
	curl -s -m 5 -f -H 'Authorization: Bearer sigyeru-key' \
		-d '{"service":"register"}' "http://$ENTRY1:7100/v1/tickets" >t.json
	ticket=$(jq -r .ticket t.json)
	test -n "$ticket" && test "$ticket" != null
}

drained_gets_no_calls () {
	limpetctl drain "$drain_address" || return 1
	sleep 2
	curl -s "http://$drain_address:7200/standin/counts" >before.json
	caller --entry "$ENTRY1:7100" --entry "$ENTRY2:7100" \
		--account adubo=adubo-key --model quotes --stream-share 1 \
		--plain-share 0 --calls 50 --rate 50 \
		--content "$digest2=$content2" --history drain.jsonl >drain.json &&
	curl -s "http://$drain_address:7200/standin/counts" >after.json &&
	jq -e '.answers == 50 and .violations == 0' drain.json &&
	test "$(jq .calls before.json)" != null &&
	test "$(jq .calls before.json)" = "$(jq .calls after.json)"
}

ENTRY1=$(fleet_net 1).101
ENTRY2=$(fleet_net 2).101
drain_address=$(fleet_net 1).12
mkdir -p store
model_make v1.bin "$SIZE" 1
model_make v2.bin "$SIZE" 2
content1=$(sha256sum <v1.bin | cut -d' ' -f1)
content2=$(sha256sum <v2.bin | cut -d' ' -f1)
digest1=$(model_publish store quotes 1 v1.bin) || exit 1
digest2=$(model_publish store quotes 2 v2.bin) || exit 1

step 'start stand-ins, 9 agents, 2 entries' fleet_start
step 'check, collect and publish revision 1' account_files "$digest1" 1
start_ms=$(now_ms)
step 'version 1 complete on 8 upstreams' rollout_wait "$digest1"
rollout_ms=$(($(now_ms) - start_ms))
fetched_bytes=$(origin_bytes)
cross_bytes=$(counter weights_received_bytes cross)
step 'entries ready' entries_ready
account_files "$digest2" 2 >/dev/null 2>&1 || exit 1
step '400 streamed calls while version 2 is rolled out' calls_during
step 'version 2 complete on 8 upstreams' rollout_wait "$digest2"
step 'get a ticket for a reservation' ticket_get
step 'send the reservation through entry 1' reserve 1 "$ENTRY1"
step 'send it again with the same ticket through entry 2' reserve 2 "$ENTRY2"
runs=$(curl -s "http://$(fleet_net 2).13:7200/standin/runs" |
	jq '.runs["watch-7"]')
step 'a drained upstream gets no new calls' drained_gets_no_calls
stop_all

summary () {
	printf '\n%-34s %s\n' 'seconds to 8 replicas' \
		"$(echo "$rollout_ms" | awk '{printf "%.1f", $1 / 1000}')"
	printf '%-34s %s\n' 'copies fetched from the origin' \
		"$(echo "$fetched_bytes $SIZE" | awk '{printf "%.2f", $1 / $2}')"
	printf '%-34s %s\n' 'copies per cross-data-centre link' \
		"$(echo "$cross_bytes $SIZE" | awk '{printf "%.2f", $1 / $2 / 2}')"
	printf '%-34s %s\n' 'calls answered / not run / unknown' \
		"$(jq -r '"\(.answers) / \(.not_run) / \(.unknown)"' calls.json)"
	printf '%-34s %s\n' 'invalid answers' \
		"$(jq .violations calls.json)"
	printf '%-34s %s\n' 'runs of the reservation' "$runs"
}
summary
failures=
test "$runs" = 1 || failures="$failures the reservation ran $runs times;"
test "$(jq .violations calls.json)" = 0 || failures="$failures invalid answers;"
test "$(jq .unknown calls.json)" = 0 || failures="$failures unknown outcomes;"
test -z "$failures" || { echo "FAILED:$failures"; exit 1; }
echo 'all checks passed'
