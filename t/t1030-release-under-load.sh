#!/bin/sh

test_description='a release is named under load

Guards against streams that two entries break off while their engines are at
work, as the engines get orders in turn and no other one has room.'

. "$(dirname "$0")/test-lib.sh"

STORE=$TEST_NET.9:7001
KEY=0123456789abcdef
ENGINES="1 2 3"
ENTRIES="1 2"

put () {
	curl -sf -X PUT --data-binary @- "http://$STORE/test/$1" >/dev/null
}

# name_release RELEASE: a configuration that names it.
name_release () {
	cat <<-EOC | put op/config &&
	{"Version":$1,"Routes":[
	 {"Name":"tell","Host":"a.example","Prefix":"/tell/","Kind":"streaming","TimeoutMs":90000,"SloMs":400,"GapAimMs":400,"Service":"llm","Attempts":2,"Resumable":true}],
	 "Services":[{"Name":"llm","MaxConns":99,"Engine":{"Slots":12,
	  "KvTokens":685000,"Stride":6,"Models":[{"Name":"m"}],"step_ms":7.4,
	  "per_seq_ms":0.04,"context_per_k":0.02,"read_per_s":31900,
	  "usual":{"prompt":970,"answer":106}}},
	  {"Name":"store","Origin":"127.0.0.1:1"}],
	 "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":100000,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}
	EOC
	printf '{"Model":"m","Version":%d}' $1 | put op/version/m
}

entry_settings () {
	cat <<-EOC
	{"instance":"e$1","data_center":"d1","address":"$TEST_NET.$1",
	 "ports":{"first":7700},
	 "listen":{"callers":"$TEST_NET.$1:8000","ready":"$TEST_NET.$1:8001"},
	 "platform":"store","platform_url":"http://$STORE",
	 "key":"$KEY","seeds":["$TEST_NET.1:7700","$TEST_NET.2:7700"],
	 "forward":{"release_ms":4000,"stop_grace_s":8,"retry_ratio":0.2,
	  "retry_window_s":30,"retry_slack":10000}}
	EOC
}

# engine NUMBER PATH [CURL-ARGUMENT...]
engine () {
	engine_at=http://$TEST_NET.$((10 + $1)):80/test/$2
	shift 2
	curl -sf "$@" "$engine_at"
}

# send ENTRY NAME PATH: prints the name, the status, or a word when the answer
# broke off, and the ids of the events.
send () {
	rm -f body-$2
	send_status=$(curl -s -N -m 90 -o body-$2 -w '%{http_code}' \
		-H "Host: a.example" -H "X-Limpetflow-Request-Id: r-$2" \
		-H "X-Limpetflow-Model: m" -H "X-Limpetflow-Deadline-Ms: 90000" \
		"http://$TEST_NET.$1:8000/tell/$3") || send_status=cut
	echo "$2 $send_status $(sed -n 's/^id: //p' body-$2 | tr -d '\n')"
}

# flow ENTRY: short streams, one after the other, until the file "stop" is there.
flow () {
	flow_i=0
	while ! test -e stop; do
		flow_i=$((flow_i + 1))
		send $1 flow-$1-$flow_i short
		sleep 0.1
	done
}

# fill ENGINE COUNT: starts this many long streams at it through each entry.
fill () {
	for n in $ENGINES; do
		state=draining
		test $n = $1 && state=ready
		engine $n state -X PUT -d $state || return 1
	done
	count=0
	for e in $ENTRIES; do
		wait_until 10 only_ready $e i-$1 || return 1
		for i in $(seq $2); do
			start long-$e-$1-$i send $e $1-$e-$i long
			wait_until 10 grep "id: 1" body-$1-$e-$i || return 1
			count=$((count + 1))
			wait_until 10 all_report i-$1 $count || return 1
		done
	done
}

# all_report ID COUNT: all entries have a report that it runs so many requests.
all_report () {
	for reporting in $ENTRIES; do
		test "$(curl -sf http://$TEST_NET.$reporting:7702/status |
			jq ".forward.upstreams[] | select(.upstream == \"$1\").running")" = $2 ||
			return 1
	done
}

# only_ready ENTRY ID: the entry knows this engine as the only one to send to.
only_ready () {
	test "$(curl -sf http://$TEST_NET.$1:7702/status |
		jq -r '.forward.upstreams[] | select(.leaving | not) | .upstream')" = $2
}

all_ready () {
	for e in $ENTRIES; do
		test "$(curl -sf http://$TEST_NET.$e:7702/status |
			jq '[.forward.upstreams[] | select(.leaving | not)] | length')" = 3 ||
			return 1
	done
}

all_serve () {
	for e in $ENTRIES; do
		curl -sf http://$TEST_NET.$e:8001/readyz || return 1
	done
}

# runs ENGINE RELEASE
runs () {
	test "$(engine $1 release)" = $2
}

# served_since ENTRY LINES: the flow has complete answers after that many lines.
served_since () {
	tail -n +$(($2 + 1)) flow-$1.out | grep " 200 12345"
}

# was_withdrawn NAME: the request waited at an engine until its release expired.
was_withdrawn () {
	grep -h "\"request\":\"r-$1\"" e?.out |
		grep -e "\"withdrawn\":true" -e "\"reason\":\"release-expired\""
}

# none_broken: each answer that has ended is complete; a request without one was
# refused, or withdrawn before it began.
none_broken () {
	cat long-*.out flow-*.out >ended
	while read ended_name ended_status ended_ids; do
		case "$ended_status $ended_ids" in
		"200 12345" | "503 ") ;;
		"502 ") was_withdrawn $ended_name || return 1 ;;
		*)
			echo "$ended_name: $ended_status $ended_ids"
			return 1
			;;
		esac
	done <ended
}

start store python3 "$TEST_DIR/standin/metadata_store.py" store $STORE

test_expect_success 'streams of two entries are under way at three engines' '
	wait_until 10 curl -sf http://$STORE/test/calls &&
	name_release 1 &&
	start engines python3 "$TEST_DIR/standin/ordered_engines.py" $STORE $KEY \
		$TEST_NET.1:7703,$TEST_NET.2:7703 \
		$TEST_NET.11:80 $TEST_NET.12:80 $TEST_NET.13:80 &&
	for e in $ENTRIES; do
		entry_settings $e >e$e.json &&
		start e$e limpet-entry --settings e$e.json || return 1
	done &&
	wait_until 10 all_serve &&
	fill 1 2 && fill 2 2 && fill 3 6 &&
	for n in $ENGINES; do
		engine $n state -X PUT -d ready || return 1
	done &&
	wait_until 10 all_ready &&
	for e in $ENTRIES; do
		start flow-$e flow $e && wait_until 10 served_since $e 0 || return 1
	done
'

test_expect_success 'none is broken off while all engines have orders' '
	name_release 2 &&
	engine 1 orders -X PUT -d 2 && sleep 3 &&
	none_broken &&
	test $(cat long-*.out | wc -l) = 0
'

test_expect_success 'once one engine has room, streams move there and the others load' '
	engine 3 finish &&
	for n in $ENGINES; do
		wait_until 30 runs $n 2 || return 1
	done &&
	none_broken
'

test_expect_success 'all streams are complete, and new ones are served' '
	for e in $ENTRIES; do
		lines=$(wc -l <flow-$e.out) &&
		wait_until 10 served_since $e $lines || return 1
	done &&
	touch stop &&
	wait_until 30 eval "test \$(cat long-*.out | wc -l) = 20" &&
	none_broken
'

test_done
