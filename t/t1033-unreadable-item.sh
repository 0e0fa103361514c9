#!/bin/sh

test_description='a value that can not be read replaces none in the mirror of the store

Guards against upstreams that work and are dropped from the list, or releases
that are forgotten, as one write to the store is no JSON object.'

. "$(dirname "$0")/test-lib.sh"

STORE=$TEST_NET.9:7001
ENTRY=$TEST_NET.1:8000
READY=$TEST_NET.1:8001
UPSTREAM=$TEST_NET.11:80
OTHER=$TEST_NET.12:80

put () {
	curl -sf -X PUT --data-binary @- "http://$STORE/test/$1" >/dev/null
}

config () {
	cat <<-EOC | put op/config
	{"Version":$1,"Routes":[
	 {"Name":"tell","Host":"a.example","Prefix":"/tell/","Kind":"streaming","TimeoutMs":3000,"SloMs":400,"Service":"tale","Attempts":2,"Resumable":true}],
	 "Services":[{"Name":"tale","MaxConns":99}],
	 "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":100000,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},
	 "Tenants":[]}
	EOC
}

# list ID ADDRESS SEQUENCE
list () {
	printf '{"Service":"tale","Addr":"%s","Zone":"d1","Version":"v1","Slots":12,"State":"ready","ColdLeftMs":0,"Seq":%s}' \
		"$2" "$3" | put servers/$1
}

# listed: prints the upstreams that the entry can choose from.
listed () {
	curl -sf "http://$TEST_NET.1:7702/status" |
		jq -c "[.. | .upstreams? // empty | .[]? | .upstream? // empty] | unique"
}

lists () {
	test "$(listed)" = "$1"
}

cat >entry.json <<EOC
{"instance":"e1","data_center":"d1","address":"$TEST_NET.1",
 "ports":{"first":7700},"listen":{"callers":"$ENTRY","ready":"$READY"},
 "platform":"store","platform_url":"http://$STORE",
 "key":"0123456789abcdef","seeds":["$TEST_NET.1:1"],
 "forward":{"stop_grace_s":8,"retry_ratio":0.2,"retry_window_s":10,
  "retry_slack":1000}}
EOC
start store python3 "$TEST_DIR/standin/metadata_store.py" store $STORE

test_expect_success 'an entry lists two upstreams' '
	wait_until 10 curl -sf http://$STORE/test/calls &&
	config 1 && list i-1 $UPSTREAM 1 && list i-2 $OTHER 1 &&
	printf x | put servers/i-4 &&
	start entry limpet-entry --settings entry.json &&
	wait_until 10 curl -sf http://$READY/readyz &&
	wait_until 10 lists "[\"i-1\",\"i-2\"]"
'

# A write to i-3 behind it shows that the entry has seen it.
test_expect_success 'an unreadable write keeps an upstream, a deletion does not' '
	printf x | put servers/i-1 &&
	list i-3 $TEST_NET.13:80 1 &&
	wait_until 5 lists "[\"i-1\",\"i-2\",\"i-3\"]" &&
	curl -sf -X DELETE http://$STORE/test/servers/i-2 &&
	wait_until 5 lists "[\"i-1\",\"i-3\"]"
'

# The entry waits up to 4 s for changes; after that it finds the store down. Many
# upstreams that leave at once are kept for 2 s, so a later list counts.
test_expect_success 'the same in a listing, after the store dropped its history' '
	curl -sf -d "{\"down\":true}" http://$STORE/test/mode && sleep 5 &&
	printf x | put servers/i-3 && list i-5 $TEST_NET.15:80 1 &&
	curl -sf -d "{\"forget\":true}" http://$STORE/test/mode &&
	wait_until 10 lists "[\"i-1\",\"i-3\",\"i-5\"]" && sleep 3 &&
	list i-6 $TEST_NET.16:80 1 &&
	wait_until 5 lists "[\"i-1\",\"i-3\",\"i-5\",\"i-6\"]"
'

test_done
