#!/bin/sh

test_description='the stand-ins keep the contract of docs/design/interfaces.md'

. "$(dirname "$0")/test-lib.sh"

platform=http://$TEST_NET.1:7001
store=http://$TEST_NET.2:7001
engine=http://$TEST_NET.11:7200
second=http://$TEST_NET.12:7200
third=http://$TEST_NET.13:7200
plain=http://$TEST_NET.21:7200

mkdir -p files/weights files/manifests
head -c 200000 /dev/urandom >files/weights/m.bin
echo manifest >files/manifests/d1
head -c 65536 /dev/urandom >chunk1
head -c 1000 /dev/urandom >chunk2
digest1=$(sha256sum <chunk1 | cut -c1-64)
digest2=$(sha256sum <chunk2 | cut -c1-64)
content=$(cat chunk1 chunk2 | sha256sum | cut -c1-64)

start platform standin-platform --address $TEST_NET.1
start store standin-store --address $TEST_NET.2 --directory files \
	--rate 400000 --seed 3
start engine standin-engine --addresses $TEST_NET.11-$TEST_NET.13 --fencing \
	--slots 1 --token-ms 10 --staging 100000 --load-lag 300 --event-gap 2
start plain standin-plain --address $TEST_NET.21 --delay-ms 100
wait_until 5 curl -sf $platform/standin/counts
wait_until 5 curl -sf $store/standin/counts
wait_until 5 curl -sf $third/standin/counts
wait_until 5 curl -sf $plain/standin/runs

# fetch CURL-ARGUMENT...: prints the status and writes the body to file body.
fetch () {
	curl -s -o body -w '%{http_code}' "$@"
}

# fault URL JSON
fault () {
	test "$(fetch -d "$2" $1/standin/fault)" = 204
}

# elapsed_ms COMMAND...: runs a command and prints its run time.
elapsed_ms () {
	elapsed_start=$(date +%s%N)
	"$@" >/dev/null
	echo $((($(date +%s%N) - elapsed_start) / 1000000))
}

# stage URL CHUNK DIGEST
stage () {
	test "$(fetch -T $2 $1/staging/chunks/$3)" = 201
}

# order URL VERSION FENCE DIGEST...: sends a load order and prints the status.
order () {
	order_url=$1 order_version=$2 order_fence=$3
	shift 3
	jq -nc --arg v $order_version --argjson f $order_fence \
		'{order: "load", model: "quotes", version: $v, fence: $f,
		  chunks: $ARGS.positional}' --args "$@" >order
	fetch -d @order $order_url/orders
}

# token CONTENT PROMPT INDEX: prints the token that an engine must generate.
token () {
	printf '%s|%s|%d' "$1" "$2" "$3" | sha256sum | cut -c1-8
}

# generate URL ID JSON: sends a generate request with the members in JSON.
generate () {
	curl -s -N -m ${limit:-20} -H "X-Request-Id: $2" $1/v1/generate -d "$(jq -nc \
		--argjson e "$3" '{model: "quotes", prompt: "hi"} + $e')"
}

test_expect_success 'platform: a long poll ends with a new revision' '
	test $(fetch $platform/config) = 404 &&
	echo "{\"revision\":3}" >config &&
	test $(fetch -T config $platform/standin/config) = 204 &&
	curl -s -D headers -o body $platform/config &&
	grep -i "^X-Revision: 3" headers &&
	echo "{\"revision\":4}" >config &&
	{ (sleep 0.3; curl -s -T config $platform/standin/config) & } &&
	test $(fetch "$platform/config?after=3&wait=10") = 200 &&
	test "$(jq .revision body)" = 4 &&
	wait
'

test_expect_success 'platform: a long poll times out' '
	time_ms=$(elapsed_ms fetch "$platform/config?after=4&wait=1") &&
	test $time_ms -ge 1000 && test $time_ms -lt 3000 &&
	test $(fetch "$platform/config?after=4&wait=0") = 304
'

test_expect_success 'platform: faults stale, half, flap and down' '
	fault $platform "{\"config\":\"stale\"}" &&
	fetch $platform/config && test "$(jq .revision body)" = 3 &&
	fault $platform "{\"config\":\"half\"}" &&
	fetch $platform/config && test "$(cat body)" = "{\"revis" &&
	fault $platform "{\"config\":\"flap\"}" &&
	for i in 1 2 3 4; do
		fetch $platform/config >/dev/null && jq .revision body
	done | sort | uniq -c | tr -s " " >revisions &&
	printf " 2 3\n 2 4\n" | test_cmp - revisions &&
	fault $platform "{\"config\":\"down\"}" &&
	test "$(fetch $platform/config || :)" = 000 &&
	fault $platform "{\"config\":\"ok\"}" &&
	test $(fetch $platform/config) = 200
'

test_expect_success 'platform: list lag and call counts' '
	fault $platform "{\"list_lag_ms\":500}" &&
	echo "[{\"id\":\"agent-a1\"}]" >list &&
	fetch -T list $platform/standin/instances &&
	fetch $platform/instances && test "$(jq .version body)" = 0 &&
	time_ms=$(elapsed_ms fetch "$platform/instances?after=0&wait=9") &&
	test $time_ms -ge 300 && test $time_ms -lt 3000 &&
	test "$(jq -r ".instances[0].id" body)" = agent-a1 &&
	fetch $platform/standin/counts &&
	jq -e ".instances == 2 and .calls == .config + 2 and
		.peak_second >= 2 and .peak_second <= .calls" body
'

test_expect_success 'store: ranges, complete files and a replaced file' '
	test $(fetch -H "Range: bytes=10-19" $store/weights/m.bin) = 206 &&
	tail -c +11 files/weights/m.bin | head -c 10 | cmp - body &&
	test $(fetch $store/manifests/d1) = 200 &&
	test "$(cat body)" = manifest &&
	echo changed >files/manifests/d1 &&
	fetch $store/manifests/d1 && test "$(cat body)" = changed &&
	test $(fetch $store/weights/absent) = 404 &&
	test $(fetch $store/weights/../../order) = 404
'

test_expect_success 'store: the rate limit covers all connections' '
	fetch_twice () {
		curl -s -o copy1 $store/weights/m.bin &
		curl -s -o copy2 $store/weights/m.bin && wait
	}
	time_ms=$(elapsed_ms fetch_twice) &&
	cmp copy1 files/weights/m.bin && cmp copy2 files/weights/m.bin &&
	test $time_ms -gt 700 && test $time_ms -lt 2500
'

test_expect_success 'store: faults 429, 500, short, stall and corrupt' '
	url=$store/weights/m.bin range="Range: bytes=0-999" &&
	fault $store "{\"mode\":\"429\",\"retry_after\":7}" &&
	curl -s -D headers -o body $url && grep -i "^Retry-After: 7" headers &&
	fault $store "{\"mode\":\"500\"}" && test $(fetch $url) = 500 &&
	fault $store "{\"mode\":\"short\"}" &&
	test "$(fetch -H "$range" $url || echo " failed")" = "206 failed" &&
	test $(wc -c <body) = 500 &&
	fault $store "{\"mode\":\"stall\"}" &&
	test "$(fetch -m 1 -H "$range" $url || echo " failed")" = "206 failed" &&
	test $(wc -c <body) = 500 &&
	fault $store "{\"mode\":\"corrupt\"}" &&
	test $(fetch -H "$range" $url) = 206 && test $(wc -c <body) = 1000 &&
	! head -c 1000 files/weights/m.bin | cmp -s - body
'

test_expect_success 'store: a fault affects its share of the responses' '
	fault $store "{\"mode\":\"500\",\"share\":0.25}" &&
	for i in $(seq 200); do fetch $store/manifests/d1; echo; done >codes &&
	failed=$(grep -c 500 codes) &&
	test $failed -gt 25 && test $failed -lt 75 &&
	fault $store "{\"mode\":\"ok\"}" &&
	fetch --interface $TEST_NET.99 $store/manifests/d1 &&
	fetch $store/standin/counts &&
	jq -e ".by_client[\"$TEST_NET.99\"] == 8" body
'

test_expect_success 'engine: staging memory is limited' '
	stage $engine chunk1 $digest1 && stage $engine chunk2 $digest2 &&
	fetch $engine/staging/chunks/$digest1 && cmp body chunk1 &&
	test $(fetch $second/staging/chunks/$digest1) = 404 &&
	test $(fetch -T chunk1 $engine/staging/chunks/$content) = 507 &&
	fetch $engine/staging &&
	jq -e ".used == 66536 and .limit == 100000 and
	       (.chunks | length) == 2" body
'

test_expect_success 'engine: orders, fencing and loaded models' '
	test $(order $engine v1 5 $digest1 $digest2) = 200 &&
	test $(order $engine v0 4 $digest1) = 409 &&
	test $(order $second v1 5 $digest1) = 422 &&
	fetch $engine/running &&
	jq -e ".models == [{model: \"quotes\", version: \"v1\", fence: 5,
		content: \"$content\", state: \"ready\"}]" body &&
	fault $engine "{\"mode\":\"ignore-fence\",\"address\":\"$TEST_NET.12\"}" &&
	stage $second chunk2 $digest2 &&
	test $(order $second v2 9 $digest2) = 200 &&
	test $(order $second v1 8 $digest2) = 200 &&
	fault $engine "{\"mode\":\"refuse-orders\"}" &&
	test $(order $second v1 9 $digest2) = 500 &&
	fault $engine "{\"mode\":\"ok\"}"
'

test_expect_success 'engine: tokens depend on the staged bytes' '
	generate $engine r1 "{\"max_tokens\":2}" >answer &&
	jq -e ".id == \"r1\" and .done and .version == \"v1\" and
		.content == \"$content\" and .tokens ==
		[\"$(token $content hi 0)\", \"$(token $content hi 1)\"]" \
		answer &&
	head -c 65536 /dev/zero >wrong &&
	stage $third wrong $digest1 && stage $third chunk2 $digest2 &&
	test $(order $third v1 5 $digest1 $digest2) = 200 &&
	wrong=$(cat wrong chunk2 | sha256sum | cut -c1-64) &&
	generate $third r2 "{\"max_tokens\":1}" >answer &&
	jq -e ".content == \"$wrong\" and
		.tokens == [\"$(token $wrong hi 0)\"]" answer
'

test_expect_success 'engine: a stream resumed at an index' '
	generate $engine r3 "{\"max_tokens\":3,\"stream\":true,
		\"resume_from\":1}" >stream &&
	cat >expected <<-EOT &&
	data: {"id":"r3","index":1,"token":"$(token $content hi 1)"}

	data: {"id":"r3","index":2,"token":"$(token $content hi 2)"}

	data: {"id":"r3","done":true,"tokens":3,"version":"v1","content":"$content"}

	EOT
	test_cmp expected stream
'

test_expect_success 'engine: a free slot goes to the lowest priority number' '
	rm -f completed &&
	for p in 9 9 0 5; do
		{ generate $engine p$p "{\"max_tokens\":30,\"priority\":$p}" \
			>/dev/null; echo $p >>completed; } &
		sleep 0.1
	done &&
	fetch $engine/load && jq -e ".waiting < 3 and .slots == 1" body &&
	wait &&
	test "$(echo $(cat completed))" = "9 0 5 9"
'

# reports_running: the engine says that a request runs.
reports_running () {
	fetch $engine/load && jq -e ".running == 1" body
}

test_expect_success 'engine: load reports lag' '
	sleep 0.4 &&
	{ generate $engine r4 "{\"max_tokens\":500}" >/dev/null & } &&
	sleep 0.15 && fetch $engine/load && jq -e ".running == 0" body &&
	wait_until 4 reports_running &&
	wait
'

test_expect_success 'engine: a cancelled stream is truncated' '
	{ { generate $engine r5 "{\"max_tokens\":1000,\"stream\":true}" \
		>stream || echo $? >curl-status; } & } &&
	sleep 0.3 &&
	fetch -d "{\"id\":\"r5\"}" $engine/v1/cancel &&
	jq -e .cancelled body && wait &&
	test $(cat curl-status) = 18 &&
	! grep done stream && grep "\"index\":1" stream
'

test_expect_success 'engine: cache events with gaps, KV export and import' '
	long=$(printf "x%.0s" $(seq 200)) &&
	generate $engine r6 "{\"max_tokens\":1,\"session\":\"s1\",
		\"prompt\":\"$long\"}" &&
	fetch "$engine/cache-events?after=0" &&
	jq -e "[.events[].seq] == [1, 3] and .next == 3 and
		all(.events[]; .op == \"store\")" body &&
	jq -r ".events[0].prefix" body >prefix &&
	fetch $engine/kv/s1 &&
	jq -e "(.blocks | length) == 3 and .blocks[0] == \"$(cat prefix)\" and
		.content == \"$content\"" body && cp body kv &&
	test $(fetch -T kv $engine/kv/s2) = 201 &&
	test $(fetch -T kv $third/kv/s2) = 409 &&
	test $(fetch $engine/kv/absent) = 404
'

test_expect_success 'engine: open connections are blackholed, new ones work' '
	{ { limit=2 generate $engine r7 "{\"max_tokens\":100,
		\"stream\":true}" >stream || echo $? >blackhole-status; } & } &&
	sleep 0.3 &&
	fault $second "{\"mode\":\"blackhole\",\"address\":\"$TEST_NET.11\"}" &&
	sleep 0.1 && cp stream before && sleep 0.3 &&
	cmp stream before && test -s before && ! test -f blackhole-status &&
	test $(fetch $engine/running) = 200 &&
	wait && test $(cat blackhole-status) = 28
'

test_expect_success 'engine: a request crashes it' '
	fetch $engine/running && jq -r .boot body >boot &&
	{ generate $engine r8 "{\"prompt\":\"a @crash\"}" && return 1; }
	test "$(fetch $engine/running || :)" = 000 &&
	test $(fetch $second/running) = 200 &&
	wait_until 3 curl -sf $engine/running && fetch $engine/running &&
	jq -e ".models == [] and .boot != \"$(cat boot)\"" body &&
	fetch $engine/staging && jq -e ".used == 0" body &&
	fetch $engine/standin/runs &&
	jq -e ".runs.r1 == 1 and .runs.r8 == 1 and .runs.p5 == 1" body
'

test_expect_success 'engine: a load order crashes it' '
	fault $second "{\"mode\":\"crash-on-load\",
		\"address\":\"$TEST_NET.12\"}" &&
	test "$(order $second v3 20 $digest2 || :)" = 000 &&
	fault $third "{\"mode\":\"ok\"}" &&
	wait_until 3 curl -sf $second/running
'

test_expect_success 'plain: runs are counted by key and by request' '
	for id in a b; do
		time_ms=$(elapsed_ms curl -s -o body -H "X-Request-Id: $id" \
			-H "X-Idempotency-Key: k1" -d "{\"n\":1}" $plain/charge)
		test $time_ms -ge 100 || return 1
	done &&
	jq -e ". == {id: \"b\", operation: \"charge\", key: \"k1\", run: 2,
		echo: {n: 1}}" body &&
	fetch $plain/standin/runs &&
	jq -e ". == {runs: {k1: 2}, requests: {a: 1, b: 1}}" body
'

test_expect_success 'plain: fault 500 counts no run, hang and crash count one' '
	key="X-Idempotency-Key" &&
	fault $plain "{\"mode\":\"500\"}" &&
	test $(fetch -H "$key: k2" -d 1 $plain/charge) = 500 &&
	fault $plain "{\"mode\":\"hang\"}" &&
	test "$(fetch -m 1 -H "$key: k3" -d 1 $plain/charge || :)" = 000 &&
	fault $plain "{\"mode\":\"crash\",\"ms\":500}" &&
	test "$(fetch -H "$key: k4" -d 1 $plain/charge || :)" = 000 &&
	test "$(fetch -d 1 $plain/charge || :)" = 000 &&
	wait_until 3 curl -sf $plain/standin/runs &&
	fetch $plain/standin/runs &&
	jq -e ".runs == {k1: 2, k3: 1, k4: 1}" body
'

test_expect_success 'caller: answers of both kinds pass the history check' '
	for n in 12 13; do
		stage http://$TEST_NET.$n:7200 chunk1 $digest1 &&
		stage http://$TEST_NET.$n:7200 chunk2 $digest2 &&
		test $(order http://$TEST_NET.$n:7200 v9 30 \
			$digest1 $digest2) = 200 || return 1
	done &&
	caller --direct --entry $TEST_NET.12 --entry $TEST_NET.13 --calls 20 \
		--tokens 3 --stream-share 0.5 --content v9=$content --seed 7 \
		--history models.jsonl >summary &&
	jq -e ".answers == 20 and .violations == 0" summary &&
	caller --direct --entry $TEST_NET.21 --plain-share 1 --calls 20 \
		--seed 8 --history plain.jsonl >summary &&
	jq -e ".answers == 20" summary &&
	curl -s $engine/standin/runs >engine-runs &&
	curl -s $plain/standin/runs | jq -c "del(.runs.k1)" >plain-runs &&
	python3 $TOP/t/helper/history-check.py --engine-runs engine-runs \
		--plain-runs plain-runs models.jsonl plain.jsonl
'

test_expect_success 'caller: detects answers of other weights' '
	caller_status=0 &&
	caller --direct --entry $TEST_NET.12 --calls 5 --tokens 3 --seed 9 \
		--content v9=$digest1 --history bad.jsonl >summary ||
		caller_status=$? &&
	test $caller_status = 1 && jq -e ".violations == 5" summary &&
	jq -e ".mixed and (.whole | not)" bad.jsonl
'

test_expect_success 'all exit within 2 s of SIGTERM' '
	for name in platform store engine plain; do
		kill -TERM $(cat $name.pid) || return 1
	done &&
	wait_until 2 sh -c "! kill -0 $(cat platform.pid) $(cat store.pid) \
		$(cat engine.pid) $(cat plain.pid)"
'

test_done
