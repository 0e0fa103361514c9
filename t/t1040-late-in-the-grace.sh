#!/bin/sh

test_description='requests that come while an entry stops are answered

The entry gets SIGTERM with a grace of 8 s, and its upstream does not answer
before that is over. The test waits by the time of the process, not of a clock:
each request is sent once the entry says in its log how far it is.'

. "$(dirname "$0")/test-lib.sh"

STORE=$TEST_NET.9:7001
ENTRY=$TEST_NET.1:8000
READY=$TEST_NET.1:8001
UPSTREAM=$TEST_NET.2:80

put () {
	curl -sf -X PUT --data-binary @- "http://$STORE/test/$1" >/dev/null
}

# route NAME KIND
route () {
	printf '{"Name":"%s","Host":"a.example","Prefix":"/%s/","Kind":"%s","TimeoutMs":30000,"SloMs":20000,"Service":"web","Attempts":1}' \
		"$1" "$1" "$2"
}

# ask ID PATH: prints id and status, 000 for a connection without an answer.
ask () {
	echo "$1 $(curl -s -m 20 -o /dev/null -w '%{http_code}' \
		-H "Host: a.example" -H "X-Limpetflow-Request-Id: $1" \
		-H "X-Limpetflow-Deadline-Ms: 20000" "http://$ENTRY$2")"
}

requests () {
	curl -s http://$UPSTREAM/test/requests
}

# has_run ID
has_run () {
	requests | jq -e "index([\"$1\"])" >/dev/null
}

is_up () {
	kill -0 "$(cat entry.pid)" 2>/dev/null
}

start store python3 "$TEST_DIR/standin/metadata_store.py" store $STORE
start upstream python3 "$TEST_DIR/standin/metadata_store.py" upstream \
	$UPSTREAM i-1 keep
wait_until 10 curl -sf http://$STORE/test/calls
put op/config <<EOC
{"Version":1,"Routes":[$(route read idempotent),$(route once non_idempotent),$(route tell streaming)],
 "Services":[{"Name":"web"}]}
EOC
put servers/i-1 <<EOC
{"Service":"web","Addr":"$UPSTREAM","Zone":"d1","Version":"v1","Slots":400,"State":"ready","ColdLeftMs":0,"Seq":1}
EOC
cat >entry.json <<EOC
{"instance":"e1","data_center":"d1","address":"$TEST_NET.1",
 "ports":{"first":7700},"listen":{"callers":"$ENTRY","ready":"$READY"},
 "platform":"store","platform_url":"http://$STORE","key":"0123456789abcdef",
 "seeds":["$TEST_NET.1:1"],"forward":{"stop_grace_s":8,"retry_ratio":0.2,
  "retry_window_s":10,"retry_slack":100}}
EOC
start entry limpet-entry --settings entry.json
wait_until 10 curl -sf http://$READY/readyz
sleep 1

# Requests of each kind before and after the signal, then until the end. Beside
# them, answers are read byte by byte on kept connections.
python3 "$TEST_DIR/helper/strict-caller.py" $ENTRY 20 /read/s /once/s /tell/s \
	>strict &
strict=$!
sleep 0.5
kill -TERM $(cat entry.pid)
wait_until 5 grep -q "draining: no new work" entry.out
for kind in read once tell; do
	ask early-$kind /$kind/x >early-$kind.status &
	echo $! >early-$kind.ask
done
wait_until 10 grep -q "refusing new requests" entry.out
late=0
while is_up; do
	for kind in read once tell; do
		ask late-$kind-$late /$kind/x
	done
	late=$((late + 1))
	sleep 0.1
done >late
wait $(cat early-*.ask) $strict

# Guards against requests that are cut off without an answer at the end.
test_expect_success 'what was taken on gets an answer before the process ends' '
	cat early-*.status &&
	for kind in read once tell; do
		has_run early-$kind &&
		test "$(cat early-$kind.status)" = "early-$kind 504" || exit 1
	done
'

# Guards against requests that are taken on though they can not be completed.
test_expect_success 'what comes later is refused at once and does not run' '
	cat late &&
	test $(wc -l <late) -ge 30 &&
	! grep -v " 503$\| 000$" late &&
	test $(grep -c " 503$" late) -ge 20 &&
	for id in $(awk "{ print \$1 }" late); do
		! has_run $id || exit 1
	done
'

# Guards against heads that are wrong in a process that stops only (issue 59).
test_expect_success 'answers are strict HTTP until the process is gone' '
	jq -c "[.path, .status, .closing, .end, .faults]" strict | sort | uniq -c &&
	jq -es "map(select(.closing)) | length >= 20" strict &&
	jq -es "all(.[]; .faults == [])" strict
'

test_expect_success 'the process ended within the grace' '
	grep "\"step\":\"stop\"" entry.out &&
	! grep "with work in flight" entry.out
'

test_done
