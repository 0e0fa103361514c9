#!/bin/sh

test_description='document, differences, watchers, decisions of the spread'

. "$(dirname "$0")/test-lib.sh"

test_expect_success 'the unit suite of config' 'test-config'

test_done
