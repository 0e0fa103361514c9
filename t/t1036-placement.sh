#!/bin/sh

test_description='regions, and evacuations that the operator orders and takes back

An entry in d1 with one upstream in d1 (north) and one in d2 (south).'

. "$(dirname "$0")/test-lib.sh"

STORE=$TEST_NET.9:7001
ENTRY=$TEST_NET.1:8000
READY=$TEST_NET.1:8001

put () {
	curl -sf -X PUT --data-binary @- "http://$STORE/test/$1" >/dev/null
}

delete () {
	curl -sf -X DELETE "http://$STORE/test/$1" >/dev/null
}

# server ID ADDRESS DATA-CENTRE
server () {
	printf '{"Service":"web","Addr":"%s","Zone":"%s","Version":"v1","Slots":4,"State":"ready","ColdLeftMs":0,"Seq":1}' \
		"$2" "$3" | put "servers/$1"
}

config () {
	cat <<-EOF | put op/config
	{"Version":$1,"Routes":[
	 {"Name":"any","Host":"a.example","Prefix":"/any/","Kind":"idempotent","TimeoutMs":3000,"Service":"web","Attempts":2,"AllowedRegions":[]},
	 {"Name":"north","Host":"a.example","Prefix":"/north/","Kind":"idempotent","TimeoutMs":3000,"Service":"web","Attempts":2,"AllowedRegions":["north"]},
	 {"Name":"south","Host":"a.example","Prefix":"/south/","Kind":"idempotent","TimeoutMs":3000,"Service":"web","Attempts":2,"AllowedRegions":["south"]},
	 {"Name":"odd","Host":"a.example","Prefix":"/odd/","Kind":"idempotent","TimeoutMs":3000,"Service":"web","AllowedRegions":"north"},
	 {"Name":"east","Host":"a.example","Prefix":"/east/","Kind":"idempotent","TimeoutMs":3000,"Service":"web","AllowedRegions":["east"]}],
	 "Services":[{"Name":"web"}],
	 "Tenants":[{"Name":"all","ApiKeys":["k1"]},{"Name":"home","ApiKeys":["k2"],"AllowedRegions":["south"]}]}
	EOF
}

# ask PATH [KEY]: prints the status; the answer is in body.
ask () {
	curl -s -m 5 -o body -w '%{http_code}' -H "Host: a.example" \
		-H "X-Limpetflow-Request-Id: r" \
		-H "Authorization: Bearer ${2:-k1}" "http://$ENTRY$1"
}

answers () {
	test "$(ask $2 $3)" = $1
}

# requests_of NUMBER
requests_of () {
	curl -s "http://$TEST_NET.$1:80/test/requests" | jq length
}

# all_go_to NUMBER PATH [KEY]: the other upstream gets none of five requests.
all_go_to () {
	other=$((5 - $1))
	before=$(requests_of $other)
	for i in 1 2 3 4 5; do
		answers 200 $2 $3 || return 1
	done
	test "$(requests_of $other)" = "$before"
}

entry_is_gone () {
	! process_start "$(cat entry.pid)" >/dev/null
}

start_entry () {
	start entry limpet-entry --settings entry.json &&
	wait_until 10 curl -sf http://$READY/readyz
}

start store python3 "$TEST_DIR/standin/metadata_store.py" store $STORE
start up2 python3 "$TEST_DIR/standin/metadata_store.py" upstream $TEST_NET.2:80 i-2
start up3 python3 "$TEST_DIR/standin/metadata_store.py" upstream $TEST_NET.3:80 i-3

cat >entry.json <<EOF
{"instance":"e1","data_center":"d1","address":"$TEST_NET.1",
 "regions":[{"data_center":"d1","region":"north"},{"data_center":"d2","region":"south"}],
 "ports":{"first":7700},"listen":{"callers":"$ENTRY","ready":"$READY"},
 "platform":"store","platform_url":"http://$STORE",
 "key":"0123456789abcdef","seeds":["$TEST_NET.1:1"],
 "forward":{"stop_grace_s":8,"evacuate_ms":5000}}
EOF

test_expect_success 'requests stay in the regions of their route and their account' '
	wait_until 10 curl -sf http://$STORE/test/calls &&
	config 1 && server i-2 $TEST_NET.2:80 d1 && server i-3 $TEST_NET.3:80 d2 &&
	start_entry &&
	all_go_to 2 /north/x && all_go_to 3 /south/x && all_go_to 3 /any/x k2
'

test_expect_success 'without an upstream that both allow, requests are refused as not run' '
	answers 503 /north/x k2 && grep "\"outcome\":\"not-run\"" body &&
	grep no-upstream-in-region body &&
	answers 503 /east/x && grep no-upstream-in-region body &&
	answers 503 /odd/x && grep "\"outcome\":\"not-run\"" body &&
	grep route-unreadable body
'

test_expect_success 'an evacuation leaves out its data centre until it is taken back' '
	printf "{}" | put op/evacuate/d1 &&
	printf "no json" | put op/evacuate/nowhere &&
	wait_until 5 answers 503 /north/x && grep upstreams-evacuated body &&
	all_go_to 3 /any/x &&
	delete op/evacuate/d1 &&
	wait_until 5 answers 200 /north/x
'

test_expect_success 'an entry that starts during an evacuation heeds it from its first request' '
	printf "{}" | put op/evacuate/d2 &&
	kill $(cat entry.pid) && wait_until 12 entry_is_gone &&
	before=$(requests_of 3) &&
	start_entry &&
	all_go_to 2 /any/x &&
	answers 503 /south/x &&
	test "$(requests_of 3)" = "$before"
'

test_done
