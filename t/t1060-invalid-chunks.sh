#!/bin/sh

test_description='an answer with chunks that HTTP does not allow is never complete

libcurl reads the digits that a size begins with, so that "0x4" is the last chunk
and a caller gets an empty answer as a complete one.'

. "$(dirname "$0")/test-lib.sh"
. "$TEST_DIR/store-lib.sh"

UPSTREAM=$TEST_NET.2:80
INVALID=$(python3 "$TEST_DIR/standin/raw_heads.py" chunked)
ODD=$(python3 "$TEST_DIR/standin/raw_heads.py" oddchunked)

read_strictly () {
	python3 "$TEST_DIR/helper/read-strictly.py" $ENTRY "$@"
}

is_served () {
	read_strictly /plain/plain-length | grep " 200 length whole stamp"
}

start_store
start upstreams python3 "$TEST_DIR/standin/raw_server.py" $UPSTREAM $TEST_NET.3:80
wait_until 5 curl -sf http://$UPSTREAM/test/ended
put_config 1 16384 $(web_route plain non_idempotent 1 3000) \
	$(web_route again idempotent 2 3000)
put_server i-1 2
put_server i-2 3
start_entry 1
wait_ready 1
wait_until 10 is_served

test_expect_success 'forms of chunks' 'test-chunks'

# All readers of answers use this client.
test_expect_success 'the HTTP client reports an answer that is not complete' '
	for form in $INVALID; do
		echo "$form $(fetch-answer http://$UPSTREAM/chunked-$form 1500 \
			2>/dev/null | sed "s/[0-9]* bytes/bytes/")" || return 1
	done >actual &&
	for form in $INVALID; do
		echo "$form 200 chunked corrupt bytes"
	done >expect &&
	test_cmp expect actual
'

# What came before the fault may have been passed on; the caller sees the cut.
test_expect_success 'no caller gets such an answer as complete' '
	for form in $INVALID; do
		wait_until 10 is_served &&
		read_strictly /plain/chunked-$form || return 1
	done | grep "^/" >actual &&
	test $(wc -l <actual) = $(echo $INVALID | wc -w) &&
	grep -v " 502 length whole - " actual | grep -v " 200 chunked cut stamp " >wrong
	test_cmp /dev/null wrong
'

test_expect_success 'a caller gets the answer of another upstream where it may repeat' '
	for form in $INVALID; do
		wait_until 10 is_served &&
		read_strictly /again/chunked-$form+plain-length || return 1
	done | grep "^/" >actual &&
	test $(wc -l <actual) = $(echo $INVALID | wc -w) &&
	test $(grep -c " 200 length whole stamp 612 bytes$" actual) -ge 10 &&
	grep -v " 200 length whole stamp 612 bytes$" actual |
		grep -v " 200 chunked cut stamp " >wrong
	test_cmp /dev/null wrong
'

# Guards against a decoder that refuses what HTTP allows.
test_expect_success 'odd chunks that HTTP allows are read as they are meant' '
	for form in $ODD; do
		read_strictly /plain/oddchunked-$form || return 1
	done >actual &&
	for form in $ODD; do
		echo "/plain/oddchunked-$form 200 chunked whole stamp {\"whole\":1}"
	done >expect &&
	test_cmp expect actual
'

test_done
