#!/bin/sh

test_description='an answer whose connection gives way to others does not look whole'

. "$(dirname "$0")/test-lib.sh"
. "$TEST_DIR/store-lib.sh"

UPSTREAM=$TEST_NET.2:80

is_served () {
	curl -s -m 5 -H "Host: a.example" -H "X-Limpetflow-Request-Id: probe" \
		http://$ENTRY/plain/plain-length | grep whole
}

# closed COUNT: that many connections whose callers read nothing were closed.
closed () {
	curl -s http://$TEST_NET.1:7702/metrics |
		grep "http_closed.*answer.* $1\$"
}

start_store
start upstream python3 "$TEST_DIR/standin/raw_server.py" $UPSTREAM
put_config 1 16384 $(web_route plain idempotent 1 60000)
put_server i-1 2
start_entry 1
wait_ready 1
wait_until 10 is_served

# Callers that read nothing for 15 s are given up.
test_expect_success 'answers of each framing are visibly cut' '
	{
		wait_until 40 closed 3 >&2 && echo read
	} | timeout 60 python3 "$TEST_DIR/helper/late-reader.py" $ENTRY \
		/plain/large-length /plain/large-chunked /plain/large-close \
		/plain/large-chunked,1.0 >actual &&
	cat >expect <<-\EOF &&
	/plain/large-length: 200 length cut
	/plain/large-chunked: 200 chunked cut
	/plain/large-close: 200 chunked cut
	/plain/large-chunked,1.0: 502 length whole
	EOF
	test_cmp expect actual
'

test_done
