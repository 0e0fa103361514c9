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

test_done
