#!/bin/sh

test_description='clients outside the limits end no process and keep nobody from being served

Kinds of such clients press on an entry with the memory of the smallest machine,
beside ordinary callers.  OUTSIDE_COUNT and OUTSIDE_S make more of it by hand,
and OUTSIDE_TABLE collects the figures.'

. "$(dirname "$0")/test-lib.sh"

STORE=$TEST_NET.9:7001
ENTRY=$TEST_NET.1:8000
READY=$TEST_NET.1:8001
COUNT=${OUTSIDE_COUNT:-60}
SECONDS_EACH=${OUTSIDE_S:-3}
MACHINE_MB=160

# The sanitizer keeps freed memory, 256 MB by default, as if it were in use.
ASAN_OPTIONS="${ASAN_OPTIONS:+$ASAN_OPTIONS:}quarantine_size_mb=1"
export ASAN_OPTIONS

put () {
	curl -sf -X PUT --data-binary @- "http://$STORE/test/$1" >/dev/null
}

get_status () {
	curl -s -m 10 -o body -w '%{http_code}' -H "Host: a.example" \
		-H "X-Limpetflow-Request-Id: r" -H "Authorization: Bearer k1" "$@"
}

status_is () {
	test "$(get_status "$2")" = "$1"
}

# press KIND TARGET: the process stays, in its memory, and serves.
press () {
	python3 "$TEST_DIR/helper/outside-limits.py" $1 $2 $READY/readyz $ENTRY/read/x \
		$(cat entry.pid) $COUNT $SECONDS_EACH >figures &&
	echo "$1 ${2#*/} $(cat figures)" >>"${OUTSIDE_TABLE:-table}" &&
	read memory served wait left <figures &&
	test $memory -lt $MACHINE_MB &&
	test $wait -lt 1000 &&
	jq -en "$served >= 0.99" >/dev/null &&
	kill -0 $(cat entry.pid) &&
	curl -sf http://$READY/readyz
}

start store python3 "$TEST_DIR/standin/metadata_store.py" store $STORE
start up1 python3 "$TEST_DIR/standin/metadata_store.py" upstream $TEST_NET.2:80 i-1

cat >entry.json <<EOF
{"instance":"e1","data_center":"d1","address":"$TEST_NET.1",
 "ports":{"first":7700},"listen":{"callers":"$ENTRY","ready":"$READY"},
 "machine_memory_mb":$MACHINE_MB,
 "platform":"store","platform_url":"http://$STORE",
 "key":"0123456789abcdef","seeds":["$TEST_NET.1:1"],
 "forward":{"stop_grace_s":8,"retry_ratio":0.2,"retry_window_s":10,
  "retry_slack":100}}
EOF

test_expect_success 'the entry serves, and takes the largest legal body in calm' '
	wait_until 10 curl -sf http://$STORE/test/calls &&
	put op/config <<-EOF2 &&
	{"Version":1,"Routes":[
	 {"Name":"read","Host":"a.example","Prefix":"/read/","Kind":"idempotent","TimeoutMs":8000,"SloMs":500,"Service":"web","Attempts":2}],
	 "Services":[{"Name":"web"}],
	 "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":1000000,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},
	 "Tenants":[{"Name":"acme","ApiKeys":["k1"]}]}
	EOF2
	printf "{\"Service\":\"web\",\"Addr\":\"%s\",\"Zone\":\"d1\",\"Version\":\"v1\",\"Slots\":64,\"State\":\"ready\",\"ColdLeftMs\":0,\"Seq\":1}" \
		$TEST_NET.2:80 | put servers/i-1 &&
	start entry limpet-entry --settings entry.json &&
	wait_until 10 status_is 200 http://$ENTRY/read/x &&
	wait_until 10 curl -sf http://$READY/readyz &&
	head -c 1000000 /dev/zero | tr "\0" x >large &&
	test "$(get_status --data-binary @large http://$ENTRY/read/x)" = 200 &&
	head -c 1000001 /dev/zero | tr "\0" x >larger &&
	test "$(get_status --data-binary @larger http://$ENTRY/read/x)" = 413
'

for kind in whole pieces chunked over fields ahead drip silent half
do
	test_expect_success "$kind, on a path with a route" "
		press $kind $ENTRY/read/x
	"
done

for kind in whole chunked over ahead drip
do
	test_expect_success "$kind, on a path without a route" "
		press $kind $ENTRY/none/x
	"
done

for kind in whole chunked fields ahead silent
do
	test_expect_success "$kind, on the path that says ready" "
		press $kind $READY/readyz
	"
done

test_expect_success 'the largest legal body is taken again afterwards' '
	wait_until 10 test "$(get_status --data-binary @large http://$ENTRY/read/x)" = 200
'

test_done
