#!/bin/sh

test_description='HTTP server and client, RPC server and client'

. "$(dirname "$0")/test-lib.sh"

test_expect_success 'unit tests of net' 'test-net $TEST_NET.1'

# Guards against messages that wait, and processor time that is spent, while a
# paused peer or one with a slow link does not take its reply.
test_expect_success 'replies that peers take late hold up nobody' '
	test-rpc-replies $TEST_NET.2
'

test_expect_success 'unit tests of what callers may hold' 'test-intake'

test_done
