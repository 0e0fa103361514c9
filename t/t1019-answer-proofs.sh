#!/bin/sh

test_description='documents that arrive in part, or are of another kind, are not taken'

. "$(dirname "$0")/test-lib.sh"

STORE=$TEST_NET.9:7001
ENTRY=$TEST_NET.1:8000
READY=$TEST_NET.1:8001
PEAK_MAX_KB=131072

put () {
	curl -sf -X PUT --data-binary @- "http://$STORE/test/$1" >/dev/null
}

mode () {
	curl -sf -d "$1" http://$STORE/test/mode >/dev/null
}

# config VERSION PREFIX
config () {
	printf '{"Version":%s,"Routes":[{"Name":"r","Host":"a.example","Prefix":"/%s/","Kind":"idempotent","TimeoutMs":3000,"Service":"web","Attempts":2}],"Services":[{"Name":"web"}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":100000,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}' \
		"$1" "$2" | put op/config
}

status_is () {
	test "$(curl -s -m 5 -o /dev/null -w '%{http_code}' -H "Host: a.example" \
		-H "X-Limpetflow-Request-Id: r-$$" "http://$ENTRY/$2/x")" = "$1"
}

# broke COUNT: the store has broken that many answers in its mode.
broke () {
	test "$(curl -s http://$STORE/test/calls | jq .broken)" -ge "$1"
}

# serves_throughout KIND VERSION PREFIX NEXT: answers that are broken in this
# way change nothing; the configuration that was written meanwhile is then taken.
serves_throughout () {
	mode "{\"broken\":\"$1\",\"forget\":true}" &&
	config $2 $4 &&
	wait_until 20 broke 4 &&
	status_is 200 $3 &&
	status_is 404 $4 &&
	mode "{}" &&
	wait_until 10 status_is 200 $4
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
start up1 python3 "$TEST_DIR/standin/metadata_store.py" upstream $TEST_NET.2:80 i-1

test_expect_success 'each reader takes whole documents of its kind only' '
	test-answer-proof
'

test_expect_success 'an entry serves' '
	wait_until 10 curl -sf http://$STORE/test/calls &&
	config 1 one &&
	printf "{\"Service\":\"web\",\"Addr\":\"$TEST_NET.2:80\",\"Zone\":\"d1\",\"Version\":\"v1\",\"Slots\":4,\"State\":\"ready\",\"ColdLeftMs\":0,\"Seq\":1}" |
		put servers/i-1 &&
	start entry limpet-entry --settings entry.json &&
	wait_until 10 status_is 200 one
'

test_expect_success 'half answers of the store, without a length, change nothing' '
	serves_throughout half 2 one two
'

# A listing without its members is not one of a store without items.
test_expect_success 'objects without members change nothing' '
	serves_throughout empty 3 two three
'

test_expect_success 'answers of the store without end are closed in bounded memory' '
	serves_throughout endless 4 three four &&
	peak=$(awk "/^VmHWM/ { print \$2 }" /proc/$(cat entry.pid)/status) &&
	echo "peak $peak kB" && test "$peak" -le $PEAK_MAX_KB
'

test_done
