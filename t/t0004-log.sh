#!/bin/sh

test_description='log lines: bounded under load, never blocking'

. "$(dirname "$0")/test-lib.sh"

# Budgets of 4 s: 16 KB a second for warnings, 4 KB for plain lines; both may
# fill by some seconds more while the lines are written on a slow machine.
test_expect_success 'a flood of lines keeps to the budgets' '
	test-log 20000 dropped >lines &&
	test "$(grep -c "\"severity\":\"warning\"" lines)" -gt 100 &&
	test "$(grep "\"severity\":\"warning\"" lines | wc -c)" -le $((16384 * 14)) &&
	test "$(grep "request ended" lines | wc -c)" -le $((4096 * 14))
'

test_expect_success 'each line is a whole JSON object' '
	jq -e .severity <lines >/dev/null
'

test_expect_success 'a message without a request is bounded by its count' '
	test "$(grep -c "is live" lines)" -le 120
'

test_expect_success 'what was left out is counted' '
	read budget writer <dropped &&
	test "$budget" -gt 30000
'

test_expect_success 'a reader that stops costs lines, not time' '
	mkfifo pipe &&
	start reader sh -c "exec sleep 60 <pipe" &&
	start flood sh -c "exec test-log 200000 stopped >pipe" &&
	wait_until 30 test -s stopped &&
	read budget writer <stopped &&
	test "$budget" -gt 0
'

test_done
