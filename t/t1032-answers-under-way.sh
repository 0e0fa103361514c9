#!/bin/sh

test_description='an answer under way does not end for news about its route or upstream

Guards against answers that their entry breaks off as a configuration drops
their route, key or service, as connections may be idle for less time than they
take, as the settings are read again, as their upstream leaves the list or its
address is used again, or as the entry is stopped.'

. "$(dirname "$0")/test-lib.sh"

STORE=$TEST_NET.9:7001
ENTRY=$TEST_NET.1:8000
READY=$TEST_NET.1:8001
UPSTREAM=$TEST_NET.11:80
OTHER=$TEST_NET.12:80
STREAMS="1 2 3"

put () {
	curl -sf -X PUT --data-binary @- "http://$STORE/test/$1" >/dev/null
}

remove () {
	curl -sf -X DELETE "http://$STORE/test/$1" >/dev/null
}

# config VERSION NAME IDLE-MS: with a route, a service and a key of that name.
config () {
	cat <<-EOC | put op/config
	{"Version":$1,"Routes":[
	 {"Name":"$2","Host":"a.example","Prefix":"/$2/","Kind":"streaming","TimeoutMs":30000,"SloMs":400,"Service":"$2","Attempts":2,"Resumable":true}],
	 "Services":[{"Name":"$2","MaxConns":99}],
	 "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":100000,"HeaderTimeoutMs":3000,"IdleTimeoutMs":$3},
	 "Tenants":[{"Name":"acme","ApiKeys":["key-$2"]}]}
	EOC
}

# list ID SERVICE ADDRESS STATE SEQUENCE
list () {
	printf '{"Service":"%s","Addr":"%s","Zone":"d1","Version":"v1","Slots":12,"State":"%s","ColdLeftMs":0,"Seq":%s}' \
		"$2" "$3" "$4" "$5" | put servers/$1
}

# send ID PATH KEY: prints the status, or a word when the answer broke off.
send () {
	curl -s -N -m 28 -o body-$1 -w '%{http_code}' -H "Host: a.example" \
		-H "X-Limpetflow-Request-Id: r-$1" -H "Authorization: Bearer $3" \
		-H "X-Limpetflow-Deadline-Ms: 28000" "http://$ENTRY/$2" ||
		echo cut
}

status () {
	curl -s -m 3 -o /dev/null -w '%{http_code}' -H "Host: a.example" \
		-H "X-Limpetflow-Request-Id: s-$(date +%N)" \
		-H "Authorization: Bearer $2" \
		-H "X-Limpetflow-Deadline-Ms: 2000" "http://$ENTRY/$1"
}

has_status () {
	test "$(status $2 $3)" = $1
}

begun () {
	for i in $STREAMS; do
		grep "id: 1" body-$i || return 1
	done
}

# none_ended: no stream has ended, in one way or another.
none_ended () {
	test "$(cat send-?.out | wc -c)" = 0
}

complete () {
	for i in $STREAMS; do
		test "$(cat send-$i.out)" = 200 &&
		test "$(sed -n "s/^id: //p" body-$i | tr -d "\n")" = 12345 ||
			return 1
	done
}

cat >entry.json <<EOC
{"instance":"e1","data_center":"d1","address":"$TEST_NET.1",
 "ports":{"first":7700},"listen":{"callers":"$ENTRY","ready":"$READY"},
 "platform":"store","platform_url":"http://$STORE",
 "key":"0123456789abcdef","seeds":["$TEST_NET.1:1"],
 "forward":{"stop_grace_s":15,"retry_ratio":0.2,"retry_window_s":10,
  "retry_slack":1000}}
EOC
start store python3 "$TEST_DIR/standin/metadata_store.py" store $STORE
start first python3 "$TEST_DIR/standin/metadata_store.py" upstream $UPSTREAM i-1 queue
start other python3 "$TEST_DIR/standin/metadata_store.py" upstream $OTHER i-2 stream

test_expect_success 'streams begin' '
	wait_until 10 curl -sf http://$STORE/test/calls &&
	config 1 old 15000 && list i-1 old $UPSTREAM ready 1 &&
	start entry limpet-entry --settings entry.json &&
	wait_until 10 curl -sf http://$READY/readyz &&
	for i in $STREAMS; do
		start send-$i send $i old/begun-alive key-old
	done &&
	wait_until 5 begun
'

test_expect_success 'they go on when a configuration drops route, key and service' '
	config 2 new 1000 && list i-2 new $OTHER ready 1 &&
	wait_until 5 has_status 200 new/x key-new &&
	has_status 404 old/x key-old && has_status 401 new/x key-old &&
	sleep 1.5 && none_ended
'

test_expect_success 'they go on when the settings are read again' '
	kill -HUP $(cat entry.pid) && sleep 1 && none_ended
'

test_expect_success 'they go on when their upstream leaves, and its address is used again' '
	list i-1 old $UPSTREAM draining 2 && sleep 1 && none_ended &&
	remove servers/i-1 && sleep 1 && none_ended &&
	list i-3 new $UPSTREAM ready 1 && sleep 1 && none_ended
'

test_expect_success 'they are complete, though the entry has been stopped' '
	kill -TERM $(cat entry.pid) && sleep 4 && none_ended &&
	curl -sf http://$UPSTREAM/test/finish &&
	wait_until 10 complete
'

test_done
