#!/bin/sh

test_description='a stream that goes on after a broken connection is no proof at its end

Guards against a part of prompts that crashes its upstreams and counts as sound,
as one stream with it was resumed so near to its end that it was completed. The
part is then blamed only after more crashes.'

. "$(dirname "$0")/test-lib.sh"

STORE=$TEST_NET.9:7001
ENTRY=$TEST_NET.1:8000
READY=$TEST_NET.1:8001

put () {
	curl -sf -X PUT --data-binary @- "http://$STORE/test/$1" >/dev/null
}

config () {
	cat <<-EOC | put op/config
	{"Version":1,"Routes":[
	 {"Name":"tell","Host":"a.example","Prefix":"/tell/","Kind":"streaming","TimeoutMs":5000,"SloMs":500,"Service":"tale","Attempts":2,"Resumable":true}],
	 "Services":[{"Name":"tale"}],
	 "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":100000,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}
	EOC
}

# list NUMBER
list () {
	printf '{"Service":"tale","Addr":"%s","Zone":"d1","Version":"v1","Slots":4,"State":"ready","ColdLeftMs":0,"Seq":1}' \
		"$TEST_NET.$((10 + $1)):80" | put servers/i-$1
}

# tell: a request with its whole answer.
tell () {
	curl -s -m 9 -o told -H "Host: a.example" -H "X-Limpetflow-Request-Id: r" \
		-H "X-Limpetflow-Deadline-Ms: 5000" \
		-H "X-Limpetflow-Prompt-Prefix: 5c1e07a2:100,9:100" \
		"http://$ENTRY/tell/x" &&
	grep -q "event 5" told
}

# sound WHEN: the number of sound answers that were proved at-end or alive-later.
sound () {
	curl -sf "http://$TEST_NET.1:7702/metrics" >metrics
	sed -n "s/^limpet_crash_sound_answers{label=\"$1\"} //p" metrics |
		grep . || echo 0
}

torn_requests () {
	curl -s "http://$TEST_NET.11/test/requests" | jq length
}

cat >entry.json <<EOC
{"instance":"e1","data_center":"d1","address":"$TEST_NET.1",
 "ports":{"first":7700},"listen":{"callers":"$ENTRY","ready":"$READY"},
 "platform":"store","platform_url":"http://$STORE",
 "key":"0123456789abcdef","seeds":["$TEST_NET.1:1"],
 "forward":{"stop_grace_s":8,"retry_ratio":0.2,"retry_window_s":10,
  "retry_slack":100}}
EOC
start store python3 "$TEST_DIR/standin/metadata_store.py" store $STORE
start up1 python3 "$TEST_DIR/standin/metadata_store.py" upstream \
	$TEST_NET.11:80 i-1 torn
start up2 python3 "$TEST_DIR/standin/metadata_store.py" upstream \
	$TEST_NET.12:80 i-2 stream

test_expect_success 'a whole answer is sound' '
	wait_until 10 curl -sf http://$STORE/test/calls &&
	config && list 2 &&
	start entry limpet-entry --settings entry.json &&
	wait_until 10 curl -sf http://$READY/readyz &&
	wait_until 10 tell &&
	test $(sound at-end) -ge 1
'

test_expect_success 'an answer that was resumed is not at its end' '
	list 1 &&
	torn=$(torn_requests) && before=$(sound at-end) &&
	asked=0 && resumed=0 &&
	while test $resumed -lt 2 && test $asked -lt 100; do
		tell || return 1
		asked=$((asked + 1))
		resumed=$(($(torn_requests) - torn))
	done &&
	echo "$asked asked, $resumed resumed" &&
	test $resumed -ge 2 &&
	test $(($(sound at-end) - before)) = $((asked - resumed))
'

later_sound () {
	tell && test $(sound alive-later) -ge 1
}

# Guards against sound parts that are blamed for deaths of other causes, as the
# answers that went on after these do not count.
test_expect_success 'it is once its upstream is seen alive after it' '
	wait_until 20 later_sound
'

test_done
