#!/bin/sh

test_description='an entry that reads routes and upstreams from the metadata store'

. "$(dirname "$0")/test-lib.sh"

STORE=$TEST_NET.9:7001
ENTRY=$TEST_NET.1:8000
READY=$TEST_NET.1:8001

put () {
	curl -sf -X PUT --data-binary @- "http://$STORE/test/$1" >/dev/null
}

# server ID ADDRESS STATE SERVICE
server () {
	printf '{"Service":"%s","Addr":"%s","Zone":"d1","Version":"v1","Slots":4,"State":"%s","ColdLeftMs":0,"Seq":1}' \
		"$4" "$2" "$3" | put "servers/$1"
}

# config VERSION [EXTRA-ROUTES [KEY]]: writes the configuration, with further
# routes and a second API key.
config () {
	cat <<-EOF | put op/config
	{"Version":$1,"Routes":[
	 {"Name":"read","Host":"a.example","Prefix":"/read/","Kind":"idempotent","TimeoutMs":3000,"SloMs":500,"Service":"web","Attempts":2},
	 {"Name":"once","Host":"a.example","Prefix":"/once/","Kind":"non_idempotent","TimeoutMs":3000,"Service":"web","Attempts":2},
	 {"Name":"open","Host":"a.example","Prefix":"/open/","Kind":"idempotent","TimeoutMs":3000,"Service":"web","Attempts":1,"Public":true},
	 {"Name":"tell","Host":"a.example","Prefix":"/tell/","Kind":"streaming","TimeoutMs":3000,"Service":"voice","Attempts":3,"Resumable":true},
	 {"Name":"lone","Host":"a.example","Prefix":"/lone/","Kind":"idempotent","TimeoutMs":3000,"Service":"lone","Attempts":2},
	 {"Name":"bad","Host":"a.example"}$2],
	 "Services":[{"Name":"web","MaxConns":9},{"Name":"lone"},{"Name":"voice"},{"Name":"old","Origin":"127.0.0.1:1"}],
	 "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":100000,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},
	 "Tenants":[{"Name":"acme","ApiKeys":["k1"${3:+,\"$3\"}]}]}
	EOF
}

send_request () {
	curl -s -m 5 --path-as-is -H "Host: a.example" \
		-H "X-Limpetflow-Request-Id: r$$" "$@"
}

get_status () {
	send_request -o body -w '%{http_code}' -H "Authorization: Bearer k1" "$@"
}

status_is () {
	test "$(get_status "$2")" = "$1"
}

i2_requests () {
	curl -s http://$TEST_NET.3:80/test/requests | jq length
}

# Every request succeeds, whichever upstream receives the first attempt.
six_requests_succeed () {
	for i in 1 2 3 4 5 6; do
		status_is 200 http://$ENTRY/once/x || return 1
	done
}

i2_got_requests () {
	six_requests_succeed && test "$(i2_requests)" -gt 0
}

# The entry may read the list when only one of the two upstreams is in it.
i4_got_requests () {
	status_is 200 http://$ENTRY/tell/x &&
	test "$(curl -s http://$TEST_NET.5:80/test/requests | jq length)" -gt 0
}

i2_gets_no_requests () {
	i2_before=$(i2_requests) &&
	six_requests_succeed &&
	test "$(i2_requests)" = "$i2_before"
}

start store python3 "$TEST_DIR/standin/metadata_store.py" store $STORE
start up1 python3 "$TEST_DIR/standin/metadata_store.py" upstream $TEST_NET.2:80 i-1
start up2 python3 "$TEST_DIR/standin/metadata_store.py" upstream $TEST_NET.3:80 i-2 full
start up3 python3 "$TEST_DIR/standin/metadata_store.py" upstream $TEST_NET.4:80 i-3 torn
start up5 python3 "$TEST_DIR/standin/metadata_store.py" upstream $TEST_NET.6:80 i-5 error
start up4 python3 "$TEST_DIR/standin/metadata_store.py" upstream $TEST_NET.5:80 i-4 stream

cat >entry.json <<EOF
{"instance":"e1","data_center":"d1","address":"$TEST_NET.1",
 "ports":{"first":7700},"listen":{"callers":"$ENTRY","ready":"$READY"},
 "platform":"store","platform_url":"http://$STORE",
 "key":"0123456789abcdef","seeds":["$TEST_NET.1:1"],
 "forward":{"stop_grace_s":8,"retry_ratio":0.2,"retry_window_s":10,
  "retry_slack":100}}
EOF

test_expect_success 'without a configuration the entry is not ready and refuses requests' '
	wait_until 10 curl -sf http://$STORE/test/calls &&
	start entry limpet-entry --settings entry.json &&
	wait_until 10 status_is 503 http://$ENTRY/read/ &&
	grep "\"reason\":\"no-configuration\"" body &&
	test "$(curl -s -o /dev/null -w "%{http_code}" http://$READY/readyz)" = 503
'

test_expect_success 'the entry becomes ready with routes and upstreams; invalid servers are skipped' '
	config 1 &&
	server i-1 $TEST_NET.2:80 ready web &&
	echo "no json" | put servers/i-broken &&
	printf "{\"Service\":7,\"State\":\"odd\"}" | put servers/i-odd &&
	wait_until 10 status_is 200 http://$ENTRY/read/x &&
	wait_until 10 curl -sf http://$READY/readyz
'

test_expect_success 'path, query and body are forwarded unchanged' '
	target="/read/a%20b/../c//d?x=%41&y=+" &&
	test "$(get_status --data-binary "b&%20" "http://$ENTRY$target")" = 200 &&
	test "$(jq -r .target body)" = "$target" &&
	test "$(jq -r .method body)" = POST &&
	test "$(jq -r .body body)" = "b&%20"
'

test_expect_success 'the key is removed, the account and the deadline are sent on' '
	test "$(get_status -H "X-Limpetflow-Tenant: other" -H "X-Own: 1" \
		-H "X-Limpetflow-Deadline-Ms: 2000" http://$ENTRY/read/x)" = 200 &&
	jq -r ".headers[]|join(\": \")" body >headers &&
	! grep -i "^authorization" headers &&
	grep -x "X-Limpetflow-Tenant: acme" headers &&
	grep -x "X-Limpetflow-Expect-Instance: i-1" headers &&
	grep -x "X-Own: 1" headers &&
	left=$(sed -n "s/^X-Limpetflow-Deadline-Ms: //p" headers) &&
	test "$left" -gt 500 && test "$left" -le 2000
'

test_expect_success 'unknown keys, hosts and paths are refused' '
	test "$(send_request -o body -w "%{http_code}" -H "Authorization: Bearer no" http://$ENTRY/read/x)" = 401 &&
	test "$(send_request -o body -w "%{http_code}" http://$ENTRY/read/x)" = 401 &&
	test "$(send_request -o body -w "%{http_code}" http://$ENTRY/open/x)" = 200 &&
	status_is 404 http://$ENTRY/none/x &&
	test "$(curl -s -o body -w "%{http_code}" -H "Host: b.example" http://$ENTRY/read/x)" = 404
'

test_expect_success 'a request that an upstream refuses is sent to another upstream' '
	server i-2 $TEST_NET.3:80 ready web &&
	wait_until 10 i2_got_requests
'

test_expect_success 'without another upstream the refusal is not-run with Retry-After' '
	curl -sf -X DELETE http://$STORE/test/servers/i-1 &&
	wait_until 10 status_is 503 http://$ENTRY/once/x &&
	send_request -D head -o body -H "Authorization: Bearer k1" http://$ENTRY/once/x &&
	grep -i "^retry-after: [0-9.]*" head &&
	grep "\"outcome\":\"not-run\"" body &&
	server i-1 $TEST_NET.2:80 ready web &&
	wait_until 10 status_is 200 http://$ENTRY/read/x
'

test_expect_success 'without another upstream the caller receives the error of the upstream' '
	server i-5 $TEST_NET.6:80 ready lone &&
	wait_until 10 status_is 500 http://$ENTRY/lone/x &&
	grep "\"error\": \"own\"" body &&
	send_request -D head -o body -H "Authorization: Bearer k1" http://$ENTRY/lone/x &&
	grep -i "^x-limpetflow-response-stamp: stamp-i-5" head
'

test_expect_success 'a truncated stream resumes on another upstream, each event once' '
	server i-3 $TEST_NET.4:80 ready voice &&
	server i-4 $TEST_NET.5:80 ready voice &&
	wait_until 10 i4_got_requests &&
	for i in 1 2 3 4 5 6; do
		status_is 200 http://$ENTRY/tell/x &&
		test "$(sed -n "s/^id: //p" body | tr -d "\n")" = 12345 ||
		return 1
	done
'

test_expect_success 'a draining upstream gets no new requests' '
	server i-2 $TEST_NET.3:80 draining web &&
	wait_until 10 i2_gets_no_requests &&
	i2_gets_no_requests
'

test_expect_success 'a revoked key is refused, also after the store dropped its history' '
	config 2 "" k2 &&
	wait_until 10 sh -c "test \$(curl -s -m 5 -o /dev/null -w %{http_code} -H \"Host: a.example\" -H \"Authorization: Bearer k2\" http://$ENTRY/read/x) = 200" &&
	curl -sf -d "{\"forget\":true}" http://$STORE/test/mode &&
	config 3 &&
	wait_until 10 sh -c "test \$(curl -s -m 5 -o /dev/null -w %{http_code} -H \"Host: a.example\" -H \"Authorization: Bearer k2\" http://$ENTRY/read/x) = 401"
'

test_expect_success 'the entry serves while the store is down, then reads the new configuration' '
	curl -sf -d "{\"down\":true}" http://$STORE/test/mode &&
	status_is 200 http://$ENTRY/read/x &&
	config 4 ",{\"Name\":\"new\",\"Host\":\"a.example\",\"Prefix\":\"/new/\",\"Kind\":\"idempotent\",\"Service\":\"web\"}" &&
	status_is 404 http://$ENTRY/new/x &&
	curl -sf -d "{}" http://$STORE/test/mode &&
	wait_until 10 status_is 200 http://$ENTRY/new/x
'

test_expect_success 'a stopping entry still answers requests, then exits' '
	kill -TERM $(cat entry.pid) &&
	wait_until 5 sh -c "test \$(curl -s -o /dev/null -w %{http_code} http://$READY/readyz) = 503" &&
	status_is 200 http://$ENTRY/read/x &&
	pid=$(cat entry.pid) &&
	wait_until 10 sh -c "! kill -0 $pid 2>/dev/null"
'

test_expect_success 'each refusal is logged with request id and reason' '
	grep "\"step\":\"refuse\"" entry.out | grep "\"request\":\"r$$\"" |
		grep "\"reason\":\"unknown-key\"" | jq -e ".status == 401" &&
	grep "\"step\":\"start\"" entry.out && grep "\"step\":\"stop\"" entry.out
'

test_done
