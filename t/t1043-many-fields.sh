#!/bin/sh

test_description='no field of a head is left out or shortened

A request without one of its fields is another request; an answer without its stamp
is none. What does not fit is refused as a whole.'

. "$(dirname "$0")/test-lib.sh"
. "$TEST_DIR/store-lib.sh"

UPSTREAM=$TEST_NET.2:80

# config VERSION HEADER_BYTES
config () {
	put_config $1 $2 $(web_route web idempotent 2 3000)
}

fields () {
	timeout 30 python3 "$TEST_DIR/helper/many-fields.py" $ENTRY $UPSTREAM "$@"
}

# has_lines COUNT TEXT
has_lines () {
	test $(grep -c "$2" e1.out) = $1
}

is_served () {
	fields web=1:short | grep ": 200"
}

start_store

# Guards against fields that a list of fixed size drops (review/7).
test_expect_success 'requests with many or long fields arrive whole' '
	config 1 16384 && put_server i-1 2 &&
	start_entry 1 && wait_ready 1 &&
	wait_until 10 is_served &&
	fields web=33:short web=60:short web=400:short \
		web=15000:long web=40:event web=255:event >actual &&
	cat >expect <<-\EOF &&
	/web/33:short: 200, request all
	/web/60:short: 200, request all
	/web/400:short: 200, request all
	/web/15000:long: 200, request all
	/web/40:event: 200, request all
	/web/255:event: 200, request all
	EOF
	test_cmp expect actual
'

# Guards against a success without its stamp.
test_expect_success 'answers with many or long fields arrive whole' '
	fields web=41:answer web=70:answer web=500:answer web=20000:answer-long \
		>actual &&
	cat >expect <<-\EOF &&
	/web/41:answer: 200, request all, answer all
	/web/70:answer: 200, request all, answer all
	/web/500:answer: 200, request all, answer all
	/web/20000:answer-long: 200, request all, answer all
	EOF
	test_cmp expect actual
'

# The memory of a connection holds 16,384 bytes in up to 236 fields, and some 400
# of the shortest ones. A request that leaves no room for an answer is not run.
test_expect_success 'a head that does not fit is refused as a whole, and logged' '
	fields web=3000:short web=500:short web=410:short web=20000:long web=256:event web=1:short \
		>actual &&
	cat >expect <<-\EOF &&
	/web/3000:short: 431, request none
	/web/500:short: 431, request none
	/web/410:short: 431, request none
	/web/20000:long: 431, request none
	/web/256:event: 431, request none
	/web/1:short: 200, request all
	EOF
	test_cmp expect actual &&
	wait_until 5 has_lines 3 "refused the head of a request" &&
	wait_until 5 has_lines 2 "\"reason\":\"head-too-large\""
'

# The upstream has run these, so that they have no other outcome.
test_expect_success 'an answer whose head does not fit is a failure without its fields' '
	fields web=40000:answer-long web=70000:answer-long web=1:short >actual &&
	cat >expect <<-\EOF &&
	/web/40000:answer-long: 502, request all, answer none
	/web/70000:answer-long: 502, request all, answer none
	/web/1:short: 200, request all
	EOF
	test_cmp expect actual
'

# served_as COUNT STATUS
served_as () {
	fields web=1:short web=$1:long | grep "long: $2"
}

# Guards against a declared limit that nobody checks.
test_expect_success 'the declared size of a head holds on open connections' '
	config 2 2000 && wait_until 8 served_as 3000 431 &&
	served_as 1200 200 &&
	config 3 16384 && wait_until 8 served_as 3000 200
'

test_done
