#!/bin/sh

test_description='an answer whose status is none of a final answer is no answer

A caller that gets such a status takes it for its answer, or waits for another one
after 101.'

. "$(dirname "$0")/test-lib.sh"
. "$TEST_DIR/store-lib.sh"

UPSTREAM=$TEST_NET.2:80
INVALID="000 0 099 20 2000 600 999 101 word"

request_count=0

# ends PATH...: prints how the caller sees the answers.
ends () {
	for path; do
		request_count=$((request_count + 1))
		echo "$path: $(python3 "$TEST_DIR/helper/read-answer.py" \
			$ENTRY "/$path" "X-Limpetflow-Request-Id:r-$request_count-$path" \
			X-Limpetflow-Deadline-Ms:2500)"
	done
}

is_served () {
	ends two/events-length | grep "whole events 12345"
}

start_store
start upstreams python3 "$TEST_DIR/standin/raw_server.py" $UPSTREAM $TEST_NET.3:80

# All readers of answers use this client: entries, agents, of the store and of the
# origin.
test_expect_success 'the HTTP client reports no status but those of final answers' '
	wait_until 5 curl -sf http://$UPSTREAM/test/ended &&
	for code in $INVALID; do
		for framing in length chunked close; do
			fetch-answer http://$UPSTREAM/status-$code-$framing 1500 \
				2>/dev/null || return 1
		done
	done >actual &&
	test $(wc -l <actual) = 27 &&
	test $(grep -c "^0 [a-z]* corrupt 0 bytes" actual) = 27 || {
		cat actual
		false
	}
'

# Guards against a check that refuses what is an answer.
test_expect_success 'all others are passed on, and interim ones are not final' '
	for form in 200-length 299-close 404-chunked 599-length; do
		fetch-answer http://$UPSTREAM/status-$form 1500 2>/dev/null ||
			return 1
	done >actual &&
	for code in 100 103 199; do
		fetch-answer http://$UPSTREAM/status-$code-interim 1500 \
			2>/dev/null || return 1
	done >>actual &&
	cat >expect <<-\EOF &&
	200 length whole 612 bytes
	299 close whole 612 bytes
	404 chunked whole 612 bytes
	599 length whole 612 bytes
	200 length whole 612 bytes
	200 length whole 612 bytes
	200 length whole 612 bytes
	EOF
	test_cmp expect actual
'

# Guards against 600, 999 and 101 as answers.
test_expect_success 'a caller gets 502 for an invalid status' '
	put_config 1 16384 $(web_route plain non_idempotent 1 3000) \
		$(web_route two streaming 2 3000 ,\"Resumable\":true) &&
	put_server i-1 2 && put_server i-2 3 &&
	start_entry 1 && wait_ready 1 &&
	wait_until 10 is_served &&
	for code in $INVALID; do
		ends plain/status-$code-length plain/status-$code-close || return 1
		wait_until 10 is_served || return 1
	done >actual &&
	test $(wc -l <actual) = 18 &&
	test $(grep -c ": 502 length whole" actual) = 18 || {
		cat actual
		false
	}
'

# Guards against a stream that ends where it could go on.
test_expect_success 'a stream goes on elsewhere after an invalid status' '
	for code in 000 600 999 101; do
		wait_until 10 is_served &&
		ends two/status-$code-length+events-chunked || return 1
	done >actual &&
	for code in 000 600 999 101; do
		echo "two/status-$code-length+events-chunked: 200 chunked whole events 12345"
	done >expect &&
	test_cmp expect actual
'

# Guards against a range that the list above leaves out. 421 promises that the
# request has not run, as does the 503 that the caller gets for it.
test_expect_success 'a caller gets nothing but final statuses, whatever the upstream sends' '
	wait_until 10 is_served &&
	timeout 120 python3 "$TEST_DIR/helper/every-status.py" $ENTRY plain >actual &&
	cat >expect <<-\EOF &&
	000 to 099: 502 of the entry
	100 to 100: the final 200
	101 to 101: 502 of the entry
	102 to 199: the final 200
	200 to 420: same
	421 to 421: refused
	422 to 599: same
	600 to 999: 502 of the entry
	EOF
	test_cmp expect actual
'

test_done
