#!/bin/sh

test_description='a request is sent no more often than its route allows

The HTTP library sends a request again by itself when a kept connection closes
before the answer, although the upstream may have run it.'

. "$(dirname "$0")/test-lib.sh"

STORE=$TEST_NET.9:7001
ENTRY=$TEST_NET.1:8000
READY=$TEST_NET.1:8001
KEPT=8

put () {
	curl -sf -X PUT --data-binary @- "http://$STORE/test/$1" >/dev/null
}

config () {
	printf '{"Version":1,"Routes":[{"Name":"web","Host":"a.example","Prefix":"/web/","Kind":"idempotent","TimeoutMs":3000,"SloMs":1000,"Service":"web","Attempts":2}],"Services":[{"Name":"web","MaxConns":90}]}' |
		put op/config
	for id in 2 3; do
		printf '{"Service":"web","Addr":"%s","Zone":"d1","Version":"v1","Slots":90,"State":"ready","ColdLeftMs":0,"Seq":1}' \
			$TEST_NET.$id:80 | put servers/i-$id || return 1
	done
}

# ask ID FORM: prints the status.
ask () {
	curl -s -m 5 -o /dev/null -w "%{http_code}\n" -H "Host: a.example" \
		-H "X-Limpetflow-Request-Id: $1" http://$ENTRY/web/$2
}

is_served () {
	ask probe plain-length | grep 200
}

# keep_connections: leaves the entry with KEPT idle connections, by answers that
# overlap.
keep_connections () {
	waiting=
	for i in $(seq $KEPT); do
		ask kept-$1-$i plain-length-late >/dev/null &
		waiting="$waiting $!"
	done
	wait $waiting
}

# runs ID: prints how often the upstreams got a request.
runs () {
	curl -s http://$TEST_NET.2:80/test/runs | jq ".\"$1\" // 0"
}

cat >entry.json <<EOF
{"instance":"e1","data_center":"d1","address":"$TEST_NET.1",
 "ports":{"first":7700},"listen":{"callers":"$ENTRY","ready":"$READY"},
 "platform":"store","platform_url":"http://$STORE",
 "key":"0123456789abcdef","seeds":["$TEST_NET.1:1"],
 "forward":{"stop_grace_s":3,"retry_ratio":0.2,"retry_window_s":10,
  "retry_slack":1000}}
EOF
start store python3 "$TEST_DIR/standin/metadata_store.py" store $STORE
start upstreams python3 "$TEST_DIR/standin/raw_server.py" $TEST_NET.2:80 $TEST_NET.3:80

test_expect_success 'an entry serves' '
	wait_until 10 curl -sf http://$STORE/test/calls && config &&
	start entry limpet-entry --settings entry.json &&
	wait_until 10 curl -sf http://$READY/readyz &&
	wait_until 10 is_served
'

test_expect_success 'upstreams that close kept connections get two attempts' '
	for round in 1 2 3; do
		keep_connections $round &&
		ask lost-$round head-none &&
		runs lost-$round >>actual || return 1
	done &&
	cat actual &&
	printf "2\n2\n2\n" >expect &&
	test_cmp expect actual
'

# A second attempt is the entry'"$SQ"'s own, at another upstream.
test_expect_success 'a request whose connection closes is answered elsewhere' '
	keep_connections again &&
	test "$(ask again-1 head-none+plain-length)" = 200 &&
	test "$(runs again-1)" = 2
'

test_done
