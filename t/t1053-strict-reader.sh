#!/bin/sh

test_description='the reader of answers that other tests use finds what is wrong

Where it is lenient, no test sees the fault (issue 59): clients merge fields that
come twice and pass over bytes after an answer.'

. "$(dirname "$0")/test-lib.sh"

# read_table NAME: reads the answers of a table, and compares with what it says.
read_table () {
	grep -v "^ " "$TEST_DIR/t1053/$1" >table &&
	python3 "$TEST_DIR/helper/read-raw.py" <table >actual &&
	test_cmp "$TEST_DIR/t1053/$1" actual
}

# Guards against a reader that finds faults where there are none.
test_expect_success 'answers that are valid have no fault' '
	read_table valid &&
	! grep "^    \|bytes after\|[1-9][0-9]* bytes follow" actual
'

# Guards against fields that come twice, framings that readers take differently,
# and bytes after the end, which nobody sees.
test_expect_success 'each fault of a head, a body and an end is named' '
	read_table faulty &&
	test $(wc -l <table) -ge 50
'

test_expect_success 'an answer that ends early is told from one that is whole' '
	read_table ends
'

# fails WORD...: a helper of other tests exits with an error, and not by itself.
fails () {
	helper=$1
	shift
	! timeout 20 python3 "$TEST_DIR/helper/$helper" "$@" >fails.out 2>&1 &&
	cat fails.out &&
	grep "field twice: transfer-encoding" fails.out &&
	! grep Traceback fails.out
}

# Guards against helpers that read answers in a way of their own (issue 59).
test_expect_success 'the readers of other tests see a field that comes twice' '
	start twice python3 "$TEST_DIR/standin/twice_server.py" $TEST_NET.1:80 &&
	wait_until 5 curl -s -o /dev/null http://$TEST_NET.1:80/ &&
	fails read-answer.py $TEST_NET.1:80 /x &&
	fails slow-reader.py $TEST_NET.1:80 /x 0 &&
	fails every-status.py $TEST_NET.1:80 x &&
	fails many-fields.py $TEST_NET.1:80 $TEST_NET.2:80 web=1:short &&
	fails many-slow-readers.py $TEST_NET.1:80 /x 2 2 0 &&
	fails outside-limits.py silent $TEST_NET.1:80/x $TEST_NET.1:80/x \
		$TEST_NET.1:80/x $$ 1 1 &&
	fails crash-traffic.py send part 0.1 0 a b $TEST_NET.1:80
'

test_done
