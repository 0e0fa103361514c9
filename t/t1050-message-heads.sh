#!/bin/sh

test_description='which heads of messages are refused'

. "$(dirname "$0")/test-lib.sh"

# Guards against heads that two readers understand in different ways (issue 59).
test_expect_success 'forms of heads' 'test-message-head'

test_done
