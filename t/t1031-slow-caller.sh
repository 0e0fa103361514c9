#!/bin/sh

test_description='an answer whose caller reads slowly goes on once it has read

Guards against large answers that stop for ever when their caller pauses, end
at the deadline, and count as silence of the upstream that sends them.'

. "$(dirname "$0")/test-lib.sh"

STORE=$TEST_NET.9:7001
ENTRY=$TEST_NET.1:8000
READY=$TEST_NET.1:8001

put () {
	curl -sf -X PUT --data-binary @- "http://$STORE/test/$1" >/dev/null
}

# route NAME KIND ATTEMPTS [MEMBERS]: a route of the prefix /NAME/.
route () {
	printf '{"Name":"%s","Host":"a.example","Prefix":"/%s/","Kind":"%s","TimeoutMs":10000,"SloMs":500,"Service":"web","Attempts":%s%s}' \
		"$1" "$1" "$2" "$3" "$4"
}

config () {
	printf '{"Version":1,"Routes":[%s,%s,%s],"Services":[{"Name":"web","MaxConns":90}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":100000,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}' \
		"$(route tell streaming 3 ',"Resumable":true')" \
		"$(route once non_idempotent 1)" \
		"$(route read idempotent 3)" | put op/config
}

# server ID ADDRESS
server () {
	printf '{"Service":"web","Addr":"%s","Zone":"d1","Version":"v1","Slots":20,"State":"ready","ColdLeftMs":0,"Seq":1}' \
		"$2" | put "servers/$1"
}

# read_slowly ID PATH PAUSE
read_slowly () {
	python3 "$TEST_DIR/helper/slow-reader.py" $ENTRY /$2 $3 \
		X-Limpetflow-Request-Id:r-$1 X-Limpetflow-Deadline-Ms:10000
}

# metric PATTERN: the sum of matching counters.
metric () {
	curl -sf "http://$TEST_NET.1:7702/metrics" |
		sed -n "s/^limpet_$1[^ ]* //p" | awk '{ n += $1 } END { print n + 0 }'
}

is_served () {
	read_slowly first once/plain-length 0 | grep whole
}

sha () {
	python3 -c "$1" | sha256sum | cut -c 1-16
}

cat >entry.json <<EOC
{"instance":"e1","data_center":"d1","address":"$TEST_NET.1",
 "ports":{"first":7700},"listen":{"callers":"$ENTRY","ready":"$READY"},
 "platform":"store","platform_url":"http://$STORE",
 "key":"0123456789abcdef","seeds":["$TEST_NET.1:1"],
 "forward":{"stop_grace_s":8,"retry_ratio":0.2,"retry_window_s":10,
  "retry_slack":10000}}
EOC
start store python3 "$TEST_DIR/standin/metadata_store.py" store $STORE
start upstreams python3 "$TEST_DIR/standin/raw_server.py" $TEST_NET.2:80 $TEST_NET.3:80
LARGE=$(sha 'import sys; sys.stdout.buffer.write(bytes(range(256)) * (24 * 1024 * 4))')
MANY=$(sha 'import sys
for i in range(1, 6001): sys.stdout.write("id: %d\ndata: %s\n\n" % (i, "x" * 4096))')

test_expect_success 'a plain answer goes on after a pause of its caller' '
	wait_until 10 curl -sf http://$STORE/test/calls &&
	config && server i-1 $TEST_NET.2:80 && server i-2 $TEST_NET.3:80 &&
	start entry limpet-entry --settings entry.json &&
	wait_until 10 curl -sf http://$READY/readyz &&
	wait_until 10 is_served &&
	for framing in length chunked; do
		read_slowly plain-$framing once/large-$framing 2 || return 1
	done >actual &&
	cat >expect <<-EOC &&
	200 whole 25165824 bytes $LARGE
	200 whole 25165824 bytes $LARGE
	EOC
	test_cmp expect actual
'

# The upstream waits for the entry, which has stopped reading.
test_expect_success 'a pause of the caller is no silence of the upstream' '
	read_slowly stream tell/many-chunked 2 >actual &&
	read_slowly repeat read/large-length 3 >>actual &&
	cat >expect <<-EOC &&
	200 whole 24676893 bytes $MANY events 1 to 6000 in order
	200 whole 25165824 bytes $LARGE
	EOC
	test_cmp expect actual &&
	test $(metric forward_silent) = 0 &&
	test $(metric forward_repeats) = 0 &&
	! grep "upstream ejected" entry.err entry.out
'

# ended_at COUNT: the upstreams have seen that many answers without end closed.
ended_at () {
	test "$(curl -s http://$TEST_NET.2:80/test/ended)" = "$1"
}

test_expect_success 'the upstream of a caller that leaves in a pause is left' '
	read_slowly leave once/forever-body leave &&
	wait_until 1 ended_at 1
'

test_done
