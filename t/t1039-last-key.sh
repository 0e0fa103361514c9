#!/bin/sh

test_description='requests need a key whenever the configuration has tenants'

. "$(dirname "$0")/test-lib.sh"

STORE=$TEST_NET.9:7001
ENTRY=$TEST_NET.1:8000

put () {
	curl -sf -X PUT --data-binary @- "http://$STORE/test/$1" >/dev/null
}

# config VERSION [TENANTS-MEMBER]
config () {
	cat <<-EOC | put op/config
	{"Version":$1,"Routes":[
	 {"Name":"v","Host":"a.example","Prefix":"/version-$1/","Kind":"idempotent","TimeoutMs":3000,"Service":"web","Public":true},
	 {"Name":"once","Host":"a.example","Prefix":"/once/","Kind":"non_idempotent","TimeoutMs":3000,"Service":"web"},
	 {"Name":"open","Host":"a.example","Prefix":"/open/","Kind":"idempotent","TimeoutMs":3000,"Service":"web","Public":true}],
	 "Services":[{"Name":"web"}]${2:+,$2}}
	EOC
}

# get_status PATH [KEY]
get_status () {
	curl -s -m 5 -o /dev/null -w '%{http_code}' -H "Host: a.example" \
		-H "X-Limpetflow-Request-Id: r" \
		${2:+-H "Authorization: Bearer $2"} "http://$ENTRY$1"
}

status_is () {
	test "$(get_status $2 $3)" = $1
}

# in_force VERSION [TENANTS-MEMBER]: writes a configuration and waits for it.
in_force () {
	config "$@" &&
	wait_until 10 status_is 200 /version-$1/x
}

# statuses_are WANT: the statuses with the key that was valid first, with one that
# never was, and without any.
statuses_are () {
	echo "$(get_status /once/x k1) $(get_status /once/x k9) $(get_status /once/x)" >got &&
	echo "$*" >want &&
	test_cmp want got &&
	status_is 200 /open/x
}

start store python3 "$TEST_DIR/standin/metadata_store.py" store $STORE
start up python3 "$TEST_DIR/standin/metadata_store.py" upstream $TEST_NET.20:80 i-1
wait_until 10 curl -sf http://$STORE/test/calls
printf '{"Service":"web","Addr":"%s","Zone":"d1","Version":"v1","Slots":4,"State":"ready","ColdLeftMs":0,"Seq":1}' \
	"$TEST_NET.20:80" | put servers/i-1
config 1 '"Tenants":[{"Name":"acme","ApiKeys":["k1"]}]'
cat >entry.json <<EOC
{"instance":"e1","data_center":"d1","address":"$TEST_NET.1",
 "ports":{"first":7700},"listen":{"callers":"$ENTRY","ready":"$TEST_NET.1:8001"},
 "platform":"store","platform_url":"http://$STORE","key":"0123456789abcdef",
 "seeds":["$TEST_NET.1:1"],"forward":{"stop_grace_s":8,"retry_ratio":0.2,
  "retry_window_s":10,"retry_slack":100}}
EOC
start entry limpet-entry --settings entry.json
wait_until 10 status_is 200 /once/x k1

test_expect_success 'a key of a tenant is needed' '
	in_force 1 "\"Tenants\":[{\"Name\":\"acme\",\"ApiKeys\":[\"k1\"]}]" &&
	statuses_are 200 401 401
'

# Guards against requests that run with any key, or none, once no key is left.
test_expect_success 'the last key of the last tenant is taken away' '
	in_force 2 "\"Tenants\":[{\"Name\":\"acme\",\"ApiKeys\":[]}]" &&
	statuses_are 401 401 401
'

test_expect_success 'no tenant is left' '
	in_force 3 "\"Tenants\":[]" &&
	statuses_are 401 401 401
'

test_expect_success 'no tenant can be read' '
	in_force 4 "\"Tenants\":[{\"Name\":\"acme\",\"ApiKeys\":[\"k1\"],\"AllowedRegions\":7}]" &&
	statuses_are 401 401 401 &&
	in_force 5 "\"Tenants\":\"acme\"" &&
	statuses_are 401 401 401
'

test_expect_success 'without tenants no key is needed' '
	in_force 6 &&
	statuses_are 200 200 200
'

test_expect_success 'with tenants again, one is' '
	in_force 7 "\"Tenants\":[{\"Name\":\"acme\",\"ApiKeys\":[\"k1\"]}]" &&
	statuses_are 200 401 401
'

test_done
