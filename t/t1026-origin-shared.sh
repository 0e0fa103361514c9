#!/bin/sh

test_description='many agents share an origin that takes few connections

Guards against agents that each draw from the origin as if they were alone: all
of them when they start together, and those that keep connections to it.'

. "$(dirname "$0")/test-lib.sh"

STORE=$TEST_NET.9:7001
ORIGIN=$TEST_NET.8:80
AGENTS=12
PERMITS=4
# Two fetches in flight for each permit, and one for the questions of the test.
CONNECTIONS_MAX=9
AGENT_NUMBERS=$(seq 11 $((10 + AGENTS)))

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
	  {"Name":"store","Origin":"$ORIGIN"}],
	 "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":100000,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}
	EOC
}

# list NUMBER
list () {
	printf '{"Service":"llm","Addr":"%s","Zone":"d1","Version":"v1","Slots":4,"State":"ready","ColdLeftMs":0,"Seq":1,"Models":[{"Name":"m","Version":1,"Adapters":[]}]}' \
		"$TEST_NET.$1:80" | put servers/i-$1
}

settings () {
	cat >agent$1.json <<-EOC
	{"instance":"a$1","data_center":"d1","address":"$TEST_NET.$1",
	 "ports":{"first":7700},"platform":"store","platform_url":"http://$STORE",
	 "key":"0123456789abcdef",
	 "seeds":["$TEST_NET.11:7700","$TEST_NET.12:7700","$TEST_NET.13:7700"],
	 "upstream":{"url":"http://$TEST_NET.$1:80","name":"llm","kind":"model"},
	 "forward":{"release_ms":8000,"stop_grace_s":8,"retry_ratio":0.2,
	  "retry_window_s":10,"retry_slack":100},
	 "links":{"machine_mbps":1000,"transfer_share":0.85}}
	EOC
}

origin () {
	curl -sf http://$ORIGIN/test/$1
}

all_run () {
	for i in $AGENT_NUMBERS; do
		test "$(curl -sf http://$TEST_NET.$i/test/release)" = $1 ||
			return 1
	done
}

all_log () {
	for i in $AGENT_NUMBERS; do
		grep -q "$1" agent$i.out || return 1
	done
}

start store python3 "$TEST_DIR/standin/metadata_store.py" store $STORE
start origin python3 "$TEST_DIR/standin/model_server.py" $ORIGIN $CONNECTIONS_MAX
for i in $AGENT_NUMBERS; do
	start engine$i python3 "$TEST_DIR/standin/model_server.py" $TEST_NET.$i:80
	settings $i
done

# The seeds start last, so that the others know of nobody for a while.
test_expect_success 'agents that start together do not all ask the origin' '
	wait_until 10 curl -sf http://$STORE/test/calls &&
	wait_until 10 origin events &&
	wait_until 20 all_run 1 &&
	config && declare_release 1 &&
	for i in $AGENT_NUMBERS; do list $i || return 1; done &&
	for i in $(seq 14 $((10 + AGENTS))); do
		start agent$i limpet-agent --settings agent$i.json || return 1
	done &&
	sleep 1.5 &&
	for i in 11 12 13; do
		start agent$i limpet-agent --settings agent$i.json || return 1
	done &&
	wait_until 30 all_log "fetched manifest" &&
	origin askers &&
	test "$(origin askers | jq length)" -le $PERMITS
'

test_expect_success 'no connection to the origin is kept' '
	test "$(origin connections | jq ".[0]")" = 0
'

test_expect_success 'a release reaches all of them' '
	declare_release 2 &&
	wait_until 60 all_run 2 &&
	origin connections &&
	test "$(origin connections | jq ".[0]")" = 0
'

test_done
