#!/bin/sh

test_description='detection, merge with the list, subset of an entry'

. "$(dirname "$0")/test-lib.sh"

test_expect_success 'the unit suite of member' 'test-member'

test_done
