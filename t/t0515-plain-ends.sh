#!/bin/sh

test_description='the ends of answers of plain services'

. "$(dirname "$0")/test-lib.sh"
. "$TEST_DIR/fleet-lib.sh"
. "$TEST_DIR/calls-lib.sh"

P1=$CALLS_NET.31
INVALID="invalid-length-less invalid-length-hex invalid-name-blank-coding invalid-folded-coding invalid-coding-twice invalid-cr-value chunked-blank-trailer chunked-words"
FORMS="half-close-stall half-length-hang plain-length plain-chunked plain-close half-length-open half-chunked-open half-close-reset head-open $INVALID"

# operations REPEATABLE PREFIX: one operation for each form.
operations () {
	for form in $FORMS; do
		printf '{"name":"%s","repeatable":%s,"deadline_ms":5000},' "$form" "$1"
	done | sed 's/,$//'
}

# publish: two services with the same upstream, one of calls that may run once.
publish () {
	cat >document.json <<-EOF
	{"revision":1,"fleet":{"fencing":["m-*"]},"accounts":[
	 {"account":"adubo","keys":["$(key_digest $KEY_ADUBO)"],"models":[],
	  "services":[
	   {"name":"once","upstreams":["p-*"],"operations":[$(operations false)]},
	   {"name":"again","upstreams":["p-*"],"operations":[$(operations true)]}]}]}
	EOF
	fleet_publish_config document.json
}

# ends SERVICE FORM...: prints how the caller sees the answers.
ends () {
	service=$1
	shift
	for form; do
		echo "$service $form: $(python3 "$TEST_DIR/helper/read-answer.py" \
			$ENTRY1:7100 /v1/services/$service/$form \
			"Authorization:Bearer $KEY_ADUBO" "X-Request-Id:$service-$form" \
			"Content-Type:application/json" body={} |
			sed "s/[0-9]* bytes/bytes/")"
	done
}

has_hung_more () {
	test "$(curl -s http://$P1:7200/test/hung)" -gt "$1"
}

# The breaker of the only upstream is closed.
is_served () {
	ends again plain-length | grep ": 200 "
}

test_expect_success 'a fleet with one plain service starts' '
	fleet_platform_start &&
	start plain python3 "$TEST_DIR/standin/raw_server.py" $P1:7200 &&
	agent_start p-1 dc1 $P1 plain &&
	entry_start e-1 dc1 $ENTRY1 &&
	fleet_publish_instances &&
	publish &&
	wait_until 20 routes_are $ENTRY1 1
'

test_expect_success 'whole answers reach the caller with a mark of their end' '
	{ ends again plain-length plain-chunked plain-close &&
	  ends once plain-length plain-chunked plain-close; } >actual &&
	cat >expect <<-\EOF &&
	again plain-length: 200 length whole bytes
	again plain-chunked: 200 length whole bytes
	again plain-close: 200 length whole bytes
	once plain-length: 200 length whole bytes
	once plain-chunked: 200 length whole bytes
	once plain-close: 200 length whole bytes
	EOF
	test_cmp expect actual
'

test_expect_success 'a replay has the bytes of the answer and a mark of its end' '
	call $ENTRY1 /v1/services/once/plain-close -d "{}" >out &&
	test "$(status_of)" = 200 && header_of X-Ticket >ticket &&
	python3 "$TEST_DIR/helper/read-answer.py" $ENTRY1:7100 \
		/v1/services/once/plain-close "Authorization:Bearer $KEY_ADUBO" \
		"X-Ticket:$(cat ticket)" "Content-Type:application/json" \
		body={} >actual &&
	echo "200 length whole $(wc -c <out) bytes" >expect &&
	test_cmp expect actual
'

# The agent asks again over a new connection when a kept one falls silent. The
# bytes of two runs must not be joined, here half of 612 and all of them.
test_expect_success 'a plain answer that falls silent is not continued by another run' '
	wait_until 10 is_served &&
	call $ENTRY1 /v1/services/again/half-length-hang -d "{}" >out &&
	test "$(curl -s http://$P1:7200/test/hung)" -ge 1 &&
	if test "$(status_of)" = 200
	then
		test "$(wc -c <out)" = 612
	else
		test "$(header_of X-Outcome)" = unknown
	fi
'

# The call has run, so that its outcome is unknown.
test_expect_success 'a broken-off answer leaves the outcome of its call unknown' '
	for service in once again; do
		for form in half-length-open half-chunked-open half-close-reset head-open; do
			wait_until 10 is_served &&
			call $ENTRY1 /v1/services/$service/$form -d "{}" >out &&
			echo "$service $form: $(header_of X-Outcome)" ||
			return 1
		done
	done >actual &&
	cat >expect <<-\EOF &&
	once half-length-open: unknown
	once half-chunked-open: unknown
	once half-close-reset: unknown
	once head-open: unknown
	again half-length-open: unknown
	again half-chunked-open: unknown
	again half-close-reset: unknown
	again head-open: unknown
	EOF
	test_cmp expect actual
'

# Guards against parts of a body, or bytes that are none of it, as an answer. The
# call has run.
test_expect_success 'a plain answer that HTTP does not allow leaves the outcome unknown' '
	for form in $INVALID; do
		for service in once again; do
			wait_until 10 is_served &&
			call $ENTRY1 /v1/services/$service/$form -d "{}" >out &&
			echo "$service $form: $(header_of X-Outcome) $(status_of)" ||
			return 1
		done
	done >statuses &&
	sed "s/ 50[23]$//" statuses >actual &&
	for form in $INVALID; do
		echo "once $form: unknown"
		echo "again $form: unknown"
	done >expect &&
	test_cmp expect actual
'

# A killed agent closes its connections as if the answer had ended. Its entry must
# not take half of an answer for the whole.
test_expect_success 'the answer of an agent that is killed is not complete' '
	wait_until 10 is_served &&
	hung=$(curl -s http://$P1:7200/test/hung) &&
	{ call $ENTRY1 /v1/services/again/half-close-stall -d "{}" >out & } &&
	reader=$! &&
	wait_until 5 has_hung_more $hung &&
	sleep 0.2 &&
	kill -KILL $(pid_of p-1) &&
	wait $reader &&
	test "$(status_of)" != 200 && test "$(header_of X-Outcome)" = unknown
'

test_done
