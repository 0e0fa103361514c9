#!/bin/sh

test_description='an answer whose status is none of a final answer is no answer

A caller that gets such a status takes it for its answer, or waits for another one
after 101.'

. "$(dirname "$0")/test-lib.sh"

STORE=$TEST_NET.9:7001
ENTRY=$TEST_NET.1:8000
READY=$TEST_NET.1:8001
UPSTREAM=$TEST_NET.2:80
INVALID="000 0 099 20 2000 600 999 101 word"

put () {
	curl -sf -X PUT --data-binary @- "http://$STORE/test/$1" >/dev/null
}

# route NAME KIND ATTEMPTS [MEMBERS]
route () {
	printf '{"Name":"%s","Host":"a.example","Prefix":"/%s/","Kind":"%s","TimeoutMs":3000,"SloMs":1000,"Service":"web","Attempts":%s%s}' \
		"$1" "$1" "$2" "$3" "$4"
}

config () {
	printf '{"Version":1,"Routes":[%s,%s],"Services":[{"Name":"web","MaxConns":90}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":100000,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}' \
		"$(route plain non_idempotent 1)" \
		"$(route two streaming 2 ',"Resumable":true')" | put op/config
	for id in 1 2; do
		printf '{"Service":"web","Addr":"%s","Zone":"d1","Version":"v1","Slots":90,"State":"ready","ColdLeftMs":0,"Seq":1}' \
			$TEST_NET.$((id + 1)):80 | put servers/i-$id || return 1
	done
}

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

cat >entry.json <<EOF
{"instance":"e1","data_center":"d1","address":"$TEST_NET.1",
 "ports":{"first":7700},"listen":{"callers":"$ENTRY","ready":"$READY"},
 "platform":"store","platform_url":"http://$STORE",
 "key":"0123456789abcdef","seeds":["$TEST_NET.1:1"],
 "forward":{"stop_grace_s":3,"retry_ratio":0.2,"retry_window_s":10,
  "retry_slack":1000}}
EOF
start store python3 "$TEST_DIR/standin/metadata_store.py" store $STORE
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

test_expect_success 'a caller gets 502 for an invalid status' '
	wait_until 10 curl -sf http://$STORE/test/calls &&
	config &&
	start entry limpet-entry --settings entry.json &&
	wait_until 10 curl -sf http://$READY/readyz &&
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

test_done
