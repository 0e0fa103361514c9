#!/bin/sh

test_description='limits of releases in entries that did not see each declaration

Only entry 1 reads the store; the others learn from it.'

. "$(dirname "$0")/test-lib.sh"

STORE=$TEST_NET.9:7001
RELEASE_MS=30000

put () {
	curl -sf -X PUT --data-binary @- "http://$STORE/test/$1" >/dev/null
}

store_mode () {
	curl -sf -X POST -d "$1" http://$STORE/test/mode
}

declare_release () {
	printf '{"Model":"m","Version":%s}' $1 | put op/version/m
}

config () {
	cat <<-EOT | put op/config
	{"Version":1,"Routes":[
	 {"Name":"tell","Host":"a.example","Prefix":"/tell/","Kind":"streaming","TimeoutMs":100000,"SloMs":400,"GapAimMs":400,"Service":"llm","Attempts":1,"Resumable":true}],
	 "Services":[{"Name":"llm","MaxConns":99,"Engine":{"Slots":4,
	  "KvTokens":685000,"Stride":6,"Models":[{"Name":"m"}],"step_ms":7.4,
	  "per_seq_ms":0.04,"context_per_k":0.02,"read_per_s":31900,
	  "usual":{"prompt":970,"answer":106}}},
	  {"Name":"store","Origin":"127.0.0.1:1"}],
	 "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":100000,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}
	EOT
}

engine () {
	printf '{"Service":"llm","Addr":"%s","Zone":"d1","Version":"v1","Slots":4,"State":"ready","ColdLeftMs":0,"Seq":1,"Models":[{"Name":"m","Version":1,"Adapters":[]}]}' \
		"$TEST_NET.8:80" | put servers/i-1
}

# settings N STORE: writes the settings of entry N.
settings () {
	cat >entry$1.json <<-EOT
	{"instance":"e$1","data_center":"d1","address":"$TEST_NET.$1",
	 "ports":{"first":7700},
	 "listen":{"callers":"$TEST_NET.$1:8000","ready":"$TEST_NET.$1:8001"},
	 "platform":"store","platform_url":"http://$2",
	 "key":"0123456789abcdef","seeds":["$TEST_NET.1:1"],
	 "forward":{"release_ms":$RELEASE_MS,"stop_grace_s":8,"retry_ratio":0.2,
	  "retry_window_s":10,"retry_slack":100}}
	EOT
}

# left_ms N RELEASE: prints how long requests may begin on releases before this
# one, from the time at which entry N learned of it.
left_ms () {
	sed -n "s/.*release $2 declared.*for \([0-9]*\) ms.*/\1/p" entry$1.out
}

# learned N RELEASE: entry N knows when the release was declared.
learned () {
	grep "release $2 declared" entry$1.out
}

settings 1 $STORE
settings 2 $TEST_NET.9:1
settings 3 $TEST_NET.9:1
settings 4 $STORE

start store python3 "$TEST_DIR/standin/metadata_store.py" store $STORE

test_expect_success 'unit tests of limits of releases' 'test-release'

test_expect_success 'an entry reads the store' '
	wait_until 10 curl -sf http://$STORE/test/calls &&
	config && engine && declare_release 1 &&
	start entry1 limpet-entry --settings entry1.json &&
	wait_until 10 curl -sf http://$TEST_NET.1:8001/readyz
'

# Guards against a limit that counts from the time at which an entry that stood
# still reads the answer of the store.
test_expect_success 'an entry that stood still counts from before it read the answer' '
	sleep 1 && # the store holds its read by then, for 2 s
	kill -STOP $(cat entry1.pid) &&
	declare_release 2 &&
	sleep 2 && # within the time limit of the read
	kill -CONT $(cat entry1.pid) &&
	wait_until 20 learned 1 2 &&
	left_ms 1 2 &&
	test "$(left_ms 1 2)" -le $((RELEASE_MS - 1500))
'

# Guards against a limit that counts from a read that failed.
test_expect_success 'an entry that the store turned away counts from its last read' '
	store_mode "{\"down\":true}" &&
	sleep 3 && # the last read that it holds ends
	declare_release 3 &&
	sleep 5 &&
	store_mode "{}" &&
	wait_until 20 learned 1 3 &&
	left_ms 1 3 &&
	test "$(left_ms 1 3)" -le $((RELEASE_MS - 4500))
'

# Guards against a limit that counts from the late answer of a slow store.
test_expect_success 'an entry counts from before the delay of a slow store' '
	store_mode "{\"slow_s\":1.2}" &&
	sleep 7 && # reads without a change show the delay
	declare_release 4 &&
	wait_until 20 learned 1 4 &&
	store_mode "{}" &&
	left_ms 1 4 &&
	test "$(left_ms 1 4)" -le $((RELEASE_MS - 1000))
'

# Guards against requests that are sent to a release for too long: the entry
# stood still while the next one was declared, and saw only the one after.
test_expect_success 'an entry that stood still over a release learns its limit with the next one' '
	start entry2 limpet-entry --settings entry2.json &&
	wait_until 20 learned 2 4 &&
	kill -STOP $(cat entry2.pid) &&
	declare_release 5 &&
	wait_until 10 learned 1 5 &&
	sleep 3 &&
	declare_release 6 &&
	wait_until 10 learned 1 6 &&
	kill -CONT $(cat entry2.pid) &&
	wait_until 20 learned 2 6 &&
	wait_until 10 learned 2 5 &&
	test "$(left_ms 2 5)" -le $(($(left_ms 2 6) - 2500))
'

test_expect_success 'an entry that starts then learns both limits' '
	start entry3 limpet-entry --settings entry3.json &&
	wait_until 20 learned 3 6 &&
	wait_until 10 learned 3 5 &&
	test "$(left_ms 3 5)" -le $(($(left_ms 3 6) - 2500))
'

# Guards against a limit that counts from the start of the process although the
# other entries know the declaration.
test_expect_success 'an entry that starts and reads the store learns them as well' '
	start entry4 limpet-entry --settings entry4.json &&
	wait_until 20 learned 4 6 &&
	wait_until 10 learned 4 5 &&
	test "$(left_ms 4 5)" -le $(($(left_ms 4 6) - 2500))
'

test_done
