#!/bin/sh

test_description='an answer whose entry ends before it does not look complete

The kernel closes the connections of a killed process in the ordinary way, which
is the end of an answer without a length or chunks.'

. "$(dirname "$0")/test-lib.sh"
. "$TEST_DIR/store-lib.sh"

UPSTREAM=$TEST_NET.2:80
FORMS="plain/half-close-stall plain/half-chunked-stall plain/half-length-stall
lone/part-close-stall lone/part-chunked-stall lone/part-length-stall"

# read_answer NAME PATH DEADLINE_MS [WORD...]
read_answer () {
	read_name=$1
	read_path=$2
	read_ms=$3
	shift 3
	echo "$read_name $read_path: $(python3 \
		"$TEST_DIR/helper/read-answer.py" $ENTRY "/$read_path" \
		"X-Limpetflow-Request-Id:$read_name-$read_path-$read_ms" \
		X-Limpetflow-Deadline-Ms:$read_ms "$@")"
}

# read_as_each PATH DEADLINE_MS: reads an answer as each kind of caller does.
read_as_each () {
	read_answer kept $1 $2
	read_answer closing $1 $2 Connection:close
	read_answer old $1 $2 version=1.0
}

hung_is () {
	test "$(curl -s http://$UPSTREAM/test/hung)" = "$1"
}

# begin DEADLINE_MS: starts a reader of each form for each kind of caller, and
# waits until the upstream has sent the first part of all answers.
begin () {
	hung=$(curl -s http://$UPSTREAM/test/hung)
	rm -f answer-*
	readers=
	for form in $FORMS; do
		name=$(echo $form | tr / -)
		read_answer kept $form $1 >answer-$name-1 & readers="$readers $!"
		read_answer closing $form $1 Connection:close >answer-$name-2 &
		readers="$readers $!"
		read_answer old $form $1 version=1.0 >answer-$name-3 &
		readers="$readers $!"
	done
	wait_until 8 hung_is $((hung + 18)) && sleep 0.3
}

# check_cut: no reader took its answer for complete, and those of HTTP/1.1 had
# the part that was sent.
check_cut () {
	wait $readers
	sort answer-* >actual && cat actual &&
	test $(wc -l <actual) = 18 &&
	! grep -E ": 200 [a-z]+ (whole|closed)" actual &&
	test $(grep -cE "^(kept|closing) .*: 200 (chunked|length) cut (306|events 12)" actual) = 12
}

is_served () {
	read_answer probe lone/events-length 2500 | grep "whole events 12345"
}

start_store
start upstream python3 "$TEST_DIR/standin/raw_server.py" $UPSTREAM

# Guards against a close as the only mark of an end.
test_expect_success 'callers of each version get whole answers with a mark' '
	put_config 1 16384 $(web_route lone streaming 1 20000) \
		$(web_route plain non_idempotent 1 20000) &&
	put_server i-1 2 &&
	start_entry 1 && wait_ready 1 &&
	wait_until 10 is_served &&
	for form in plain/plain-close plain/plain-chunked lone/events-close; do
		read_as_each $form 5000 || return 1
	done >actual &&
	cat >expect <<-\EOF &&
	kept plain/plain-close: 200 chunked whole 612 bytes
	closing plain/plain-close: 200 chunked whole 612 bytes
	old plain/plain-close: 200 length whole 612 bytes
	kept plain/plain-chunked: 200 chunked whole 612 bytes
	closing plain/plain-chunked: 200 chunked whole 612 bytes
	old plain/plain-chunked: 200 length whole 612 bytes
	kept lone/events-close: 200 chunked whole events 12345
	closing lone/events-close: 200 chunked whole events 12345
	old lone/events-close: 200 length whole events 12345
	EOF
	test_cmp expect actual
'

# What is held for its length is bounded; the caller gets a failure that bears
# nothing of the upstream.
test_expect_success 'an answer too long to be held fails for a caller of HTTP/1.0' '
	{ read_answer old plain/large-close 5000 version=1.0 &&
	  read_answer old lone/many-close 5000 version=1.0; } >actual &&
	cat >expect <<-\EOF &&
	old plain/large-close: 502 length whole 0 bytes
	old lone/many-close: 502 length whole 0 bytes
	EOF
	test_cmp expect actual
'

# Guards against a cut that looks like the end where resets are lost.
test_expect_success 'answers that reach the deadline of their callers are cut' '
	begin 4000 && check_cut
'

# Guards against the kernel's close as the end of the answer (review/6).
test_expect_success 'answers of an entry that is killed are cut' '
	begin 15000 && kill -KILL $(cat e1.pid) && check_cut
'

# Guards against the same at the planned end of an entry.
test_expect_success 'answers of an entry that ends at its grace are cut' '
	start_entry 1 && wait_ready 1 &&
	wait_until 10 is_served &&
	begin 15000 && kill -TERM $(cat e1.pid) && check_cut
'

test_done
