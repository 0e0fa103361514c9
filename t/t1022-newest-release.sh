#!/bin/sh

test_description='an agent goes straight to the newest release'

. "$(dirname "$0")/test-lib.sh"

STORE=$TEST_NET.9:7001
ENGINE=$TEST_NET.2:80

put () {
	curl -sf -X PUT --data-binary @- "http://$STORE/test/$1" >/dev/null
}

declare_release () {
	printf '{"Model":"m","Version":%s}' $1 | put op/version/m
}

config () {
	cat <<-EOC | put op/config
	{"Version":1,"Routes":[
	 {"Name":"tell","Host":"a.example","Prefix":"/tell/","Kind":"streaming","TimeoutMs":100000,"SloMs":400,"GapAimMs":400,"Service":"llm","Attempts":1,"Resumable":true}],
	 "Services":[{"Name":"llm","MaxConns":99,"Engine":{"Slots":4,
	  "KvTokens":685000,"Stride":6,"Models":[{"Name":"m"}],"step_ms":7.4,
	  "per_seq_ms":0.04,"context_per_k":0.02,"read_per_s":31900,
	  "usual":{"prompt":970,"answer":106}}},
	  {"Name":"store","Origin":"$ENGINE"}],
	 "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":100000,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}
	EOC
}

engine () {
	printf '{"Service":"llm","Addr":"%s","Zone":"d1","Version":"v1","Slots":4,"State":"ready","ColdLeftMs":0,"Seq":1,"Models":[{"Name":"m","Version":1,"Adapters":[]}]}' \
		"$ENGINE" | put servers/i-1
}

events () {
	curl -sf http://$ENGINE/test/events
}

# count NAME RELEASE: prints the number of such events.
count () {
	events | jq "map(select(. == [\"$1\", $2])) | length"
}

print_counts () {
	events | jq -c "group_by(.) | map([.[0], length])"
}

# at_least NUMBER NAME RELEASE
at_least () {
	test "$(count $2 $3)" -ge $1
}

runs () {
	test "$(curl -sf http://$ENGINE/test/release)" = $1
}

# after NAME RELEASE: prints the events after the first such event.
after () {
	events | jq -c "[.[(index([[\"$1\", $2]])):][]]"
}

# hold WHAT RELEASE: the engine takes longer for the pieces, writes or orders of
# it.
hold () {
	curl -sf -X PUT --data-binary "$2" http://$ENGINE/test/hold-$1 >/dev/null
}

cat >agent.json <<EOC
{"instance":"a1","data_center":"d1","address":"$TEST_NET.2",
 "ports":{"first":7700},"platform":"store","platform_url":"http://$STORE",
 "key":"0123456789abcdef","seeds":["$TEST_NET.2:1"],
 "upstream":{"url":"http://$ENGINE","name":"llm","kind":"model"},
 "forward":{"release_ms":4000,"stop_grace_s":8,"retry_ratio":0.2,
  "retry_window_s":10,"retry_slack":100},
 "links":{"machine_mbps":1000,"transfer_share":0.85}}
EOC

start store python3 "$TEST_DIR/standin/metadata_store.py" store $STORE
start engine python3 "$TEST_DIR/standin/model_server.py" $ENGINE

test_expect_success 'an agent loads the release that is named' '
	wait_until 10 curl -sf http://$STORE/test/calls &&
	wait_until 10 events &&
	config && engine && declare_release 1 &&
	start agent limpet-agent --settings agent.json &&
	wait_until 10 grep "engine-order.*runs" agent.out &&
	declare_release 2 &&
	wait_until 30 runs 2 &&
	test "$(count order 2)" = 1
'

# Guards against engines that load a superseded release, and have the newest
# one only after the limit of all older ones.
test_expect_success 'a release that is superseded while it is fetched is not loaded' '
	hold pieces 3 &&
	declare_release 3 &&
	wait_until 30 at_least 12 written 3 &&
	declare_release 4 &&
	wait_until 30 runs 4 &&
	print_counts &&
	test "$(count order 3)" = 0 &&
	test "$(count order 4)" = 1 &&
	test "$(count piece 4)" -le 34
'

test_expect_success 'no chunk of a superseded release is requested or staged' '
	after manifest 4 >seen &&
	test "$(count piece 3)" -lt 32 &&
	test "$(jq "map(select(. == [\"piece\", 3])) | length" seen)" = 0 &&
	test "$(jq "map(select(. == [\"write\", 3])) | length" seen)" = 0
'

# Guards against chunks of a superseded release that overwrite newer ones.
test_expect_success 'a late write of a superseded release comes before the newer ones' '
	hold writes 5 &&
	declare_release 5 &&
	wait_until 30 at_least 2 write 5 &&
	declare_release 6 &&
	wait_until 30 runs 6 &&
	print_counts &&
	test "$(count order 5)" = 0 &&
	test "$(count order -1)" = 0 &&
	test "$(after write 6 | jq "map(select(. == [\"written\", 5])) | length")" = 0
'

test_expect_success 'only the newest of three releases is loaded, also if it is named again' '
	hold writes 0 &&
	declare_release 7 &&
	wait_until 30 at_least 4 written 7 &&
	declare_release 8 &&
	wait_until 30 at_least 4 written 8 &&
	declare_release 9 &&
	wait_until 30 at_least 4 written 9 &&
	declare_release 9 &&
	wait_until 30 runs 9 &&
	print_counts &&
	test "$(count order 7)" = 0 &&
	test "$(count order 8)" = 0 &&
	test "$(count order 9)" = 1 &&
	test "$(count piece 9)" = 32
'

# Guards against chunks of a newer release in what an engine loads as an older
# one: it loads what is staged when it accepts the order.
test_expect_success 'nothing newer is staged until the engine has taken an order' '
	hold orders 10 &&
	declare_release 10 &&
	wait_until 60 at_least 1 ordered 10 &&
	declare_release 11 &&
	wait_until 60 runs 11 &&
	print_counts &&
	test "$(count order -1)" = 0 &&
	test "$(count order 10)" = 1 &&
	test "$(count order 11)" = 1
'

# Guards against the same for an order that the agent has given up waiting for:
# the engine may accept it yet.
test_expect_success 'nor after the time-out of the order' '
	hold orders "12 2.6" &&
	declare_release 12 &&
	wait_until 60 at_least 1 ordered 12 &&
	declare_release 13 &&
	wait_until 60 runs 13 &&
	print_counts &&
	test "$(count order -1)" = 0 &&
	test "$(count order 12)" = 1 &&
	test "$(count order 13)" = 1
'

# Guards against a release that waits for ever for the one before.
test_expect_success 'an order that gets no answer at all holds the next one for some seconds' '
	hold orders "14 30" &&
	declare_release 14 &&
	wait_until 60 at_least 1 ordered 14 &&
	declare_release 15 &&
	wait_until 60 runs 15 &&
	test "$(count order -1)" = 0 &&
	test "$(count order 14)" = 0
'

test_done
