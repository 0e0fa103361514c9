#!/bin/sh

test_description='HTTP server and client, RPC server and client'

. "$(dirname "$0")/test-lib.sh"

test_expect_success 'unit tests of net' 'test-net $TEST_NET.1'

test_done
