#!/bin/sh

test_description='no request begins on an expired release when its entry acts late

The upstream here keeps requests whose connection is closed, as some do, so that
a withdrawal has no effect.'

. "$(dirname "$0")/test-lib.sh"

STORE=$TEST_NET.9:7001
ENTRY=$TEST_NET.1:8000
READY=$TEST_NET.1:8001
OLD=$TEST_NET.2:80
FRESH=$TEST_NET.3:80

put () {
	curl -sf -X PUT --data-binary @- "http://$STORE/test/$1" >/dev/null
}

# declare_release MODEL RELEASE
declare_release () {
	printf '{"Model":"%s","Version":%s}' $1 $2 | put op/version/$1
}

config () {
	cat <<-EOT | put op/config
	{"Version":1,"Routes":[
	 {"Name":"tell","Host":"a.example","Prefix":"/tell/","Kind":"streaming","TimeoutMs":100000,"SloMs":400,"GapAimMs":400,"Service":"llm","Attempts":1,"Resumable":true},
	 {"Name":"ask","Host":"a.example","Prefix":"/ask/","Kind":"streaming","TimeoutMs":100000,"SloMs":400,"GapAimMs":400,"Service":"fresh","Attempts":1,"Resumable":true}],
	 "Services":[$(engine_service llm m),$(engine_service fresh n),
	  {"Name":"store","Origin":"127.0.0.1:1"}],
	 "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":100000,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}
	EOT
}

# engine_service NAME MODEL
engine_service () {
	printf '{"Name":"%s","MaxConns":99,"Engine":{"Slots":4,"KvTokens":685000,"Stride":6,"Models":[{"Name":"%s"}],"step_ms":7.4,"per_seq_ms":0.04,"context_per_k":0.02,"read_per_s":31900,"usual":{"prompt":970,"answer":106}}}' $1 $2
}

# engine ID SERVICE ADDRESS MODEL RELEASE: lists an upstream.
engine () {
	printf '{"Service":"%s","Addr":"%s","Zone":"d1","Version":"v1","Slots":4,"State":"ready","ColdLeftMs":0,"Seq":1,"Models":[{"Name":"%s","Version":%s,"Adapters":[]}]}' \
		$2 $3 $4 $5 | put servers/$1
}

# send ID PATH MODEL: prints the status.
send () {
	curl -s -N -m 60 -o body-$1 -w '%{http_code}' -H "Host: a.example" \
		-H "X-Limpetflow-Request-Id: $1" -H "X-Limpetflow-Model: $3" \
		-H "X-Limpetflow-Deadline-Ms: 50000" "http://$ENTRY/$2"
}

# listed ADDRESS LIST ID: the list of requests contains the id.
listed () {
	curl -s http://$1/test/$2 | jq -e "index(\"$3\")"
}

cat >entry.json <<EOF
{"instance":"e1","data_center":"d1","address":"$TEST_NET.1",
 "ports":{"first":7700},"listen":{"callers":"$ENTRY","ready":"$READY"},
 "platform":"store","platform_url":"http://$STORE",
 "key":"0123456789abcdef","seeds":["$TEST_NET.1:1"],
 "forward":{"release_ms":6000,"stop_grace_s":8,"retry_ratio":0.2,
  "retry_window_s":10,"retry_slack":100}}
EOF

start store python3 "$TEST_DIR/standin/metadata_store.py" store $STORE
start old python3 "$TEST_DIR/standin/metadata_store.py" upstream $OLD i-old keep
start fresh python3 "$TEST_DIR/standin/metadata_store.py" upstream $FRESH i-fresh stream

test_expect_success 'the entry serves release 1' '
	wait_until 10 curl -sf http://$STORE/test/calls &&
	config && declare_release m 1 && declare_release n 2 &&
	engine i-old llm $OLD m 1 && engine i-fresh fresh $FRESH n 2 &&
	start entry limpet-entry --settings entry.json &&
	wait_until 10 curl -sf http://$READY/readyz
'

# Guards against requests that begin on an older release after its limit: the
# entry was late, or the upstream did not see that it closed the connection.
test_expect_success 'an upstream does not begin a request after the limit although its entry stands still' '
	declare_release m 2 &&
	wait_until 10 grep "\"m\",\"message\":\"release 2 declared" entry.out &&
	start waiting send w1 tell/wait m &&
	wait_until 10 listed $OLD requests w1 &&
	kill -STOP $(cat entry.pid) &&
	sleep 7 &&
	curl -sf http://$OLD/test/finish &&
	kill -CONT $(cat entry.pid) &&
	wait_until 20 grep "^[0-9]" waiting.out &&
	! listed $OLD begun w1
'

test_expect_success 'what the upstream did not begin is refused as not run' '
	grep 503 waiting.out
'

# Guards against an upstream that runs an older release than it reported: it was
# restarted, or its agent loaded an older one.
test_expect_success 'an upstream does not begin a request on an older release than it reported' '
	test "$(send f1 ask/one n)" = 200 &&
	curl -sf -X PUT -d 1 http://$FRESH/test/release &&
	test "$(send f2 ask/two n)" = 503 &&
	! grep "event 1" body-f2
'

test_done
