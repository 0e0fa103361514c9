#!/bin/sh

test_description='an answer that has begun is not given up without a place elsewhere

Guards against streams that their entry cancels while the upstream is at work,
as the upstream has an order or is silent for a while, and then breaks off since
no other upstream can go on.'

. "$(dirname "$0")/test-lib.sh"

STORE=$TEST_NET.9:7001
KEY=0123456789abcdef
FIRST=$TEST_NET.11:80
OTHER=$TEST_NET.12:80
TORN=$TEST_NET.13:80
STREAMS="1 2 3"
ENTRIES="1 2"

put () {
	curl -sf -X PUT --data-binary @- "http://$STORE/test/$1" >/dev/null
}

# config VERSION
config () {
	cat <<-EOC | put op/config
	{"Version":$1,"Routes":[
	 {"Name":"tell","Host":"a.example","Prefix":"/tell/","Kind":"streaming","TimeoutMs":60000,"SloMs":400,"GapAimMs":400,"Service":"llm","Attempts":2,"Resumable":true}],
	 "Services":[{"Name":"llm","MaxConns":99,"Engine":{"Slots":12,
	  "KvTokens":685000,"Stride":6,"Models":[{"Name":"m"}],"step_ms":7.4,
	  "per_seq_ms":0.04,"context_per_k":0.02,"read_per_s":31900,
	  "usual":{"prompt":970,"answer":106}}},
	  {"Name":"store","Origin":"127.0.0.1:1"}],
	 "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":100000,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}
	EOC
}

# engine ID ADDRESS STATE
engine () {
	printf '{"Service":"llm","Addr":"%s","Zone":"d1","Version":"v1","Slots":12,"State":"%s","ColdLeftMs":0,"Seq":1,"Models":[{"Name":"m","Version":1,"Adapters":[]}]}' \
		"$2" "$3" | put servers/$1
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

# send ENTRY NAME PATH: prints the status, or a word when the answer broke off.
send () {
	curl -s -N -m 50 -o body-$2 -w '%{http_code}' -H "Host: a.example" \
		-H "X-Limpetflow-Request-Id: r-$2" -H "X-Limpetflow-Model: m" \
		-H "X-Limpetflow-Deadline-Ms: 50000" \
		"http://$TEST_NET.$1:8000/tell/$3" || echo cut
}

# begin GROUP PATH: starts streams at all entries, and waits for their first event.
begin () {
	for e in $ENTRIES; do
		for i in $STREAMS; do
			start $1-$e-$i send $e $1-$e-$i $2
		done
	done
	for e in $ENTRIES; do
		for i in $STREAMS; do
			wait_until 5 grep "id: 1" body-$1-$e-$i || return 1
		done
	done
}

# complete GROUP
complete () {
	for e in $ENTRIES; do
		for i in $STREAMS; do
			test "$(cat $1-$e-$i.out)" = 200 &&
			test "$(sed -n 's/^id: //p' body-$1-$e-$i |
				tr -d '\n')" = 12345 || return 1
		done
	done
}

# ended GROUP: prints how many of its streams have ended.
ended () {
	cat $1-?-?.out | wc -c
}

# metric ENTRY PATTERN: the sum of matching counters.
metric () {
	curl -sf "http://$TEST_NET.$1:7702/metrics" |
		sed -n "s/^limpet_$2[^ ]* //p" | awk '{ n += $1 } END { print n + 0 }'
}

all_serve () {
	for e in $ENTRIES; do
		curl -sf http://$TEST_NET.$e:8001/readyz || return 1
	done
}

# order RUNNING: reports of the first engine that it has an order.
order () {
	for e in $ENTRIES; do
		start report-$e send-report $TEST_NET.$e 7703 $KEY $FIRST m $1
	done
}

no_order () {
	for e in $ENTRIES; do
		kill $(cat report-$e.pid)
	done
}

start store python3 "$TEST_DIR/standin/metadata_store.py" store $STORE
start first python3 "$TEST_DIR/standin/metadata_store.py" upstream $FIRST i-1 queue
start torn python3 "$TEST_DIR/standin/metadata_store.py" upstream $TORN i-3 torn
start other python3 "$TEST_DIR/standin/metadata_store.py" upstream $OTHER i-2 stream

test_expect_success 'streams of two entries begin at one engine' '
	wait_until 10 curl -sf http://$STORE/test/calls &&
	config 1 && printf "{\"Model\":\"m\",\"Version\":1}" | put op/version/m &&
	engine i-1 $FIRST ready &&
	for e in $ENTRIES; do
		entry_settings $e >e$e.json &&
		start e$e limpet-entry --settings e$e.json || return 1
	done &&
	wait_until 10 all_serve &&
	begin order begun-alive
'

# Guards against streams that are canceled for an order of their engine before
# another engine is found for them.
test_expect_success 'none is broken off for an order when no other engine has room' '
	engine i-2 $OTHER draining &&
	config 2 &&
	order 6 && sleep 2 && no_order &&
	test $(ended order) = 0
'

# Guards against streams that are canceled after some silence in the same way.
test_expect_success 'none is broken off for silence when no other engine has room' '
	sleep 2 && begin silent begun && sleep 2 &&
	test $(ended silent) = 0
'

test_expect_success 'all are complete once the engine goes on' '
	curl -sf http://$FIRST/test/finish &&
	wait_until 10 complete order && wait_until 10 complete silent
'

# begun_waits: answers that began and whose entries wait for an upstream.
begun_waits () {
	n=0
	for e in $ENTRIES; do
		n=$((n + $(metric $e forward_waiting)))
	done
	test $n -ge 6
}

# Guards against begun answers that are broken off at once when their upstream
# breaks while no other one is free.
test_expect_success 'answers whose upstream breaks wait for another one' '
	engine i-1 $FIRST draining && engine i-3 $TORN ready &&
	sleep 1 && begin torn x &&
	engine i-3 $TORN draining &&
	wait_until 5 begun_waits && engine i-2 $OTHER ready &&
	wait_until 10 complete torn
'

all_cut () {
	for e in $ENTRIES; do
		for i in $STREAMS; do
			grep cut late-$e-$i.out || return 1
		done
	done
}

test_expect_success 'they are broken off after a while if there is none' '
	engine i-2 $OTHER draining && engine i-3 $TORN ready &&
	sleep 1 && begin late x && wait_until 10 all_cut &&
	grep -h "\"ended_by\":\"upstream\",\"no_attempt\":\"upstreams" e1.out e2.out
'

gone () {
	! process_start $(cat e$1.pid)
}

# Guards against processes that abort as they stop while answers wait, and leave
# these without the mark of a broken answer.
test_expect_success 'a process that stops ends the answers that wait' '
	engine i-3 $TORN ready && sleep 1 &&
	begin stop x && engine i-3 $TORN draining &&
	for e in $ENTRIES; do
		kill $(cat e$e.pid) && sleep 0.1 && kill $(cat e$e.pid) || return 1
	done &&
	for e in $ENTRIES; do
		wait_until 10 gone $e &&
		grep "exiting" e$e.out && ! test -s e$e.err || return 1
	done &&
	test $(cat stop-?-?.out | grep -o cut | wc -l) = 6
'

test_done
