#!/bin/sh

test_description='a short soak of entries and engines, faults from outside, fixed seeds'

. "$(dirname "$0")/test-lib.sh"

# Promises with a bound on time are judged by hand runs (docs/testing.md).
soak () {
	python3 "$TEST_DIR/soak/soak.py" --net "$1" --seed "$2" --seconds 12 \
		--no-bounds
}

test_expect_success 'the schedule is the same for a seed' '
	python3 "$TEST_DIR/soak/soak.py" --net $TEST_NET --seed 7 --print >one &&
	python3 "$TEST_DIR/soak/soak.py" --net $TEST_NET --seed 7 --print >two &&
	test -s one && test_cmp one two
'

test_expect_success 'it declares releases that engines load' '
	grep "declare *store" one &&
	grep "load *g[123]" one
'

test_expect_success 'seed 1 keeps its promises' 'soak $TEST_NET 1'

test_done
