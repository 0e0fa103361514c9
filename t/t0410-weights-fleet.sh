#!/bin/sh

test_description='rollouts with real agents under faults, checked at the engines'

. "$(dirname "$0")/test-lib.sh"
SIZE=2097152
CHUNK=65536
LINK_RATE=8000000
STORE_RATE=8000000
ENGINE_OPTIONS="--fencing --slots 8 --token-ms 2 --staging 3000000"
. "$TEST_DIR/fleet-lib.sh"

NODES=
for dc in 1 2 3; do
	NODES="$NODES $(fleet_net $dc).11 $(fleet_net $dc).12"
done
ALL=6

publish () {
	jq -nc --arg m "$1" --argjson r "$2" '{revision:$r,
		fleet:{fencing:["agent-*"]},accounts:[{account:"adubo",
		keys:[],models:[{name:"quotes",manifest:$m,
		upstreams:["agent-*"]}]}]}' >document.json
	fleet_publish_config document.json
}

# running_count CONTENT: number of engines that run bytes of this digest.
running_count () {
	for a in $NODES; do
		curl -s -m 2 http://$a:7200/running
		echo
	done | grep -c "\"content\":\"$1\",\"fence\":[0-9]*,\"state\":\"ready\""
}

running_all () {
	test "$(running_count "$1")" = $ALL
}

content () {
	sha256sum <"$1" | cut -d' ' -f1
}

origin_bytes () {
	curl -s $STORE_URL/standin/counts | jq .bytes
}

store_fault () {
	curl -s -f -d "$1" $STORE_URL/standin/fault >/dev/null
}

engine_fault () {
	curl -s -f -d "$2" "http://$1:7200/standin/fault" >/dev/null
}

boots () {
	for a in $NODES; do
		curl -s -m 2 http://$a:7200/running | jq -r .boot
	done
}

# version_make NUMBER SEED: creates a model file and publishes it in the store.
version_make () {
	model_make "v$1.bin" $SIZE "$2"
	model_publish store quotes "$1" "v$1.bin" $CHUNK >"v$1.digest"
}

# copies_at_most TENTHS: limits the bytes fetched from the origin since the file
# "before" was written to TENTHS tenths of a copy, plus half a tenth.
copies_at_most () {
	copies_bytes=$(($(origin_bytes) - $(cat before)))
	echo "fetched from origin: $copies_bytes bytes"
	test $((copies_bytes * 10)) -le $((SIZE * $1 + SIZE / 2))
}

mkdir -p store
version_make 1 1
fleet_platform_start
fleet_store_start store
engines_start engines $NODES
for dc in 1 2 3; do
	for host in 11 12; do
		agent_start agent-$dc-$host dc$dc "$(fleet_net $dc).$host"
	done
done
fleet_publish_instances
echo '{"revision":1,"accounts":[]}' >empty.json
fleet_publish_config empty.json
fleet_ready 20 $NODES

test_expect_success 'a version reaches every engine with one copy fetched from the origin' '
	origin_bytes >before
	publish $(cat v1.digest) 2
	wait_until 30 running_all $(content v1.bin)
	wait_until 5 serving_all $ALL quotes $(cat v1.digest) $NODES
	copies_at_most 10
'

test_expect_success 'only the changed tenth of a version is fetched from the origin' '
	cp v1.bin v2.bin
	head -c $((SIZE / 10)) v1.bin | tr "\000-\377" "\001-\377\000" |
		dd of=v2.bin conv=notrunc status=none
	model_publish store quotes 2 v2.bin $CHUNK >v2.digest
	origin_bytes >before
	publish $(cat v2.digest) 3
	wait_until 30 running_all $(content v2.bin)
	copies_at_most 1
'

number=10
for fault in '"mode":"429","share":0.5,"retry_after":1' \
	'"mode":"500","share":0.5' '"mode":"stall","share":0.1' \
	'"mode":"short","share":0.2' '"mode":"corrupt","share":0.05'; do
	number=$((number + 1))
	version_make $number $number
	test_expect_success "a version reaches every engine while the store answers $fault" "
		origin_bytes >before
		store_fault '{$fault}'
		publish \$(cat v$number.digest) $number
		wait_until 60 running_all \$(content v$number.bin)
		copies_at_most 40
	"
	store_fault '{"mode":"ok"}'
done

version_make 20 20
test_expect_success 'bytes corrupted at the store are never loaded' '
	content v15.bin >old
	model_make store/weights/quotes-20.bin $SIZE 21
	origin_bytes >before
	publish $(cat v20.digest) 20
	sleep 8
	running_all $(cat old)
	copies_at_most 40
'

version_make 22 22
test_expect_success 'the next version is loaded after a corrupted one' '
	publish $(cat v22.digest) 22
	wait_until 30 running_all $(content v22.bin)
'

version_make 23 23
test_expect_success 'a manifest that does not match its digest is rejected' '
	good=store/manifests/$(cat v23.digest)
	cp $good good.json
	sed "s/\"quotes\"/\"quoted\"/" good.json >$good
	publish $(cat v23.digest) 23
	sleep 3
	running_all $(content v22.bin)
	cp good.json $good
	wait_until 30 running_all $(content v23.bin)
'

version_make 24 24
version_make 25 25
test_expect_success 'of two versions 0.4 s apart the later one runs' '
	publish $(cat v24.digest) 24
	sleep 0.4
	publish $(cat v25.digest) 25
	wait_until 30 running_all $(content v25.bin)
	sleep 2
	running_all $(content v25.bin)
'

version_make 26 26
test_expect_success 'an engine that refuses orders keeps its version' '
	first=$(echo $NODES | cut -d" " -f1)
	for a in $NODES; do
		engine_fault $a "{\"address\":\"$a\",\"mode\":\"refuse-orders\"}"
	done
	publish $(cat v26.digest) 26
	sleep 5
	running_all $(content v25.bin)
	for a in $NODES; do
		engine_fault $a "{\"address\":\"$a\",\"mode\":\"ok\"}"
	done
	wait_until 60 running_all $(content v26.bin)
'

test_expect_success 'an old order at an engine without fencing is reverted' '
	a=$(echo $NODES | cut -d" " -f3)
	engine_fault $a "{\"address\":\"$a\",\"mode\":\"ignore-fence\"}"
	head -c $CHUNK v1.bin >late.bin
	late=$(content late.bin)
	curl -s -f -X PUT --data-binary @late.bin \
		http://$a:7200/staging/chunks/$late
	curl -s -f -d "{\"order\":\"load\",\"model\":\"quotes\",\"version\":
		\"$(cat v1.digest)\",\"fence\":2,\"chunks\":[\"$late\"]}" \
		http://$a:7200/orders
	test $(running_count $(content v26.bin)) = $((ALL - 1))
	wait_until 15 running_all $(content v26.bin)
	engine_fault $a "{\"address\":\"$a\",\"mode\":\"ok\"}"
'

test_expect_success 'a replaced agent reuses the chunks staged in its engine' '
	origin_bytes >before
	kill -KILL $(cat agent-2-11.pid)
	wait_until 10 sh -c "! curl -s -o ready http://$(fleet_net 2).11:7102/ready"
	agent_settings agent-2-11b dc2 "$(fleet_net 2).11" model >b.json
	limpet-agent --settings b.json >b.out 2>b.err &
	record_process replaced $!
	sed "s/\"agent-2-11\"/\"agent-2-11b\"/g" instances.rows >rows
	cp rows instances.rows
	fleet_publish_instances
	wait_until 20 serving_all 1 quotes $(cat v26.digest) \
		"$(fleet_net 2).11"
	curl -s http://$(fleet_net 2).11:7102/status >status.json
	test $(jq .metrics.weights_reused_chunks.engine status.json) = 32
	test $(jq ".metrics.weights_received_bytes // 0" status.json) = 0
	copies_at_most 0
'
test ! -f replaced.pid || test_pids="$test_pids $(cat replaced.pid)"

version_make 27 27
test_expect_success 'a load that crashes the first engine is not tried on others' '
	boots >boots.before
	for a in $NODES; do
		engine_fault $a "{\"address\":\"$a\",\"mode\":\"crash-on-load\"}"
	done
	publish $(cat v27.digest) 27
	sleep 6
	boots >boots.after
	test $(diff boots.before boots.after | grep -c "^>") = 1
	test $(running_count $(content v26.bin)) = $((ALL - 1))
	for a in $NODES; do
		engine_fault $a "{\"address\":\"$a\",\"mode\":\"ok\"}"
	done
'

version_make 28 28
test_expect_success 'the version after a halted one is loaded' '
	publish $(cat v28.digest) 28
	wait_until 40 running_all $(content v28.bin)
'

test_done
