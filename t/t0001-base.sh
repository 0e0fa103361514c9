#!/bin/sh

test_description='tables, errors, metrics, schema, envelope, replay window'

. "$(dirname "$0")/test-lib.sh"

test_expect_success 'unit tests of base and net' 'test-base'

test_done
