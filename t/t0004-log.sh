#!/bin/sh

test_description='log lines: bounded under load, never blocking'

. "$(dirname "$0")/test-lib.sh"

# The budgets hold 4 s at 16 KB/s for warnings and at 4 KB/s for other lines.
# The bound of 14 s allows for the refill while a slow machine writes the lines.
test_expect_success 'a flood of lines stays within the byte budgets' '
	test-log 20000 dropped >lines &&
	test "$(grep -c "\"severity\":\"warning\"" lines)" -gt 100 &&
	test "$(grep "\"severity\":\"warning\"" lines | wc -c)" -le $((16384 * 14)) &&
	test "$(grep "request ended" lines | wc -c)" -le $((4096 * 14))
'

test_expect_success 'each line is a complete JSON object' '
	jq -e .severity <lines >/dev/null
'

test_expect_success 'a message without a request is limited in number' '
	test "$(grep -c "is live" lines)" -le 120
'

test_expect_success 'dropped lines are counted' '
	read budget writer <dropped &&
	test "$budget" -gt 30000
'

test_expect_success 'a reader that stops reading does not block logging' '
	mkfifo pipe &&
	start reader sh -c "exec sleep 60 <pipe" &&
	start flood sh -c "exec test-log 200000 stopped >pipe" &&
	wait_until 30 test -s stopped &&
	read budget writer <stopped &&
	test "$budget" -gt 0
'

test_done
