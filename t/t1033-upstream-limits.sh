#!/bin/sh

test_description='upstreams that name in their answers how many requests they take

Three entries under load send to two upstreams, one of which names a limit.'

. "$(dirname "$0")/test-lib.sh"

STORE=$TEST_NET.9:7001
STABLE_S=3

put () {
	curl -sf -X PUT --data-binary @- "http://$STORE/test/$1" >/dev/null
}

config () {
	cat <<-EOF2 | put op/config
	{"Version":1,"Routes":[
	 {"Name":"read","Host":"a.example","Prefix":"/read/","Kind":"idempotent","TimeoutMs":3000,"SloMs":500,"Service":"web","Attempts":2}],
	 "Services":[{"Name":"web"}],
	 "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":100000,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}
	EOF2
}

# list NUMBER START_MS
list () {
	printf '{"Service":"web","Addr":"%s","Zone":"d1","Version":"v1","Slots":8,"State":"ready","ColdLeftMs":0,"Seq":1,"born":%s}' \
		"$TEST_NET.$((10 + $1)):80" $2 | put servers/i-$1
}

now_ms () {
	date +%s%3N
}

# name_limit NUMBER VALUE
name_limit () {
	curl -sf -X PUT -d "{\"status\":200,\"headers\":[[\"Server-Limit\",\"$2\"]]}" \
		"http://$TEST_NET.$((10 + $1))/test/notice" >/dev/null
}

name_nothing () {
	curl -sf -X PUT -d null \
		"http://$TEST_NET.$((10 + $1))/test/notice" >/dev/null
}

requests_of () {
	curl -s "http://$TEST_NET.$((10 + $1))/test/requests" | jq length
}

# ask ENTRY: prints the status.
ask () {
	curl -s -m 3 -o ask$1.out -D ask$1.head -w '%{http_code}\n' \
		-H "Host: a.example" -H "X-Limpetflow-Request-Id: r" \
		-H "X-Limpetflow-Deadline-Ms: 3000" \
		"http://$TEST_NET.$1:8000/read/x"
}

# ask_for SECONDS: asks all entries all the time; prints the statuses.
ask_for () {
	ask_end=$(($(now_ms) + $1 * 1000))
	for ask_entry in 1 2 3; do
		while test $(now_ms) -lt $ask_end; do
			ask $ask_entry
		done >statuses.$ask_entry &
	done
	wait
	cat statuses.*
}

arrivals () {
	curl -s "http://$TEST_NET.$((10 + $1))/test/arrivals"
}

# busiest_4s NUMBER: the most requests in 4 s, from STABLE_S after the notice on.
busiest_4s () {
	arrivals $1 | jq "[.[] | select(. >= $STABLE_S)] | . as \$all |
		[.[] as \$from | [\$all[] | select(. >= \$from and
			. < \$from + 4)] | length] | max // 0"
}

for i in 1 2 3; do
	cat >entry$i.json <<-EOF
	{"instance":"e$i","data_center":"d1","address":"$TEST_NET.$i",
	 "ports":{"first":7700},
	 "listen":{"callers":"$TEST_NET.$i:8000","ready":"$TEST_NET.$i:8001"},
	 "platform":"store","platform_url":"http://$STORE",
	 "key":"0123456789abcdef",
	 "seeds":["$TEST_NET.1:1","$TEST_NET.2:1","$TEST_NET.3:1"],
	 "forward":{"stop_grace_s":8,"retry_ratio":0.2,"retry_window_s":10,
	  "retry_slack":1000}}
	EOF
done

start store python3 "$TEST_DIR/standin/metadata_store.py" store $STORE
for i in 1 2; do
	start up$i python3 "$TEST_DIR/standin/metadata_store.py" upstream \
		$TEST_NET.$((10 + i)):80 i-$i
done

test_expect_success 'all entries serve and know each other' '
	wait_until 10 curl -sf http://$STORE/test/calls &&
	first=$(now_ms) &&
	config && list 1 $first && list 2 $first &&
	for i in 1 2 3; do
		start entry$i limpet-entry --settings entry$i.json
	done &&
	for i in 1 2 3; do
		wait_until 20 curl -sf http://$TEST_NET.$i:8001/readyz || exit 1
	done &&
	sleep 2
'

# Guards against an upstream that asks for little and gets its usual share.
test_expect_success 'all entries together keep the limit that is named' '
	name_limit 1 1 &&
	ask_for 12 >statuses &&
	! grep -v 200 statuses &&
	test $(grep -c 200 statuses) -gt 100 &&
	busiest_4s 1 >busiest &&
	cat busiest &&
	test $(cat busiest) -le 11
'

# logs ENTRY TEXT: the entry, which gets a request, has a line with the text.
logs () {
	ask $1 >/dev/null
	grep -q "$2" entry$1.out
}

# all_reach NUMBER: each entry sends to the upstream.
all_reach () {
	for all_entry in 1 2 3; do
		all_before=$(requests_of $1)
		ask $all_entry >/dev/null && ask $all_entry >/dev/null
		ask $all_entry >/dev/null && ask $all_entry >/dev/null
		test $(requests_of $1) -gt $all_before || return 1
	done
}

test_expect_success 'a later start at the same address has no limit' '
	name_nothing 1 &&
	list 1 $(now_ms) &&
	wait_until 10 all_reach 1
'

test_expect_success 'a limit that is taken back ends' '
	name_limit 1 2 &&
	for i in 1 2 3; do
		wait_until 10 logs $i "takes 2 requests a second" || exit 1
	done &&
	name_nothing 1 &&
	for i in 1 2 3; do
		wait_until 30 logs $i "names no limit any more" || exit 1
	done &&
	wait_until 10 all_reach 1
'

test_expect_success 'a refusal names a limit too; odd values name none' '
	curl -sf -X PUT -d "{\"status\":503,\"headers\":[[\"Server-Limit\",\"1.5\"]]}" \
		http://$TEST_NET.11/test/notice &&
	ask_for 1 >/dev/null &&
	grep -q "takes 1.5 requests a second" entry1.out &&
	list 1 $(now_ms) &&
	for value in -1 1e3 soon; do
		name_limit 1 "$value" && wait_until 10 all_reach 1 || exit 1
	done &&
	grep -q "malformed announcement" entry1.out
'

# Guards against callers that wait for an upstream which takes nothing.
test_expect_success 'callers learn when there is room while all are limited' '
	name_limit 1 0.5 && name_limit 2 0.5 &&
	ask_for 3 >statuses &&
	grep -q 503 statuses &&
	while test "$(ask 1)" = 200; do :; done &&
	grep -q upstreams-limited ask1.out &&
	grep -qi "^retry-after:" ask1.head
'

test_expect_success 'the status names the limit and the share of this entry' '
	curl -s "http://$TEST_NET.1:7702/status" >status.json &&
	jq -e "[.forward.upstreams[] | select(.limit_per_s == 0.5)] |
		length == 2" status.json &&
	jq -e ".metrics.forward_notices.limit >= 1" status.json
'

test_done
