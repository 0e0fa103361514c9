#!/bin/sh

test_description='callers and upstreams at the limit of a release'

. "$(dirname "$0")/test-lib.sh"

STORE=$TEST_NET.9:7001
ENTRY=$TEST_NET.1:8000
READY=$TEST_NET.1:8001
OLD=$TEST_NET.2:80
NEW=$TEST_NET.3:80
WRONG=$TEST_NET.4:80
PLAIN=$TEST_NET.5:80

put () {
	curl -sf -X PUT --data-binary @- "http://$STORE/test/$1" >/dev/null
}

# declare_release MODEL RELEASE
declare_release () {
	printf '{"Model":"%s","Version":%s}' $1 $2 | put op/version/$1
}

# route NAME SERVICE ATTEMPTS RESUMABLE
route () {
	printf '{"Name":"%s","Host":"a.example","Prefix":"/%s/","Kind":"streaming","TimeoutMs":100000,"SloMs":400,"GapAimMs":400,"Service":"%s","Attempts":%s,"Resumable":%s}' \
		$1 $1 $2 $3 $4
}

# engine_service NAME MODEL
engine_service () {
	printf '{"Name":"%s","MaxConns":99,"Engine":{"Slots":4,"KvTokens":685000,"Stride":6,"Models":[{"Name":"%s"}],"step_ms":7.4,"per_seq_ms":0.04,"context_per_k":0.02,"read_per_s":31900,"usual":{"prompt":970,"answer":106}}}' $1 $2
}

config () {
	cat <<-EOT | put op/config
	{"Version":1,"Routes":[$(route one llm 1 true),$(route lone llm 1 false),
	  $(route two llm 2 true),$(route ask misread 1 true),
	  {"Name":"plain","Host":"a.example","Prefix":"/plain/","Kind":"idempotent","TimeoutMs":5000,"SloMs":400,"Service":"web","Attempts":1}],
	 "Services":[$(engine_service llm m),$(engine_service misread n),
	  {"Name":"web","MaxConns":90},
	  {"Name":"store","Origin":"127.0.0.1:1"}],
	 "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":100000,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}
	EOT
}

# engine ID SERVICE ADDRESS MODEL RELEASE: lists an upstream.
engine () {
	printf '{"Service":"%s","Addr":"%s","Zone":"d1","Version":"v1","Slots":4,"State":"ready","ColdLeftMs":0,"Seq":1,"Models":[{"Name":"%s","Version":%s,"Adapters":[]}]}' \
		$2 $3 $4 $5 | put servers/$1
}

# read_answer ID PATH MODEL: prints how the caller sees the answer.
read_answer () {
	python3 "$TEST_DIR/helper/read-answer.py" $ENTRY "/$2" \
		"X-Limpetflow-Request-Id:$1" "X-Limpetflow-Model:$3" \
		X-Limpetflow-Deadline-Ms:50000
}

is_served () {
	read_answer r-$1 one/events-length m | grep "whole events 12345"
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
start old python3 "$TEST_DIR/standin/raw_server.py" $OLD $NEW
start wrong python3 "$TEST_DIR/standin/metadata_store.py" upstream $WRONG i-wrong stream
start plain python3 "$TEST_DIR/standin/metadata_store.py" upstream $PLAIN i-plain ok

test_expect_success 'the entry serves release 1' '
	wait_until 10 curl -sf http://$STORE/test/calls &&
	config && declare_release m 1 && declare_release n 2 &&
	engine i-old llm $OLD m 1 && engine i-wrong misread $WRONG n 2 &&
	engine i-plain web $PLAIN m 1 &&
	start entry limpet-entry --settings entry.json &&
	wait_until 10 curl -sf http://$READY/readyz &&
	wait_until 10 is_served 1
'

# Guards against an upstream that is asked again and again, by retries of the
# budget, for a release that it does not run.
test_expect_success 'an upstream that refused a release gets no requests for it right after' '
	curl -sf -X PUT -d 1 http://$WRONG/test/release &&
	set -- -s -o /dev/null -w "%{http_code}\n" -H "Host: a.example" \
		-H "X-Limpetflow-Model: n" "http://$ENTRY/ask/any" &&
	curl "$@" -H "X-Limpetflow-Request-Id: w1" --next \
		"$@" -H "X-Limpetflow-Request-Id: w2" --next \
		"$@" -H "X-Limpetflow-Request-Id: w3" >statuses &&
	printf "503\n503\n503\n" >expect &&
	test_cmp expect statuses &&
	curl -s http://$WRONG/test/requests | jq length >arrivals &&
	cat arrivals &&
	test "$(cat arrivals)" = 1
'

# Guards against streams that an upstream ends as the deadline that the entry
# set is over: where only the connection marks the end they look whole.
test_expect_success 'a stream that ends at the limit of its release is not passed on as whole' '
	declare_release m 2 &&
	wait_until 10 grep "\"m\",\"message\":\"release 2 declared" entry.out &&
	start moved read_answer c4 two/part-close-deadline+events-close m &&
	start one read_answer c1 one/part-close-deadline m &&
	start lone read_answer c2 lone/part-close-deadline m &&
	start coded read_answer c3 one/part-chunked-deadline m &&
	sleep 2 &&
	engine i-new llm $NEW m 2 &&
	wait_until 10 grep "[0-9]" one.out &&
	wait_until 10 grep "[0-9]" lone.out &&
	wait_until 10 grep "[0-9]" coded.out &&
	cat >expect <<-\EOF &&
	200 chunked cut events 12
	200 chunked cut events 12
	200 chunked cut events 12
	EOF
	cat one.out lone.out coded.out >actual &&
	test_cmp expect actual
'

test_expect_success 'it goes on at an upstream of the newer release' '
	wait_until 10 grep "[0-9]" moved.out &&
	echo "200 chunked whole events 12345" >expect &&
	test_cmp expect moved.out
'

# Guards against a deadline that was over before the request was sent: upstreams
# of a service without engines are chosen whatever models they list.
test_expect_success 'a service without engines has no limit of a release' '
	read_answer p1 plain/any m >actual &&
	cat actual &&
	grep "^200" actual &&
	curl -s http://$PLAIN/test/deadlines >deadlines &&
	cat deadlines &&
	jq -e ".p1 > 4000" deadlines
'

test_done
