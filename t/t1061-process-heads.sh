#!/bin/sh

test_description='the heads that entries and agents write to each other and to others'

. "$(dirname "$0")/test-lib.sh"
. "$TEST_DIR/fleet-lib.sh"
. "$TEST_DIR/calls-lib.sh"

SQ="'"
A1=$CALLS_NET.31
RECORDER=$TEST_NET.8

# ask ADDRESS:PORT <CASES: the answers without the fields that vary.
ask () {
	timeout 60 python3 "$TEST_DIR/helper/passed-on.py" $1 - |
		sed "s/ Date=.now.//; s/ Content-Length=[^ ]*//; s/ whole [0-9]*/ whole/;
			s/X-Request-Id=[^ ]*/X-Request-Id/;
			s/X-Model-Version=[^ ]*/X-Model-Version/; s/ *$//"
}

# The engine makes a token each 2 ms.
KEY="ask=Authorization:Bearer $KEY_ADUBO"
GEN="method=POST path=/v1/models/quotes/generate"
LONG='body={"prompt":"a","max_tokens":2000,"stream":true}'
cat >calls <<-EOF
stream "$KEY" $GEN 'body={"prompt":"a","stream":true}'
stream-1.0 version=1.0 "$KEY" $GEN 'body={"prompt":"a","stream":true}'
stream-close ask=Connection:close "$KEY" $GEN 'body={"prompt":"a","stream":true}'
whole "$KEY" $GEN 'body={"prompt":"a"}'
whole-1.0 version=1.0 "$KEY" $GEN 'body={"prompt":"a"}'
no-json "$KEY" $GEN 'body={'
no-key $GEN 'body={}'
no-model "$KEY" method=POST path=/v1/models/none/generate body={}
nowhere path=/nowhere
nowhere-head method=HEAD path=/nowhere
EOF
cat >pages <<-\EOF
status path=/status
metrics path=/metrics
metrics-1.0 version=1.0 path=/metrics
metrics-close path=/metrics ask=Connection:close
ready path=/ready
nowhere path=/nowhere
nowhere-head method=HEAD path=/metrics
EOF

# Between the processes and the platform, the store and the engine.
test_expect_success 'a fleet with an agent and an engine starts' '
	mkdir -p store && model_make m.bin 65536 1 &&
	digest=$(model_publish store quotes 1 m.bin 16384) &&
	fleet_platform_start && fleet_store_start store &&
	start engines standin-engine --port 7201 $ENGINE_OPTIONS --address $A1 &&
	start recorder python3 "$TEST_DIR/helper/record-requests.py" \
		$RECORDER:7001=$PLATFORM:7001 $RECORDER:7002=$STORE:7001 \
		$A1:7200=$A1:7201 &&
	PLATFORM_URL=http://$RECORDER:7001 && STORE_URL=http://$RECORDER:7002 &&
	agent_start m-1 dc1 $A1 model &&
	entry_start e-1 dc1 $ENTRY1 &&
	PLATFORM_URL=http://$PLATFORM:7001 &&
	fleet_publish_instances &&
	calls_config 1 $digest &&
	wait_until 20 routes_are $ENTRY1 1
'

# Guards against a field twice in the answers of either, and bytes after them
# (issue 59).
test_expect_success 'entries and agents answer' '
	{
		ask $ENTRY1:7100 <calls &&
		ask $ENTRY1:7102 <pages &&
		ask $A1:7102 <pages &&
		digest=$(ls store/manifests) &&
		chunk=$(jq -r ".chunks[0]" store/manifests/$digest) &&
		ask $A1:7100 <<-EOF
		nowhere path=/nowhere
		chunk path=/chunks/$chunk
		chunk-1.0 version=1.0 path=/chunks/$chunk
		chunk-close path=/chunks/$chunk ask=Connection:close
		no-chunk path=/chunks/$digest
		manifest path=/manifests/$digest
		EOF
	} >actual &&
	cat >expect <<-\EOF &&
	stream: 200 chunked whole, open, X-Request-Id X-Outcome=[answer] X-Model-Version Content-Type=[text/event-stream]
	stream-1.0: 200 length whole closing, closed, X-Request-Id X-Outcome=[answer] X-Model-Version Content-Type=[text/event-stream]
	stream-close: 200 chunked whole closing, closed, X-Request-Id X-Outcome=[answer] X-Model-Version Content-Type=[text/event-stream]
	whole: 200 length whole, open, X-Request-Id X-Outcome=[answer] X-Model-Version Content-Type=[application/json]
	whole-1.0: 200 length whole closing, closed, X-Request-Id X-Outcome=[answer] X-Model-Version Content-Type=[application/json]
	no-json: 400 length whole, open, bad-request Content-Type=[application/problem+json]
	no-key: 401 length whole, open, unauthorized WWW-Authenticate=[Bearer] Content-Type=[application/problem+json]
	no-model: 404 length whole, open, no-such-model Content-Type=[application/problem+json]
	nowhere: 404 length whole, open, no-such-path Content-Type=[application/problem+json]
	nowhere-head: 404 length whole, open, Content-Type=[application/problem+json]
	status: 200 length whole, open, Content-Type=[application/json]
	metrics: 200 length whole, open, Content-Type=[text/plain; version=0.0.4]
	metrics-1.0: 200 length whole closing, closed, Content-Type=[text/plain; version=0.0.4]
	metrics-close: 200 length whole closing, closed, Content-Type=[text/plain; version=0.0.4]
	ready: 200 length whole, open, Content-Type=[application/json]
	nowhere: 404 length whole, open, no-such-path Content-Type=[application/problem+json]
	nowhere-head: 404 length whole, open, Content-Type=[application/problem+json]
	status: 200 length whole, open, Content-Type=[application/json]
	metrics: 200 length whole, open, Content-Type=[text/plain; version=0.0.4]
	metrics-1.0: 200 length whole closing, closed, Content-Type=[text/plain; version=0.0.4]
	metrics-close: 200 length whole closing, closed, Content-Type=[text/plain; version=0.0.4]
	ready: 200 length whole, open, Content-Type=[application/json]
	nowhere: 404 length whole, open, no-such-path Content-Type=[application/problem+json]
	nowhere-head: 404 length whole, open, Content-Type=[application/problem+json]
	nowhere: 404 length whole, open, no-such-path Content-Type=[application/problem+json]
	chunk: 200 length whole, open, Content-Type=[application/octet-stream]
	chunk-1.0: 200 length whole closing, closed, Content-Type=[application/octet-stream]
	chunk-close: 200 length whole closing, closed, Content-Type=[application/octet-stream]
	no-chunk: 404 length whole, open, Content-Type=[text/plain]
	manifest: 200 length whole, open, Content-Type=[application/json]
	EOF
	test_cmp expect actual
'

# A stream that began before is written meanwhile. The next request on its connection
# is refused, or finds it closed as the process has ended.
test_expect_success 'an entry that stops answers' '
	echo "long \"$KEY\" $GEN $SQ$LONG$SQ" | ask $ENTRY1:7100 >long &
	long=$! &&
	sleep 0.5 &&
	kill -TERM $(cat e-1.pid) &&
	wait_until 2 sh -c "curl -si http://$ENTRY1:7102/ready | grep 503" &&
	ask $ENTRY1:7100 <calls >actual &&
	ask $ENTRY1:7102 <pages >>actual &&
	wait $long &&
	sed "s/, 503 whole b.* \[\], /, over, /; s/, closed, /, over, /" long >>actual &&
	cat >expect <<-\EOF &&
	stream: 503 length whole closing, closed, draining Retry-After=[1] Content-Type=[application/problem+json]
	stream-1.0: 503 length whole closing, closed, draining Retry-After=[1] Content-Type=[application/problem+json]
	stream-close: 503 length whole closing, closed, draining Retry-After=[1] Content-Type=[application/problem+json]
	whole: 503 length whole closing, closed, draining Retry-After=[1] Content-Type=[application/problem+json]
	whole-1.0: 503 length whole closing, closed, draining Retry-After=[1] Content-Type=[application/problem+json]
	no-json: 503 length whole closing, closed, draining Retry-After=[1] Content-Type=[application/problem+json]
	no-key: 401 length whole closing, closed, unauthorized WWW-Authenticate=[Bearer] Content-Type=[application/problem+json]
	no-model: 503 length whole closing, closed, draining Retry-After=[1] Content-Type=[application/problem+json]
	nowhere: 404 length whole closing, closed, no-such-path Content-Type=[application/problem+json]
	nowhere-head: 404 length whole closing, closed, Content-Type=[application/problem+json]
	status: 200 length whole, open, Content-Type=[application/json]
	metrics: 200 length whole, open, Content-Type=[text/plain; version=0.0.4]
	metrics-1.0: 200 length whole closing, closed, Content-Type=[text/plain; version=0.0.4]
	metrics-close: 200 length whole closing, closed, Content-Type=[text/plain; version=0.0.4]
	ready: 503 length whole, open, Content-Type=[application/json]
	nowhere: 404 length whole, open, no-such-path Content-Type=[application/problem+json]
	nowhere-head: 404 length whole, open, Content-Type=[application/problem+json]
	long: 200 chunked whole, over, X-Request-Id X-Outcome=[answer] X-Model-Version Content-Type=[text/event-stream]
	EOF
	test_cmp expect actual
'

test_expect_success 'requests of entries and agents have each field once' '
	for address in $RECORDER:7001 $RECORDER:7002 $A1:7200; do
		grep "^$address .* fine$" recorder.out || exit 1
	done &&
	! grep -v " fine$" recorder.out
'

test_done
