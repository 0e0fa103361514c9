#!/bin/sh

test_description='the heads that an entry writes, read byte by byte

A process that stops says "Connection: close" in its answers. Clients such as curl
merge fields that come twice, so that they take a head for good that is not.'

. "$(dirname "$0")/test-lib.sh"
. "$TEST_DIR/store-lib.sh"

UPSTREAM=$TEST_NET.2:80
PATHS="/plain/plain-chunked /plain/plain-close /plain/plain-length
/lone/events-chunked /lone/events-close /lone/events-length"

# call SECONDS WORD...: answers of all paths, a line of JSON each.
call () {
	call_s=$1
	shift
	python3 "$TEST_DIR/helper/strict-caller.py" $ENTRY $call_s $(
		for call_path in $PATHS; do
			echo "$call_path$*"
		done)
}

# count_answers FILTER: the answers in the file "answers" that jq selects.
count_answers () {
	jq -s "map(select($1)) | length" answers
}

# has_answers N: so many answers have come in all.
has_answers () {
	test $(wc -l <answers) -ge $1
}

is_served () {
	call 0.01 | jq -es "length > 0 and all(.[]; .status == 200)"
}

start_store
start upstream python3 "$TEST_DIR/standin/raw_server.py" $UPSTREAM
put_config 1 16384 $(web_route lone streaming 1 20000) \
	$(web_route plain idempotent 1 20000)
put_server i-1 2
start_entry 1
wait_ready 1
wait_until 10 is_served

# Guards against a Transfer-Encoding that comes twice (issue 59).
test_expect_success 'answers around SIGTERM have each field once' '
	call 20 >answers &
	caller=$! &&
	wait_until 15 has_answers 300 &&
	kill -TERM $(cat e1.pid) &&
	wait $caller &&
	jq -c "[.path, .framing, .closing, .end, .faults]" answers | sort |
		uniq -c &&
	test $(count_answers ".status == 200 and (.closing | not)") -ge 100 &&
	for path in $PATHS; do
		test $(count_answers ".status == 200 and .closing and
			.path == \"$path\"") -ge 5 || exit 1
	done &&
	test $(count_answers ".faults != []") = 0 &&
	test $(count_answers ".status != 0 and .end != \"whole\"") = 0
'

# Guards against fields that are added past the function that looks at the word of
# the library.
test_expect_success 'one file gives fields to the library' '
	(cd "$TOP" && grep -l MHD_add_response_header */*.c) >actual &&
	echo net/httpd-fields.c >expect &&
	test_cmp expect actual
'

test_done
