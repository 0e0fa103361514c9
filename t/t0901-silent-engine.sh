#!/bin/sh

test_description='an engine with blackholed connections does not block a rollout

Guards against a rollout in which healthy agents wait for one whose engine
has stopped answering on its open connections.'

. "$(dirname "$0")/test-lib.sh"
SIZE=2097152
. "$TOP/t/fleet-lib.sh"

net=$(fleet_net 1)
silent=$net.12

document () {
	cat >document.json <<-EOF
	{"revision":$1,"fleet":{},"accounts":[{"account":"a",
	 "keys":["$(key_digest k)"],"share":1,"models":[{"name":"quotes",
	 "manifest":"$2","upstreams":["agent-*"]}]}]}
	EOF
	fleet_publish_config document.json
}

fault () {
	curl -s -f -X POST -d "{\"address\":\"$silent\",\"mode\":\"$1\"}" \
		http://$silent:7200/standin/fault >/dev/null
}

mkdir -p store
model_make v1.bin $SIZE 1
model_make v2.bin $SIZE 2
digest1=$(model_publish store quotes 1 v1.bin)
digest2=$(model_publish store quotes 2 v2.bin)
fleet_platform_start
fleet_store_start store
engines_start engines $net.11 $silent $net.13
for host in 11 12 13; do
	agent_start agent-$host dc1 $net.$host
done
fleet_publish_instances

test_expect_success '3 upstreams serve version 1' '
	document 1 $digest1 &&
	wait_until 30 serving_all 3 quotes $digest1 $AGENTS
'

test_expect_success 'the others load version 2 while one engine is blackholed' '
	fault blackhole &&
	document 2 $digest2 &&
	wait_until 30 serving_all 2 quotes $digest2 $net.11 $net.13
'

test_expect_success 'the blackholed one follows over new connections' '
	fault ok &&
	wait_until 30 serving_all 3 quotes $digest2 $AGENTS
'

test_done
