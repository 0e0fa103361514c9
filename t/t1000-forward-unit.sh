#!/bin/sh

test_description='decisions of forwarding: outcomes, health, budget, choice'

. "$(dirname "$0")/test-lib.sh"

test_expect_success 'unit tests of forward' 'test-forward'

test_expect_success 'unit tests of streams of events' 'test-events'

test_expect_success 'unit tests of the choice of an upstream' 'test-target'

test_expect_success 'unit tests of notices of upstreams' 'test-notice'

test_expect_success 'unit tests of the watch for upstreams that died' 'test-crash-watch'

test_expect_success 'unit tests of the memory of lists' 'test-listing'

test_expect_success 'unit tests of the limits of releases' 'test-release-limit'

test_expect_success 'unit tests of places for the next attempt' 'test-reservation'

test_expect_success 'unit tests of what a blame cancels' 'test-blame-cancel'

test_expect_success 'unit tests of limits that upstreams name' 'test-upstream-limit'

test_expect_success 'unit tests of regions, evacuations and cold upstreams' 'test-placement'

test_done
