#!/bin/sh

test_description='an answer that was broken off does not reach its caller as complete'

. "$(dirname "$0")/test-lib.sh"

STORE=$TEST_NET.9:7001
ENTRY=$TEST_NET.1:8000
READY=$TEST_NET.1:8001
PEAK_MAX_KB=131072

# Memory that was freed is none that the entry holds; the sanitizer keeps up to
# 256 MB of it, which a quick reader fills.
ASAN_OPTIONS="${ASAN_OPTIONS:+$ASAN_OPTIONS:}quarantine_size_mb=1"
export ASAN_OPTIONS

put () {
	curl -sf -X PUT --data-binary @- "http://$STORE/test/$1" >/dev/null
}

# route NAME KIND ATTEMPTS [MEMBERS]: a route of the prefix /NAME/.
route () {
	printf '{"Name":"%s","Host":"a.example","Prefix":"/%s/","Kind":"%s","TimeoutMs":3000,"SloMs":1000,"Service":"web","Attempts":%s%s}' \
		"$1" "$1" "$2" "$3" "$4"
}

config () {
	printf '{"Version":1,"Routes":[%s,%s,%s,%s],"Services":[{"Name":"web","MaxConns":90}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":100000,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}' \
		"$(route one streaming 1 ',"Resumable":true')" \
		"$(route two streaming 2 ',"Resumable":true')" \
		"$(route lone streaming 1)" \
		"$(route plain non_idempotent 1)" | put op/config
}

# server ID ADDRESS
server () {
	printf '{"Service":"web","Addr":"%s","Zone":"d1","Version":"v1","Slots":20,"State":"ready","ColdLeftMs":0,"Seq":1}' \
		"$2" | put "servers/$1"
}

request_count=0

# ends PATH...: prints how the caller sees the answer to each path.
ends () {
	for path; do
		request_count=$((request_count + 1))
		echo "$path: $(python3 "$TEST_DIR/helper/read-answer.py" \
			$ENTRY "/$path" "X-Limpetflow-Request-Id:r-$request_count-$path" \
			X-Limpetflow-Deadline-Ms:2500)"
	done
}

is_served () {
	ends one/events-length | grep "whole events 12345"
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
start upstreams python3 "$TEST_DIR/standin/raw_server.py" $TEST_NET.2:80 $TEST_NET.3:80

test_expect_success 'answers with a length or chunks reach the caller whole' '
	wait_until 10 curl -sf http://$STORE/test/calls &&
	config && server i-1 $TEST_NET.2:80 && server i-2 $TEST_NET.3:80 &&
	start entry limpet-entry --settings entry.json &&
	wait_until 10 curl -sf http://$READY/readyz &&
	wait_until 10 is_served &&
	ends one/events-chunked plain/plain-length plain/plain-chunked >actual &&
	cat >expect <<-\EOF &&
	one/events-chunked: 200 chunked whole events 12345
	plain/plain-length: 200 length whole 612 bytes
	plain/plain-chunked: 200 chunked whole 612 bytes
	EOF
	test_cmp expect actual
'

# An upstream that closes its connection inside an event has broken the stream
# off; the caller got the last chunk, as after a whole stream.
test_expect_success 'a stream that closes inside an event is cut' '
	ends one/inside-close lone/inside-close >actual &&
	cat >expect <<-\EOF &&
	one/inside-close: 200 chunked cut events 12
	lone/inside-close: 200 chunked cut events 12
	EOF
	test_cmp expect actual
'

# A relay turns the reset of its connection to the entry into a close, which must
# not look like the end of the answer.
test_expect_success 'an answer that is cut shows it where resets are lost' '
	start relay tcp-relay $TEST_NET.1 8100 8000 &&
	wait_until 5 curl -s -o /dev/null http://$TEST_NET.1:8100/ &&
	ENTRY=$TEST_NET.1:8100 &&
	ends one/inside-close lone/inside-close one/part-close-reset \
		plain/half-close-reset >actual &&
	cat >expect <<-\EOF &&
	one/inside-close: 200 chunked cut events 12
	lone/inside-close: 200 chunked cut events 12
	one/part-close-reset: 200 chunked cut events 12
	plain/half-close-reset: 200 chunked cut 306 bytes
	EOF
	test_cmp expect actual
'

# The same where an attempt is left, so that the stream can go on elsewhere.
test_expect_success 'a stream that closes inside an event is resumed' '
	ends two/inside-close+events-close two/inside-close+events-chunked \
		two/first-close+events-close >actual &&
	cat >expect <<-\EOF &&
	two/inside-close+events-close: 200 chunked whole events 12345
	two/inside-close+events-chunked: 200 chunked whole events 12345
	two/first-close+events-close: 200 chunked whole events 12345
	EOF
	test_cmp expect actual
'

# The upstream's close is the end of such an answer. The caller needs a mark of its
# own: a close of this entry may be that of a killed process (t1042).
test_expect_success 'an answer that ends with its connection reaches the caller marked' '
	ends one/events-close lone/events-close plain/plain-close \
		plain/head-whole >actual &&
	cat >expect <<-\EOF &&
	one/events-close: 200 chunked whole events 12345
	lone/events-close: 200 chunked whole events 12345
	plain/plain-close: 200 chunked whole 612 bytes
	plain/head-whole: 200 length whole 0 bytes
	EOF
	test_cmp expect actual
'

# The mark itself is missing or claims more than the events.
test_expect_success 'a stream that breaks off is cut or resumed, whatever its framing' '
	ends one/inside-chunked one/inside-length one/part-chunked-open \
		one/part-length-open one/part-close-reset one/part-chunked-reset \
		two/inside-chunked+events-chunked two/part-close-reset+events-close \
		two/part-chunked-open+events-length >actual &&
	cat >expect <<-\EOF &&
	one/inside-chunked: 200 chunked cut events 12
	one/inside-length: 200 chunked cut events 12
	one/part-chunked-open: 200 chunked cut events 12
	one/part-length-open: 200 chunked cut events 12
	one/part-close-reset: 200 chunked cut events 12
	one/part-chunked-reset: 200 chunked cut events 12
	two/inside-chunked+events-chunked: 200 chunked whole events 12345
	two/part-close-reset+events-close: 200 chunked whole events 12345
	two/part-chunked-open+events-length: 200 chunked whole events 12345
	EOF
	test_cmp expect actual
'

# The first upstream was to mark the end, which a close of the next does not do.
test_expect_success 'a stream in chunks is not completed by a close' '
	ends two/part-chunked-open+events-close >actual &&
	echo "two/part-chunked-open+events-close: 200 chunked cut events 12345" >expect &&
	test_cmp expect actual
'

test_expect_success 'a stream that closes before its first event is no answer' '
	ends one/none-close lone/none-close >actual &&
	cat >expect <<-\EOF &&
	one/none-close: 502 length whole 0 bytes
	lone/none-close: 502 length whole 0 bytes
	EOF
	sed "s/whole [0-9]* bytes/whole 0 bytes/" actual >statuses &&
	test_cmp expect statuses
'

test_expect_success 'a plain answer that breaks off is cut' '
	ends plain/half-length-open plain/half-chunked-open \
		plain/half-close-reset plain/head-open >actual &&
	cat >expect <<-\EOF &&
	plain/half-length-open: 200 length cut 306 bytes
	plain/half-chunked-open: 200 chunked cut 306 bytes
	plain/half-close-reset: 200 chunked cut 306 bytes
	EOF
	grep -v head-open actual >answers &&
	test_cmp expect answers &&
	grep "^plain/head-open: 502 length whole" actual
'

# ended_at COUNT: the upstreams have seen that many answers without end closed.
ended_at () {
	test "$(curl -s http://$TEST_NET.2:80/test/ended)" = "$1"
}

# The entry may hold PENDING_MAX_BYTES of an answer, and a head.
test_expect_success 'answers without end are closed in bounded memory' '
	for what in noise status line head interim trailer slow body event \
		comment chunk; do
		ends plain/forever-$what lone/forever-$what || return 1
	done | sed "s/[0-9]* bytes/some bytes/" >actual &&
	test "$(wc -l <actual)" = 22 &&
	! grep whole actual | grep ": 200" &&
	wait_until 5 ended_at 22 &&
	peak=$(awk "/^VmHWM/ { print \$2 }" /proc/$(cat entry.pid)/status) &&
	echo "peak $peak kB" && test "$peak" -le $PEAK_MAX_KB
'

test_done
