#!/bin/sh

test_description='no request begins on a release after its limit'

. "$(dirname "$0")/test-lib.sh"

STORE=$TEST_NET.9:7001
ENTRY=$TEST_NET.1:8000
READY=$TEST_NET.1:8001
ENGINE=$TEST_NET.2:80

put () {
	curl -sf -X PUT --data-binary @- "http://$STORE/test/$1" >/dev/null
}

declare_release () {
	printf '{"Model":"m","Version":%s}' $1 | put op/version/m
}

config () {
	cat <<-EOF | put op/config
	{"Version":1,"Routes":[
	 {"Name":"tell","Host":"a.example","Prefix":"/tell/","Kind":"streaming","TimeoutMs":100000,"SloMs":400,"GapAimMs":400,"Service":"llm","Attempts":1,"Resumable":true}],
	 "Services":[{"Name":"llm","MaxConns":99,"Engine":{"Slots":4,
	  "KvTokens":685000,"Stride":6,"Models":[{"Name":"m"}],"step_ms":7.4,
	  "per_seq_ms":0.04,"context_per_k":0.02,"read_per_s":31900,
	  "usual":{"prompt":970,"answer":106}}},
	  {"Name":"store","Origin":"127.0.0.1:1"}],
	 "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":100000,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}
	EOF
}

engine () {
	printf '{"Service":"llm","Addr":"%s","Zone":"d1","Version":"v1","Slots":4,"State":"ready","ColdLeftMs":0,"Seq":1,"Models":[{"Name":"m","Version":1,"Adapters":[]}]}' \
		"$ENGINE" | put servers/i-1
}

# send ID PATH: prints the status; the body goes to body-ID.
send () {
	curl -s -N -m 90 -o body-$1 -w '%{http_code}' -H "Host: a.example" \
		-H "X-Limpetflow-Request-Id: $1" -H "X-Limpetflow-Model: m" \
		-H "X-Limpetflow-Deadline-Ms: 90000" "http://$ENTRY/tell/$2"
}

# listed LIST ID: the engine's list of requests contains the id.
listed () {
	curl -s http://$ENGINE/test/$1 | jq -e "index(\"$2\")"
}

cat >entry.json <<EOF
{"instance":"e1","data_center":"d1","address":"$TEST_NET.1",
 "ports":{"first":7700},"listen":{"callers":"$ENTRY","ready":"$READY"},
 "platform":"store","platform_url":"http://$STORE",
 "key":"0123456789abcdef","seeds":["$TEST_NET.1:1"],
 "forward":{"release_ms":4000,"stop_grace_s":8,"retry_ratio":0.2,
  "retry_window_s":10,"retry_slack":100}}
EOF

sed "s/\"e1\"/\"e2\"/; s/$TEST_NET.1\"/$TEST_NET.3\"/; s/$TEST_NET.1:8/$TEST_NET.3:8/g;
	s/release_ms\":4000/release_ms\":6000/; s/$STORE/$TEST_NET.9:1/" entry.json >late.json

start store python3 "$TEST_DIR/standin/metadata_store.py" store $STORE
start engine python3 "$TEST_DIR/standin/metadata_store.py" upstream $ENGINE i-1 queue

test_expect_success 'requests wait at an engine and run on it' '
	wait_until 10 curl -sf http://$STORE/test/calls &&
	config && engine && declare_release 1 &&
	start entry limpet-entry --settings entry.json &&
	wait_until 10 curl -sf http://$READY/readyz &&
	start waiting send w1 wait &&
	start begun send b1 begun &&
	wait_until 10 listed requests w1 &&
	wait_until 10 grep "id: 1" body-b1
'

# Guards against requests that begin on an older release after its limit: they
# were sent in time and then waited for a slot.
test_expect_success 'a request that waits at an engine is withdrawn before its release expires' '
	declare_release 2 &&
	wait_until 30 listed withdrawn w1 &&
	wait_until 10 grep 502 waiting.out
'

test_expect_success 'a request that has begun runs to its end' '
	! listed withdrawn b1 &&
	curl -sf http://$ENGINE/test/finish &&
	wait_until 10 grep 200 begun.out &&
	test "$(sed -n "s/^id: //p" body-b1 | tr -d "\n")" = 12345
'

# Guards against a limit that counts from when a process learns of a release.
test_expect_success 'an entry that learns of a release late keeps the limit' '
	sleep 4 &&
	start late limpet-entry --settings late.json &&
	wait_until 20 grep "release 2 declared" late.out &&
	left=$(sed -n "s/.*release 2 declared.*for \(-*[0-9]*\) ms.*/\1/p" late.out) &&
	echo "$left ms left" &&
	test "$left" -le 2000
'

test_done
