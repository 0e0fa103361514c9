#!/bin/sh

test_description='no more streams are moved than the retry budget allows'

. "$(dirname "$0")/test-lib.sh"

STORE=$TEST_NET.9:7001
ENTRY=$TEST_NET.1:8000
READY=$TEST_NET.1:8001
KEY=0123456789abcdef
STREAMS="1 2 3 4 5 6 7 8 9 10"

put () {
	curl -sf -X PUT --data-binary @- "http://$STORE/test/$1" >/dev/null
}

config () {
	cat <<-EOF | put op/config
	{"Version":1,"Routes":[
	 {"Name":"tell","Host":"a.example","Prefix":"/tell/","Kind":"streaming","TimeoutMs":60000,"SloMs":400,"GapAimMs":400,"Service":"llm","Attempts":3,"Resumable":true}],
	 "Services":[{"Name":"llm","MaxConns":99,"Engine":{"Slots":32,
	  "KvTokens":685000,"Stride":6,"Models":[{"Name":"m"}],"step_ms":7.4,
	  "per_seq_ms":0.04,"context_per_k":0.02,"read_per_s":31900,
	  "usual":{"prompt":970,"answer":106}}},
	  {"Name":"store","Origin":"127.0.0.1:1"}],
	 "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":100000,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}
	EOF
	printf '{"Model":"m","Version":1}' | put op/version/m
}

# engine ID ADDRESS
engine () {
	printf '{"Service":"llm","Addr":"%s","Zone":"d1","Version":"v1","Slots":32,"State":"ready","ColdLeftMs":0,"Seq":1,"Models":[{"Name":"m","Version":1,"Adapters":[]}]}' \
		"$2" | put servers/$1
}

# send ID: prints the status, or a word when the answer broke off.
send () {
	curl -s -N -m 50 -o body-$1 -w '%{http_code}' -H "Host: a.example" \
		-H "X-Limpetflow-Request-Id: r$1" -H "X-Limpetflow-Model: m" \
		-H "X-Limpetflow-Deadline-Ms: 50000" \
		"http://$ENTRY/tell/begun-alive" || echo cut
}

all_began () {
	for i in $STREAMS; do
		grep "id: 1" body-$i || return 1
	done
}

all_complete () {
	for i in $STREAMS; do
		test "$(cat stream-$i.out)" = 200 &&
		test "$(sed -n 's/^id: //p' body-$i | tr -d '\n')" = 12345 ||
			return 1
	done
}

cat >entry.json <<EOF
{"instance":"e1","data_center":"d1","address":"$TEST_NET.1",
 "ports":{"first":7700},"listen":{"callers":"$ENTRY","ready":"$READY"},
 "platform":"store","platform_url":"http://$STORE",
 "key":"$KEY","seeds":["$TEST_NET.1:1"],
 "forward":{"release_ms":4000,"stop_grace_s":8,"retry_ratio":0.2,
  "retry_window_s":30,"retry_slack":8}}
EOF

start store python3 "$TEST_DIR/standin/metadata_store.py" store $STORE
start first python3 "$TEST_DIR/standin/metadata_store.py" upstream $TEST_NET.2:80 i-1 queue
start second python3 "$TEST_DIR/standin/metadata_store.py" upstream $TEST_NET.3:80 i-2 stream

test_expect_success 'ten streams begin at one engine' '
	wait_until 10 curl -sf http://$STORE/test/calls &&
	config && engine i-1 $TEST_NET.2:80 &&
	start entry limpet-entry --settings entry.json &&
	wait_until 10 curl -sf http://$READY/readyz &&
	for i in $STREAMS; do
		start stream-$i send $i && wait_until 5 grep "id: 1" body-$i || return 1
	done &&
	wait_until 10 all_began &&
	engine i-2 $TEST_NET.3:80
'

test_expect_success 'some are moved when they keep the engine from its order' '
	start report send-report $TEST_NET.1 7703 $KEY $TEST_NET.2:80 m 10 &&
	wait_until 10 grep -l "id: 5" body-*
'

# All are checked in one step, and the budget of 7 is smaller than their number.
test_expect_success 'the others stay until they are complete' '
	sleep 1 &&
	curl -sf http://$TEST_NET.2:80/test/finish &&
	wait_until 10 all_complete
'

test_done
