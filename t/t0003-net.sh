#!/bin/sh

test_description='HTTP server and client, RPC with its envelope'

. "$(dirname "$0")/test-lib.sh"

test_expect_success 'the unit suite of net' 'test-net $TEST_NET.1'

test_done
