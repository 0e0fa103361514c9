#!/bin/sh

test_description='an answer that an upstream writes twice answers one request

The second one comes at once, in pieces, or where the next answer of its connection
is due. Callers keep their connections and read byte by byte.'

. "$(dirname "$0")/test-lib.sh"
. "$TEST_DIR/store-lib.sh"

# call SECONDS PATH...: answers of three callers of each path, a line of JSON each.
call () {
	call_s=$1
	shift
	timeout 60 python3 "$TEST_DIR/helper/strict-caller.py" $ENTRY $call_s \
		$(for call_path; do
			echo /$call_path /$call_path /$call_path
		done)
}

# count_answers FILTER: the answers in the file "answers" that jq selects.
count_answers () {
	jq -s "map(select($1)) | length" answers
}

is_served () {
	call 0.01 read/again-never-length |
		jq -es "length > 0 and all(.[]; .status == 200)"
}

# answers_are_own: each is strict, and a success is that of its request.
answers_are_own () {
	jq -c "[.path, .status, .end, .faults]" answers | sort | uniq -c &&
	test $(count_answers ".faults != []") = 0 &&
	test $(count_answers ".status == 200 and (.answer_id != .id or
		.body != \"{\\\"request\\\":\\\"\\(.id)\\\"}\" or
		.end != \"whole\")") = 0
}

start_store
start upstreams python3 "$TEST_DIR/standin/raw_server.py" $TEST_NET.2:80 \
	$TEST_NET.3:80
put_config 1 16384 $(web_route read idempotent 2 3000) \
	$(web_route once non_idempotent 2 3000)
put_server i-1 2
put_server i-2 3
start_entry 1
wait_ready 1
wait_until 10 is_served

# Guards against a late answer that is passed on as that of the next request, or
# as bytes that no request asked for.
test_expect_success 'second answers reach no caller' '
	call 4 once/again-now-length once/again-soon-length \
		read/again-soon-chunked once/again-pieces-length \
		once/again-late-length read/again-late-chunked \
		once/again-never-length read/again-never-chunked >answers &&
	answers_are_own &&
	test $(count_answers ".status == 200") -ge 300 &&
	for path in now soon pieces late never; do
		test $(count_answers ".status == 200 and
			(.path | contains(\"again-$path\"))") -ge 10 || exit 1
	done
'

# Guards against a promise that a request was not run which is an earlier one.
test_expect_success 'a refusal that comes twice refuses one request' '
	call 4 once/refused-now once/refused-late read/refused-late \
		once/again-never-length once/again-never-length \
		read/again-never-chunked >answers &&
	curl -s http://$TEST_NET.2/test/runs >runs &&
	answers_are_own &&
	test $(count_answers ".status == 200") -ge 20 &&
	test $(count_answers ".status == 503") -ge 20 &&
	jq -c --slurpfile runs runs "select((.status | . == 408 or . == 421 or
		. == 429 or . == 503) and \$runs[0][.id])" answers >run &&
	cat run && test ! -s run
'

test_done
