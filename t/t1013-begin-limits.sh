#!/bin/sh

test_description='no request is sent to an upstream after the time for it is over'

. "$(dirname "$0")/test-lib.sh"

STORE=$TEST_NET.9:7001
ENTRY=$TEST_NET.1:8000
READY=$TEST_NET.1:8001
UPSTREAM=$TEST_NET.2:80
SLOW=$TEST_NET.3:80

put () {
	curl -sf -X PUT --data-binary @- "http://$STORE/test/$1" >/dev/null
}

config () {
	cat <<-EOF | put op/config
	{"Version":1,"Routes":[
	 {"Name":"read","Host":"a.example","Prefix":"/read/","Kind":"idempotent","TimeoutMs":6000,"SloMs":2000,"Service":"web","Attempts":1},
	 {"Name":"wait","Host":"a.example","Prefix":"/read/wait/","Kind":"idempotent","TimeoutMs":6000,"SloMs":2000,"Service":"slow","Attempts":1}],
	 "Services":[{"Name":"web","MaxConns":9},{"Name":"slow","MaxConns":9}],
	 "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":100000,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}
	EOF
}

# server ID ADDRESS SERVICE
server () {
	printf '{"Service":"%s","Addr":"%s","Zone":"d1","Version":"v1","Slots":4,"State":"ready","ColdLeftMs":0,"Seq":1}' \
		"$3" "$2" | put servers/$1
}

# send ID PATH [OPTIONS]: prints the status; the body goes to body-ID.
send () {
	id=$1 path=$2
	shift 2
	curl -s -m 8 -o body-$id -w '%{http_code}' -H "Host: a.example" \
		-H "X-Limpetflow-Request-Id: $id" \
		-H "X-Limpetflow-Deadline-Ms: 5000" "$@" \
		"http://$ENTRY/read/$path"
}

status_is () {
	status=$1
	shift
	test "$(send "$@")" = "$status"
}

# withdrawn ID: the request waited at the slow upstream, and its connection was
# closed.
withdrawn () {
	curl -s http://$SLOW/test/withdrawn | jq -e "index(\"$1\")"
}

# arrivals ID: the number of times that the upstream received the request.
arrivals () {
	curl -s http://$UPSTREAM/test/requests |
		jq "map(select(. == \"$1\")) | length"
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
start upstream python3 "$TEST_DIR/standin/metadata_store.py" upstream $UPSTREAM i-1 drop
start slow python3 "$TEST_DIR/standin/metadata_store.py" upstream $SLOW i-2 queue

test_expect_success 'the entry serves requests' '
	wait_until 10 curl -sf http://$STORE/test/calls &&
	config && server i-1 $UPSTREAM web && server i-2 $SLOW slow &&
	start entry limpet-entry --settings entry.json &&
	wait_until 10 curl -sf http://$READY/readyz &&
	wait_until 10 status_is 200 first x
'

# The library sends a request again when a connection used before closes; that
# one would have the deadline and the upstream of the first.
test_expect_success 'a request whose connection closes later is not sent again unchanged' '
	status_is 200 before x &&
	status_is 502 dropped drop &&
	test "$(arrivals dropped)" = 1
'

test_expect_success 'a request whose caller has left before it was read is not sent' '
	status_is 200 kept x &&
	kill -STOP $(cat entry.pid) &&
	! send left x -m 0.3 >/dev/null &&
	kill -CONT $(cat entry.pid) &&
	status_is 200 after x &&
	test "$(arrivals after)" = 1 &&
	test "$(arrivals left)" = 0
'

test_expect_success 'a request whose caller leaves is withdrawn from its upstream' '
	! send gone wait/x -m 1 >/dev/null &&
	wait_until 2 withdrawn gone
'

test_expect_success 'the time in which a body is read counts in the deadline' '
	(sleep 1.2 && echo text) | status_is 200 slow x -T - -H "Expect:" &&
	jq -r ".headers[]|join(\": \")" body-slow >headers &&
	left=$(sed -n "s/^X-Limpetflow-Deadline-Ms: //p" headers) &&
	test "$left" -gt 2000 && test "$left" -le 4000
'

test_done

