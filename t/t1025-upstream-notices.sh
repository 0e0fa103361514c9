#!/bin/sh

test_description='upstreams that announce their end or ask for a pause in answers

Guards against an entry that goes on sending requests to an upstream which the
platform still lists as ready.'

. "$(dirname "$0")/test-lib.sh"

STORE=$TEST_NET.9:7001
ENTRY=$TEST_NET.1:8000
READY=$TEST_NET.1:8001
PAUSE_S=120

put () {
	curl -sf -X PUT --data-binary @- "http://$STORE/test/$1" >/dev/null
}

config () {
	cat <<-EOF2 | put op/config
	{"Version":1,"Routes":[
	 {"Name":"read","Host":"a.example","Prefix":"/read/","Kind":"idempotent","TimeoutMs":3000,"SloMs":500,"Service":"web","Attempts":2},
	 {"Name":"once","Host":"a.example","Prefix":"/once/","Kind":"non_idempotent","TimeoutMs":3000,"SloMs":500,"Service":"web","Attempts":2},
	 {"Name":"slow","Host":"a.example","Prefix":"/slow/","Kind":"streaming","TimeoutMs":9000,"SloMs":500,"Service":"tale","Attempts":2,"Resumable":true}],
	 "Services":[{"Name":"web"},{"Name":"tale"}],
	 "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":100000,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}
	EOF2
}

now_ms () {
	date +%s%3N
}

# list NUMBER SERVICE START_MS
list () {
	printf '{"Service":"%s","Addr":"%s","Zone":"d1","Version":"v1","Slots":4,"State":"ready","ColdLeftMs":0,"Seq":1,"born":%s}' \
		$2 "$TEST_NET.$((10 + $1)):80" $3 | put servers/i-$1
}

unlist () {
	curl -sf -X DELETE "http://$STORE/test/servers/i-$1" >/dev/null
}

# notice NUMBER STATUS NAME VALUE
notice () {
	curl -sf -X PUT -d "{\"status\":$2,\"headers\":[[\"$3\",\"$4\"]]}" \
		"http://$TEST_NET.$((10 + $1))/test/notice" >/dev/null
}

quiet () {
	curl -sf -X PUT -d null \
		"http://$TEST_NET.$((10 + $1))/test/notice" >/dev/null
}

requests_of () {
	curl -s "http://$TEST_NET.$((10 + $1))/test/requests" | jq length
}

ask () {
	curl -s -m 9 -o ask.out -D ask.head -w '%{http_code}' \
		-H "Host: a.example" -H "X-Limpetflow-Request-Id: r" \
		-H "X-Limpetflow-Deadline-Ms: 3000" "http://$ENTRY/$1"
}

# send COUNT PATH: every request succeeds.
send () {
	send_left=$1
	while test $send_left -gt 0; do
		test "$(ask $2)" = 200 || return 1
		send_left=$((send_left - 1))
	done
}

# reaches NUMBER PATH: a request to the path gets to the upstream.
reaches () {
	reaches_before=$(requests_of $1)
	ask $2 >/dev/null
	test $(requests_of $1) -gt $reaches_before
}

cat >entry.json <<EOF
{"instance":"e1","data_center":"d1","address":"$TEST_NET.1",
 "ports":{"first":7700},"listen":{"callers":"$ENTRY","ready":"$READY"},
 "platform":"store","platform_url":"http://$STORE",
 "key":"0123456789abcdef","seeds":["$TEST_NET.1:1"],
 "forward":{"stop_grace_s":8,"retry_ratio":0.2,"retry_window_s":10,
  "retry_slack":1000}}
EOF

start store python3 "$TEST_DIR/standin/metadata_store.py" store $STORE
for i in 1 2; do
	start up$i python3 "$TEST_DIR/standin/metadata_store.py" upstream \
		$TEST_NET.$((10 + i)):80 i-$i
done
start up3 python3 "$TEST_DIR/standin/metadata_store.py" upstream \
	$TEST_NET.13:80 i-3 queue

test_expect_success 'both upstreams get requests' '
	wait_until 10 curl -sf http://$STORE/test/calls &&
	first=$(now_ms) &&
	echo $first >first &&
	config && list 1 web $first && list 2 web $first &&
	list 3 tale $first &&
	start entry limpet-entry --settings entry.json &&
	wait_until 10 curl -sf http://$READY/readyz &&
	wait_until 10 reaches 1 read/x &&
	wait_until 10 reaches 2 read/x
'

test_expect_success 'an upstream that announced its end gets nothing more' '
	notice 1 200 Server-Leaving 1 &&
	wait_until 10 reaches 1 read/x &&
	before=$(requests_of 1) &&
	send 20 read/x && send 20 once/x &&
	test $(requests_of 1) = $before
'

test_expect_success 'the list and an older one change nothing' '
	quiet 1 &&
	before=$(requests_of 1) &&
	first=$(cat first) &&
	list 1 web $first && send 10 read/x &&
	list 1 web $((first - 1)) && send 10 read/x &&
	list 1 web $((first + 1)) && send 10 read/x &&
	unlist 1 && send 10 read/x &&
	list 1 web $first && sleep 1 && send 10 read/x &&
	test $(requests_of 1) = $before
'

test_expect_success 'a later start gets requests' '
	list 1 web $(now_ms) &&
	wait_until 10 reaches 1 read/x
'

test_expect_success 'other values than 1 announce nothing' '
	notice 1 200 Server-Leaving 0 &&
	wait_until 10 reaches 1 read/x &&
	notice 1 200 Server-Leaving true &&
	wait_until 10 reaches 1 read/x &&
	quiet 1 &&
	wait_until 10 reaches 1 read/x
'

test_expect_success 'the head of a stream that goes on announces the end' '
	notice 3 200 Server-Leaving 1 &&
	start stream curl -sN -m 9 -H "Host: a.example" \
		-H "X-Limpetflow-Request-Id: s" \
		-H "X-Limpetflow-Deadline-Ms: 9000" \
		"http://$ENTRY/slow/begun/alive" &&
	wait_until 10 grep -q "event 1" stream.out &&
	before=$(requests_of 3) &&
	test "$(ask slow/begun/x)" = 503 &&
	test "$(ask slow/begun/x)" = 503 &&
	test $(requests_of 3) = $before &&
	grep -q upstreams-leaving ask.out &&
	curl -s http://$TEST_NET.13/test/finish >/dev/null &&
	wait_until 10 grep -q "event 5" stream.out
'

test_expect_success 'malformed pauses are ignored' '
	for value in -1 soon 1e9 "Wed, 21 Oct 2026 07:28:00 GMT"; do
		notice 1 503 Retry-After "$value" &&
		wait_until 10 reaches 1 read/x &&
		wait_until 10 reaches 1 read/x || return 1
	done &&
	quiet 1
'

test_expect_success 'a paused upstream gets at most two requests' '
	notice 1 503 Retry-After $PAUSE_S.5 &&
	wait_until 10 reaches 1 read/x &&
	before=$(requests_of 1) &&
	quiet 1 &&
	send 20 read/x && send 20 once/x &&
	test $(requests_of 1) -le $((before + 2))
'

test_expect_success 'callers learn the earliest end while all are paused' '
	notice 2 503 Retry-After 60 &&
	ask read/x >/dev/null &&
	before=$(requests_of 2) &&
	test "$(ask read/x)" = 503 &&
	test "$(ask once/x)" = 503 &&
	test $(requests_of 2) = $before &&
	grep -q upstreams-paused ask.out &&
	seconds=$(tr -d "\r" <ask.head | sed -n "s/^[Rr]etry-[Aa]fter: \([0-9]*\).*/\1/p") &&
	test $seconds -ge 30 && test $seconds -le 75
'

test_expect_success 'a pause ends by itself' '
	quiet 2 &&
	list 2 web $(now_ms) &&
	wait_until 10 reaches 2 read/x &&
	notice 2 503 Retry-After 0.8 &&
	ask read/x >/dev/null &&
	quiet 2 &&
	wait_until 10 reaches 2 read/x
'

test_expect_success 'the log names each announcement' '
	grep -q "announced its end" entry.out &&
	grep -q "asked for a pause" entry.out &&
	grep -q "malformed announcement" entry.out
'

test_done
