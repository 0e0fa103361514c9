#!/bin/sh

test_description='the test library stops its own processes only

Guards against a process ID that belonged to a process of a test, and is that of
another one when the test ends.'

. "$(dirname "$0")/test-lib.sh"

runs () {
	process_start $1 >/dev/null
}

test_expect_success 'a process that was started is stopped' '
	start own sleep 600 &&
	own=$(cat own.pid) &&
	runs $own &&
	stop_all &&
	! runs $own
'

test_expect_success 'a process with the ID of an earlier one is left alone' '
	other=$(sh -c "sleep 600 >/dev/null 2>&1 & echo \$!") &&
	echo $other >earlier.pid &&
	echo $(($(process_start $other) - 1)) >earlier.since &&
	stop_all &&
	runs $other &&
	kill $other
'

test_expect_success 'a stopped process is stopped as well' '
	start paused sleep 600 &&
	paused=$(cat paused.pid) &&
	kill -STOP $paused &&
	stop_all &&
	! runs $paused
'

test_done
