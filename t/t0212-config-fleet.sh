#!/bin/sh

test_description='time until a change is in force, in simulated fleets'

. "$(dirname "$0")/test-lib.sh"

# Guards against a change that is in force late, as every member waits for one
# source or watcher that has fallen silent.
test_expect_success 'a change is in force within 2 s though members are lost' '
	test-config-fleet
'

test_done
