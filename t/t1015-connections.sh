#!/bin/sh

test_description='an entry keeps no connections that it can not use again

Guards against connections to an upstream that grow with the requests until
the upstream resets new ones.'

. "$(dirname "$0")/test-lib.sh"

STORE=$TEST_NET.9:7001
ENTRY=$TEST_NET.1:8000
READY=$TEST_NET.1:8001
UPSTREAM=$TEST_NET.2:80

put () {
	curl -sf -X PUT --data-binary @- "http://$STORE/test/$1" >/dev/null
}

config () {
	cat <<-EOF | put op/config
	{"Version":1,"Routes":[
	 {"Name":"once","Host":"a.example","Prefix":"/once/","Kind":"non_idempotent","TimeoutMs":3000,"SloMs":500,"Service":"web","Attempts":2},
	 {"Name":"read","Host":"a.example","Prefix":"/read/","Kind":"idempotent","TimeoutMs":3000,"SloMs":500,"Service":"web","Attempts":2}],
	 "Services":[{"Name":"web","MaxConns":9}],
	 "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":100000,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}
	EOF
	printf '{"Service":"web","Addr":"%s","Zone":"d1","Version":"v1","Slots":4,"State":"ready","ColdLeftMs":0,"Seq":1}' \
		"$UPSTREAM" | put servers/i-1
}

status_is () {
	test "$(curl -s -o /dev/null -m 5 -w '%{http_code}' \
		-H "Host: a.example" -H "X-Limpetflow-Request-Id: r" \
		"http://$ENTRY/$2")" = "$1"
}

# send COUNT PATH: every request succeeds.
send () {
	send_left=$1
	while test $send_left -gt 0; do
		status_is 200 "$2" || return 1
		send_left=$((send_left - 1))
	done
}

connections_are_at_most () {
	test "$(curl -s http://$UPSTREAM/test/connections)" -le "$1"
}

cat >entry.json <<EOF
{"instance":"e1","data_center":"d1","address":"$TEST_NET.1",
 "ports":{"first":7700},"listen":{"callers":"$ENTRY","ready":"$READY"},
 "platform":"store","platform_url":"http://$STORE",
 "key":"0123456789abcdef","seeds":["$TEST_NET.1:1"],
 "forward":{"stop_grace_s":8,"retry_ratio":0.2,"retry_window_s":10,
  "retry_slack":100}}
EOF

start store python3 "$TEST_DIR/standin/metadata_store.py" store $STORE
start upstream python3 "$TEST_DIR/standin/metadata_store.py" upstream $UPSTREAM i-1

test_expect_success 'requests that may be repeated share a connection' '
	wait_until 10 curl -sf http://$STORE/test/calls &&
	config &&
	start entry limpet-entry --settings entry.json &&
	wait_until 10 curl -sf http://$READY/readyz &&
	wait_until 10 status_is 200 read/x &&
	send 20 read/x &&
	wait_until 10 connections_are_at_most 1
'

test_expect_success 'requests that may not be repeated leave no connection' '
	send 20 once/x &&
	wait_until 10 connections_are_at_most 1
'

test_done
