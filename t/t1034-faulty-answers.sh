#!/bin/sh

test_description='errors inside a stream that goes on, and refusals that come twice'

. "$(dirname "$0")/test-lib.sh"

STORE=$TEST_NET.9:7001
ENTRY=$TEST_NET.1:8000
READY=$TEST_NET.1:8001

put () {
	curl -sf -X PUT --data-binary @- "http://$STORE/test/$1" >/dev/null
}

# route NAME KIND ATTEMPTS SERVICE [MEMBERS]: a route of the prefix /NAME/.
route () {
	printf '{"Name":"%s","Host":"a.example","Prefix":"/%s/","Kind":"%s","TimeoutMs":3000,"SloMs":1000,"Service":"%s","Attempts":%s%s}' \
		"$1" "$1" "$2" "$4" "$3" "$5"
}

config () {
	printf '{"Version":1,"Routes":[%s,%s,%s],"Services":[{"Name":"web","MaxConns":90},{"Name":"sole","MaxConns":90}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":100000,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}' \
		"$(route two streaming 2 web ',"Resumable":true')" \
		"$(route once non_idempotent 2 sole)" \
		"$(route again idempotent 2 sole)" | put op/config
}

# server ID ADDRESS SERVICE
server () {
	printf '{"Service":"%s","Addr":"%s","Zone":"d1","Version":"v1","Slots":20,"State":"ready","ColdLeftMs":0,"Seq":1}' \
		"$3" "$2" | put "servers/$1"
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

# ask ID PATH: prints the status.
ask () {
	curl -s -m 4 -o ask.out -D ask.head -w '%{http_code}' \
		-H "Host: a.example" -H "X-Limpetflow-Request-Id: $1" \
		-H "X-Limpetflow-Deadline-Ms: 2500" "http://$ENTRY/$2"
}

# runs ID: prints how often the upstream ran the request.
runs () {
	curl -s "http://$TEST_NET.4/test/runs" | jq ".\"$1\" // 0"
}

# is_refused ID PATH: the upstream refuses a request, and writes that twice.
is_refused () {
	test "$(ask $1-a $2)" = 503 &&
	grep -q "\"request\":\"$1-a\",\"message\":\"attempt" entry.out
}

is_served () {
	test "$(ask served again/plain-length)" = 200 &&
	ends two/events-length | grep "whole events 12345"
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
start upstreams python3 "$TEST_DIR/standin/raw_server.py" $TEST_NET.2:80 \
	$TEST_NET.3:80 $TEST_NET.4:80

test_expect_success 'an entry serves' '
	wait_until 10 curl -sf http://$STORE/test/calls &&
	config && server i-1 $TEST_NET.2:80 web && server i-2 $TEST_NET.3:80 web &&
	server i-3 $TEST_NET.4:80 sole &&
	start entry limpet-entry --settings entry.json &&
	wait_until 10 curl -sf http://$READY/readyz &&
	wait_until 10 is_served
'

# Guards against the text or the head of an error in the middle of a stream, and
# against a stream that looks complete after it.
test_expect_success 'an error of the next upstream is no part of a stream' '
	for status in 200 421 429 500 503 504; do
		ends two/part-chunked-open+error-$status-text \
			two/inside-chunked+error-$status-none \
			two/part-close-reset+error-$status-text || exit 1
	done >actual &&
	for status in 421 429 500 503 504; do
		ends two/part-chunked-open+error-$status-events || exit 1
	done >>actual &&
	cat actual &&
	test $(wc -l <actual) = 23 &&
	test $(grep -c " cut events 12\$" actual) = 23
'

# Guards against a promise that a request was not run which is an earlier one.
test_expect_success 'a refusal that comes twice refuses one request' '
	for form in now late; do
		for route in once again; do
			for count in 1 2 3; do
				id=$form-$route-$count
				wait_until 5 is_refused $id $route/refused-$form &&
				sleep 0.5 && # the upstream was full
				status=$(ask $id-b $route/plain-length) &&
				echo "$id $status $(runs $id-b)" || exit 1
			done
		done
	done >actual &&
	cat actual &&
	test $(wc -l <actual) = 12 &&
	test $(grep -c " [1-9]\$" actual) -ge 6 &&
	! grep -E " (408|421|429|503) [1-9]" actual &&
	! grep -E "once.* [2-9]\$" actual
'

test_done
