#!/bin/sh

test_description='failure detection, merge of the list, subset selection'

. "$(dirname "$0")/test-lib.sh"

test_expect_success 'unit tests of member' 'test-member'

test_done
