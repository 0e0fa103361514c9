#!/bin/sh

test_description='configuration documents: parsing, differences, watchers, spread'

. "$(dirname "$0")/test-lib.sh"

test_expect_success 'unit tests of config' 'test-config'

test_expect_success 'unit tests of when releases were declared' 'test-declared'

test_expect_success 'unit tests of the texts that peers ask for' 'test-texts'

test_expect_success 'unit tests of the conversion of configurations' '
	test-platform-document
'

test_expect_success 'unit tests of who reads the platform' 'test-fallback'

test_done
